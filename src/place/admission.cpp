#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

constexpr milliseconds kMinRetryAfter{200};
constexpr milliseconds kMaxRetryAfter{60000};
constexpr milliseconds kStartRateWindow{1000};
constexpr double kMinStartsPerSecond = 1;
constexpr double kStartRateSmoothing = 0.3;  // Weight of the last window.

admission refuse(std::string reason, milliseconds retry_after) {
  admission result;
  result.accepted = false;
  result.reason = std::move(reason);
  result.retry_after = retry_after;
  return result;
}

// Number of tasks of this size that fit on an empty worker.
std::int64_t count_fitting_tasks(const job::resources& capacity,
                                 const job::resources& need) {
  const amounts available = to_amounts(capacity);
  const amounts each = to_amounts(need);
  std::int64_t count = std::numeric_limits<std::int32_t>::max();
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (each[i] > 0) count = std::min(count, available[i] / each[i]);
  }
  return count;
}

std::string describe(const job::resources& value) {
  return fmt::format("{} millicores, {} MB, {} accelerators, {} slots",
                     value.millicores, value.memory_mb, value.accelerators,
                     value.slots);
}

// Returns why the tasks can never run on the workers, or an empty string.
std::string reason_never_fits(const engine& e, const task_group& group) {
  std::int64_t max_tasks = 0;
  for (const capacity_group& each : e.capacity_groups) {
    max_tasks += count_fitting_tasks(each.capacity, group.per_task) *
                 static_cast<std::int64_t>(each.workers);
  }
  if (max_tasks == 0) {
    return fmt::format("no worker is large enough for a task of {}",
                       describe(group.per_task));
  }
  if (group.kind != job::job_class::gang) return {};
  if (max_tasks >= static_cast<std::int64_t>(group.tasks.size())) return {};
  return fmt::format("the gang has {} tasks; all workers together hold {}",
                     group.tasks.size(), max_tasks);
}

// Returns why the tasks can never run under the team's quota, or an empty
// string.
std::string reason_exceeds_quota(const team_state& team,
                                 const task_group& group) {
  if (team.policy.may_borrow) return {};
  const bool is_gang = group.kind == job::job_class::gang;
  const std::int64_t together =
      is_gang ? static_cast<std::int64_t>(group.tasks.size()) : 1;
  const amounts quota = to_amounts(team.policy.quota);
  const amounts each = to_amounts(group.per_task);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (quota[i] == 0 || each[i] * together <= quota[i]) continue;
    return fmt::format(
        "needs more at once than the quota of team {} ({}), which may not "
        "borrow",
        team.policy.name, describe(team.policy.quota));
  }
  return {};
}

admission check_limits(engine* e, const team_state& team,
                       const task_group& group, steady_time now) {
  const std::size_t count = group.tasks.size();
  const bundle::class_policy& policy = class_policy_of(*e, group.kind);
  if (count > team.policy.queue_limit || count > policy.queue_limit) {
    return refuse("has more tasks than the queue limit of its team or class",
                  milliseconds(0));
  }
  if (team.waiting + count > team.policy.queue_limit) {
    return refuse(fmt::format("the queue of team {} is full ({} tasks)",
                              team.policy.name, team.waiting),
                  staggered_retry_after(e, now));
  }
  std::size_t waiting = e->class_waiting[static_cast<std::size_t>(group.kind)];
  if (waiting + count > policy.queue_limit) {
    return refuse(fmt::format("the queue of class {} is full ({} tasks)",
                              job::to_string(group.kind), waiting),
                  staggered_retry_after(e, now));
  }
  return {};
}

admission check(engine* e, const task_group& group, steady_time now) {
  if (e->policy.teams.empty()) {
    return refuse("no policy bundle is in force yet",
                  staggered_retry_after(e, now));
  }
  auto found = e->team_by_name.find(group.team);
  if (found == e->team_by_name.end() || !e->teams[found->second].is_known) {
    return refuse(
        fmt::format("team {} is not in the bundle in force", group.team),
        milliseconds(0));
  }
  const team_state& team = e->teams[found->second];
  if (group.per_task == job::resources{}) {
    return refuse("the tasks need no resource", milliseconds(0));
  }
  if (group.deadline <= now) {
    return refuse("the deadline has passed", kMinRetryAfter);
  }
  if (e->worker_count == 0) {
    return refuse("no worker yet", staggered_retry_after(e, now));
  }
  std::string never = reason_never_fits(*e, group);
  if (never.empty()) never = reason_exceeds_quota(team, group);
  if (!never.empty()) return refuse(never, milliseconds(0));
  return check_limits(e, team, group, now);
}

void add_waiting(engine* e, std::uint32_t job, const task_group& group) {
  job_state& j = e->jobs[job];
  std::size_t before = j.waiting.size();
  // Tasks are started from the back, so the last one is pushed first.
  for (std::size_t i = group.tasks.size(); i > 0; --i) {
    std::uint32_t task = group.tasks[i - 1];
    const bool is_repeated =
        before > 0 &&
        std::find(j.waiting.begin(), j.waiting.end(), task) != j.waiting.end();
    if (is_repeated || find_running(*e, job, task) != kNone) continue;
    j.waiting.push_back(task);
  }
  const std::size_t added = j.waiting.size() - before;
  e->waiting_count += added;
  e->class_waiting[static_cast<std::size_t>(j.kind)] += added;
  e->teams[j.team].waiting += added;
  if (j.queue != kNone) {
    e->queues[j.queue].tasks += added;
  } else if (added > 0) {
    link_job(e, job);
  }
}

std::uint32_t make_waiting_job(engine* e, const task_group& group) {
  std::uint32_t job = make_job(e, group.id);
  job_state& j = e->jobs[job];
  j.team = intern_team(e, group.team);
  j.kind = group.kind;
  j.idempotent = group.idempotent;
  j.per_task = group.per_task;
  j.expected_runtime = group.expected_runtime;
  j.deadline = group.deadline;
  j.submitted = group.submitted;
  return job;
}

// Unblocks a queue that waits for capacity if its class may preempt: with more
// waiting tasks it may preempt more.
void reconsider_preemption(engine* e, std::uint32_t job) {
  const std::uint32_t queue = e->jobs[job].queue;
  if (queue == kNone) return;
  queue_state& q = e->queues[queue];
  if (q.blocked != block_reason::capacity) return;
  if (!class_policy_of(*e, q.kind).may_preempt) return;
  q.blocked = block_reason::none;
  update_queue(e, queue);
}

}  // namespace

milliseconds staggered_retry_after(engine* e, steady_time now) {
  const double rate = std::max(kMinStartsPerSecond, e->starts_per_second);
  const std::chrono::duration<double> step(1.0 / rate);
  e->next_retry_at = std::max(e->next_retry_at, now + kMinRetryAfter);
  e->next_retry_at += std::chrono::duration_cast<steady_time::duration>(step);
  e->next_retry_at = std::min(e->next_retry_at, now + kMaxRetryAfter);
  milliseconds wait =
      std::chrono::duration_cast<milliseconds>(e->next_retry_at - now);
  // The jitter of up to a fifth either way spreads callers that were refused at
  // the same time.
  const std::int64_t jitter = wait.count() / 5;
  const std::uint32_t range = static_cast<std::uint32_t>(2 * jitter + 1);
  return wait + milliseconds(e->random.below(range)) - milliseconds(jitter);
}

void update_start_rate(engine* e, std::size_t starts, steady_time now) {
  e->starts_counted += starts;
  steady_time::duration span = now - e->rate_window_start;
  if (span < kStartRateWindow) return;
  const double seconds = std::chrono::duration<double>(span).count();
  const double rate = static_cast<double>(e->starts_counted) / seconds;
  e->starts_per_second += kStartRateSmoothing * (rate - e->starts_per_second);
  e->starts_counted = 0;
  e->rate_window_start = now;
}

admission enqueue(engine& e, const task_group& group, steady_time now) {
  e.now = std::max(e.now, now);
  std::uint32_t job = find_job(e, group.id);
  if (job == kNone) {
    admission result = check(&e, group, now);
    if (!result.accepted || group.tasks.empty()) return result;
    job = make_waiting_job(&e, group);
  }
  add_waiting(&e, job, group);
  reconsider_preemption(&e, job);
  return {};
}

}  // namespace ebonygrade::place
