// Admission control against scheduling without it: the same seeded loads are
// played through the pool's scheduler under a simulated clock.
//
//   admission_bench [SEEDS]      default: 2
//
// Orders: `fcfs` (first come, first served), `value` (the pool's own order,
// nothing refused), `refuse` (the same with admission control). Prints for each
// load, order and class of jobs: the mean wait for the first start of the jobs
// that started, the shares of all submissions that ended in time, late or
// without value (`unserved`), the share that was refused, and the mean worth of
// a submission: 1 in time, falling to 0 at the end of the value; a refused job
// is worth 0 as well. `largest` is the largest tenth of the sets.
//
// The classes are those of a deployment with gangs, sets of tasks and small
// urgent jobs, on a third of its workers. Refused callers don't return.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/figure.h"
#include "pool/manifest.h"
#include "pool/pool.h"

namespace {

namespace bench = ebonygrade::bench;
namespace jobs = ebonygrade::jobs;
namespace pool = ebonygrade::pool;
namespace wire = ebonygrade::wire;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

constexpr milliseconds kStepInterval{50};
constexpr milliseconds kLoadTime{90000};
constexpr milliseconds kDrainTime{90000};
constexpr std::size_t kWorkers = 115;
constexpr std::int64_t kWorkerMillicores = 32000;
constexpr char kService[] = "service-a";
// Spread of the run times around the estimates.
constexpr double kRuntimeSigma = 0.25;
constexpr int kValueEndFactor = pool::kValueEndFactor;

enum class order { fcfs, value, refuse };

struct job_class {
  std::string name;
  std::uint32_t tasks;
  std::uint32_t cpu_milli;
  milliseconds run_time;
  std::uint32_t priority;
  double stretch;
  milliseconds target;
  bool gang;
  double per_second;  // At the usual load.
};

const std::vector<job_class>& classes() {
  static const std::vector<job_class> all = {
      {"urgent", 3, 5000, milliseconds(1000), 0, 1.5, milliseconds(400), false,
       20},
      {"gang", 16, 9000, milliseconds(6200), 1, 2.2, milliseconds(1200), true,
       1.2},
      {"set", 25, 3500, milliseconds(3400), 2, 4, milliseconds(3000), false, 5},
  };
  return all;
}

struct load {
  std::string name;
  // Factors of the rates of the classes, from `begin` to `end`.
  std::vector<double> factors;
  milliseconds begin{20000};
  milliseconds end{50000};
  // Part of the workers that is gone in this time.
  double gone = 0;
};

struct tally {
  double submitted = 0, started = 0, in_time = 0, late = 0, refused = 0;
  double waited_ms = 0, worth = 0;
};

class played_pool {
 public:
  played_pool(const load& load, order order, std::uint32_t seed)
      : load_(load), order_(order), random_(seed) {
    std::unordered_map<std::string, pool::queue_policy> policies;
    for (const job_class& each : classes()) {
      pool::queue_policy policy;
      policy.service = kService;
      policy.attempts = 3;
      policy.priority = each.priority;
      policy.stretch = each.stretch;
      policy.target = each.target;
      real_[each.name] = policy;
      if (order == order::fcfs) {
        // With one far deadline after each acceptance, the scheduler's order
        // is that of the acceptances.
        policy.priority = 1;
        policy.stretch = 0;
        policy.target = std::chrono::hours(10);
      }
      policies[each.name] = policy;
    }
    pool::set_queues(&state_, policies);
    state_.admission.enabled = order == order::refuse;
    for (std::size_t i = 0; i < kWorkers; ++i) add_worker(i);
  }

  std::map<std::string, tally> play() {
    for (milliseconds at{0}; at < kLoadTime + kDrainTime; at += kStepInterval) {
      step(at);
    }
    return tallies_;
  }

 private:
  struct simulated_worker {
    std::multimap<steady_time, pool::start_order> ends;
    std::map<std::pair<pool::task_key, std::uint32_t>, pool::reported_run> runs;
    std::uint64_t ended = 0;
    bool gone = false;
  };
  struct played_job {
    std::vector<std::string> classes;
    milliseconds objective{0};
    steady_time submitted;
    double run_factor = 1;
  };

  void add_worker(std::size_t number) {
    pool::worker_entry entry;
    entry.id = fmt::format("worker-{:03}", number);
    entry.service = kService;
    entry.capacity = {kWorkerMillicores, 1 << 20, 0};
    entry.incarnation_ms = 1;
    pool::observe_worker_entry(&state_, entry, now_);
    workers_[entry.id];
    report_worker(entry.id, {});
  }

  void report_worker(const std::string& id,
                     std::vector<pool::reported_end> ended) {
    pool::worker_report report;
    report.clock = milliseconds(now_.time_since_epoch() / milliseconds(1));
    report.incarnation_ms = 1;
    report.ended = std::move(ended);
    for (const auto& each : workers_[id].runs) {
      report.running.push_back(each.second);
    }
    pool::observe_worker_report(&state_, id, report,
                                pool::fencing_token(state_, id),
                                now_ - milliseconds(1), now_, wall_);
  }

  // The draws don't depend on the order, so each order gets the same jobs.
  void submit(const job_class& kind) {
    bool large = kind.name == "set" && random_() % 10 == 0;
    wire::job_submission job;
    job.set_queue(kind.name);
    job.set_service(kService);
    job.set_accepted_ms(wall_.time_since_epoch().count());
    wire::step_definition* step = job.add_steps();
    step->set_count(large ? kind.tasks * 3 : kind.tasks);
    step->set_cpu_milli(kind.cpu_milli);
    step->set_memory_mb(1);
    step->set_gang(kind.gang);
    step->set_estimate_ms(static_cast<std::uint32_t>(kind.run_time.count()));
    std::string id = fmt::format("{:016x}", ++submitted_);
    played_job played;
    played.classes = {kind.name};
    if (large) played.classes.push_back("largest");
    played.submitted = now_;
    played.run_factor =
        std::exp(std::normal_distribution<double>(0, kRuntimeSigma)(random_));
    pool::admission_request request =
        pool::request_of(id, job, real_.at(kind.name));
    played.objective = request.objective;
    for (const std::string& each : played.classes) ++tallies_[each].submitted;
    if (order_ == order::refuse) {
      pool::admission_verdict verdict =
          pool::judge(state_.admission, request, now_, wall_);
      pool::record_verdict(&state_.admission, request, verdict, now_, wall_);
      if (!verdict.accepted) {
        for (const std::string& each : played.classes) ++tallies_[each].refused;
        return;
      }
    }
    jobs::entry entry;
    entry.submission = std::make_shared<wire::job_submission>(job);
    pool::add_job(&state_, id, entry, now_);
    played_[id] = std::move(played);
  }

  void end_tasks() {
    for (auto& each : workers_) {
      if (each.second.gone) continue;
      std::vector<pool::reported_end> ended;
      auto& ends = each.second.ends;
      while (!ends.empty() && ends.begin()->first <= now_) {
        const pool::start_order& order = ends.begin()->second;
        each.second.runs.erase({order.task, order.run});
        ended.push_back({++each.second.ended,
                         order.task,
                         order.run,
                         pool::end_kind::done,
                         {}});
        ends.erase(ends.begin());
      }
      if (!ended.empty() || ++polls_ % 10 == 0) {
        report_worker(each.first, std::move(ended));
      }
    }
  }

  // Workers that are gone go on with their runs and report nothing.
  void change_workers(milliseconds at) {
    bool during = at >= load_.begin && at < load_.end;
    std::size_t gone =
        during ? static_cast<std::size_t>(load_.gone * kWorkers) : 0;
    std::size_t number = 0;
    for (auto& each : workers_) each.second.gone = number++ < gone;
  }

  void count_events() {
    for (const pool::job_event& each : std::exchange(state_.job_events, {})) {
      auto found = played_.find(each.job);
      if (found == played_.end() || !each.since_accepted) continue;
      if (each.kind == pool::job_event_kind::placed) {
        pool::observe_first_start(&state_.admission, each.job,
                                  *each.since_accepted);
        for (const std::string& name : found->second.classes) {
          ++tallies_[name].started;
          tallies_[name].waited_ms +=
              static_cast<double>(each.since_accepted->count());
        }
      } else if (each.kind == pool::job_event_kind::job_ended) {
        pool::forget_prediction(&state_.admission, each.job);
        count_end(found->second);
        played_.erase(found);
      }
    }
  }

  void count_end(const played_job& job) {
    double taken = std::chrono::duration<double>(now_ - job.submitted) /
                   std::chrono::duration<double>(job.objective);
    for (const std::string& name : job.classes) {
      tally& counted = tallies_[name];
      if (taken <= 1) {
        ++counted.in_time;
        ++counted.worth;
      } else if (taken <= kValueEndFactor) {
        ++counted.late;
        counted.worth += (kValueEndFactor - taken) / (kValueEndFactor - 1);
      }
    }
  }

  void step(milliseconds at) {
    now_ += kStepInterval;
    wall_ += kStepInterval;
    change_workers(at);
    if (at < kLoadTime) {
      bool during = at >= load_.begin && at < load_.end;
      for (std::size_t i = 0; i < classes().size(); ++i) {
        double rate = classes()[i].per_second * (during ? load_.factors[i] : 1);
        std::poisson_distribution<int> arrivals(
            rate * std::chrono::duration<double>(kStepInterval).count());
        for (int n = arrivals(random_); n > 0; --n) submit(classes()[i]);
      }
    }
    end_tasks();
    pool::decisions made = pool::decide(&state_, now_, wall_);
    pool::journal_batch batch = pool::take_batch(&state_, now_);
    pool::observe_journal_write(&state_, now_);
    for (const pool::start_order& start :
         pool::observe_batch_written(&state_, batch, now_)) {
      run(start);
    }
    count_events();
  }

  void run(const pool::start_order& start) {
    simulated_worker& worker = workers_[start.worker];
    if (worker.gone) return;
    auto job = played_.find(start.task.job);
    double factor = job == played_.end() ? 1 : job->second.run_factor;
    milliseconds taken(static_cast<std::int64_t>(
        factor *
        start.job->steps(static_cast<int>(start.task.step)).estimate_ms()));
    worker.ends.emplace(now_ + taken, start);
    worker.runs[{start.task, start.run}] = {start.task, start.run, {}, 0};
    pool::observe_start(&state_, start, pool::start_outcome::running, now_);
  }

  load load_;
  order order_;
  std::mt19937 random_;
  pool::pool_state state_;
  std::unordered_map<std::string, pool::queue_policy> real_;
  std::map<std::string, simulated_worker> workers_;
  std::map<std::string, played_job> played_;
  std::map<std::string, tally> tallies_;
  steady_time now_ = steady_time(std::chrono::hours(1));
  pool::unix_time wall_ = pool::unix_time(milliseconds(1'800'000'000'000));
  std::uint64_t submitted_ = 0;
  std::uint64_t polls_ = 0;
};

void print(const std::string& prefix, const tally& all) {
  double submitted = std::max(1.0, all.submitted);
  bench::print_figure(prefix + ".wait",
                      all.waited_ms / std::max(1.0, all.started), "ms");
  bench::print_figure(prefix + ".in_time", all.in_time / submitted, "share");
  bench::print_figure(prefix + ".late", all.late / submitted, "share");
  bench::print_figure(
      prefix + ".unserved",
      (submitted - all.in_time - all.late - all.refused) / submitted, "share");
  bench::print_figure(prefix + ".refused", all.refused / submitted, "share");
  bench::print_figure(prefix + ".worth", all.worth / submitted, "mean");
}

}  // namespace

int main(int argc, char** argv) {
  std::uint32_t seeds =
      argc > 1 ? static_cast<std::uint32_t>(std::stoul(argv[1])) : 2;
  const std::vector<load> loads = {
      {"usual", {1, 1, 1}},
      {"burst", {2.1, 1, 2.3}},
      {"flood", {1, 3, 6}},
      {"gone", {1, 1, 1}, milliseconds(20000), milliseconds(50000), 0.8},
  };
  const std::vector<std::pair<order, std::string>> orders = {
      {order::fcfs, "fcfs"},
      {order::value, "value"},
      {order::refuse, "refuse"}};
  for (const load& each : loads) {
    for (const std::pair<order, std::string>& how : orders) {
      std::map<std::string, tally> sum;
      for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        played_pool played(each, how.first, seed);
        for (const auto& [name, one] : played.play()) {
          for (const std::string& to : {name, std::string("all")}) {
            if (to == "all" && name == "largest") continue;
            tally& total = sum[to];
            total.submitted += one.submitted;
            total.started += one.started;
            total.in_time += one.in_time;
            total.late += one.late;
            total.refused += one.refused;
            total.waited_ms += one.waited_ms;
            total.worth += one.worth;
          }
        }
      }
      for (const auto& [name, total] : sum) {
        print(fmt::format("admission.{}.{}.{}", each.name, how.second, name),
              total);
      }
    }
  }
  return EXIT_SUCCESS;
}
