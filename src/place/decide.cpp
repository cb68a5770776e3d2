#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

// Bounds the failed attempts to place gangs in each window, since one attempt
// searches a worker for each task.
constexpr int kMaxFailedGangTries = 4;
constexpr milliseconds kGangTryWindow{1};
constexpr milliseconds kGangRetryDelay{5};

void drop_job(engine* e, std::uint32_t job, std::string_view reason,
              decisions* out) {
  drop dropped;
  dropped.id = e->jobs[job].id;
  dropped.reason = reason;
  dropped.retry_after = staggered_retry_after(e, e->now);
  out->drops.push_back(std::move(dropped));
  drop_waiting(e, job);
}

void expire_deadlines(engine* e, decisions* out) {
  while (!e->deadlines.empty() && e->deadlines.top_key() <= e->now) {
    drop_job(e, e->deadlines.top(), "the deadline passed before a start", out);
  }
}

void delay_gang_retry(engine* e, std::uint32_t queue) {
  e->queues[queue].retry_at = e->now + kGangRetryDelay;
  block_queue(e, queue, block_reason::backoff);
}

// The time from which on the job may use workers on probation, where its tasks
// may fail: at once for an idempotent job, after the quarantine time for
// others, and never for a gang.
steady_time probation_allowed_from(const engine& e, const job_state& j) {
  if (j.kind == job::job_class::gang) return steady_time::max();
  if (j.idempotent) return steady_time::min();
  return j.submitted + e.policy.placement.quarantine_time;
}

bool may_try_gang(engine* e) {
  if (e->now - e->gang_try_window_start >= kGangTryWindow) {
    e->gang_try_window_start = e->now;
    e->failed_gang_tries = 0;
  }
  return e->failed_gang_tries < kMaxFailedGangTries;
}

void try_gang(engine* e, std::uint32_t queue, decisions* out) {
  const std::uint32_t job = e->queues[queue].head;
  if (!may_try_gang(e)) {
    delay_gang_retry(e, queue);
    return;
  }
  if (place_gang(e, job, out)) {
    dequeue_job(e, job);
    return;
  }
  ++e->failed_gang_tries;
  try_reservation(e, job);
  delay_gang_retry(e, queue);
}

void try_task(engine* e, std::uint32_t queue, decisions* out) {
  const std::uint32_t job = e->queues[queue].head;
  const std::uint32_t worker = find_worker(e, job, e->queues[queue].priority);
  if (worker == kNone) {
    try_preemption(e, queue, out);
    try_reservation(e, job);
    const steady_time allowed_from = probation_allowed_from(*e, e->jobs[job]);
    e->queues[queue].retry_at =
        allowed_from > e->now ? allowed_from : steady_time::max();
    block_queue(e, queue, block_reason::capacity);
    return;
  }
  start_next_task(e, job, worker, out);
  if (e->jobs[job].waiting.empty()) {
    dequeue_job(e, job);
  } else {
    update_ready_team(e, e->queues[queue].team);
  }
}

// Tries to place the head of the first queue in order. Returns false if the
// remaining queues have to wait for the next round.
bool try_first_queue(engine* e, std::size_t max_starts, decisions* out) {
  const std::uint32_t team = e->ready_teams.top();
  const std::uint32_t queue = e->teams[team].queues.top();
  const queue_state& q = e->queues[queue];
  const job_state& j = e->jobs[q.head];
  const bool is_gang = q.kind == job::job_class::gang;
  const std::size_t starts_needed = is_gang ? j.waiting.size() : 1;
  if (!out->starts.empty() && out->starts.size() + starts_needed > max_starts) {
    return false;
  }
  if (!e->teams[team].policy.may_borrow &&
      exceeds_quota(*e, team, q.need,
                    static_cast<std::int64_t>(starts_needed))) {
    block_queue(e, queue, block_reason::quota);
  } else if (is_gang) {
    try_gang(e, queue, out);
  } else {
    try_task(e, queue, out);
  }
  return true;
}

}  // namespace

std::uint32_t find_worker(engine* e, std::uint32_t job, std::int32_t priority) {
  const job_state& j = e->jobs[job];
  worker_query query;
  query.need = j.per_task;
  query.packing_weight = e->policy.placement.packing_weight;
  query.use_reserved = may_use_reserved(*e, job, priority);
  query.may_probe = e->now >= probation_allowed_from(*e, j);
  if (class_policy_of(*e, j.kind).spread) query.spread = j.spread.get();
  return e->free_index.find(query, &e->random);
}

void start_next_task(engine* e, std::uint32_t job, std::uint32_t worker,
                     decisions* out) {
  job_state& j = e->jobs[job];
  const std::uint32_t task = j.waiting.back();
  j.waiting.pop_back();
  --e->waiting_count;
  --e->class_waiting[static_cast<std::size_t>(j.kind)];
  --e->teams[j.team].waiting;
  --e->queues[j.queue].tasks;
  add_running(e, job, task, worker, e->now);
  out->starts.push_back({j.id, task, e->workers[worker].id});
}

void dequeue_job(engine* e, std::uint32_t job) {
  const std::uint32_t team = e->jobs[job].team;
  unlink_job(e, job);
  update_ready_team(e, team);
}

decisions decide(engine& e, steady_time now, std::size_t max_starts) {
  decisions out;
  e.now = std::max(e.now, now);
  expire_deadlines(&e, &out);
  expire_quarantines(&e, e.now);
  expire_reservation(&e, e.now);
  escalate_preemptions(&e, &out);
  refresh_priorities(&e, false);
  update_all_shares(&e);
  unblock_queues(&e);
  out.starts.reserve(std::min(max_starts, e.waiting_count));
  while (out.starts.size() < max_starts && !e.ready_teams.empty()) {
    if (!try_first_queue(&e, max_starts, &out)) break;
  }
  update_start_rate(&e, out.starts.size(), e.now);
  return out;
}

}  // namespace ebonygrade::place
