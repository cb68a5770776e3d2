// Event loop that runs a workload on a scheduler with a fake clock, and
// measures waiting, packing, deadlines and shares. Tasks end after their run
// time; that is all a worker does here.
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
  milliseconds measure_from{30000};  // Packing and shares, from here on.
  double failing_workers = 0;        // Share that fails every task.
  std::uint32_t max_attempts = 3;    // Of a task that failed.
};

struct driver_result {
  std::array<std::vector<double>, job::kJobClassCount> waits_ms;  // By task.
  std::map<std::string, std::vector<double>> team_waits_ms;
  std::vector<double> gang_waits_ms;  // By gang.
  std::vector<double> retry_ms;       // Told with refusals.
  std::size_t deadlines = 0;          // Tasks that had one.
  std::size_t deadlines_met = 0;
  std::size_t tasks = 0;  // Submitted.
  std::size_t completed = 0;
  std::size_t failed_attempts = 0;
  std::size_t refused = 0;  // Tasks.
  std::size_t dropped = 0;  // Tasks.
  std::size_t preempted = 0;
  // Mean use over the bound min(capacity, running + waiting), by resource:
  // processors, memory.
  std::array<double, 2> packing{};
  // The same for what binds: the resource in more demand.
  double packing_binding = 0;
  double idle_while_waiting = 0;  // Mean share of processors.
  // Mean dominant share over what its weight entitles it to, by team.
  std::map<std::string, double> share_ratio;
};

driver_result drive(scheduler* under_test, const deployment& where,
                    const workload& jobs, const bundle::policy& policy,
                    const driver_options& options);

// The value below which the share `q` of all values lies; 0 if none.
double quantile(std::vector<double> values, double q);

}  // namespace ebonygrade::bench
