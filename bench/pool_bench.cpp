// Cost of the pool owner's scheduling rounds for pools of different sizes,
// under a simulated clock: jobs arrive, get advice, are placed and end, without
// I/O.
//
//   pool_bench [WORKERS...]      default: 48 350 2000
//
// Each size runs under two loads: `busy` requests 85% of the CPU capacity,
// `over` 130%, so that most steps wait. Prints the CPU time of the owner's
// functions per started task, and how many steps wait at the end.
//
// Then the CPU time of a round in which many steps wait in a full pool, without
// tenants and with 20 and 1,000, whose weighted shares decide the order.
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
#include "pool/manifest.h"
#include "pool/pool.h"

namespace {

namespace bench = ebonygrade::bench;
namespace jobs = ebonygrade::jobs;
namespace pool = ebonygrade::pool;
namespace wire = ebonygrade::wire;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

constexpr milliseconds kStepInterval{20};
constexpr milliseconds kWarmUpTime{4000};
constexpr milliseconds kMeasuredTime{4000};
constexpr std::int64_t kWorkerMillicores = 16000;
constexpr std::int64_t kTaskMillicores = 2500;
constexpr std::uint32_t kTasksPerJob = 3;
constexpr milliseconds kTaskRuntime{1000};
constexpr int kGrantedPercent = 70;
constexpr milliseconds kTicketValidity{2500};
constexpr char kService[] = "service-a";
constexpr char kQueue[] = "queue-a";

// CPU time of `work` in seconds.
template <typename Work>
double cpu_time_of(Work work) {
  timespec begin;
  timespec end;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
  work();
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
  constexpr double kSecondsPerNanosecond = 1e-9;
  return static_cast<double>(end.tv_sec - begin.tv_sec) +
         kSecondsPerNanosecond *
             static_cast<double>(end.tv_nsec - begin.tv_nsec);
}

class pool_load {
 public:
  pool_load(std::size_t workers, double load_factor)
      : load_factor_(load_factor) {
    pool::queue_policy policy;
    policy.service = kService;
    policy.attempts = 3;
    policy.stretch = 2;
    policy.target = milliseconds(500);
    policy.needs_advice = true;
    policy.advice_fixed = milliseconds(7);
    policy.advice_ms_per_worker = 0.1;
    policy.advice_validity = kTicketValidity;
    pool::set_queues(&state_, {{kQueue, policy}});
    for (std::size_t i = 0; i < workers; ++i) add_worker(i);
  }

  void run(milliseconds time) {
    for (milliseconds at{0}; at < time; at += kStepInterval) step();
  }

  double cpu_seconds() const { return cpu_seconds_; }
  std::uint64_t starts() const { return state_.counters.starts; }
  std::size_t waiting() const { return state_.waiting_steps.size(); }

 private:
  struct simulated_worker {
    std::map<steady_time, std::vector<pool::start_order>> ends;
    std::map<std::pair<pool::task_key, std::uint32_t>, pool::reported_run> runs;
    std::uint64_t ended = 0;
  };

  // Runs `work` and adds its CPU time to the owner's.
  template <typename Work>
  void measure_cpu_time(Work work) {
    cpu_seconds_ += cpu_time_of(std::move(work));
  }

  void add_worker(std::size_t number) {
    pool::worker_entry entry;
    entry.id = "worker-" + std::to_string(number);
    entry.service = kService;
    entry.capacity = {kWorkerMillicores, 65536, 0};
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
    measure_cpu_time([&] {
      pool::observe_worker_report(&state_, id, report,
                                  pool::fencing_token(state_, id),
                                  now_ - milliseconds(1), now_, wall_);
    });
  }

  void submit() {
    wire::job_submission job;
    job.set_queue(kQueue);
    job.set_service(kService);
    job.set_accepted_ms(wall_.time_since_epoch().count());
    wire::step_definition* step = job.add_steps();
    step->set_count(kTasksPerJob);
    step->set_cpu_milli(kTaskMillicores);
    step->set_memory_mb(1000);
    step->set_estimate_ms(kTaskRuntime.count());
    jobs::entry entry;
    entry.submission = std::make_shared<wire::job_submission>(job);
    std::string id = fmt::format("{:016x}", ++submitted_);
    measure_cpu_time([&] { pool::add_job(&state_, id, entry, now_); });
  }

  void end_tasks() {
    for (auto& each : workers_) {
      std::vector<pool::reported_end> reported_ends;
      auto& ends = each.second.ends;
      while (!ends.empty() && ends.begin()->first <= now_) {
        for (const pool::start_order& order : ends.begin()->second) {
          each.second.runs.erase({order.task, order.run});
          reported_ends.push_back({++each.second.ended,
                                   order.task,
                                   order.run,
                                   pool::end_kind::done,
                                   {}});
        }
        ends.erase(ends.begin());
      }
      bool poll_expired = ++polls_ % 50 == 0;
      if (!reported_ends.empty() || poll_expired) {
        report_worker(each.first, std::move(reported_ends));
      }
    }
  }

  void reply_to_advice() {
    for (const pool::advice_request& order :
         std::exchange(advice_requests_, {})) {
      std::vector<pool::ticket> granted;
      for (const std::string& worker : order.workers) {
        std::size_t draw = std::hash<std::string>()(order.job + worker) % 100;
        if (draw < kGrantedPercent) granted.push_back({worker, "ticket"});
      }
      measure_cpu_time([&] {
        pool::observe_advice(&state_, order, true, granted,
                             now_ + kTicketValidity, now_);
      });
    }
  }

  void step() {
    now_ += kStepInterval;
    wall_ += kStepInterval;
    double millicores = load_factor_ * static_cast<double>(workers_.size()) *
                        static_cast<double>(kWorkerMillicores);
    due_jobs_ += millicores /
                 static_cast<double>(kTaskMillicores * kTasksPerJob) *
                 static_cast<double>(kStepInterval.count()) /
                 static_cast<double>(kTaskRuntime.count());
    for (; due_jobs_ >= 1; due_jobs_ -= 1) submit();
    end_tasks();
    reply_to_advice();
    pool::decisions made;
    std::vector<pool::start_order> starts;
    measure_cpu_time([&] {
      made = pool::decide(&state_, now_, wall_);
      pool::journal_batch batch = pool::take_batch(&state_, now_);
      pool::observe_journal_write(&state_, now_);
      starts = pool::observe_batch_written(&state_, batch, now_);
      state_.job_events.clear();
    });
    advice_requests_ = std::move(made.advice);
    for (const pool::start_order& order : starts) {
      simulated_worker& worker = workers_[order.worker];
      worker.ends[now_ + kTaskRuntime].push_back(order);
      worker.runs[{order.task, order.run}] = {order.task, order.run, {}, 0};
      measure_cpu_time([&] {
        pool::observe_start(&state_, order, pool::start_outcome::running, now_);
      });
    }
  }

  double load_factor_;
  pool::pool_state state_;
  std::map<std::string, simulated_worker> workers_;
  std::vector<pool::advice_request> advice_requests_;
  steady_time now_ = steady_time(std::chrono::hours(1));
  pool::unix_time wall_ = pool::unix_time(milliseconds(1'800'000'000'000));
  std::uint64_t submitted_ = 0;
  std::uint64_t polls_ = 0;
  double due_jobs_ = 0;
  double cpu_seconds_ = 0;
};

void measure(std::size_t workers, const std::string& name, double load_factor) {
  pool_load load(workers, load_factor);
  load.run(kWarmUpTime);
  double seconds_before = load.cpu_seconds();
  std::uint64_t starts_before = load.starts();
  load.run(kMeasuredTime);
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::string prefix = fmt::format("pool.{}.{}", workers, name);
  bench::print_figure(prefix + ".per_start",
                      kMicrosecondsPerSecond *
                          (load.cpu_seconds() - seconds_before) /
                          static_cast<double>(load.starts() - starts_before),
                      "us");
  bench::print_figure(prefix + ".waiting", static_cast<double>(load.waiting()),
                      "steps");
}

// Returns the microseconds of a round in a full pool of 350 workers in which
// `steps` single tasks wait.
double measure_order(std::size_t steps, std::size_t tenants) {
  constexpr std::size_t kWorkers = 350;
  constexpr int kRounds = 50;
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr steady_time kNow{std::chrono::hours(1)};
  constexpr pool::unix_time kWall{milliseconds(1'800'000'000'000)};
  pool::pool_state state;
  pool::queue_policy policy;
  policy.service = kService;
  policy.stretch = 2;
  policy.target = milliseconds(60000);
  pool::set_queues(&state, {{kQueue, policy}});
  std::vector<pool::tenant> rows;
  for (std::size_t i = 0; i < tenants; ++i) {
    rows.push_back({fmt::format("tenant-{}", i),
                    {},
                    0,
                    1 + static_cast<double>(i % 7),
                    {1'000'000, 0, 0}});
  }
  pool::set_tenants(&state, rows, 0.1);
  pool::observe_journal_write(&state, kNow);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    pool::worker_entry entry;
    entry.id = "worker-" + std::to_string(i);
    entry.service = kService;
    entry.capacity = {kTaskMillicores, 65536, 0};
    entry.incarnation_ms = 1;
    pool::observe_worker_entry(&state, entry, kNow);
    pool::worker_report report;
    report.incarnation_ms = 1;
    pool::observe_worker_report(&state, entry.id, report,
                                pool::fencing_token(state, entry.id), kNow,
                                kNow, kWall);
  }
  for (std::size_t i = 0; i < kWorkers + steps; ++i) {
    wire::job_submission job;
    job.set_queue(kQueue);
    job.set_service(kService);
    if (tenants > 0) job.set_tenant(rows[i * 7 % tenants].name);
    job.set_accepted_ms(kWall.time_since_epoch().count() +
                        static_cast<std::int64_t>(i));
    wire::step_definition* step = job.add_steps();
    step->set_count(1);
    step->set_cpu_milli(kTaskMillicores);
    step->set_memory_mb(1000);
    step->set_estimate_ms(kTaskRuntime.count());
    jobs::entry entry;
    entry.submission = std::make_shared<wire::job_submission>(job);
    pool::add_job(&state, fmt::format("{:016x}", i), entry, kNow);
  }
  pool::decide(&state, kNow, kWall);
  double seconds = cpu_time_of([&] {
    for (int i = 0; i < kRounds; ++i) pool::decide(&state, kNow, kWall);
  });
  return kMicrosecondsPerSecond * seconds / kRounds;
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
  // The first pool of a size isn't shown: it alone finds unused memory, in
  // which its jobs lie in their order.
  for (std::size_t steps : {1000, 4000}) {
    measure_order(steps, 0);
    for (std::size_t tenants : {0, 20, 1000}) {
      bench::print_figure(fmt::format("pool.order.{}.{}.round", steps, tenants),
                          measure_order(steps, tenants), "us");
    }
  }
  return EXIT_SUCCESS;
}
