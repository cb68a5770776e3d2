#include <algorithm>
#include <chrono>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cell_bench.h"
#include "figure.h"
#include "routing/routing.h"

namespace ebonygrade::bench {

namespace {

using clock::milliseconds;
using clock::steady_time;

constexpr int kDaemons = 12;  // In one zone; a third of them own busy shards.
constexpr int kSlots = 384;   // Per daemon: 48 workers of 8 slots.
constexpr double kMeanRuntimeMs = 2000;
constexpr double kLoad = 0.8;
constexpr int kMaxTries = 3;
constexpr milliseconds kRunTime{60000};
constexpr milliseconds kWarmUpTime{15000};
constexpr milliseconds kSampleInterval{100};
constexpr steady_time kStart{std::chrono::hours(1)};

struct task_end_event {
  steady_time at;
  int daemon = 0;
  int slots = 0;
  bool operator>(const task_end_event& other) const { return at > other.at; }
};

struct outcome_counts {
  double offers = 0;
  double wrong_offers = 0;  // The daemon had no free slot.
  double jobs = 0;
  double overflowed = 0;
  double unplaced = 0;  // Jobs with tasks that no daemon had a slot for.
  double imbalance_sum = 0;
  double samples = 0;
};

// Daemons that place their overflowing jobs on each other, based on capacity
// summaries that are refreshed at an interval.
struct overflow_trial {
  routing::selection_rule rule = routing::selection_rule::random;
  milliseconds summary_interval{0};
  bool remember_offers = true;
  std::mt19937_64 random{42};
  std::vector<int> used = std::vector<int>(kDaemons, 0);
  // Slots in use according to the latest summary.
  std::vector<int> summarized_use = std::vector<int>(kDaemons, 0);
  std::vector<steady_time> summarized_at =
      std::vector<steady_time>(kDaemons, kStart);
  std::vector<routing::overflow_state> states;
  std::priority_queue<task_end_event, std::vector<task_end_event>,
                      std::greater<task_end_event>>
      ends;
  outcome_counts counts;
};

std::string daemon_name(int index) { return "vm-" + std::to_string(index); }
constexpr int kBusyHomes = kDaemons / 3;

overflow_trial make_trial(routing::selection_rule rule,
                          milliseconds summary_interval, bool remember_offers) {
  overflow_trial made;
  made.rule = rule;
  made.summary_interval = summary_interval;
  made.remember_offers = remember_offers;
  for (int i = 0; i < kDaemons; ++i) {
    routing::overflow_options options;
    options.self = daemon_name(i);
    options.zone = "zone";
    options.region = "region";
    options.selection = rule;
    if (!remember_offers) options.max_offers = 0;
    made.states.push_back(routing::make_overflow(options, 100 + i));
    if (summary_interval.count() > 0) {
      made.summarized_at[i] -=
          milliseconds(made.random() % summary_interval.count());
    }
  }
  return made;
}

void refresh_summaries(overflow_trial& trial, steady_time now) {
  for (int i = 0; i < kDaemons; ++i) {
    if (now - trial.summarized_at[i] < trial.summary_interval) continue;
    trial.summarized_at[i] = now;
    trial.summarized_use[i] = trial.used[i];
  }
}

std::vector<membership::capacity_view> make_views(const overflow_trial& trial,
                                                  steady_time now) {
  std::vector<membership::capacity_view> views;
  for (int i = 0; i < kDaemons; ++i) {
    membership::capacity_view view;
    view.id = daemon_name(i);
    view.zone = "zone";
    view.region = "region";
    view.capacity.mutable_free()->set_slots(kSlots - trial.summarized_use[i]);
    view.capacity.mutable_largest_free()->set_slots(
        std::min(8, kSlots - trial.summarized_use[i]));
    view.age =
        std::chrono::duration_cast<milliseconds>(now - trial.summarized_at[i]);
    views.push_back(std::move(view));
  }
  return views;
}

void run_tasks(overflow_trial& trial, int daemon, int tasks, steady_time now) {
  std::exponential_distribution<double> runtime(1 / kMeanRuntimeMs);
  trial.used[daemon] += tasks;
  for (int i = 0; i < tasks; ++i) {
    std::chrono::microseconds length(
        static_cast<std::int64_t>(1000 * runtime(trial.random)));
    trial.ends.push({now + length, daemon, 1});
  }
}

// Offers the tasks that don't fit at home to other daemons. Returns the number
// of tasks that no daemon accepted.
int overflow_tasks(overflow_trial& trial, int home, int tasks,
                   steady_time now) {
  std::vector<std::string> tried;
  routing::resource_demand demand;
  demand.per_task.slots = 1;
  while (tasks > 0 && tried.size() < kMaxTries) {
    refresh_summaries(trial, now);
    demand.task_count = tasks;
    std::optional<std::string> target_id = routing::select_overflow_target(
        trial.states[home], demand, make_views(trial, now), tried, now);
    if (!target_id) break;
    tried.push_back(*target_id);
    ++trial.counts.offers;
    int target = std::stoi(target_id->substr(3));
    int accepted = std::min(tasks, kSlots - trial.used[target]);
    if (accepted == 0) ++trial.counts.wrong_offers;
    run_tasks(trial, target, accepted, now);
    tasks -= accepted;
  }
  return tasks;
}

void submit(overflow_trial& trial, int home, int tasks, steady_time now) {
  ++trial.counts.jobs;
  int local = std::min(tasks, kSlots - trial.used[home]);
  run_tasks(trial, home, local, now);
  if (local == tasks) return;
  ++trial.counts.overflowed;
  int unplaced_tasks = overflow_tasks(trial, home, tasks - local, now);
  if (unplaced_tasks > 0) ++trial.counts.unplaced;
}

// Number of tasks of a job; heavy-tailed: 1 to 64, 6.4 on average.
int draw_job_size(std::mt19937_64& random) {
  std::discrete_distribution<int> exponent({40, 20, 15, 10, 8, 5, 2});
  return 1 << exponent(random);
}

// Imbalance among the daemons that others overflow to.
void sample_imbalance(overflow_trial& trial) {
  double sum = 0;
  double max_used = 0;
  for (int i = kBusyHomes; i < kDaemons; ++i) {
    sum += trial.used[i];
    max_used = std::max<double>(max_used, trial.used[i]);
  }
  trial.counts.imbalance_sum += max_used / (sum / (kDaemons - kBusyHomes));
  ++trial.counts.samples;
}

void end_tasks(overflow_trial& trial, steady_time now) {
  while (!trial.ends.empty() && trial.ends.top().at <= now) {
    trial.used[trial.ends.top().daemon] -= trial.ends.top().slots;
    trial.ends.pop();
  }
}

// A third of the daemons get most of the jobs, as shards differ in size.
int draw_home(std::mt19937_64& random) {
  std::uniform_real_distribution<double> unit(0, 1);
  bool busy = unit(random) < 0.45;
  std::uniform_int_distribution<int> pick(0,
                                          busy ? kBusyHomes - 1 : kDaemons - 1);
  return pick(random);
}

void run_trial(overflow_trial& trial) {
  constexpr double kMeanSize = 0.4 + 0.4 + 0.6 + 0.8 + 1.28 + 1.6 + 1.28;
  double jobs_per_ms = kLoad * kDaemons * kSlots / kMeanRuntimeMs / kMeanSize;
  std::exponential_distribution<double> arrival_gap_ms(jobs_per_ms);
  steady_time now = kStart;
  steady_time next_sample = kStart + kWarmUpTime;
  bool warm = false;
  while (now < kStart + kRunTime) {
    now += std::chrono::microseconds(
        static_cast<std::int64_t>(1000 * arrival_gap_ms(trial.random)));
    end_tasks(trial, now);
    if (!warm && now >= kStart + kWarmUpTime) {
      warm = true;
      trial.counts = outcome_counts{};
    }
    if (now >= next_sample) {
      sample_imbalance(trial);
      next_sample += kSampleInterval;
    }
    submit(trial, draw_home(trial.random), draw_job_size(trial.random), now);
  }
}

void measure(const std::string& rule_name, routing::selection_rule rule,
             milliseconds summary_interval, bool remember_offers) {
  overflow_trial trial = make_trial(rule, summary_interval, remember_offers);
  run_trial(trial);
  std::string name = "routing." + rule_name + ".summaries_" +
                     std::to_string(summary_interval.count()) + "ms" +
                     (remember_offers ? "" : ".offers_forgotten");
  const outcome_counts& counts = trial.counts;
  print_figure(name + ".imbalance", counts.imbalance_sum / counts.samples,
               "max/mean");
  print_figure(name + ".hops", counts.offers / counts.overflowed,
               "offers/overflowed_job");
  print_figure(name + ".wrong_offers",
               100 * counts.wrong_offers / std::max(1.0, counts.offers), "%");
  print_figure(name + ".no_room", 100 * counts.unplaced / counts.jobs,
               "%_of_jobs");
}

}  // namespace

void measure_routing_rules() {
  for (int summary_interval : {0, 500, 1000, 2000}) {
    for (bool remember : {true, false}) {
      milliseconds age(summary_interval);
      measure("random", routing::selection_rule::random, age, remember);
      measure("least_loaded", routing::selection_rule::least_loaded, age,
              remember);
      measure("two_choices", routing::selection_rule::two_choices, age,
              remember);
    }
  }
}

}  // namespace ebonygrade::bench
