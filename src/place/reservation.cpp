#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

// After this many failed reservations a job is persistent: its reservation may
// be planned further ahead than the hold time (`gang_hold` of the policy), and
// is prolonged until the job starts.
constexpr std::uint32_t kFailuresUntilPersistent = 3;
// The furthest that a plan looks ahead, in hold times. If there is no plan
// within, all tasks but services are assumed to end.
constexpr int kMaxPlanHoldTimes = 64;
// A job that is no gang reserves workers only after waiting this many hold
// times.
constexpr int kSingleTaskHoldTimes = 4;

bool is_persistent(const engine& e, const job_state& j) {
  auto found = e.failed_reservations.find(j.id);
  return found != e.failed_reservations.end() &&
         found->second.failed >= kFailuresUntilPersistent;
}

bool may_reserve_now(const engine& e, const job_state& j) {
  const milliseconds hold_time = e.policy.placement.gang_hold;
  if (hold_time.count() == 0 || e.active_reservation.job != kNone) return false;
  if (j.kind != job::job_class::gang &&
      e.now - j.submitted < kSingleTaskHoldTimes * hold_time) {
    return false;
  }
  auto found = e.failed_reservations.find(j.id);
  if (found == e.failed_reservations.end()) return true;
  return found->second.failed >= kFailuresUntilPersistent ||
         e.now - found->second.last_failure >= hold_time;
}

std::int64_t count_fitting_tasks(const job::resources& available,
                                 const job::resources& need) {
  const amounts total = to_amounts(available);
  const amounts each = to_amounts(need);
  std::int64_t count = job::kMaxTasksPerRequest;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (each[i] > 0) count = std::min(count, total[i] / each[i]);
  }
  return std::max<std::int64_t>(0, count);
}

// Predicted free capacity of the worker at `until`: the current one plus that
// of tasks predicted to end by then, or of all tasks but services if
// `wait_for_all`.
job::resources predicted_free(const engine& e, const worker_state& w,
                              steady_time until, bool wait_for_all) {
  job::resources free = w.free;
  for (std::uint32_t at = w.first_task; at != kNone; at = e.running[at].next) {
    const running_state& r = e.running[at];
    const job_state& j = e.jobs[r.job];
    if (j.kind == job::job_class::service) continue;
    const milliseconds runtime = estimate_runtime(e, j);
    const bool ends_in_time = r.started != steady_time::min() &&
                              runtime.count() > 0 &&
                              r.started + runtime <= until;
    if (wait_for_all || ends_in_time) free += j.per_task;
  }
  return free;
}

// A worker and the number of tasks that it is predicted to fit.
struct candidate {
  std::uint32_t worker = 0;
  std::int64_t tasks = 0;
};

// Chooses the fewest workers that are predicted to fit all waiting tasks of a
// gang, or one task of another job, by `until`. Returns none if they don't.
std::vector<std::uint32_t> choose_workers(const engine& e, const job_state& j,
                                          steady_time until,
                                          bool wait_for_all) {
  std::vector<candidate> candidates;
  for (std::uint32_t worker = 0; worker < e.workers.size(); ++worker) {
    if (!e.free_index.contains(worker)) continue;
    const worker_state& w = e.workers[worker];
    if (w.health != worker_health::healthy) continue;
    const std::int64_t tasks = count_fitting_tasks(
        predicted_free(e, w, until, wait_for_all), j.per_task);
    if (tasks > 0) candidates.push_back({worker, tasks});
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.tasks > b.tasks; });
  std::int64_t left = j.kind == job::job_class::gang
                          ? static_cast<std::int64_t>(j.waiting.size())
                          : 1;
  std::vector<std::uint32_t> chosen;
  for (const candidate& each : candidates) {
    if (left <= 0) break;
    left -= each.tasks;
    chosen.push_back(each.worker);
  }
  if (left > 0) chosen.clear();
  return chosen;
}

struct plan {
  steady_time ready_at;
  std::vector<std::uint32_t> workers;  // Empty if there is no plan.
};

// Finds the earliest plan, doubling the time ahead in each step. Only a
// persistent job is planned for more than one hold time.
plan make_plan(const engine& e, const job_state& j) {
  const milliseconds hold_time = e.policy.placement.gang_hold;
  plan made;
  const int max_hold_times = is_persistent(e, j) ? kMaxPlanHoldTimes : 1;
  for (int hold_times = 1; hold_times <= max_hold_times; hold_times *= 2) {
    made.ready_at = e.now + hold_times * hold_time;
    made.workers = choose_workers(e, j, made.ready_at, false);
    if (!made.workers.empty()) return made;
  }
  if (is_persistent(e, j)) {
    made.workers = choose_workers(e, j, made.ready_at, true);
  }
  return made;
}

void record_failed_reservation(engine* e, const job_state& j) {
  reservation_history& history = e->failed_reservations[j.id];
  ++history.failed;
  history.last_failure = e->now;
}

}  // namespace

void try_reservation(engine* e, std::uint32_t job) {
  const job_state& j = e->jobs[job];
  if (!may_reserve_now(*e, j)) return;
  plan made = make_plan(*e, j);
  if (made.workers.empty()) {
    record_failed_reservation(e, j);
    return;
  }
  e->active_reservation.job = job;
  e->active_reservation.ready_at = made.ready_at;
  e->active_reservation.until =
      std::max(made.ready_at, e->now + e->policy.placement.gang_hold);
  e->active_reservation.workers = std::move(made.workers);
  for (std::uint32_t worker : e->active_reservation.workers) {
    e->workers[worker].reserved = true;
    refresh_worker(e, worker);
  }
}

void release_reservation(engine* e) {
  e->active_reservation.job = kNone;
  for (std::uint32_t worker : e->active_reservation.workers) {
    e->workers[worker].reserved = false;
    if (!e->free_index.contains(worker)) continue;
    refresh_worker(e, worker);
    record_released_capacity(e, worker);
  }
  e->active_reservation.workers.clear();
}

void expire_reservation(engine* e, steady_time now) {
  if (e->active_reservation.job == kNone || now < e->active_reservation.until) {
    return;
  }
  const job_state& j = e->jobs[e->active_reservation.job];
  if (is_persistent(*e, j) && !e->active_reservation.workers.empty()) {
    e->active_reservation.until = now + e->policy.placement.gang_hold;
    return;
  }
  record_failed_reservation(e, j);
  release_reservation(e);
}

bool may_use_reserved(const engine& e, std::uint32_t job,
                      std::int32_t priority) {
  if (e.active_reservation.job == kNone) return false;
  if (e.active_reservation.job == job) return true;
  const job_state& holder = e.jobs[e.active_reservation.job];
  if (priority > e.queues[holder.queue].priority) return true;
  const milliseconds runtime = estimate_runtime(e, e.jobs[job]);
  return runtime.count() > 0 &&
         e.now + runtime <= e.active_reservation.ready_at;
}

}  // namespace ebonygrade::place
