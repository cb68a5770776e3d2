// Benchmarks of the placement engine and of the baselines. Prints one "name
// value unit" line per figure. The seeds are fixed and the clock is simulated,
// so all figures except speed, memory and cancel are the same in every run.
//
//   place_bench [--root DIR] [PART ...]
//
// Parts: speed memory cancel monday errors failing fairness overload; all by
// default. Bundles are read from DIR/bundles; DIR is the source folder by
// default.
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "bench/driver.h"
#include "bench/speed.h"

namespace ebonygrade::bench {
namespace {

constexpr double kUrgentTargetMs = 6900;

std::string& root() {
  static std::string folder = EBONYGRADE_SOURCE_DIR;
  return folder;
}

bundle::policy load_bundle(const std::string& name) {
  std::ifstream in(root() + "/bundles/" + name + ".ini");
  std::ostringstream text;
  text << in.rdbuf();
  error::result<bundle::policy> parsed = bundle::parse(text.str());
  if (parsed.has_error()) {
    std::cerr << error::to_string(parsed.error()) << "\n";
    std::exit(1);
  }
  return *parsed;
}

void print_waits(const std::string& name, const std::vector<double>& waits) {
  fmt::print("{}.wait_p50 {:.0f} ms\n", name, quantile(waits, 0.5));
  fmt::print("{}.wait_p99 {:.0f} ms\n", name, quantile(waits, 0.99));
  fmt::print("{}.wait_max {:.0f} ms\n", name, quantile(waits, 1));
}

void print_share(const std::string& name, std::size_t part, std::size_t whole) {
  const double share =
      whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
  fmt::print("{} {:.4f} share\n", name, share);
}

void print_result(const std::string& name, const driver_result& r) {
  for (int i = 0; i < job::kJobClassCount; ++i) {
    std::string_view kind = job::to_string(static_cast<job::job_class>(i));
    print_waits(fmt::format("{}.{}", name, kind), r.waits_ms[i]);
  }
  for (const auto& [team, waits] : r.team_waits_ms) {
    print_waits(fmt::format("{}.team.{}", name, team), waits);
  }
  const std::vector<double>& urgent = r.waits_ms[3];
  const std::size_t in_time = static_cast<std::size_t>(
      std::count_if(urgent.begin(), urgent.end(),
                    [](double w) { return w <= kUrgentTargetMs; }));
  print_share(name + ".urgent.in_time", in_time, urgent.size());
  print_share(name + ".deadlines_met", r.deadlines_met, r.deadlines);
  fmt::print("{}.packing.processors {:.4f} of_bound\n", name, r.packing[0]);
  fmt::print("{}.packing.memory {:.4f} of_bound\n", name, r.packing[1]);
  fmt::print("{}.packing.binding {:.4f} of_bound\n", name, r.packing_binding);
  fmt::print("{}.idle_while_waiting {:.4f} share\n", name,
             r.idle_while_waiting);
  print_waits(name + ".gang_start", r.gang_waits_ms);
  fmt::print("{}.gangs_started {} gangs\n", name, r.gang_waits_ms.size());
  fmt::print("{}.completed {} tasks\n", name, r.completed);
  fmt::print("{}.preempted {} tasks\n", name, r.preempted);
}

struct candidate {
  std::string name;
  std::unique_ptr<scheduler> under_test;
};

std::vector<candidate> make_candidates(const bundle::policy& policy) {
  std::vector<candidate> all;
  all.push_back({"engine", make_engine_scheduler(policy)});
  all.push_back({"random", make_baseline(baseline_kind::random)});
  all.push_back({"first_fit", make_baseline(baseline_kind::first_fit)});
  all.push_back({"fifo", make_baseline(baseline_kind::fifo)});
  return all;
}

void measure_monday() {
  for (const deployment& cell : {zora(), instituto()}) {
    const bundle::policy policy = load_bundle(cell.name);
    const workload jobs = weekend_backlog(cell, {});
    for (candidate& each : make_candidates(policy)) {
      driver_result r =
          run_workload(each.under_test.get(), cell, jobs, policy, {});
      print_result(fmt::format("monday.{}.{}", cell.name, each.name), r);
    }
  }
}

void measure_errors() {
  for (const deployment& cell : {zora(), instituto()}) {
    const bundle::policy policy = load_bundle(cell.name);
    weekend_backlog_options options;
    options.max_error_factor = 3;
    const workload jobs = weekend_backlog(cell, options);
    std::unique_ptr<scheduler> engine = make_engine_scheduler(policy);
    driver_result r = run_workload(engine.get(), cell, jobs, policy, {});
    print_result(fmt::format("declared_3x_wrong.{}.engine", cell.name), r);
  }
}

void measure_failing() {
  const deployment cell = zora();
  const milliseconds horizon(120000);
  bundle::policy policy = load_bundle(cell.name);
  const workload jobs = constant_load(cell, 0.7, horizon, 5);
  bundle::policy no_quarantine = policy;
  no_quarantine.placement.quarantine_failures = 1000000;
  driver_options options;
  options.horizon = horizon;
  options.failing_worker_share = 0.1;
  for (bool with_quarantine : {true, false}) {
    std::unique_ptr<scheduler> engine =
        make_engine_scheduler(with_quarantine ? policy : no_quarantine);
    driver_result r = run_workload(engine.get(), cell, jobs, policy, options);
    const std::string name =
        with_quarantine ? "failing_workers.quarantine" : "failing_workers.none";
    print_share(name + ".completed", r.completed, r.tasks);
    fmt::print("{}.failed_attempts {} attempts\n", name, r.failed_attempts);
  }
}

void measure_fairness() {
  for (const deployment& cell : {zora(), instituto()}) {
    bundle::policy policy = load_bundle(cell.name);
    for (auto& [name, team] : policy.teams) {
      team.quota = {};
      team.queue_limit = 1000000;
    }
    driver_options options;
    options.horizon = milliseconds(180000);
    const workload jobs = saturating_load(cell, options.horizon, 9);
    for (candidate& each : make_candidates(policy)) {
      driver_result r =
          run_workload(each.under_test.get(), cell, jobs, policy, options);
      double max_ratio = 0;
      for (const auto& [team, ratio] : r.share_ratio) {
        max_ratio = std::max(max_ratio, ratio);
      }
      fmt::print("fairness.{}.{}.largest_over_entitlement {:.3f} ratio\n",
                 cell.name, each.name, max_ratio);
    }
  }
}

void measure_overload() {
  const deployment cell = zora();
  bundle::policy policy = load_bundle(cell.name);
  for (auto& [name, team] : policy.teams) team.queue_limit = 2000;
  driver_options options;
  options.horizon = milliseconds(120000);
  for (double load : {0.8, 1.0, 1.5, 3.0}) {
    const workload jobs = constant_load(cell, load, options.horizon, 5);
    for (candidate& each : make_candidates(policy)) {
      driver_result r =
          run_workload(each.under_test.get(), cell, jobs, policy, options);
      const std::string name =
          fmt::format("overload.{:.1f}.{}", load, each.name);
      const double seconds =
          static_cast<double>(options.horizon.count()) / 1000;
      fmt::print("{}.completed {:.1f} 1/s\n", name,
                 static_cast<double>(r.completed) / seconds);
      print_share(name + ".deadlines_met", r.deadlines_met, r.deadlines);
      print_share(name + ".refused", r.refused, r.tasks);
      print_share(name + ".dropped", r.dropped, r.tasks);
      fmt::print("{}.retry_p50 {:.0f} ms\n", name,
                 quantile(r.retry_after_ms, 0.5));
      fmt::print("{}.retry_max {:.0f} ms\n", name,
                 quantile(r.retry_after_ms, 1));
    }
  }
}

struct part {
  std::string_view name;
  void (*run)();
};

constexpr part kParts[] = {
    {"speed", measure_speed},          {"memory", measure_memory},
    {"cancel", measure_cancellations}, {"monday", measure_monday},
    {"errors", measure_errors},        {"failing", measure_failing},
    {"fairness", measure_fairness},    {"overload", measure_overload},
};

int run(std::vector<std::string> names) {
  if (names.size() >= 2 && names[0] == "--root") {
    root() = names[1];
    names.erase(names.begin(), names.begin() + 2);
  }
  for (const part& each : kParts) {
    if (!names.empty() &&
        std::find(names.begin(), names.end(), each.name) == names.end()) {
      continue;
    }
    each.run();
  }
  return 0;
}

}  // namespace
}  // namespace ebonygrade::bench

int main(int argc, char** argv) {
  return ebonygrade::bench::run({argv + 1, argv + argc});
}
