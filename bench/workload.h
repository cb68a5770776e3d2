// Seeded workloads for the placement benchmarks.
#pragma once

#include <string>
#include <vector>

#include "bench/scheduler.h"

namespace ebonygrade::bench {

struct bench_job {
  place::task_group group;  // `submitted` is the time of arrival.
  milliseconds runtime{0};  // Of each task.
};

// Jobs in order of arrival, from kStart on.
using workload = std::vector<bench_job>;

inline constexpr steady_time kStart = steady_time(std::chrono::hours(1));

// One of the brief's deployments.
struct deployment {
  std::string name;
  int workers = 48;
  job::resources capacity;
  std::vector<std::string> teams;  // Those of the bundle, urgent's first.
};

deployment zora();
deployment instituto();

struct monday_options {
  std::uint64_t seed = 1;
  double backlog_minutes = 15;  // Work waiting at the start.
  double urgent_per_second = 100;
  milliseconds horizon{600000};
  double declared_error = 1;  // Declared run times are off up to so much.
};

// Services, then a weekend's backlog of batch and gang jobs at once, then
// urgent requests and some further jobs all the time.
workload monday(const deployment& where, const monday_options& options);

// Batch jobs of all teams that arrive at `load` times the cell's capacity.
workload steady(const deployment& where, double load, milliseconds horizon,
                std::uint64_t seed);

// Batch jobs enough for the whole time, from each team, all at the start.
workload flood(const deployment& where, milliseconds horizon,
               std::uint64_t seed);

}  // namespace ebonygrade::bench
