// Compares rules for waiting for a place near the data: the same seeded loads
// go through the pool's decide() under a simulated clock, without I/O.
//
//   near_wait_bench [SEEDS [FILTER]]    default: 3 seeds, everything
//
// Loads are `light`, `half` and `full` (35%, 60% and 85% of the CPU if every
// run were near), with `right` and with `wrong` estimates. Prints for each rule
// the mean and the 95th percentile of the job times, the share of jobs that end
// within their objective, the share of near runs,
// the mean wait per run that has a near rack, and the owner's CPU time.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>
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

constexpr milliseconds kStepInterval{20};
constexpr milliseconds kPollInterval{1000};
// Jobs count that are accepted between these times.
constexpr milliseconds kMeasuredFrom{8000};
constexpr milliseconds kMeasuredUntil{38000};
constexpr milliseconds kLongestRun{120000};
constexpr std::size_t kRacks = 12;
constexpr std::size_t kWorkersPerRack = 8;
constexpr std::size_t kZones = 3;
constexpr std::int64_t kWorkerMillicores = 32000;
constexpr double kFarFactor = 2;
constexpr char kService[] = "service-a";

// A kind of jobs, after those of the deployments of the plan.
struct job_kind {
  const char* queue;
  std::uint32_t priority;
  std::uint32_t tasks;
  std::uint32_t millicores;
  std::uint32_t estimate_ms;
  bool gang;  // On one rack; others have their data on one.
  double stretch;
  std::uint32_t target_ms;
  double cpu_share;  // Of the load.
};
constexpr job_kind kKinds[] = {
    {"urgent", 0, 3, 5000, 1000, false, 1.5, 400, 0.25},
    {"gangs", 1, 8, 9000, 6200, true, 2.2, 1200, 0.3},
    {"sets", 2, 25, 3500, 3400, false, 4, 3000, 0.45},
};

pool::near_decision wait_fixed(const pool::near_options& options) {
  bool waits = options.has_near_workers && options.waited < options.longest;
  return {waits, pool::near_reason::bound,
          options.now + options.longest - options.waited};
}

// Accepts a place in the near rack's zone after half of the delay.
pool::near_decision wait_by_level(const pool::near_options& options) {
  pool::near_options level = options;
  if (options.far_in_near_zone) level.longest = options.longest / 2;
  return wait_fixed(level);
}

// Up to what the far place costs, without regard to any forecast.
pool::near_decision wait_far_cost(const pool::near_options& options) {
  pool::near_options capped = options;
  capped.longest = pool::wait_bound(options);
  return wait_fixed(capped);
}

// Begins by forecast and then waits up to the bound, even if the forecast has
// passed or becomes worse.
pool::near_decision forecast_then_stay(const pool::near_options& options) {
  return options.promised ? wait_far_cost(options)
                          : pool::choose_place(options);
}

struct rule {
  const char* name;
  milliseconds longest;
  pool::near_rule decide;
};
constexpr rule kRules[] = {
    {"none", milliseconds(0), pool::choose_place},
    {"fixed_500ms", milliseconds(500), wait_fixed},
    {"fixed_1s", milliseconds(1000), wait_fixed},
    {"fixed_2s", milliseconds(2000), wait_fixed},
    {"level_1s", milliseconds(1000), wait_by_level},
    {"level_2s", milliseconds(2000), wait_by_level},
    {"far_cost", milliseconds(2000), wait_far_cost},
    {"forecast", milliseconds(2000), pool::choose_place},
    {"forecast_stay", milliseconds(2000), forecast_then_stay},
};

struct outcome {
  std::vector<double> job_ms;
  std::size_t in_time = 0;
  std::uint64_t near_runs = 0;
  std::uint64_t far_runs = 0;
  std::uint64_t waits = 0;
  std::uint64_t waits_ended_far = 0;
  double waited_ms = 0;
  double owner_seconds = 0;
  std::size_t unfinished = 0;
};

class simulation {
 public:
  // `wrong`: run times differ from the estimates by a factor of 2 or so.
  simulation(const rule& rule, double load, bool wrong, std::uint64_t seed)
      : load_(load), wrong_(wrong), seed_(seed), arrivals_(seed) {
    pool_.near.settings = {rule.longest, kFarFactor, milliseconds(0),
                           rule.decide};
    std::unordered_map<std::string, pool::queue_policy> queues;
    for (const job_kind& each : kKinds) {
      pool::queue_policy policy;
      policy.service = kService;
      policy.priority = each.priority;
      policy.attempts = 3;
      policy.stretch = each.stretch;
      policy.target = milliseconds(each.target_ms);
      queues[each.queue] = policy;
    }
    pool::set_queues(&pool_, std::move(queues));
    pool::continue_pool_time(&pool_, milliseconds(0), now_);
    pool::observe_journal_write(&pool_, now_);
    for (std::size_t i = 0; i < kRacks * kWorkersPerRack; ++i) add_worker(i);
  }

  outcome run() {
    milliseconds at{0};
    while (at < kMeasuredUntil) {
      submit_due(at);
      step();
      at += kStepInterval;
    }
    for (; open_ > 0 && at < kLongestRun; at += kStepInterval) step();
    const pool::near_wait_counters& counters = pool_.near.counters;
    result_.near_runs = counters.near_runs;
    result_.far_runs = counters.far_runs;
    result_.waits = counters.waits;
    result_.waits_ended_far = counters.waits_ended_far;
    result_.waited_ms = static_cast<double>(counters.waited.count());
    result_.unfinished = open_;
    return std::move(result_);
  }

 private:
  struct measured_job {
    steady_time accepted;
    milliseconds objective;
  };
  struct simulated_run {
    pool::start_order order;
    steady_time begun;
    steady_time ends;
  };
  struct simulated_worker {
    std::string rack;
    double pace = 1;  // Run time relative to other workers.
    std::uint64_t ended = 0;
    steady_time polled;
    std::vector<simulated_run> runs;
  };

  static std::string rack_name(std::size_t rack) {
    return "rack-" + std::to_string(rack);
  }

  // A number in [0, 1) that depends on the key and the seed only, so that all
  // rules meet the same run times.
  double draw(const std::string& key) const {
    std::mt19937_64 random(std::hash<std::string>()(key) ^ seed_);
    return std::uniform_real_distribution<double>()(random);
  }

  void add_worker(std::size_t number) {
    pool::worker_entry entry;
    entry.id = "worker-" + std::to_string(number);
    std::size_t rack = number / kWorkersPerRack;
    entry.rack = rack_name(rack);
    entry.zone = "zone-" + std::to_string(rack % kZones);
    entry.service = kService;
    entry.capacity = {kWorkerMillicores, 65536, 0};
    entry.incarnation_ms = 1;
    pool::observe_worker_entry(&pool_, entry, now_);
    simulated_worker& worker = workers_[entry.id];
    worker.rack = entry.rack;
    constexpr double kSlowShare = 0.1;
    worker.pace =
        draw(entry.id) < kSlowShare ? 2 : 0.8 + 0.4 * draw(entry.id + "/pace");
    report(entry.id, {});
  }

  // The first racks have the data of more jobs than the last ones.
  std::string draw_rack() {
    double total = 0;
    for (std::size_t i = 0; i < kRacks; ++i) total += popularity(i);
    double at = std::uniform_real_distribution<double>(0, total)(arrivals_);
    for (std::size_t i = 0; i < kRacks; ++i) {
      at -= popularity(i);
      if (at < 0) return rack_name(i);
    }
    return rack_name(0);
  }
  static double popularity(std::size_t rack) {
    constexpr double kSkew = 0.15;
    return 1 / (1 + kSkew * static_cast<double>(rack));
  }

  void submit_due(milliseconds at) {
    for (const job_kind& kind : kKinds) {
      double work =
          static_cast<double>(kind.tasks) * kind.millicores * kind.estimate_ms;
      double rate = load_ * kind.cpu_share * kWorkerMillicores *
                    static_cast<double>(kRacks * kWorkersPerRack) / work;
      std::poisson_distribution<int> due(
          rate * static_cast<double>(kStepInterval.count()));
      for (int i = due(arrivals_); i > 0; --i) submit(kind, at);
    }
  }

  void submit(const job_kind& kind, milliseconds at) {
    wire::job_submission job;
    job.set_queue(kind.queue);
    job.set_service(kService);
    job.set_accepted_ms(wall_.time_since_epoch().count());
    wire::step_definition* step = job.add_steps();
    step->set_count(kind.tasks);
    step->set_cpu_milli(kind.millicores);
    step->set_memory_mb(100);
    step->set_estimate_ms(kind.estimate_ms);
    step->set_gang(kind.gang);
    step->set_same_rack(kind.gang);
    if (!kind.gang) step->set_data_rack(draw_rack());
    jobs::entry entry;
    entry.submission = std::make_shared<wire::job_submission>(job);
    std::string id = fmt::format("{:016x}", ++submitted_);
    if (at >= kMeasuredFrom) {
      milliseconds path(kind.estimate_ms);
      measured_[id] = {
          now_, std::chrono::duration_cast<milliseconds>(path * kind.stretch) +
                    milliseconds(kind.target_ms)};
      ++open_;
    }
    pool::add_job(&pool_, id, entry, now_);
  }

  // Run time of one task near its data on an average worker.
  double true_ms(const pool::start_order& order) const {
    const wire::step_definition& step =
        order.job->steps(static_cast<int>(order.task.step));
    std::string key = order.task.job + "/" + std::to_string(order.task.index);
    double factor = 0.9 + 0.2 * draw(key);
    // Half of the estimates are too high, half too low, for whole jobs.
    if (wrong_) factor *= std::exp2(3 * draw(order.task.job) - 1.5);
    return factor * step.estimate_ms();
  }

  void start(const std::vector<pool::start_order>& starts) {
    std::map<std::string, std::vector<const pool::start_order*>> gangs;
    for (const pool::start_order& each : starts) {
      const wire::step_definition& step = each.job->steps(0);
      if (step.gang()) {
        gangs[each.task.job].push_back(&each);
        continue;
      }
      const simulated_worker& worker = workers_.at(each.worker);
      bool far = step.data_rack() != worker.rack;
      begin(each, true_ms(each) * worker.pace * (far ? kFarFactor : 1));
    }
    for (const auto& gang : gangs) {
      double longest = 0;
      bool far = false;
      const std::string& rack = workers_.at(gang.second.front()->worker).rack;
      for (const pool::start_order* each : gang.second) {
        const simulated_worker& worker = workers_.at(each->worker);
        far |= worker.rack != rack;
        longest = std::max(longest, true_ms(*each) * worker.pace);
      }
      for (const pool::start_order* each : gang.second) {
        begin(*each, longest * (far ? kFarFactor : 1));
      }
    }
  }

  void begin(const pool::start_order& order, double run_ms) {
    workers_.at(order.worker)
        .runs.push_back(
            {order, now_, now_ + milliseconds(std::llround(run_ms))});
    pool::observe_start(&pool_, order, pool::start_outcome::running, now_);
  }

  void report(const std::string& id, std::vector<pool::reported_end> ended) {
    pool::worker_report report;
    report.clock = milliseconds(now_.time_since_epoch() / milliseconds(1));
    report.incarnation_ms = 1;
    report.ended = std::move(ended);
    for (const simulated_run& each : workers_.at(id).runs) {
      constexpr double kFullProgress = 100;
      std::chrono::duration<double> total = each.ends - each.begun;
      double percent = (now_ - each.begun) / total * kFullProgress;
      report.running.push_back({each.order.task,
                                each.order.run,
                                {},
                                static_cast<std::uint32_t>(percent)});
    }
    pool::observe_worker_report(&pool_, id, report,
                                pool::fencing_token(pool_, id),
                                now_ - milliseconds(1), now_, wall_);
  }

  void report_all() {
    for (auto& each : workers_) {
      simulated_worker& worker = each.second;
      std::vector<pool::reported_end> ended;
      std::erase_if(worker.runs, [&](const simulated_run& run) {
        if (run.ends > now_) return false;
        ended.push_back({++worker.ended,
                         run.order.task,
                         run.order.run,
                         pool::end_kind::done,
                         {}});
        return true;
      });
      if (ended.empty() && now_ - worker.polled < kPollInterval) continue;
      worker.polled = now_;
      report(each.first, std::move(ended));
    }
  }

  void step() {
    now_ += kStepInterval;
    wall_ += kStepInterval;
    report_all();
    timespec begin;
    timespec end;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    pool::decide(&pool_, now_, wall_);
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    constexpr double kSecondsPerNanosecond = 1e-9;
    result_.owner_seconds +=
        static_cast<double>(end.tv_sec - begin.tv_sec) +
        kSecondsPerNanosecond *
            static_cast<double>(end.tv_nsec - begin.tv_nsec);
    pool::journal_batch batch = pool::take_batch(&pool_, now_);
    pool::observe_journal_write(&pool_, now_);
    start(pool::observe_batch_written(&pool_, batch, now_));
    for (const pool::job_event& each : std::exchange(pool_.job_events, {})) {
      if (each.kind != pool::job_event_kind::job_ended) continue;
      auto found = measured_.find(each.job);
      if (found == measured_.end()) continue;
      --open_;
      std::chrono::duration<double, std::milli> taken =
          now_ - found->second.accepted;
      result_.job_ms.push_back(taken.count());
      if (taken <= found->second.objective) ++result_.in_time;
    }
  }

  double load_;
  bool wrong_;
  std::uint64_t seed_;
  std::mt19937_64 arrivals_;
  pool::pool_state pool_;
  std::map<std::string, simulated_worker> workers_;
  std::map<std::string, measured_job> measured_;
  steady_time now_ = steady_time(std::chrono::hours(1));
  pool::unix_time wall_ = pool::unix_time(milliseconds(1'800'000'000'000));
  std::uint64_t submitted_ = 0;
  std::size_t open_ = 0;
  outcome result_;
};

void measure(const std::string& name, const rule& rule, double load, bool wrong,
             std::uint64_t seeds) {
  outcome all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    outcome one = simulation(rule, load, wrong, seed).run();
    all.job_ms.insert(all.job_ms.end(), one.job_ms.begin(), one.job_ms.end());
    all.in_time += one.in_time;
    all.near_runs += one.near_runs;
    all.far_runs += one.far_runs;
    all.waits += one.waits;
    all.waits_ended_far += one.waits_ended_far;
    all.waited_ms += one.waited_ms;
    all.owner_seconds += one.owner_seconds;
    all.unfinished += one.unfinished;
  }
  if (all.job_ms.empty()) return;
  std::sort(all.job_ms.begin(), all.job_ms.end());
  double sum = 0;
  for (double each : all.job_ms) sum += each;
  double runs = static_cast<double>(all.near_runs + all.far_runs);
  constexpr double kPercentile = 0.95;
  constexpr double kMsPerSecond = 1000;
  std::size_t p95 = static_cast<std::size_t>(
      kPercentile * static_cast<double>(all.job_ms.size() - 1));
  bench::print_figure(name + ".mean",
                      sum / static_cast<double>(all.job_ms.size()), "ms");
  bench::print_figure(name + ".p95", all.job_ms[p95], "ms");
  bench::print_figure(
      name + ".in_time",
      static_cast<double>(all.in_time) / static_cast<double>(all.job_ms.size()),
      "share");
  bench::print_figure(name + ".near", static_cast<double>(all.near_runs) / runs,
                      "share");
  bench::print_figure(name + ".waited", all.waited_ms / runs, "ms/run");
  bench::print_figure(name + ".waits", static_cast<double>(all.waits), "");
  bench::print_figure(name + ".ended_far",
                      static_cast<double>(all.waits_ended_far), "");
  bench::print_figure(name + ".owner", all.owner_seconds * kMsPerSecond, "ms");
  bench::print_figure(name + ".unfinished", static_cast<double>(all.unfinished),
                      "jobs");
}

}  // namespace

int main(int argc, char** argv) {
  constexpr std::uint64_t kDefaultSeeds = 3;
  std::uint64_t seeds = argc > 1 ? std::stoul(argv[1]) : kDefaultSeeds;
  std::string filter = argc > 2 ? argv[2] : "";
  const std::pair<const char*, double> loads[] = {
      {"light", 0.35}, {"half", 0.6}, {"full", 0.85}};
  for (const std::pair<const char*, double>& load : loads) {
    for (bool wrong : {false, true}) {
      for (const rule& each : kRules) {
        std::string name = fmt::format("near_wait.{}.{}.{}", load.first,
                                       wrong ? "wrong" : "right", each.name);
        if (name.find(filter) == std::string::npos) continue;
        measure(name, each, load.second, wrong, seeds);
      }
    }
  }
  return EXIT_SUCCESS;
}
