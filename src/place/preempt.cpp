#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr std::size_t kMaxPendingPreemptions = 64;  // Sets of victims.
constexpr int kMaxWorkersExamined = 64;             // To choose one set.
constexpr std::size_t kMaxVictimsPerSet = 16;       // All on one worker.
constexpr milliseconds kCheckpointGrace{2000};
constexpr std::size_t kMaxPreemptionCounts = 65536;
constexpr double kFixedCostCoreSeconds = 10;  // Of stopping any task.

struct victim {
  std::uint32_t running = kNone;
  std::int32_t priority = 0;
  double cost = 0;  // Work that may be lost, in core-seconds.
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

victim make_victim(const engine& e, std::uint32_t running) {
  const running_state& r = e.running[running];
  const job_state& j = e.jobs[r.job];
  victim v;
  v.running = running;
  v.priority = class_policy_of(e, j.kind).priority;
  double seconds = 0;
  if (r.started != steady_time::min()) {
    seconds = std::chrono::duration<double>(e.now - r.started).count();
  }
  v.cost = kFixedCostCoreSeconds + seconds * j.per_task.millicores / 1000.0;
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
      all.push_back(make_victim(e, at));
    }
  }
  std::sort(all.begin(), all.end(), is_cheaper);
  return all;
}

// True if the task uses a resource of which `available` has less than `need`.
bool frees_missing_resource(const job::resources& allocated,
                            const job::resources& need,
                            const job::resources& available) {
  const amounts used = to_amounts(allocated);
  const amounts required = to_amounts(need);
  const amounts free = to_amounts(available);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (required[i] > free[i] && used[i] > 0) return true;
  }
  return false;
}

// Chooses the cheapest tasks of one worker that free enough for one task of the
// queue. Each task counts against the bound on preemptions of its job.
victim_set choose_victims(const engine& e, std::uint32_t worker,
                          const queue_state& q) {
  victim_set set;
  const worker_state& w = e.workers[worker];
  job::resources free = w.free;
  boost::unordered_flat_map<std::uint32_t, std::uint32_t> chosen_per_job;
  const std::int32_t priority = class_policy_of(e, q.kind).priority;
  for (const victim& each : list_victims(e, w, priority)) {
    if (job::fits(q.need, free)) break;
    if (set.victims.size() == kMaxVictimsPerSet) break;
    const std::uint32_t job = e.running[each.running].job;
    const job_state& j = e.jobs[job];
    const std::uint32_t limit = class_policy_of(e, j.kind).max_preemptions;
    if (!frees_missing_resource(j.per_task, q.need, free)) continue;
    if (j.preemptions + chosen_per_job[job] >= limit) continue;
    ++chosen_per_job[job];
    free += j.per_task;
    set.victims.push_back(each);
    set.cost += each.cost;
  }
  if (job::fits(q.need, free)) set.worker = worker;
  return set;
}

bool has_pending_preemption(const engine& e, std::uint32_t worker) {
  return std::any_of(
      e.preemptions.begin(), e.preemptions.end(),
      [&](const pending_preemption& p) { return p.worker == worker; });
}

victim_set find_victims(engine* e, const queue_state& q) {
  victim_set best;
  const std::uint32_t count = static_cast<std::uint32_t>(e->workers.size());
  std::uint32_t worker = e->random.below(count);
  const std::uint32_t max_examined =
      std::min<std::uint32_t>(kMaxWorkersExamined, count);
  for (std::uint32_t i = 0; i < max_examined; ++i) {
    worker = worker + 1 == count ? 0 : worker + 1;
    if (!e->free_index.contains(worker) || has_pending_preemption(*e, worker)) {
      continue;
    }
    if (e->workers[worker].health != worker_health::healthy) continue;
    victim_set set = choose_victims(*e, worker, q);
    if (set.worker == kNone || set.victims.empty()) continue;
    if (best.worker == kNone || set.cost < best.cost) best = std::move(set);
  }
  return best;
}

// Counts a preemption of the job. The count outlives the job's state in the
// engine, so that submitting the request again doesn't reset it.
void count_preemption(engine* e, job_state* j) {
  ++j->preemptions;
  auto [found, inserted] = e->preemption_counts.try_emplace(j->id, 0);
  found->second = j->preemptions;
  if (!inserted) return;
  e->preemption_count_order.push_back(j->id);
  if (e->preemption_count_order.size() <= kMaxPreemptionCounts) return;
  e->preemption_counts.erase(e->preemption_count_order.front());
  e->preemption_count_order.pop_front();
}

preemption make_preemption(const engine& e, const running_state& r,
                           wire::stop_mode mode) {
  return {e.jobs[r.job].id, r.task_index, e.workers[r.worker].id, mode};
}

void request_stops(engine* e, std::uint32_t queue, const victim_set& set,
                   decisions* out) {
  for (const victim& each : set.victims) {
    running_state& r = e->running[each.running];
    r.preempted = true;
    r.preempted_at = e->now;
    count_preemption(e, &e->jobs[r.job]);
    out->preemptions.push_back(make_preemption(*e, r, wire::checkpoint));
  }
  e->preemptions.push_back(
      {queue, set.worker, static_cast<std::uint32_t>(set.victims.size())});
}

}  // namespace

void try_preemption(engine* e, std::uint32_t queue, decisions* out) {
  const queue_state& q = e->queues[queue];
  if (!class_policy_of(*e, q.kind).may_preempt || e->workers.empty()) return;
  // A team that would exceed its quota may not preempt.
  if (exceeds_quota(*e, q.team, q.need, 1)) return;
  auto is_ours = [&](const pending_preemption& p) { return p.queue == queue; };
  std::size_t pending = static_cast<std::size_t>(
      std::count_if(e->preemptions.begin(), e->preemptions.end(), is_ours));
  while (pending < q.tasks && e->preemptions.size() < kMaxPendingPreemptions) {
    victim_set set = find_victims(e, q);
    if (set.worker == kNone) return;
    request_stops(e, queue, set, out);
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
      out->preemptions.push_back(make_preemption(*e, r, wire::stop));
    }
  }
}

void record_preempted_end(engine* e, const running_state& task) {
  auto found = std::find_if(
      e->preemptions.begin(), e->preemptions.end(),
      [&](const pending_preemption& p) { return p.worker == task.worker; });
  if (found == e->preemptions.end()) return;
  if (--found->tasks_left == 0) e->preemptions.erase(found);
}

}  // namespace ebonygrade::place
