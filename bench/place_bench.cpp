// Benchmarks of the placement engine beside the baselines. Prints one
// "name value unit" a line; the seeds and the clock are fixed, so all figures
// but speed and memory repeat exactly.
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

struct contender {
  std::string name;
  std::unique_ptr<scheduler> under_test;
};

std::vector<contender> contenders(const bundle::policy& policy) {
  std::vector<contender> all;
  all.push_back({"engine", make_engine_scheduler(policy)});
  all.push_back({"random", make_baseline(baseline_kind::random)});
  all.push_back({"first_fit", make_baseline(baseline_kind::first_fit)});
  all.push_back({"fifo", make_baseline(baseline_kind::fifo)});
  return all;
}

void measure_monday() {
  for (const deployment& where : {zora(), instituto()}) {
    const bundle::policy policy = load_bundle(where.name);
    const workload jobs = monday(where, {});
    for (contender& each : contenders(policy)) {
      driver_result r = drive(each.under_test.get(), where, jobs, policy, {});
      print_result(fmt::format("monday.{}.{}", where.name, each.name), r);
    }
  }
}

void measure_errors() {
  for (const deployment& where : {zora(), instituto()}) {
    const bundle::policy policy = load_bundle(where.name);
    monday_options options;
    options.declared_error = 3;
    const workload jobs = monday(where, options);
    std::unique_ptr<scheduler> engine = make_engine_scheduler(policy);
    driver_result r = drive(engine.get(), where, jobs, policy, {});
    print_result(fmt::format("declared_3x_wrong.{}.engine", where.name), r);
  }
}

void measure_failing() {
  const deployment where = zora();
  const milliseconds horizon(120000);
  bundle::policy policy = load_bundle(where.name);
  const workload jobs = steady(where, 0.7, horizon, 5);
  bundle::policy without = policy;
  without.placement.quarantine_failures = 1000000;
  driver_options options;
  options.horizon = horizon;
  options.failing_workers = 0.1;
  for (bool is_on : {true, false}) {
    std::unique_ptr<scheduler> engine =
        make_engine_scheduler(is_on ? policy : without);
    driver_result r = drive(engine.get(), where, jobs, policy, options);
    const std::string name =
        is_on ? "failing_workers.quarantine" : "failing_workers.none";
    print_share(name + ".completed", r.completed, r.tasks);
    fmt::print("{}.failed_attempts {} attempts\n", name, r.failed_attempts);
  }
}

void measure_fairness() {
  for (const deployment& where : {zora(), instituto()}) {
    bundle::policy policy = load_bundle(where.name);
    for (auto& [name, team] : policy.teams) {
      team.quota = {};
      team.queue_limit = 1000000;
    }
    driver_options options;
    options.horizon = milliseconds(180000);
    const workload jobs = flood(where, options.horizon, 9);
    for (contender& each : contenders(policy)) {
      driver_result r =
          drive(each.under_test.get(), where, jobs, policy, options);
      double most = 0;
      for (const auto& [team, ratio] : r.share_ratio) {
        most = std::max(most, ratio);
      }
      fmt::print("fairness.{}.{}.largest_over_entitlement {:.3f} ratio\n",
                 where.name, each.name, most);
    }
  }
}

void measure_overload() {
  const deployment where = zora();
  bundle::policy policy = load_bundle(where.name);
  for (auto& [name, team] : policy.teams) team.queue_limit = 2000;
  driver_options options;
  options.horizon = milliseconds(120000);
  for (double load : {0.8, 1.0, 1.5, 3.0}) {
    const workload jobs = steady(where, load, options.horizon, 5);
    for (contender& each : contenders(policy)) {
      driver_result r =
          drive(each.under_test.get(), where, jobs, policy, options);
      const std::string name =
          fmt::format("overload.{:.1f}.{}", load, each.name);
      const double seconds =
          static_cast<double>(options.horizon.count()) / 1000;
      fmt::print("{}.completed {:.1f} 1/s\n", name,
                 static_cast<double>(r.completed) / seconds);
      print_share(name + ".deadlines_met", r.deadlines_met, r.deadlines);
      print_share(name + ".refused", r.refused, r.tasks);
      print_share(name + ".dropped", r.dropped, r.tasks);
      fmt::print("{}.retry_p50 {:.0f} ms\n", name, quantile(r.retry_ms, 0.5));
      fmt::print("{}.retry_max {:.0f} ms\n", name, quantile(r.retry_ms, 1));
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

int run(std::vector<std::string> wanted) {
  if (wanted.size() >= 2 && wanted[0] == "--root") {
    root() = wanted[1];
    wanted.erase(wanted.begin(), wanted.begin() + 2);
  }
  for (const part& each : kParts) {
    if (!wanted.empty() &&
        std::find(wanted.begin(), wanted.end(), each.name) == wanted.end()) {
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
