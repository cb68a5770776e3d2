#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr double kSmoothingFactor = 0.1;  // Weight of a new value.

std::uint64_t task_key(std::uint32_t job, std::uint32_t task_index) {
  return static_cast<std::uint64_t>(job) << 32 | task_index;
}

void count_spread(engine* e, job_state* j, const worker_state& w, int by) {
  if (!class_policy_of(*e, j->kind).spread && j->spread == nullptr) return;
  if (j->spread == nullptr) j->spread = std::make_unique<spread_counts>();
  spread_counts& counts = *j->spread;
  if (w.zone >= counts.zones.size()) counts.zones.resize(w.zone + 1);
  if (w.rack >= counts.racks.size()) counts.racks.resize(w.rack + 1);
  if (by < 0 && counts.racks[w.rack] == 0) return;
  counts.zones[w.zone] += static_cast<std::uint32_t>(by);
  counts.racks[w.rack] += static_cast<std::uint32_t>(by);
}

void link_running(engine* e, std::uint32_t running) {
  running_state& r = e->running[running];
  worker_state& w = e->workers[r.worker];
  r.previous = kNone;
  r.next = w.first_task;
  if (r.next != kNone) e->running[r.next].previous = running;
  w.first_task = running;
  ++w.running;
}

void unlink_running(engine* e, const running_state& r) {
  worker_state& w = e->workers[r.worker];
  if (r.previous == kNone) {
    w.first_task = r.next;
  } else {
    e->running[r.previous].next = r.next;
  }
  if (r.next != kNone) e->running[r.next].previous = r.previous;
  --w.running;
}

void update_average(double* mean, double value) {
  *mean = *mean == 0 ? value : *mean + kSmoothingFactor * (value - *mean);
}

}  // namespace

std::uint32_t find_running(const engine& e, std::uint32_t job,
                           std::uint32_t task_index) {
  auto found = e.running_by_task.find(task_key(job, task_index));
  return found == e.running_by_task.end() ? kNone : found->second;
}

void add_running(engine* e, std::uint32_t job, std::uint32_t task_index,
                 std::uint32_t worker, steady_time started) {
  std::uint32_t running;
  if (e->free_running.empty()) {
    running = static_cast<std::uint32_t>(e->running.size());
    e->running.emplace_back();
  } else {
    running = e->free_running.back();
    e->free_running.pop_back();
  }
  running_state& r = e->running[running];
  r = running_state{};
  r.job = job;
  r.task_index = task_index;
  r.worker = worker;
  r.started = started;
  e->running_by_task.emplace(task_key(job, task_index), running);
  link_running(e, running);
  job_state& j = e->jobs[job];
  worker_state& w = e->workers[worker];
  ++j.running;
  ++e->running_count;
  w.free -= j.per_task;
  if (w.health == worker_health::probation) w.probing = true;
  add(&e->free, j.per_task, -1);
  charge(e, j.team, j.per_task, 1);
  count_spread(e, &j, w, 1);
  refresh_worker(e, worker);
}

void remove_running(engine* e, std::uint32_t running) {
  running_state& r = e->running[running];
  job_state& j = e->jobs[r.job];
  worker_state& w = e->workers[r.worker];
  e->running_by_task.erase(task_key(r.job, r.task_index));
  if (r.preempted) record_preempted_end(e, r);
  unlink_running(e, r);
  --j.running;
  --e->running_count;
  w.free += j.per_task;
  add(&e->free, j.per_task, 1);
  charge(e, j.team, j.per_task, -1);
  count_spread(e, &j, w, -1);
  e->teams[j.team].has_quota_blocked = false;
  update_ready_team(e, j.team);
  refresh_worker(e, r.worker);
  record_released_capacity(e, r.worker);
  e->free_running.push_back(running);
}

milliseconds estimate_runtime(const engine& e, const job_state& job) {
  const observed_demand& observed =
      e.teams[job.team].observed[static_cast<std::size_t>(job.kind)];
  if (job.expected_runtime.count() == 0) {
    return milliseconds(static_cast<std::int64_t>(observed.runtime_ms));
  }
  const double ratio =
      observed.runtime_ratio > 0 ? observed.runtime_ratio : 1.0;
  const double declared = static_cast<double>(job.expected_runtime.count());
  return milliseconds(static_cast<std::int64_t>(declared * ratio));
}

void record_runtime(engine* e, const job_state& job, milliseconds measured) {
  observed_demand& observed =
      e->teams[job.team].observed[static_cast<std::size_t>(job.kind)];
  const double runtime = static_cast<double>(measured.count());
  update_average(&observed.runtime_ms, runtime);
  if (job.expected_runtime.count() == 0) return;
  update_average(&observed.runtime_ratio,
                 runtime / static_cast<double>(job.expected_runtime.count()));
}

void adopt_task(engine& e, const running_task& task) {
  auto at = e.worker_by_id.find(task.worker);
  if (at == e.worker_by_id.end()) return;
  std::uint32_t job = find_job(e, task.id);
  if (job == kNone) {
    job = make_job(&e, task.id);
    job_state& j = e.jobs[job];
    j.team = intern_team(&e, task.team);
    j.kind = task.kind;
    j.idempotent = task.idempotent;
    j.per_task = task.per_task;
    j.submitted = e.now;
  }
  if (find_running(e, job, task.task_index) != kNone) return;
  add_running(&e, job, task.task_index, at->second, steady_time::min());
  update_ready_team(&e, e.jobs[job].team);
}

void task_ended(engine& e, std::string_view id, std::uint32_t task_index,
                wire::task_end end, steady_time now) {
  e.now = std::max(e.now, now);
  const std::uint32_t job = find_job(e, id);
  if (job == kNone) return;
  const std::uint32_t running = find_running(e, job, task_index);
  if (running == kNone) return;
  const std::uint32_t worker = e.running[running].worker;
  const steady_time started = e.running[running].started;
  if (end == wire::completed && started != steady_time::min()) {
    record_runtime(&e, e.jobs[job],
                   std::chrono::duration_cast<milliseconds>(now - started));
  }
  remove_running(&e, running);
  update_worker_health(&e, worker, job, end, now);
  free_job_if_unused(&e, job);
}

void record_usage(engine& e, std::string_view id, std::uint32_t task_index,
                  const job::resources& used) {
  const std::uint32_t job = find_job(e, id);
  if (job == kNone || find_running(e, job, task_index) == kNone) return;
  const job_state& j = e.jobs[job];
  observed_demand& observed =
      e.teams[j.team].observed[static_cast<std::size_t>(j.kind)];
  const amounts measured = to_amounts(used);
  const amounts declared = to_amounts(j.per_task);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (declared[i] <= 0) continue;
    update_average(
        &observed.use_ratio[i],
        static_cast<double>(measured[i]) / static_cast<double>(declared[i]));
  }
}

}  // namespace ebonygrade::place
