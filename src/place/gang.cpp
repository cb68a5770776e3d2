#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

// A quick check: whether all tasks fit into the sum of the free capacity.
bool may_fit_in_total(const engine& e, const job_state& j) {
  const amounts each = to_amounts(j.per_task);
  const std::int64_t tasks = static_cast<std::int64_t>(j.waiting.size());
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (each[i] * tasks > e.free[i]) return false;
  }
  return true;
}

// Undoes the last `count` starts of the job in this round. The released
// capacity unblocks no queue, since it was free before the attempt.
void undo_starts(engine* e, std::uint32_t job, std::size_t count,
                 decisions* out) {
  const bool any_released = e->any_released;
  const job::resources largest_released = e->largest_released;
  job_state& j = e->jobs[job];
  const std::uint32_t team = j.team;
  const bool has_quota_blocked = e->teams[team].has_quota_blocked;
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint32_t task = out->starts.back().task_index;
    const std::uint32_t running = find_running(*e, job, task);
    const std::uint32_t worker = e->running[running].worker;
    e->workers[worker].probing = false;
    remove_running(e, running);
    out->starts.pop_back();
    j.waiting.push_back(task);
  }
  e->queues[j.queue].tasks += count;
  e->waiting_count += count;
  e->class_waiting[static_cast<std::size_t>(j.kind)] += count;
  e->teams[team].waiting += count;
  e->teams[team].has_quota_blocked = has_quota_blocked;
  e->any_released = any_released;
  e->largest_released = largest_released;
}

}  // namespace

bool place_gang(engine* e, std::uint32_t job, decisions* out) {
  job_state& j = e->jobs[job];
  if (!may_fit_in_total(*e, j)) return false;
  const std::int32_t priority = e->queues[j.queue].priority;
  const std::size_t tasks = j.waiting.size();
  for (std::size_t placed = 0; placed < tasks; ++placed) {
    const std::uint32_t worker = find_worker(e, job, priority);
    if (worker == kNone) {
      undo_starts(e, job, placed, out);
      return false;
    }
    start_next_task(e, job, worker, out);
  }
  return true;
}

}  // namespace ebonygrade::place
