#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace ebonygrade::bench {

namespace {

constexpr milliseconds kArrivalTick{20};

class generator {
 public:
  generator(const deployment& where, std::uint64_t seed)
      : where_(where), random_(seed) {}

  double uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
  }

  // Between the bounds, small values more frequent.
  double skewed(double from, double to) {
    return std::exp(uniform(std::log(from), std::log(to)));
  }

  int pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  const std::string& any_team() {
    return where_.teams[static_cast<std::size_t>(
        pick(static_cast<int>(where_.teams.size())))];
  }

  bench_job make(job::job_class kind, const std::string& team, steady_time at) {
    bench_job j;
    j.group.id = "j" + std::to_string(next_++);
    j.group.kind = kind;
    j.group.team = team;
    j.group.submitted = at;
    return j;
  }

  void set_tasks(bench_job* j, std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) j->group.tasks.push_back(i);
  }

  void set_runtime(bench_job* j, double seconds, double declared_error) {
    j->runtime = milliseconds(static_cast<std::int64_t>(seconds * 1000));
    const double error = skewed(1 / declared_error, declared_error + 1e-9);
    j->group.expected_runtime =
        milliseconds(static_cast<std::int64_t>(seconds * 1000 * error));
  }

  // Processors and memory in different proportions.
  job::resources batch_need() {
    const double scale = where_.capacity.millicores / 16000.0;
    const double millicores = skewed(500, 6000) * scale;
    const double ratio = skewed(1.5, 9);  // GB a core.
    job::resources need;
    need.millicores = static_cast<std::int32_t>(millicores / 100) * 100;
    const double gigabytes = std::min(32.0, millicores / scale / 1000 * ratio);
    need.memory_mb = std::max(1, static_cast<int>(gigabytes * 4)) * 256;
    return need;
  }

  bench_job batch(steady_time at, double declared_error) {
    bench_job j = make(job::job_class::batch, any_team(), at);
    j.group.per_task = batch_need();
    set_tasks(&j, static_cast<std::uint32_t>(skewed(1, 12)));
    set_runtime(&j, skewed(5, 120), declared_error);
    if (pick(2) == 0) {
      j.group.deadline = at + milliseconds(60000 + pick(600000));
    }
    return j;
  }

  bench_job gang(steady_time at, double declared_error) {
    bench_job j = make(job::job_class::gang, any_team(), at);
    j.group.per_task = {4000, 8192, 0, 0};
    set_tasks(&j, static_cast<std::uint32_t>(8 + pick(41)));
    set_runtime(&j, skewed(20, 60), declared_error);
    return j;
  }

  bench_job urgent(steady_time at) {
    bench_job j = make(job::job_class::urgent, where_.teams[pick(2)], at);
    j.group.per_task = {250, 256, 0, 1};
    set_tasks(&j, 1);
    set_runtime(&j, skewed(0.1, 2), 1);
    j.group.deadline = at + milliseconds(6900);
    return j;
  }

  bench_job service(steady_time at) {
    bench_job j = make(job::job_class::service, any_team(), at);
    j.group.per_task = {1000, 2048, 0, 0};
    set_tasks(&j, 8);
    set_runtime(&j, 1e6, 1);
    return j;
  }

 private:
  const deployment& where_;
  std::mt19937_64 random_;
  int next_ = 0;
};

double core_seconds(const bench_job& j) {
  return j.group.per_task.millicores / 1000.0 *
         static_cast<double>(j.group.tasks.size()) *
         static_cast<double>(j.runtime.count()) / 1000.0;
}

double cores(const deployment& where) {
  return where.workers * where.capacity.millicores / 1000.0;
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

workload monday(const deployment& where, const monday_options& options) {
  generator make(where, options.seed);
  workload jobs;
  for (int i = 0; i < 6; ++i) jobs.push_back(make.service(kStart));
  const double backlog = options.backlog_minutes * 60 * cores(where);
  double work = 0;
  for (int i = 0; work < backlog; ++i) {
    jobs.push_back(i % 40 == 0 ? make.gang(kStart, options.declared_error)
                               : make.batch(kStart, options.declared_error));
    work += core_seconds(jobs.back());
  }
  const double per_tick = options.urgent_per_second *
                          static_cast<double>(kArrivalTick.count()) / 1000;
  for (milliseconds t{0}; t < options.horizon; t += kArrivalTick) {
    const int urgent =
        static_cast<int>(per_tick) +
        (make.uniform(0, 1) < per_tick - std::floor(per_tick) ? 1 : 0);
    for (int i = 0; i < urgent; ++i) jobs.push_back(make.urgent(kStart + t));
    if (make.pick(250) == 0) {
      jobs.push_back(make.batch(kStart + t, options.declared_error));
    }
  }
  sort_by_arrival(&jobs);
  return jobs;
}

workload steady(const deployment& where, double load, milliseconds horizon,
                std::uint64_t seed) {
  generator make(where, seed);
  workload jobs;
  const double work_per_ms = load * cores(where) / 1000;
  double due = 0;
  for (milliseconds t{0}; t < horizon; t += kArrivalTick) {
    due += work_per_ms * static_cast<double>(kArrivalTick.count());
    while (due > 0) {
      bench_job j =
          make.make(job::job_class::batch, make.any_team(), kStart + t);
      j.group.per_task = {1000, 2048, 0, 0};
      make.set_tasks(&j, 1);
      make.set_runtime(&j, make.skewed(1, 10), 1);
      j.group.deadline = j.group.submitted + milliseconds(20000);
      due -= core_seconds(j);
      jobs.push_back(std::move(j));
    }
  }
  return jobs;
}

workload flood(const deployment& where, milliseconds horizon,
               std::uint64_t seed) {
  generator make(where, seed);
  workload jobs;
  const double enough =
      2 * cores(where) * static_cast<double>(horizon.count()) / 1000;
  for (const std::string& team : where.teams) {
    double work = 0;
    while (work < enough) {
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
