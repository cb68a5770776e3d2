// Cost of the pool owner's decisions as the pool grows, under a simulated
// clock: jobs arrive, ask for advice, are placed and end, without any I/O.
//
//   pool_bench [WORKERS...]      default: 48 350 2000
//
// Two loads each: `busy` asks for 85% of the processor time there is, `over`
// for 130%, so that most steps wait. Prints the processor time of the owner's
// functions a started task, and how many steps wait at the end.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bench/figure.h"
#include "pool/pool.h"

namespace {

namespace bench = ebonygrade::bench;
namespace jobs = ebonygrade::jobs;
namespace pool = ebonygrade::pool;
namespace wire = ebonygrade::wire;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

constexpr milliseconds kStep{20};
constexpr milliseconds kWarmUp{4000};
constexpr milliseconds kMeasured{4000};
constexpr std::int64_t kWorkerCpu = 16000;
constexpr std::int64_t kTaskCpu = 2500;
constexpr std::uint32_t kTasksPerJob = 3;
constexpr milliseconds kTaskTime{1000};
constexpr int kAllowedPercent = 70;
constexpr milliseconds kTicketTime{2500};
constexpr char kService[] = "service-a";
constexpr char kQueue[] = "queue-a";

class load {
 public:
  load(std::size_t workers, double asked) : asked_(asked) {
    pool::queue_policy policy;
    policy.service = kService;
    policy.attempts = 3;
    policy.stretch = 2;
    policy.target = milliseconds(500);
    policy.needs_advice = true;
    policy.advice_fixed = milliseconds(7);
    policy.advice_ms_per_worker = 0.1;
    policy.advice_validity = kTicketTime;
    pool::set_queues(&state_, {{kQueue, policy}});
    for (std::size_t i = 0; i < workers; ++i) add_worker(i);
  }

  void play(milliseconds time) {
    for (milliseconds at{0}; at < time; at += kStep) step();
  }

  double seconds() const { return seconds_; }
  std::uint64_t starts() const { return state_.counters.starts; }
  std::size_t waiting() const { return state_.waiting_steps.size(); }

 private:
  struct simulated {
    std::map<steady_time, std::vector<pool::start_order>> ends;
    std::map<std::pair<pool::task_key, std::uint32_t>, pool::reported_run> runs;
    std::uint64_t ended = 0;
  };

  // Adds the processor time of `work` to the owner's.
  template <typename Work>
  void measured(Work work) {
    timespec begin;
    timespec end;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    work();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    constexpr double kNanoseconds = 1e-9;
    seconds_ += static_cast<double>(end.tv_sec - begin.tv_sec) +
                kNanoseconds * static_cast<double>(end.tv_nsec - begin.tv_nsec);
  }

  void add_worker(std::size_t number) {
    pool::worker_entry entry;
    entry.id = "worker-" + std::to_string(number);
    entry.service = kService;
    entry.capacity = {kWorkerCpu, 65536, 0};
    entry.incarnation_ms = 1;
    pool::observe_worker_entry(&state_, entry, now_);
    workers_[entry.id];
    hold(entry.id, {});
  }

  void hold(const std::string& id, std::vector<pool::reported_end> ended) {
    pool::worker_report report;
    report.clock = milliseconds(now_.time_since_epoch() / milliseconds(1));
    report.incarnation_ms = 1;
    report.ended = std::move(ended);
    for (const auto& each : workers_[id].runs) {
      report.running.push_back(each.second);
    }
    measured([&] {
      pool::observe_worker_report(&state_, id, report, now_ - milliseconds(1),
                                  now_, wall_);
    });
  }

  void submit() {
    wire::job_submission job;
    job.set_queue(kQueue);
    job.set_service(kService);
    job.set_accepted_ms(wall_.time_since_epoch().count());
    wire::step_definition* step = job.add_steps();
    step->set_count(kTasksPerJob);
    step->set_cpu_milli(kTaskCpu);
    step->set_memory_mb(1000);
    step->set_estimate_ms(kTaskTime.count());
    jobs::entry entry;
    entry.submission = std::make_shared<wire::job_submission>(job);
    std::string id = fmt::format("{:016x}", ++submitted_);
    measured([&] { pool::add_job(&state_, id, entry, now_); });
  }

  void end_tasks() {
    for (auto& each : workers_) {
      std::vector<pool::reported_end> rows;
      auto& ends = each.second.ends;
      while (!ends.empty() && ends.begin()->first <= now_) {
        for (const pool::start_order& order : ends.begin()->second) {
          each.second.runs.erase({order.task, order.run});
          rows.push_back({++each.second.ended,
                          order.task,
                          order.run,
                          pool::end_kind::done,
                          {}});
        }
        ends.erase(ends.begin());
      }
      bool poll_over = ++polls_ % 50 == 0;
      if (!rows.empty() || poll_over) hold(each.first, std::move(rows));
    }
  }

  void answer_advice() {
    for (const pool::advice_request& order : std::exchange(questions_, {})) {
      std::vector<pool::ticket> granted;
      for (const std::string& worker : order.workers) {
        std::size_t draw = std::hash<std::string>()(order.job + worker) % 100;
        if (draw < kAllowedPercent) granted.push_back({worker, "ticket"});
      }
      measured([&] {
        pool::observe_advice(&state_, order, true, granted, now_ + kTicketTime,
                             now_);
      });
    }
  }

  void step() {
    now_ += kStep;
    wall_ += kStep;
    double cores = asked_ * static_cast<double>(workers_.size()) *
                   static_cast<double>(kWorkerCpu);
    owed_ += cores / static_cast<double>(kTaskCpu * kTasksPerJob) *
             static_cast<double>(kStep.count()) /
             static_cast<double>(kTaskTime.count());
    for (; owed_ >= 1; owed_ -= 1) submit();
    end_tasks();
    answer_advice();
    pool::decisions made;
    std::vector<pool::start_order> starts;
    measured([&] {
      made = pool::decide(&state_, now_, wall_);
      pool::journal_batch batch = pool::take_batch(&state_, wall_);
      starts = pool::observe_batch_written(&state_, batch, now_);
      state_.job_events.clear();
    });
    questions_ = std::move(made.advice);
    for (const pool::start_order& order : starts) {
      simulated& at = workers_[order.worker];
      at.ends[now_ + kTaskTime].push_back(order);
      at.runs[{order.task, order.run}] = {order.task, order.run, {}, 0};
      measured([&] {
        pool::observe_start(&state_, order, pool::start_outcome::running, now_);
      });
    }
  }

  double asked_;
  pool::pool_state state_;
  std::map<std::string, simulated> workers_;
  std::vector<pool::advice_request> questions_;
  steady_time now_ = steady_time(std::chrono::hours(1));
  pool::unix_time wall_ = pool::unix_time(milliseconds(1'800'000'000'000));
  std::uint64_t submitted_ = 0;
  std::uint64_t polls_ = 0;
  double owed_ = 0;
  double seconds_ = 0;
};

void measure(std::size_t workers, const std::string& name, double asked) {
  load load(workers, asked);
  load.play(kWarmUp);
  double seconds = load.seconds();
  std::uint64_t starts = load.starts();
  load.play(kMeasured);
  constexpr double kMicroseconds = 1e6;
  std::string prefix = fmt::format("pool.{}.{}", workers, name);
  bench::print_figure(prefix + ".per_start",
                      kMicroseconds * (load.seconds() - seconds) /
                          static_cast<double>(load.starts() - starts),
                      "us");
  bench::print_figure(prefix + ".waiting", static_cast<double>(load.waiting()),
                      "steps");
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::stoul(argv[i]));
  if (sizes.empty()) sizes = {48, 350, 2000};
  for (std::size_t workers : sizes) {
    measure(workers, "busy", 0.85);
    measure(workers, "over", 1.3);
  }
  return EXIT_SUCCESS;
}
