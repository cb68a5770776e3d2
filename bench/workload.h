// Seeded workloads for the placement benchmarks.
#pragma once

#include <string>
#include <vector>

#include "bench/scheduler.h"

namespace ebonygrade::bench {

struct bench_job {
  place::task_group group;  // `submitted` is the arrival time.
  milliseconds runtime{0};  // Of each task.
};

// Jobs in order of arrival; none arrives before kStart.
using workload = std::vector<bench_job>;

inline constexpr steady_time kStart = steady_time(std::chrono::hours(1));

// The cell of one of the users.
struct deployment {
  std::string name;
  int workers = 48;
  job::resources capacity;
  // As in the bundle; the two teams with urgent requests come first.
  std::vector<std::string> teams;
};

deployment zora();
deployment instituto();

struct weekend_backlog_options {
  std::uint64_t seed = 1;
  double backlog_minutes = 15;  // Run time of the backlog on the whole cell.
  double urgent_per_second = 100;
  milliseconds horizon{600000};
  // Declared run times are wrong by a factor of up to this, both ways.
  double max_error_factor = 1;
};

// At the start, services and a weekend's backlog of batch and gang jobs; then
// urgent requests and a few batch jobs at a constant rate.
workload weekend_backlog(const deployment& cell,
                         const weekend_backlog_options& options);

// Batch jobs of all teams. Their work arrives at `load` times the rate that the
// cell's CPU can process.
workload constant_load(const deployment& cell, double load,
                       milliseconds horizon, std::uint64_t seed);

// Batch jobs that all arrive at the start; the jobs of each team alone would
// keep the cell busy for twice the horizon.
workload saturating_load(const deployment& cell, milliseconds horizon,
                         std::uint64_t seed);

}  // namespace ebonygrade::bench
