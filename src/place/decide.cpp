#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

// Gangs that may be tried in vain in each span of time.
constexpr int kMaxGangTries = 4;
constexpr milliseconds kGangTriesSpan{1};
constexpr milliseconds kGangPause{5};

void drop_job(engine* e, std::uint32_t job, std::string_view reason,
              decisions* out) {
  drop dropped;
  dropped.id = e->jobs[job].id;
  dropped.reason = reason;
  dropped.retry_after = spread_return(e, e->now);
  out->drops.push_back(std::move(dropped));
  drop_waiting(e, job);
}

void expire_deadlines(engine* e, decisions* out) {
  while (!e->deadlines.empty() && e->deadlines.top_key() <= e->now) {
    drop_job(e, e->deadlines.top(), "the deadline passed before a start", out);
  }
}

void pause_queue(engine* e, std::uint32_t queue) {
  e->queues[queue].retry_at = e->now + kGangPause;
  block_queue(e, queue, block_reason::pause);
}

// From when on the job may use workers on probation, which may fail what they
// are given: at once if it can be repeated, else after a wait. Gangs never.
steady_time probe_from(const engine& e, const job_state& j) {
  if (j.kind == job::job_class::gang) return steady_time::max();
  if (j.idempotent) return steady_time::min();
  return j.submitted + e.policy.placement.quarantine_time;
}

bool may_try_gang(engine* e) {
  if (e->now - e->gang_tries_since >= kGangTriesSpan) {
    e->gang_tries_since = e->now;
    e->gang_tries = 0;
  }
  return e->gang_tries < kMaxGangTries;
}

void try_gang(engine* e, std::uint32_t queue, decisions* out) {
  const std::uint32_t job = e->queues[queue].head;
  if (!may_try_gang(e)) {
    pause_queue(e, queue);
    return;
  }
  if (place_gang(e, job, out)) {
    finish_starts(e, job);
    return;
  }
  ++e->gang_tries;
  consider_reservation(e, job);
  pause_queue(e, queue);
}

void try_task(engine* e, std::uint32_t queue, decisions* out) {
  const std::uint32_t job = e->queues[queue].head;
  const std::uint32_t worker = find_worker(e, job, e->queues[queue].level);
  if (worker == kNone) {
    consider_preemption(e, queue, out);
    consider_reservation(e, job);
    const steady_time probe_at = probe_from(*e, e->jobs[job]);
    e->queues[queue].retry_at =
        probe_at > e->now ? probe_at : steady_time::max();
    block_queue(e, queue, block_reason::room);
    return;
  }
  start_next_task(e, job, worker, out);
  if (e->jobs[job].waiting.empty()) {
    finish_starts(e, job);
  } else {
    update_ready(e, e->queues[queue].team);
  }
}

// Tries the head of the queue that is first in order. False: the rest has to
// wait for the next call.
bool try_first(engine* e, std::size_t most, decisions* out) {
  const std::uint32_t team = e->ready_teams.top();
  const std::uint32_t queue = e->teams[team].queues.top();
  const queue_state& q = e->queues[queue];
  const job_state& j = e->jobs[q.head];
  const bool is_gang = q.kind == job::job_class::gang;
  const std::size_t together = is_gang ? j.waiting.size() : 1;
  if (!out->starts.empty() && out->starts.size() + together > most) {
    return false;
  }
  if (!e->teams[team].policy.may_borrow &&
      exceeds_quota(*e, team, q.need, static_cast<std::int64_t>(together))) {
    block_queue(e, queue, block_reason::quota);
  } else if (is_gang) {
    try_gang(e, queue, out);
  } else {
    try_task(e, queue, out);
  }
  return true;
}

}  // namespace

std::uint32_t find_worker(engine* e, std::uint32_t job, std::int32_t level) {
  const job_state& j = e->jobs[job];
  room_query query;
  query.need = j.per_task;
  query.packing_weight = e->policy.placement.packing_weight;
  query.use_held = may_use_held(*e, job, level);
  query.may_probe = e->now >= probe_from(*e, j);
  if (class_policy_of(*e, j.kind).spread) query.spread = j.spread.get();
  return e->rooms.find(query, &e->random);
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

void finish_starts(engine* e, std::uint32_t job) {
  const std::uint32_t team = e->jobs[job].team;
  unlink_job(e, job);
  update_ready(e, team);
}

decisions decide(engine& e, steady_time now, std::size_t most) {
  decisions out;
  e.now = std::max(e.now, now);
  expire_deadlines(&e, &out);
  end_quarantines(&e, e.now);
  expire_reservation(&e, e.now);
  escalate_preemptions(&e, &out);
  refresh_levels(&e, false);
  update_all_shares(&e);
  unblock_queues(&e);
  out.starts.reserve(std::min(most, e.waiting_count));
  while (out.starts.size() < most && !e.ready_teams.empty()) {
    if (!try_first(&e, most, &out)) break;
  }
  count_starts(&e, out.starts.size(), e.now);
  return out;
}

}  // namespace ebonygrade::place
