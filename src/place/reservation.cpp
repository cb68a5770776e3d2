#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

// After so many reservations in vain a job's next one may be planned further
// ahead than the hold time, and is renewed until the job starts.
constexpr std::uint32_t kPatience = 3;
// Furthest plan, in hold times; beyond it all tasks are taken to end.
constexpr int kMaxPlanHolds = 64;
// A job of independent tasks waits so many hold times before it reserves.
constexpr int kSingleTaskHolds = 4;

bool is_persistent(const engine& e, const job_state& j) {
  auto found = e.failed_holds.find(j.id);
  return found != e.failed_holds.end() && found->second.failed >= kPatience;
}

bool may_reserve_now(const engine& e, const job_state& j) {
  const milliseconds hold = e.policy.placement.gang_hold;
  if (hold.count() == 0 || e.held.job != kNone) return false;
  if (j.kind != job::job_class::gang &&
      e.now - j.submitted < kSingleTaskHolds * hold) {
    return false;
  }
  auto found = e.failed_holds.find(j.id);
  if (found == e.failed_holds.end()) return true;
  return found->second.failed >= kPatience ||
         e.now - found->second.last_end >= hold;
}

std::int64_t tasks_in(const job::resources& room, const job::resources& need) {
  const amounts have = to_amounts(room);
  const amounts each = to_amounts(need);
  std::int64_t most = job::kMaxTasksPerRequest;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (each[i] > 0) most = std::min(most, have[i] / each[i]);
  }
  return std::max<std::int64_t>(0, most);
}

// Room on the worker once the tasks have ended that should by `until`, or
// all that are no services.
job::resources room_by(const engine& e, const worker_state& w,
                       steady_time until, bool wait_for_all) {
  job::resources room = w.free;
  for (std::uint32_t at = w.first_task; at != kNone; at = e.running[at].next) {
    const running_state& r = e.running[at];
    const job_state& j = e.jobs[r.job];
    if (j.kind == job::job_class::service) continue;
    const milliseconds runtime = estimate_runtime(e, j);
    const bool ends_in_time = r.started != steady_time::min() &&
                              runtime.count() > 0 &&
                              r.started + runtime <= until;
    if (wait_for_all || ends_in_time) room += j.per_task;
  }
  return room;
}

struct candidate {
  std::uint32_t worker = 0;
  std::int64_t tasks = 0;
};

// The fewest workers that should have room for all waiting tasks by `until`.
std::vector<std::uint32_t> choose_workers(const engine& e, const job_state& j,
                                          steady_time until,
                                          bool wait_for_all) {
  std::vector<candidate> candidates;
  for (std::uint32_t worker = 0; worker < e.workers.size(); ++worker) {
    if (!e.rooms.contains(worker)) continue;
    const worker_state& w = e.workers[worker];
    if (w.health != worker_health::healthy) continue;
    const std::int64_t tasks =
        tasks_in(room_by(e, w, until, wait_for_all), j.per_task);
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
  std::vector<std::uint32_t> workers;  // Empty: none found.
};

// The earliest plan, in steps that double. A job that was not patient for
// long enough is planned for one hold time only.
plan make_plan(const engine& e, const job_state& j) {
  const milliseconds hold = e.policy.placement.gang_hold;
  plan made;
  const int most = is_persistent(e, j) ? kMaxPlanHolds : 1;
  for (int holds = 1; holds <= most; holds *= 2) {
    made.ready_at = e.now + holds * hold;
    made.workers = choose_workers(e, j, made.ready_at, false);
    if (!made.workers.empty()) return made;
  }
  if (is_persistent(e, j)) {
    made.workers = choose_workers(e, j, made.ready_at, true);
  }
  return made;
}

void note_failed_hold(engine* e, const job_state& j) {
  hold_history& history = e->failed_holds[j.id];
  ++history.failed;
  history.last_end = e->now;
}

}  // namespace

void consider_reservation(engine* e, std::uint32_t job) {
  const job_state& j = e->jobs[job];
  if (!may_reserve_now(*e, j)) return;
  plan made = make_plan(*e, j);
  if (made.workers.empty()) {
    note_failed_hold(e, j);
    return;
  }
  e->held.job = job;
  e->held.ready_at = made.ready_at;
  e->held.until =
      std::max(made.ready_at, e->now + e->policy.placement.gang_hold);
  e->held.workers = std::move(made.workers);
  for (std::uint32_t worker : e->held.workers) {
    e->workers[worker].held = true;
    refresh_worker(e, worker);
  }
}

void release_reservation(engine* e) {
  e->held.job = kNone;
  for (std::uint32_t worker : e->held.workers) {
    e->workers[worker].held = false;
    if (!e->rooms.contains(worker)) continue;
    refresh_worker(e, worker);
    note_given_back(e, worker);
  }
  e->held.workers.clear();
}

void expire_reservation(engine* e, steady_time now) {
  if (e->held.job == kNone || now < e->held.until) return;
  const job_state& j = e->jobs[e->held.job];
  if (is_persistent(*e, j) && !e->held.workers.empty()) {
    e->held.until = now + e->policy.placement.gang_hold;
    return;
  }
  note_failed_hold(e, j);
  release_reservation(e);
}

bool may_use_held(const engine& e, std::uint32_t job, std::int32_t level) {
  if (e.held.job == kNone) return false;
  if (e.held.job == job) return true;
  const job_state& holder = e.jobs[e.held.job];
  if (level > e.queues[holder.queue].level) return true;
  const milliseconds runtime = estimate_runtime(e, e.jobs[job]);
  return runtime.count() > 0 && e.now + runtime <= e.held.ready_at;
}

}  // namespace ebonygrade::place
