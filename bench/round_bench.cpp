// Time of the owner's scheduling rounds in a large pool whose queues need
// advice and in which about 200 steps wait, under a simulated clock and without
// I/O: the load of docs/incidents/large-unasked.md.
//
//   round_bench [ROUNDS [SEED]]      default: 200 rounds, seed 1
//
// Prints the median and the longest CPU time of a round, what the pool looks
// like, and a hash of all decisions: a change that makes rounds faster without
// another decision leaves it as it is.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
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

constexpr milliseconds kRoundInterval{60};
constexpr milliseconds kPollInterval{1000};
// From the decision to the confirmation of a start.
constexpr milliseconds kStartTime{300};
constexpr std::size_t kWarmUpRounds = 150;
constexpr std::size_t kWorkers = 1100;
constexpr std::size_t kDrainingWorkers = 89;
constexpr std::size_t kWaitingSteps = 200;
constexpr std::size_t kTenants = 20;
constexpr std::size_t kDaemons = 160;
constexpr pool::resources kCapacity{16000, 32768, 0};
constexpr milliseconds kTicketValidity{2500};
constexpr char kService[] = "service-a";

// A kind of jobs, each with one step.
struct job_kind {
  const char* queue;
  std::uint32_t priority;
  std::uint32_t tasks;
  std::uint32_t millicores;
  std::uint32_t estimate_ms;
  bool gang;
  int granted_percent;
  int weight;  // Among the jobs.
};

constexpr job_kind kKinds[] = {
    {"small", 0, 4, 1000, 1500, false, 70, 21},
    {"small", 0, 4, 1000, 1500, true, 70, 9},
    {"wide", 1, 32, 1500, 3000, false, 50, 30},
    {"wide", 1, 160, 1000, 3000, false, 50, 4},
    {"batch", 2, 32, 2000, 4000, true, 35, 22},
    {"batch", 2, 96, 1500, 4000, true, 50, 6},
    {"batch", 2, 32, 1500, 4000, false, 35, 8},
};

// FNV-1a.
class decision_hash {
 public:
  void add(std::string_view text) {
    for (char each : text) add_byte(static_cast<unsigned char>(each));
    add_byte(0);
  }
  void add(std::uint64_t number) { add(std::to_string(number)); }
  void add(const pool::task_key& task, std::uint32_t run) {
    add(task.job);
    add(task.index);
    add(run);
  }
  std::uint64_t value() const { return value_; }

 private:
  void add_byte(unsigned char byte) {
    constexpr std::uint64_t kPrime = 1099511628211U;
    value_ = (value_ ^ byte) * kPrime;
  }

  std::uint64_t value_ = 14695981039346656037U;
};

double thread_milliseconds() {
  timespec now;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return 1e3 * static_cast<double>(now.tv_sec) +
         1e-6 * static_cast<double>(now.tv_nsec);
}

class large_pool {
 public:
  explicit large_pool(std::uint64_t seed) : random_(seed) {
    std::unordered_map<std::string, pool::queue_policy> queues;
    for (const job_kind& each : kKinds) {
      pool::queue_policy policy;
      policy.service = kService;
      policy.priority = each.priority;
      policy.attempts = 3;
      policy.stretch = 2;
      policy.target = milliseconds(3000);
      policy.needs_advice = true;
      policy.advice_fixed = milliseconds(7);
      policy.advice_ms_per_worker = 0.1;
      policy.advice_validity = kTicketValidity;
      queues[each.queue] = policy;
    }
    pool::set_queues(&state_, std::move(queues));
    std::vector<pool::tenant> rows;
    for (std::size_t i = 0; i < kTenants; ++i) {
      rows.push_back({tenant_name(i), {}, 0, 1, {3'000'000, 0, 0}});
    }
    pool::set_tenants(&state_, rows, 0.1);
    state_.admission.enabled = true;
    state_.advice_daemons = kDaemons;
    pool::observe_journal_write(&state_, now_);
    for (std::size_t i = 0; i < kWorkers; ++i) add_worker(i);
  }

  void run_round() {
    now_ += kRoundInterval;
    wall_ += kRoundInterval;
    // The steps of a job wait only from its first round on.
    for (std::size_t i = state_.waiting_steps.size(); i < kWaitingSteps; ++i) {
      submit();
    }
    reply_to_advice();
    confirm_starts();
    report_workers();
    double before = thread_milliseconds();
    pool::decisions made = pool::decide(&state_, now_, wall_);
    times_.push_back(thread_milliseconds() - before);
    observe(made);
    pool::journal_batch batch = pool::take_batch(&state_, now_);
    pool::observe_journal_write(&state_, now_);
    std::vector<pool::start_order>& starts = unconfirmed_[now_ + kStartTime];
    starts = pool::observe_batch_written(&state_, batch, now_);
    for (const pool::start_order& each : starts) {
      hash_.add(each.worker);
      hash_.add(each.task, each.run);
    }
    starts_ += starts.size();
    reserved_ += state_.load.reserved_workers;
    requests_ += made.advice.size();
    advice_.insert(advice_.end(), made.advice.begin(), made.advice.end());
    state_.job_events.clear();
    state_.worker_events.clear();
    state_.tenant_events.clear();
    state_.forgotten_jobs.clear();
  }

  void forget_figures() {
    times_.clear();
    starts_ = reserved_ = requests_ = 0;
  }

  void print() {
    std::sort(times_.begin(), times_.end());
    double rounds = static_cast<double>(times_.size());
    std::size_t placed = 0;
    for (const auto& each : state_.workers) {
      placed += each.second.placements.size();
    }
    const pool::load_summary& load = state_.load;
    bench::print_figure("round.median", times_[times_.size() / 2], "ms");
    bench::print_figure("round.longest", times_.back(), "ms");
    print_count("available", load.available_workers, "workers");
    print_count("waiting", state_.waiting_steps.size(), "steps");
    print_count("waiting.in_time", load.waiting_in_time, "steps");
    print_count("waiting.late", load.waiting_late, "steps");
    print_count("waiting.no_value", load.waiting_without_value, "steps");
    print_count("placements", placed, "runs");
    bench::print_figure("round.reserved",
                        static_cast<double>(reserved_) / rounds, "workers");
    bench::print_figure("round.starts", static_cast<double>(starts_) / rounds,
                        "tasks");
    bench::print_figure("round.requests",
                        static_cast<double>(requests_) / rounds, "requests");
    fmt::print("round.decisions {:016x} hash\n", hash_.value());
  }

 private:
  struct simulated_worker {
    bool draining = false;
    std::multimap<steady_time, pool::start_order> ends;
    std::map<std::pair<pool::task_key, std::uint32_t>, pool::reported_run> runs;
    std::uint64_t ended = 0;
    steady_time next_poll;
  };

  static std::string tenant_name(std::size_t number) {
    return fmt::format("tenant-{}", number);
  }

  static void print_count(const std::string& name, std::size_t count,
                          std::string_view unit) {
    bench::print_figure("round." + name, static_cast<double>(count), unit);
  }

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  void add_worker(std::size_t number) {
    pool::worker_entry entry;
    entry.id = fmt::format("zora-alerts-worker-{:04}", number);
    entry.service = kService;
    entry.address = fmt::format("10.0.{}.{}:9000", number / 200, number % 200);
    entry.zone = fmt::format("zone-{}", number % 3);
    entry.rack = fmt::format("rack-{}", number % 36);
    entry.draining = number < kDrainingWorkers;
    entry.capacity = kCapacity;
    entry.incarnation_ms = 1;
    pool::observe_worker_entry(&state_, entry, now_);
    simulated_worker& worker = workers_[entry.id];
    worker.next_poll = now_ + milliseconds(number % 1000);
    report_worker(entry.id, {});
  }

  void report_worker(const std::string& id,
                     std::vector<pool::reported_end> ended) {
    pool::worker_report report;
    report.clock = milliseconds(now_.time_since_epoch() / milliseconds(1));
    report.incarnation_ms = 1;
    report.ended = std::move(ended);
    for (auto& each : workers_[id].runs) {
      // Every report tells progress, so that no run counts as hung.
      each.second.percent = std::min(99U, each.second.percent + 2);
      report.running.push_back(each.second);
    }
    pool::observe_worker_report(&state_, id, report,
                                pool::fencing_token(state_, id),
                                now_ - milliseconds(1), now_, wall_);
  }

  const job_kind& draw_kind() {
    int total = 0;
    for (const job_kind& each : kKinds) total += each.weight;
    int at = static_cast<int>(draw(static_cast<std::uint64_t>(total)));
    for (const job_kind& each : kKinds) {
      at -= each.weight;
      if (at < 0) return each;
    }
    return kKinds[0];
  }

  void submit() {
    const job_kind& kind = draw_kind();
    wire::job_submission job;
    job.set_queue(kind.queue);
    job.set_service(kService);
    job.set_tenant(tenant_name(draw(kTenants)));
    job.set_accepted_ms(wall_.time_since_epoch().count() -
                        static_cast<std::int64_t>(draw(200)));
    wire::step_definition* step = job.add_steps();
    step->set_count(kind.tasks);
    step->set_cpu_milli(kind.millicores);
    step->set_memory_mb(1000);
    step->set_estimate_ms(kind.estimate_ms);
    step->set_gang(kind.gang);
    jobs::entry entry;
    entry.submission = std::make_shared<wire::job_submission>(job);
    ++submitted_;
    std::string id = fmt::format("{:08x}-6e1f-4c1b-9d1e-{:012x}",
                                 submitted_ * 2654435761U, submitted_);
    granted_percent_[id] = kind.granted_percent;
    pool::add_job(&state_, id, entry, now_);
  }

  // Ends the runs that are due, and polls each worker once a second.
  void report_workers() {
    for (auto& each : workers_) {
      simulated_worker& worker = each.second;
      std::vector<pool::reported_end> ended;
      while (!worker.ends.empty() && worker.ends.begin()->first <= now_) {
        const pool::start_order& order = worker.ends.begin()->second;
        worker.runs.erase({order.task, order.run});
        ended.push_back(
            {++worker.ended, order.task, order.run, pool::end_kind::done, {}});
        worker.ends.erase(worker.ends.begin());
      }
      if (ended.empty() && now_ < worker.next_poll) continue;
      worker.next_poll = now_ + kPollInterval;
      report_worker(each.first, std::move(ended));
    }
  }

  void confirm_starts() {
    while (!unconfirmed_.empty() && unconfirmed_.begin()->first <= now_) {
      for (const pool::start_order& order : unconfirmed_.begin()->second) {
        simulated_worker& worker = workers_[order.worker];
        milliseconds estimate(order.job->steps(0).estimate_ms());
        milliseconds time = estimate * (70 + draw(80)) / 100;
        worker.ends.insert({now_ + time, order});
        worker.runs[{order.task, order.run}] = {order.task, order.run, {}, 0};
        pool::observe_start(&state_, order, pool::start_outcome::running, now_);
      }
      unconfirmed_.erase(unconfirmed_.begin());
    }
  }

  void reply_to_advice() {
    for (const pool::advice_request& order : std::exchange(advice_, {})) {
      std::vector<pool::ticket> granted;
      std::uint64_t percent =
          static_cast<std::uint64_t>(granted_percent_[order.job]);
      for (const std::string& worker : order.workers) {
        decision_hash of;
        of.add(order.job);
        of.add(worker);
        if (of.value() / 64 % 100 < percent) {
          granted.push_back({worker, "ticket-" + worker});
        }
      }
      pool::observe_advice(&state_, order, true, granted,
                           now_ + kTicketValidity, now_);
    }
  }

  void observe(const pool::decisions& made) {
    for (const pool::start_order& each : made.repeated_starts) {
      hash_.add(each.worker);
      hash_.add(each.task, each.run);
    }
    for (const pool::stop_order& each : made.stops) {
      hash_.add(each.worker);
      hash_.add(each.task, each.run);
    }
    for (const pool::advice_request& each : made.advice) {
      hash_.add(each.job);
      for (const std::string& worker : each.workers) hash_.add(worker);
    }
    hash_.add(state_.load.reserved_workers);
    hash_.add(static_cast<std::uint64_t>(state_.load.free_cpu_milli));
    hash_.add(static_cast<std::uint64_t>(state_.load.reserved_free_cpu_milli));
    hash_.add(static_cast<std::uint64_t>(state_.load.waiting_cpu_milli));
    hash_.add(state_.admission.load.waiting.size());
    hash_.add(static_cast<std::uint64_t>(state_.admission.load.free_cpu_milli));
  }

  std::mt19937_64 random_;
  pool::pool_state state_;
  std::map<std::string, simulated_worker> workers_;
  std::unordered_map<std::string, int> granted_percent_;
  std::map<steady_time, std::vector<pool::start_order>> unconfirmed_;
  std::vector<pool::advice_request> advice_;
  steady_time now_ = steady_time(std::chrono::hours(1));
  pool::unix_time wall_ = pool::unix_time(milliseconds(1'800'000'000'000));
  std::uint64_t submitted_ = 0;
  std::vector<double> times_;
  std::size_t starts_ = 0;
  std::size_t reserved_ = 0;
  std::size_t requests_ = 0;
  decision_hash hash_;
};

}  // namespace

int main(int argc, char** argv) {
  std::size_t rounds = argc > 1 ? std::stoul(argv[1]) : 200;
  large_pool pool(argc > 2 ? std::stoul(argv[2]) : 1);
  for (std::size_t i = 0; i < kWarmUpRounds; ++i) pool.run_round();
  pool.forget_figures();
  for (std::size_t i = 0; i < rounds; ++i) pool.run_round();
  pool.print();
  return EXIT_SUCCESS;
}
