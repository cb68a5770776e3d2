#include <xxhash.h>

#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr milliseconds kPriorityRefreshInterval{250};
// Bounds the search from the tail of a queue for the position of an older job.
// A job that belongs further ahead goes to the head.
constexpr int kMaxInsertionSteps = 64;

std::int32_t effective_priority(const engine& e, const queue_state& q) {
  const bundle::class_policy& policy = class_policy_of(e, q.kind);
  steady_time::duration waited = e.now - e.jobs[q.head].submitted;
  std::int64_t raised = std::max<std::int64_t>(0, waited / policy.ageing);
  return policy.priority + static_cast<std::int32_t>(raised);
}

std::uint32_t make_queue(engine* e, const task_shape& key) {
  auto [found, inserted] = e->queue_by_shape.try_emplace(key, kNone);
  if (!inserted) return found->second;
  std::uint32_t queue;
  if (e->free_queues.empty()) {
    queue = static_cast<std::uint32_t>(e->queues.size());
    e->queues.emplace_back();
  } else {
    queue = e->free_queues.back();
    e->free_queues.pop_back();
  }
  found->second = queue;
  queue_state& q = e->queues[queue];
  // The index may still be in engine::blocked_queues from an earlier queue.
  const bool is_in_blocked_list = q.is_in_blocked_list;
  q = queue_state{};
  q.is_in_blocked_list = is_in_blocked_list;
  q.team = key.team;
  q.kind = key.kind;
  q.need = key.need;
  return queue;
}

void free_queue(engine* e, std::uint32_t queue) {
  queue_state& q = e->queues[queue];
  e->teams[q.team].queues.erase(e->queue_positions, queue);
  e->queue_by_shape.erase(task_shape{q.team, q.kind, q.need});
  q.blocked = block_reason::none;
  e->free_queues.push_back(queue);
  update_ready_team(e, q.team);
}

// Links the job before the job `at`, or at the tail if `at` is kNone.
void link_before(engine* e, queue_state* q, std::uint32_t job,
                 std::uint32_t at) {
  job_state& j = e->jobs[job];
  j.next = at;
  j.previous = at == kNone ? q->tail : e->jobs[at].previous;
  if (j.previous == kNone) {
    q->head = job;
  } else {
    e->jobs[j.previous].next = job;
  }
  if (at == kNone) {
    q->tail = job;
  } else {
    e->jobs[at].previous = job;
  }
}

// The job before which a job of this submission time belongs; kNone: the tail.
std::uint32_t find_insertion_point(const engine& e, const queue_state& q,
                                   steady_time submitted) {
  std::uint32_t at = kNone;
  std::uint32_t before = q.tail;
  for (int i = 0; i < kMaxInsertionSteps; ++i) {
    if (before == kNone || e.jobs[before].submitted <= submitted) return at;
    at = before;
    before = e.jobs[before].previous;
  }
  return q.head;
}

bool may_be_ready(const engine& e, const queue_state& q) {
  switch (q.blocked) {
    case block_reason::none:
      return true;
    case block_reason::capacity:
      return e.now >= q.retry_at ||
             (e.any_released && job::fits(q.need, e.largest_released));
    case block_reason::quota:
      return e.teams[q.team].has_quota_blocked == false;
    case block_reason::backoff:
      return e.now >= q.retry_at;
  }
  return true;
}

}  // namespace

std::size_t task_shape_hash::operator()(const task_shape& value) const {
  const std::uint32_t words[] = {
      value.team,
      static_cast<std::uint32_t>(value.kind),
      static_cast<std::uint32_t>(value.need.millicores),
      static_cast<std::uint32_t>(value.need.memory_mb),
      static_cast<std::uint32_t>(value.need.accelerators),
      static_cast<std::uint32_t>(value.need.slots)};
  return XXH3_64bits(words, sizeof words);
}

std::uint32_t find_job(const engine& e, std::string_view id) {
  auto found = e.job_by_id.find(id);
  return found == e.job_by_id.end() ? kNone : found->second;
}

std::uint32_t make_job(engine* e, std::string_view id) {
  std::uint32_t job;
  if (e->free_jobs.empty()) {
    job = static_cast<std::uint32_t>(e->jobs.size());
    e->jobs.emplace_back();
  } else {
    job = e->free_jobs.back();
    e->free_jobs.pop_back();
  }
  job_state& j = e->jobs[job];
  j = job_state{};
  j.id = id;
  auto earlier = e->preemption_counts.find(j.id);
  if (earlier != e->preemption_counts.end()) j.preemptions = earlier->second;
  e->job_by_id.emplace(j.id, job);
  return job;
}

void free_job_if_unused(engine* e, std::uint32_t job) {
  job_state& j = e->jobs[job];
  if (j.queue != kNone || j.running > 0) return;
  e->job_by_id.erase(j.id);
  e->free_jobs.push_back(job);
}

void update_queue(engine* e, std::uint32_t queue) {
  queue_state& q = e->queues[queue];
  q.priority = effective_priority(*e, q);
  if (q.blocked == block_reason::none) {
    const job_state& head = e->jobs[q.head];
    queue_key key{q.priority, 0, head.deadline, head.submitted};
    if (e->policy.placement.packing_weight >= kPackingThreshold) {
      key.size = static_cast<float>(dominant_share(*e, to_amounts(q.need)));
    }
    e->teams[q.team].queues.update(e->queue_positions, queue, key);
  }
  update_ready_team(e, q.team);
}

void link_job(engine* e, std::uint32_t job) {
  job_state& j = e->jobs[job];
  j.queue = make_queue(e, task_shape{j.team, j.kind, j.per_task});
  queue_state& q = e->queues[j.queue];
  link_before(e, &q, job, find_insertion_point(*e, q, j.submitted));
  q.tasks += j.waiting.size();
  if (j.deadline != steady_time::max()) {
    e->deadlines.update(e->deadline_positions, job, j.deadline);
  }
  if (q.head != job) return;
  // Gangs of one queue differ in their number of tasks: this one may fit.
  if (q.kind == job::job_class::gang) q.blocked = block_reason::none;
  update_queue(e, j.queue);
}

void unlink_job(engine* e, std::uint32_t job) {
  job_state& j = e->jobs[job];
  const std::uint32_t queue = j.queue;
  queue_state& q = e->queues[queue];
  const bool was_head = q.head == job;
  if (j.previous == kNone) {
    q.head = j.next;
  } else {
    e->jobs[j.previous].next = j.next;
  }
  if (j.next == kNone) {
    q.tail = j.previous;
  } else {
    e->jobs[j.next].previous = j.previous;
  }
  j.queue = j.previous = j.next = kNone;
  e->deadlines.erase(e->deadline_positions, job);
  if (e->active_reservation.job == job) release_reservation(e);
  if (!e->failed_reservations.empty()) e->failed_reservations.erase(j.id);
  if (q.head == kNone) {
    free_queue(e, queue);
  } else if (was_head) {
    if (q.kind == job::job_class::gang) q.blocked = block_reason::none;
    update_queue(e, queue);
  }
}

std::size_t drop_waiting(engine* e, std::uint32_t job) {
  job_state& j = e->jobs[job];
  if (j.queue == kNone) return 0;
  const std::size_t count = j.waiting.size();
  e->waiting_count -= count;
  e->class_waiting[static_cast<std::size_t>(j.kind)] -= count;
  e->teams[j.team].waiting -= count;
  e->queues[j.queue].tasks -= count;
  j.waiting.clear();
  unlink_job(e, job);
  free_job_if_unused(e, job);
  return count;
}

void block_queue(engine* e, std::uint32_t queue, block_reason reason) {
  queue_state& q = e->queues[queue];
  q.blocked = reason;
  team_state& team = e->teams[q.team];
  team.queues.erase(e->queue_positions, queue);
  if (reason == block_reason::quota) team.has_quota_blocked = true;
  if (!q.is_in_blocked_list) {
    q.is_in_blocked_list = true;
    e->blocked_queues.push_back(queue);
  }
  update_ready_team(e, q.team);
}

void unblock_queues(engine* e) {
  std::size_t kept = 0;
  for (std::uint32_t queue : e->blocked_queues) {
    queue_state& q = e->queues[queue];
    const bool is_blocked = q.head != kNone && q.blocked != block_reason::none;
    if (is_blocked && !e->unblock_all && !may_be_ready(*e, q)) {
      e->blocked_queues[kept++] = queue;
      continue;
    }
    q.is_in_blocked_list = false;
    q.blocked = block_reason::none;
    if (q.head != kNone) update_queue(e, queue);
  }
  e->blocked_queues.resize(kept);
  e->unblock_all = false;
  e->any_released = false;
  e->largest_released = job::resources{};
}

void refresh_priorities(engine* e, bool force) {
  if (!force && e->now < e->next_priority_refresh) return;
  e->next_priority_refresh = e->now + kPriorityRefreshInterval;
  for (std::uint32_t queue = 0; queue < e->queues.size(); ++queue) {
    const queue_state& q = e->queues[queue];
    if (q.head == kNone) continue;
    if (effective_priority(*e, q) != q.priority || force) {
      update_queue(e, queue);
    }
  }
}

std::size_t withdraw(engine& e, std::string_view id) {
  std::uint32_t job = find_job(e, id);
  return job == kNone ? 0 : drop_waiting(&e, job);
}

}  // namespace ebonygrade::place
