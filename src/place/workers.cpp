#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr milliseconds kMaxQuarantineTime{600000};

std::uint32_t intern(name_map* names, const std::string& name) {
  std::uint32_t next = static_cast<std::uint32_t>(names->size());
  return names->try_emplace(name, next).first->second;
}

std::uint32_t make_worker(engine* e, const std::string& id) {
  std::uint32_t worker;
  if (e->free_workers.empty()) {
    worker = static_cast<std::uint32_t>(e->workers.size());
    e->workers.emplace_back();
  } else {
    worker = e->free_workers.back();
    e->free_workers.pop_back();
  }
  e->workers[worker] = worker_state{};
  e->workers[worker].id = id;
  e->workers[worker].present = true;
  e->worker_by_id.emplace(id, worker);
  ++e->worker_count;
  return worker;
}

// Adds `by` workers of the capacity to the totals; `by` may be negative.
void count_capacity(engine* e, const job::resources& capacity, int by) {
  add(&e->capacity, capacity, by);
  add(&e->free, capacity, by);
  e->shares_stale = true;
  auto found = std::find_if(
      e->capacity_groups.begin(), e->capacity_groups.end(),
      [&](const capacity_group& g) { return g.capacity == capacity; });
  if (found == e->capacity_groups.end()) {
    e->capacity_groups.push_back({capacity, 0});
    found = e->capacity_groups.end() - 1;
  }
  found->workers += static_cast<std::size_t>(by);
  if (found->workers == 0) e->capacity_groups.erase(found);
}

bool accepts_tasks(const worker_state& w) {
  if (!w.present || w.leaving) return false;
  if (w.health == worker_health::quarantined) return false;
  return !(w.health == worker_health::probation && w.probing);
}

bool may_quarantine(const engine& e) {
  const double limit =
      e.policy.placement.max_quarantined * static_cast<double>(e.worker_count);
  return static_cast<double>(e.quarantined.size() + 1) <= limit;
}

// Used if no more workers may be quarantined: the worker accepts one task at a
// time until one completes.
void put_on_probation(engine* e, std::uint32_t worker) {
  worker_state& w = e->workers[worker];
  w.health = worker_health::probation;
  w.probing = false;
  refresh_worker(e, worker);
  record_released_capacity(e, worker);
}

// Quarantines the worker. After a failed task on probation, the quarantine is
// twice as long as the last one.
void quarantine(engine* e, std::uint32_t worker, steady_time now) {
  worker_state& w = e->workers[worker];
  const bool is_listed = std::find(e->quarantined.begin(), e->quarantined.end(),
                                   worker) != e->quarantined.end();
  if (!is_listed && !may_quarantine(*e)) {
    put_on_probation(e, worker);
    return;
  }
  const bool is_repeated = w.quarantine_time.count() > 0;
  w.quarantine_time = is_repeated
                          ? std::min(kMaxQuarantineTime, 2 * w.quarantine_time)
                          : e->policy.placement.quarantine_time;
  w.quarantined_until = now + w.quarantine_time;
  w.health = worker_health::quarantined;
  w.probing = false;
  if (!is_listed) e->quarantined.push_back(worker);
  refresh_worker(e, worker);
}

void clear_quarantine(engine* e, std::uint32_t worker) {
  worker_state& w = e->workers[worker];
  w.health = worker_health::healthy;
  w.failures = 0;
  w.probing = false;
  w.quarantine_time = milliseconds(0);
  std::erase(e->quarantined, worker);
  refresh_worker(e, worker);
  record_released_capacity(e, worker);
}

// Whether a failure counts against the worker. A failure of a job that has
// failed on several workers and never completed a task doesn't.
bool is_worker_at_fault(job_state* j, std::uint32_t worker) {
  if (j->completions > 0) return true;
  if (j->last_failed_on != kNone && j->last_failed_on != worker) {
    j->failed_on_several = true;
  }
  j->last_failed_on = worker;
  return !j->failed_on_several;
}

}  // namespace

void refresh_worker(engine* e, std::uint32_t worker) {
  const worker_state& w = e->workers[worker];
  if (accepts_tasks(w)) {
    e->free_index.update(worker, w.free,
                         w.reserved ? section::reserved : section::unreserved,
                         w.health == worker_health::probation);
  } else {
    e->free_index.remove(worker);
  }
}

void record_released_capacity(engine* e, std::uint32_t worker) {
  const worker_state& w = e->workers[worker];
  if (!accepts_tasks(w)) return;
  job::resources& largest = e->largest_released;
  largest.millicores = std::max(largest.millicores, w.free.millicores);
  largest.memory_mb = std::max(largest.memory_mb, w.free.memory_mb);
  largest.accelerators = std::max(largest.accelerators, w.free.accelerators);
  largest.slots = std::max(largest.slots, w.free.slots);
  e->any_released = true;
}

void update_worker_health(engine* e, std::uint32_t worker, std::uint32_t job,
                          wire::task_end end, steady_time now) {
  worker_state& w = e->workers[worker];
  job_state& j = e->jobs[job];
  if (end == wire::completed) {
    ++j.completions;
    w.failures = 0;
    if (w.health == worker_health::probation) clear_quarantine(e, worker);
    return;
  }
  if (end != wire::failed) {
    w.probing = false;
    refresh_worker(e, worker);
    return;
  }
  if (!is_worker_at_fault(&j, worker)) {
    w.probing = false;
    refresh_worker(e, worker);
    return;
  }
  ++w.failures;
  const bool must_quarantine =
      w.health == worker_health::probation ||
      (w.health == worker_health::healthy &&
       w.failures >= e->policy.placement.quarantine_failures);
  if (must_quarantine) quarantine(e, worker, now);
}

void expire_quarantines(engine* e, steady_time now) {
  for (std::uint32_t worker : e->quarantined) {
    worker_state& w = e->workers[worker];
    if (w.health != worker_health::quarantined) continue;
    if (now < w.quarantined_until) continue;
    w.health = worker_health::probation;
    refresh_worker(e, worker);
    record_released_capacity(e, worker);
  }
}

void add_worker(engine& e, const worker_spec& spec) {
  auto found = e.worker_by_id.find(spec.id);
  const bool is_new = found == e.worker_by_id.end();
  const std::uint32_t worker =
      is_new ? make_worker(&e, spec.id) : found->second;
  worker_state& w = e.workers[worker];
  if (!is_new) count_capacity(&e, w.capacity, -1);
  count_capacity(&e, spec.capacity, 1);
  w.free += spec.capacity;
  w.free -= w.capacity;
  w.capacity = spec.capacity;
  w.zone = intern(&e.zones, spec.zone);
  w.rack = intern(&e.racks, spec.zone + "/" + spec.rack);
  e.free_index.set_worker(worker, w.capacity, w.zone, w.rack);
  refresh_worker(&e, worker);
  record_released_capacity(&e, worker);
}

void remove_worker(engine& e, std::string_view id) {
  auto found = e.worker_by_id.find(id);
  if (found == e.worker_by_id.end()) return;
  const std::uint32_t worker = found->second;
  worker_state& w = e.workers[worker];
  w.present = false;
  while (w.first_task != kNone) {
    const std::uint32_t job = e.running[w.first_task].job;
    remove_running(&e, w.first_task);
    free_job_if_unused(&e, job);
  }
  e.free_index.remove(worker);
  if (w.reserved) std::erase(e.active_reservation.workers, worker);
  std::erase(e.quarantined, worker);
  count_capacity(&e, w.capacity, -1);
  e.worker_by_id.erase(found);
  e.free_workers.push_back(worker);
  --e.worker_count;
}

void set_leaving(engine& e, std::string_view id, bool leaving) {
  auto found = e.worker_by_id.find(id);
  if (found == e.worker_by_id.end()) return;
  worker_state& w = e.workers[found->second];
  if (w.leaving == leaving) return;
  w.leaving = leaving;
  refresh_worker(&e, found->second);
  record_released_capacity(&e, found->second);
}

}  // namespace ebonygrade::place
