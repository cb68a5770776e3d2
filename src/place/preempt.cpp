#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr std::size_t kMaxPending = 64;  // Sets of victims at once.
constexpr int kWorkersTried = 64;        // For one set.
constexpr std::size_t kMaxVictims = 16;  // In one set.
constexpr milliseconds kCheckpointGrace{2000};
constexpr std::size_t kRememberedJobs = 65536;
constexpr double kCostPerTask = 10;  // Core-seconds.

struct victim {
  std::uint32_t running = kNone;
  std::int32_t priority = 0;
  double cost = 0;  // Work at risk, in core-seconds.
};

struct victim_set {
  std::uint32_t worker = kNone;
  std::vector<victim> victims;
  double cost = 0;
};

bool may_be_victim(const engine& e, const running_state& r,
                   std::int32_t priority) {
  const job_state& j = e.jobs[r.job];
  const bundle::class_policy& policy = class_policy_of(e, j.kind);
  return policy.preemptible && policy.priority < priority && j.idempotent &&
         !r.preempted && j.preemptions < policy.max_preemptions;
}

victim assess(const engine& e, std::uint32_t running) {
  const running_state& r = e.running[running];
  const job_state& j = e.jobs[r.job];
  victim v;
  v.running = running;
  v.priority = class_policy_of(e, j.kind).priority;
  double seconds = 0;
  if (r.started != steady_time::min()) {
    seconds = std::chrono::duration<double>(e.now - r.started).count();
  }
  v.cost = kCostPerTask + seconds * j.per_task.millicores / 1000.0;
  return v;
}

bool is_cheaper(const victim& a, const victim& b) {
  if (a.priority != b.priority) return a.priority < b.priority;
  if (a.cost != b.cost) return a.cost < b.cost;
  return a.running < b.running;
}

std::vector<victim> list_victims(const engine& e, const worker_state& w,
                                 std::int32_t priority) {
  std::vector<victim> all;
  for (std::uint32_t at = w.first_task; at != kNone; at = e.running[at].next) {
    if (may_be_victim(e, e.running[at], priority)) {
      all.push_back(assess(e, at));
    }
  }
  std::sort(all.begin(), all.end(), is_cheaper);
  return all;
}

// True if the task holds some of what `need` lacks in `room`.
bool helps(const job::resources& held, const job::resources& need,
           const job::resources& room) {
  const amounts has = to_amounts(held);
  const amounts wants = to_amounts(need);
  const amounts free = to_amounts(room);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (wants[i] > free[i] && has[i] > 0) return true;
  }
  return false;
}

// The cheapest tasks of one worker whose room would do. Several tasks of one
// job count each against the job's bound.
victim_set assemble(const engine& e, std::uint32_t worker,
                    const queue_state& q) {
  victim_set set;
  const worker_state& w = e.workers[worker];
  job::resources room = w.free;
  boost::unordered_flat_map<std::uint32_t, std::uint32_t> taken;
  const std::int32_t priority = class_policy_of(e, q.kind).priority;
  for (const victim& each : list_victims(e, w, priority)) {
    if (job::fits(q.need, room)) break;
    if (set.victims.size() == kMaxVictims) break;
    const std::uint32_t job = e.running[each.running].job;
    const job_state& j = e.jobs[job];
    const std::uint32_t most = class_policy_of(e, j.kind).max_preemptions;
    if (!helps(j.per_task, q.need, room)) continue;
    if (j.preemptions + taken[job] >= most) continue;
    ++taken[job];
    room += j.per_task;
    set.victims.push_back(each);
    set.cost += each.cost;
  }
  if (job::fits(q.need, room)) set.worker = worker;
  return set;
}

bool is_being_emptied(const engine& e, std::uint32_t worker) {
  return std::any_of(
      e.preemptions.begin(), e.preemptions.end(),
      [&](const pending_preemption& p) { return p.worker == worker; });
}

victim_set find_victims(engine* e, const queue_state& q) {
  victim_set best;
  const std::uint32_t count = static_cast<std::uint32_t>(e->workers.size());
  std::uint32_t worker = e->random.below(count);
  const std::uint32_t tries = std::min<std::uint32_t>(kWorkersTried, count);
  for (std::uint32_t i = 0; i < tries; ++i) {
    worker = worker + 1 == count ? 0 : worker + 1;
    if (!e->rooms.contains(worker) || is_being_emptied(*e, worker)) continue;
    if (e->workers[worker].health != worker_health::healthy) continue;
    victim_set set = assemble(*e, worker, q);
    if (set.worker == kNone || set.victims.empty()) continue;
    if (best.worker == kNone || set.cost < best.cost) best = std::move(set);
  }
  return best;
}

// Remembers what the job has paid, also beyond its time in the engine.
void count_preemption(engine* e, job_state* j) {
  ++j->preemptions;
  auto [found, inserted] = e->preempted_jobs.try_emplace(j->id, 0);
  found->second = j->preemptions;
  if (!inserted) return;
  e->preempted_order.push_back(j->id);
  if (e->preempted_order.size() <= kRememberedJobs) return;
  e->preempted_jobs.erase(e->preempted_order.front());
  e->preempted_order.pop_front();
}

preemption describe(const engine& e, const running_state& r,
                    wire::stop_mode mode) {
  return {e.jobs[r.job].id, r.task_index, e.workers[r.worker].id, mode};
}

void ask_to_stop(engine* e, std::uint32_t queue, const victim_set& set,
                 decisions* out) {
  for (const victim& each : set.victims) {
    running_state& r = e->running[each.running];
    r.preempted = true;
    r.preempted_at = e->now;
    count_preemption(e, &e->jobs[r.job]);
    out->preemptions.push_back(describe(*e, r, wire::checkpoint));
  }
  e->preemptions.push_back(
      {queue, set.worker, static_cast<std::uint32_t>(set.victims.size())});
}

}  // namespace

void consider_preemption(engine* e, std::uint32_t queue, decisions* out) {
  const queue_state& q = e->queues[queue];
  if (!class_policy_of(*e, q.kind).may_preempt || e->workers.empty()) return;
  // Who borrows takes nothing away from others.
  if (exceeds_quota(*e, q.team, q.need, 1)) return;
  auto is_ours = [&](const pending_preemption& p) { return p.queue == queue; };
  std::size_t pending = static_cast<std::size_t>(
      std::count_if(e->preemptions.begin(), e->preemptions.end(), is_ours));
  while (pending < q.tasks && e->preemptions.size() < kMaxPending) {
    victim_set set = find_victims(e, q);
    if (set.worker == kNone) return;
    ask_to_stop(e, queue, set, out);
    ++pending;
  }
}

void escalate_preemptions(engine* e, decisions* out) {
  for (const pending_preemption& p : e->preemptions) {
    std::uint32_t at = e->workers[p.worker].first_task;
    for (; at != kNone; at = e->running[at].next) {
      running_state& r = e->running[at];
      if (!r.preempted || r.stop_sent) continue;
      if (e->now - r.preempted_at < kCheckpointGrace) continue;
      r.stop_sent = true;
      out->preemptions.push_back(describe(*e, r, wire::stop));
    }
  }
}

void note_preempted_end(engine* e, const running_state& task) {
  auto found = std::find_if(
      e->preemptions.begin(), e->preemptions.end(),
      [&](const pending_preemption& p) { return p.worker == task.worker; });
  if (found == e->preemptions.end()) return;
  if (--found->tasks_left == 0) e->preemptions.erase(found);
}

}  // namespace ebonygrade::place
