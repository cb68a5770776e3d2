// Runs a workload on a scheduler under a simulated clock and measures waiting
// times, packing, deadlines and the teams' shares. The simulated workers do
// nothing but end each task after its run time.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "bench/scheduler.h"
#include "bench/workload.h"

namespace ebonygrade::bench {

struct driver_options {
  milliseconds horizon{600000};
  milliseconds measure_from{30000};  // Start of the packing and share samples.
  double failing_worker_share = 0;   // These workers fail every task.
  std::uint32_t max_attempts = 3;    // Failures until a task is abandoned.
};

struct driver_result {
  // One per task, by class.
  std::array<std::vector<double>, job::kJobClassCount> waits_ms;
  std::map<std::string, std::vector<double>> team_waits_ms;
  std::vector<double> gang_waits_ms;   // One per gang.
  std::vector<double> retry_after_ms;  // Retry delays of refusals.
  std::size_t deadlines = 0;  // Tasks whose deadline was met or has passed.
  std::size_t deadlines_met = 0;
  std::size_t tasks = 0;  // Submitted.
  std::size_t completed = 0;
  std::size_t failed_attempts = 0;
  std::size_t refused = 0;  // Tasks.
  std::size_t dropped = 0;  // Tasks.
  std::size_t preempted = 0;
  // Mean ratio of the resources in use to the bound min(capacity, running +
  // waiting): CPU, memory.
  std::array<double, 2> packing{};
  // The same ratio for the resource in higher demand.
  double packing_binding = 0;
  // Mean idle share of the CPU; counted as 0 while the waiting tasks would fit
  // an empty cell.
  double idle_while_waiting = 0;
  // By team: mean ratio of the dominant share to the share that the team's
  // weight entitles it to.
  std::map<std::string, double> share_ratio;
};

driver_result run_workload(scheduler* under_test, const deployment& cell,
                           const workload& jobs, const bundle::policy& policy,
                           const driver_options& options);

// The value below which the given share of all values lies; 0 without values.
double quantile(std::vector<double> values, double share);

}  // namespace ebonygrade::bench
