#include "bench/driver.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace ebonygrade::bench {

namespace {

constexpr milliseconds kStepInterval{20};
constexpr milliseconds kSampleInterval{1000};
constexpr milliseconds kFailureDelay{50};
constexpr milliseconds kCheckpointTime{500};
constexpr milliseconds kStopTime{40};
constexpr std::size_t kMaxStartsPerRound = 2000;

double to_ms(steady_time::duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

struct task {
  std::uint32_t attempts = 0;
  bool is_running = false;
  bool is_done = false;
  bool has_started = false;
  std::uint32_t run = 0;  // Number of the current run.
  steady_time started;
  milliseconds remaining{0};
  std::string worker;
};

struct job_record {
  const bench_job* job = nullptr;
  std::vector<task> tasks;
};

struct end_event {
  steady_time at;
  std::size_t job = 0;
  std::uint32_t task = 0;
  std::uint32_t run = 0;
  wire::task_end end = wire::completed;

  bool operator>(const end_event& other) const {
    if (at != other.at) return at > other.at;
    return std::pair(job, task) > std::pair(other.job, other.task);
  }
};

struct usage {
  double millicores = 0;
  double memory_mb = 0;

  void add(const job::resources& r, double factor) {
    millicores += r.millicores * factor;
    memory_mb += r.memory_mb * factor;
  }
};

class driver {
 public:
  driver(scheduler* s, const deployment& cell, const workload& jobs,
         const bundle::policy& policy, const driver_options& options)
      : scheduler_(*s),
        cell_(cell),
        jobs_(jobs),
        policy_(policy),
        options_(options) {
    capacity_.add(cell.capacity, cell.workers);
    records_.resize(jobs.size());
  }

  driver_result run() {
    add_workers();
    const steady_time end = kStart + options_.horizon;
    for (now_ = kStart; now_ < end; now_ += kStepInterval) {
      end_tasks();
      submit_arrivals();
      decide();
      if ((now_ - kStart) % kSampleInterval == milliseconds(0)) sample_usage();
    }
    complete_result();
    return result_;
  }

 private:
  void add_workers() {
    for (int i = 0; i < cell_.workers; ++i) {
      place::worker_spec spec;
      spec.id = "w" + std::to_string(i);
      spec.rack = "r" + std::to_string(i / 8);
      spec.zone = "z" + std::to_string(i / 16);
      spec.capacity = cell_.capacity;
      scheduler_.add_worker(spec);
      is_failing_[spec.id] = is_failing(i);
    }
  }

  // Distributes the failing workers evenly.
  bool is_failing(int worker) const {
    const double share = options_.failing_worker_share;
    return std::ceil((worker + 1) * share) > std::ceil(worker * share);
  }

  void end_tasks() {
    while (!ends_.empty() && ends_.top().at <= now_) {
      const end_event event = ends_.top();
      ends_.pop();
      end_task(event);
    }
  }

  void end_task(const end_event& event) {
    job_record& record = records_[event.job];
    task& t = record.tasks[event.task];
    if (!t.is_running || t.run != event.run) return;
    const bench_job& j = *record.job;
    t.is_running = false;
    running_.add(j.group.per_task, -1);
    team_use_[j.group.team].add(j.group.per_task, -1);
    scheduler_.task_ended(j.group.id, event.task, event.end, now_);
    if (event.end == wire::completed) {
      t.is_done = true;
      ++result_.completed;
      return;
    }
    if (event.end == wire::failed) {
      ++result_.failed_attempts;
      if (++t.attempts >= options_.max_attempts) return;
    } else {
      t.remaining = std::max(kStepInterval, t.remaining);
    }
    submit(event.job, {event.task}, true);
  }

  void submit_arrivals() {
    while (next_job_ < jobs_.size() &&
           jobs_[next_job_].group.submitted <= now_) {
      const bench_job& j = jobs_[next_job_];
      records_[next_job_].job = &j;
      records_[next_job_].tasks.resize(j.group.tasks.size());
      for (task& t : records_[next_job_].tasks) t.remaining = j.runtime;
      by_id_[j.group.id] = next_job_;
      result_.tasks += j.group.tasks.size();
      submit(next_job_, j.group.tasks, false);
      ++next_job_;
    }
  }

  void submit(std::size_t index, const std::vector<std::uint32_t>& tasks,
              bool is_retry) {
    place::task_group group = jobs_[index].group;
    group.tasks = tasks;
    if (is_retry) group.deadline = steady_time::max();
    place::admission admitted = scheduler_.enqueue(group, now_);
    if (admitted.accepted) {
      waiting_.add(group.per_task, static_cast<double>(tasks.size()));
      team_waiting_[group.team] += static_cast<double>(tasks.size());
      return;
    }
    result_.refused += tasks.size();
    result_.retry_after_ms.push_back(
        static_cast<double>(admitted.retry_after.count()));
  }

  void decide() {
    place::decisions made = scheduler_.decide(now_, kMaxStartsPerRound);
    for (const place::drop& d : made.drops) drop(d);
    for (const place::placement& p : made.starts) start(p);
    for (const place::preemption& p : made.preemptions) preempt(p);
  }

  void drop(const place::drop& d) {
    const std::size_t index = by_id_.at(d.id);
    const job_record& record = records_[index];
    std::size_t count = 0;
    for (const task& t : record.tasks) count += t.has_started ? 0 : 1;
    result_.dropped += count;
    waiting_.add(record.job->group.per_task, -static_cast<double>(count));
    team_waiting_[record.job->group.team] -= static_cast<double>(count);
  }

  void start(const place::placement& p) {
    const std::size_t index = by_id_.at(p.id);
    job_record& record = records_[index];
    const place::task_group& group = record.job->group;
    task& t = record.tasks[p.task_index];
    if (!t.has_started) record_wait(record, p.task_index);
    t.has_started = true;
    t.is_running = true;
    t.worker = p.worker;
    t.started = now_;
    ++t.run;
    waiting_.add(group.per_task, -1);
    team_waiting_[group.team] -= 1;
    running_.add(group.per_task, 1);
    team_use_[group.team].add(group.per_task, 1);
    const bool fails = is_failing_.at(p.worker);
    ends_.push({now_ + (fails ? kFailureDelay : t.remaining), index,
                p.task_index, t.run, fails ? wire::failed : wire::completed});
  }

  void record_wait(const job_record& record, std::uint32_t index) {
    const place::task_group& group = record.job->group;
    const double waited = to_ms(now_ - group.submitted);
    result_.waits_ms[static_cast<std::size_t>(group.kind)].push_back(waited);
    if (group.kind != job::job_class::urgent) {
      result_.team_waits_ms[group.team].push_back(waited);
    }
    if (group.kind == job::job_class::gang && index == group.tasks.front()) {
      result_.gang_waits_ms.push_back(waited);
    }
    if (group.deadline == steady_time::max()) return;
    if (now_ <= group.deadline) {
      ++result_.deadlines_met;
    } else {
      ++result_.deadlines;
    }
  }

  void preempt(const place::preemption& p) {
    const std::size_t index = by_id_.at(p.id);
    task& t = records_[index].tasks[p.task_index];
    if (!t.is_running) return;
    if (p.mode != wire::checkpoint) return;
    ++result_.preempted;
    const milliseconds done =
        std::chrono::duration_cast<milliseconds>(now_ - t.started);
    t.remaining -= std::min(t.remaining, done);
    ++t.run;
    ends_.push(
        {now_ + kCheckpointTime, index, p.task_index, t.run, wire::stopped});
  }

  void sample_usage() {
    if (now_ < kStart + options_.measure_from) return;
    const double cpu_demand = running_.millicores + waiting_.millicores;
    const double memory_demand = running_.memory_mb + waiting_.memory_mb;
    const double cpu =
        running_.millicores / std::min(capacity_.millicores, cpu_demand + 1);
    const double memory =
        running_.memory_mb / std::min(capacity_.memory_mb, memory_demand + 1);
    result_.packing[0] += cpu;
    result_.packing[1] += memory;
    const bool cpu_binds = cpu_demand / capacity_.millicores >=
                           memory_demand / capacity_.memory_mb;
    result_.packing_binding += cpu_binds ? cpu : memory;
    if (waiting_.millicores > capacity_.millicores) {
      result_.idle_while_waiting +=
          1 - running_.millicores / capacity_.millicores;
    }
    ++samples_;
    sample_shares();
  }

  void sample_shares() {
    double weights = 0;
    for (const auto& [team, tasks] : team_waiting_) {
      if (tasks > 0) weights += policy_.teams.at(team).weight;
    }
    for (const auto& [team, tasks] : team_waiting_) {
      if (tasks <= 0) continue;
      const usage& use = team_use_[team];
      const double share = std::max(use.millicores / capacity_.millicores,
                                    use.memory_mb / capacity_.memory_mb);
      shares_[team].push_back(share * weights / policy_.teams.at(team).weight);
    }
  }

  void complete_result() {
    const double count = std::max(1.0, static_cast<double>(samples_));
    for (double& each : result_.packing) each /= count;
    result_.packing_binding /= count;
    result_.idle_while_waiting /= count;
    result_.deadlines += result_.deadlines_met;
    for (const auto& [team, ratios] : shares_) {
      double sum = 0;
      for (double each : ratios) sum += each;
      result_.share_ratio[team] = sum / static_cast<double>(ratios.size());
    }
    // Tasks that never started have waited at least until the end. They miss a
    // deadline only if it has passed.
    for (const job_record& record : records_) {
      if (record.job == nullptr) continue;
      const place::task_group& group = record.job->group;
      for (const task& t : record.tasks) {
        if (t.has_started) continue;
        if (group.deadline <= now_) ++result_.deadlines;
        result_.waits_ms[static_cast<std::size_t>(group.kind)].push_back(
            to_ms(now_ - group.submitted));
      }
    }
  }

  scheduler& scheduler_;
  const deployment& cell_;
  const workload& jobs_;
  const bundle::policy& policy_;
  driver_options options_;
  driver_result result_;
  steady_time now_;
  std::size_t next_job_ = 0;
  std::vector<job_record> records_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::unordered_map<std::string, bool> is_failing_;
  std::priority_queue<end_event, std::vector<end_event>,
                      std::greater<end_event>>
      ends_;
  usage capacity_;
  usage running_;
  usage waiting_;
  std::map<std::string, usage> team_use_;
  std::map<std::string, double> team_waiting_;
  std::map<std::string, std::vector<double>> shares_;
  std::size_t samples_ = 0;
};

}  // namespace

driver_result run_workload(scheduler* under_test, const deployment& cell,
                           const workload& jobs, const bundle::policy& policy,
                           const driver_options& options) {
  return driver(under_test, cell, jobs, policy, options).run();
}

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::size_t at =
      static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace ebonygrade::bench
