#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace ebonygrade::bench {

namespace {

constexpr milliseconds kArrivalInterval{20};

class generator {
 public:
  generator(const deployment& cell, std::uint64_t seed)
      : cell_(cell), random_(seed) {}

  double uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
  }

  // Uniform in the logarithm: small values are more frequent.
  double log_uniform(double from, double to) {
    return std::exp(uniform(std::log(from), std::log(to)));
  }

  int uniform_index(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  const std::string& random_team() {
    return cell_.teams[static_cast<std::size_t>(
        uniform_index(static_cast<int>(cell_.teams.size())))];
  }

  bench_job make(job::job_class kind, const std::string& team, steady_time at) {
    bench_job j;
    j.group.id = "j" + std::to_string(next_id_++);
    j.group.kind = kind;
    j.group.team = team;
    j.group.submitted = at;
    return j;
  }

  void set_tasks(bench_job* j, std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) j->group.tasks.push_back(i);
  }

  void set_runtime(bench_job* j, double seconds, double max_error_factor) {
    j->runtime = milliseconds(static_cast<std::int64_t>(seconds * 1000));
    const double factor =
        log_uniform(1 / max_error_factor, max_error_factor + 1e-9);
    j->group.expected_runtime =
        milliseconds(static_cast<std::int64_t>(seconds * 1000 * factor));
  }

  // CPU and memory in varying proportions.
  job::resources batch_demand() {
    const double scale = cell_.capacity.millicores / 16000.0;
    const double millicores = log_uniform(500, 6000) * scale;
    const double ratio = log_uniform(1.5, 9);  // GB per core.
    job::resources demand;
    demand.millicores = static_cast<std::int32_t>(millicores / 100) * 100;
    const double gigabytes = std::min(32.0, millicores / scale / 1000 * ratio);
    demand.memory_mb = std::max(1, static_cast<int>(gigabytes * 4)) * 256;
    return demand;
  }

  bench_job batch(steady_time at, double max_error_factor) {
    bench_job j = make(job::job_class::batch, random_team(), at);
    j.group.per_task = batch_demand();
    set_tasks(&j, static_cast<std::uint32_t>(log_uniform(1, 12)));
    set_runtime(&j, log_uniform(5, 120), max_error_factor);
    if (uniform_index(2) == 0) {
      j.group.deadline = at + milliseconds(60000 + uniform_index(600000));
    }
    return j;
  }

  bench_job gang(steady_time at, double max_error_factor) {
    bench_job j = make(job::job_class::gang, random_team(), at);
    j.group.per_task = {4000, 8192, 0, 0};
    set_tasks(&j, static_cast<std::uint32_t>(8 + uniform_index(41)));
    set_runtime(&j, log_uniform(20, 60), max_error_factor);
    return j;
  }

  bench_job urgent(steady_time at) {
    bench_job j =
        make(job::job_class::urgent, cell_.teams[uniform_index(2)], at);
    j.group.per_task = {250, 256, 0, 1};
    set_tasks(&j, 1);
    set_runtime(&j, log_uniform(0.1, 2), 1);
    j.group.deadline = at + milliseconds(6900);
    return j;
  }

  bench_job service(steady_time at) {
    bench_job j = make(job::job_class::service, random_team(), at);
    j.group.per_task = {1000, 2048, 0, 0};
    set_tasks(&j, 8);
    set_runtime(&j, 1e6, 1);
    return j;
  }

 private:
  const deployment& cell_;
  std::mt19937_64 random_;
  int next_id_ = 0;
};

double core_seconds(const bench_job& j) {
  return j.group.per_task.millicores / 1000.0 *
         static_cast<double>(j.group.tasks.size()) *
         static_cast<double>(j.runtime.count()) / 1000.0;
}

double cores(const deployment& cell) {
  return cell.workers * cell.capacity.millicores / 1000.0;
}

void sort_by_arrival(workload* jobs) {
  std::stable_sort(jobs->begin(), jobs->end(),
                   [](const bench_job& a, const bench_job& b) {
                     return a.group.submitted < b.group.submitted;
                   });
}

}  // namespace

deployment zora() {
  return {"zora",
          48,
          {16000, 65536, 0, 8},
          {"alerts", "forecasts", "ionosphere", "archive"}};
}

deployment instituto() {
  return {"instituto",
          48,
          {32000, 65536, 0, 8},
          {"ratings", "lookups", "demographics", "archive"}};
}

workload weekend_backlog(const deployment& cell,
                         const weekend_backlog_options& options) {
  generator make(cell, options.seed);
  workload jobs;
  for (int i = 0; i < 6; ++i) jobs.push_back(make.service(kStart));
  const double backlog = options.backlog_minutes * 60 * cores(cell);
  double work = 0;
  for (int i = 0; work < backlog; ++i) {
    jobs.push_back(i % 40 == 0 ? make.gang(kStart, options.max_error_factor)
                               : make.batch(kStart, options.max_error_factor));
    work += core_seconds(jobs.back());
  }
  const double per_tick = options.urgent_per_second *
                          static_cast<double>(kArrivalInterval.count()) / 1000;
  for (milliseconds t{0}; t < options.horizon; t += kArrivalInterval) {
    const int urgent =
        static_cast<int>(per_tick) +
        (make.uniform(0, 1) < per_tick - std::floor(per_tick) ? 1 : 0);
    for (int i = 0; i < urgent; ++i) jobs.push_back(make.urgent(kStart + t));
    if (make.uniform_index(250) == 0) {
      jobs.push_back(make.batch(kStart + t, options.max_error_factor));
    }
  }
  sort_by_arrival(&jobs);
  return jobs;
}

workload constant_load(const deployment& cell, double load,
                       milliseconds horizon, std::uint64_t seed) {
  generator make(cell, seed);
  workload jobs;
  const double work_per_ms = load * cores(cell) / 1000;
  double due = 0;
  for (milliseconds t{0}; t < horizon; t += kArrivalInterval) {
    due += work_per_ms * static_cast<double>(kArrivalInterval.count());
    while (due > 0) {
      bench_job j =
          make.make(job::job_class::batch, make.random_team(), kStart + t);
      j.group.per_task = {1000, 2048, 0, 0};
      make.set_tasks(&j, 1);
      make.set_runtime(&j, make.log_uniform(1, 10), 1);
      j.group.deadline = j.group.submitted + milliseconds(20000);
      due -= core_seconds(j);
      jobs.push_back(std::move(j));
    }
  }
  return jobs;
}

workload saturating_load(const deployment& cell, milliseconds horizon,
                         std::uint64_t seed) {
  generator make(cell, seed);
  workload jobs;
  const double target_work =
      2 * cores(cell) * static_cast<double>(horizon.count()) / 1000;
  for (const std::string& team : cell.teams) {
    double work = 0;
    while (work < target_work) {
      bench_job j = make.batch(kStart, 1);
      j.group.team = team;
      j.group.deadline = steady_time::max();
      work += core_seconds(j);
      jobs.push_back(std::move(j));
    }
  }
  return jobs;
}

}  // namespace ebonygrade::bench
