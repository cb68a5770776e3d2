// What the ends of runs do to their tasks, jobs and workers.
#include <algorithm>
#include <set>
#include <string>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// After this many consecutive failed runs, a worker gets no starts for
// kAvoidTime. Each further failure doubles the time.
constexpr std::uint32_t kMinFailuresToAvoid = 3;
constexpr milliseconds kAvoidTime{2000};
constexpr std::uint32_t kMaxAvoidDoublings = 2;

void record_failure(worker* worker, steady_time now) {
  ++worker->consecutive_failures;
  if (worker->consecutive_failures < kMinFailuresToAvoid) return;
  std::uint32_t doublings = std::min(
      worker->consecutive_failures - kMinFailuresToAvoid, kMaxAvoidDoublings);
  worker->avoid_until = now + kAvoidTime * (1 << doublings);
}

void mark_done(step_state* step, std::uint32_t index) {
  task& task = step->tasks[index];
  if (task.done) return;
  task.done = true;
  ++step->done;
}

// A gang ends as a whole: if one member completes, all have completed.
void apply_gang_end(pool_state* pool, job* job, step_state* step,
                    const reported_end& end, std::uint32_t attempts,
                    unix_time wall) {
  if (end.kind == end_kind::done) {
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i) mark_done(step, i);
    return;
  }
  if (!end.checkpoint.empty()) {
    for (task& member : step->tasks) member.checkpoint = end.checkpoint;
  }
  if (end.kind != end_kind::failed) return;
  std::set<std::uint32_t>& failed = step->tasks.front().failed_runs;
  failed.insert(end.run);
  if (failed.size() >= attempts) end_job(pool, job, wire::FAILED, wall);
}

void apply_task_end(pool_state* pool, job* job, step_state* step,
                    const reported_end& end, const std::string& worker,
                    std::uint32_t attempts, unix_time wall) {
  task& task = step->tasks[end.task.index];
  bool long_running = definition(*job, *step).long_running();
  if (end.kind == end_kind::done && !long_running) {
    mark_done(step, end.task.index);
    return;
  }
  if (!end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  if (end.kind != end_kind::failed || long_running || task.done) return;
  task.failed_runs.insert(end.run);
  task.last_failed_worker = worker;
  if (task.failed_runs.size() >= attempts) {
    end_job(pool, job, wire::FAILED, wall);
  }
}

std::string name_of(end_kind kind) {
  switch (kind) {
    case end_kind::done:
      return "done";
    case end_kind::failed:
      return "failed";
    case end_kind::stopped:
      return "stopped";
    case end_kind::lapsed:
      return "lapsed";
    case end_kind::broken:
      return "broken";
    case end_kind::alone:
      return "alone";
  }
  return "unknown";
}

// Requests a stop of the other runs of a completed task.
void stop_other_runs(pool_state* pool, const job& job, const task_key& task) {
  for_each_placement(pool, job, [&](placement* placed) {
    if (placed->task == task) placed->stop_wanted = true;
  });
}

}  // namespace

void apply_end(pool_state* pool, worker* worker, const reported_end& end,
               steady_time now, unix_time wall) {
  if (end.kind == end_kind::done) {
    ++pool->counters.ends_done;
    worker->consecutive_failures = 0;
    const placement* placed = find_placement(worker, end.task, end.run);
    if (placed != nullptr) update_speed_after_end(pool, worker, *placed, now);
  } else if (end.kind == end_kind::failed) {
    ++pool->counters.ends_failed;
    record_failure(worker, now);
  } else {
    ++pool->counters.ends_other;
  }
  task_ref ref = find_task(pool, end.task);
  job* job = ref.job;
  step_state* step = ref.step;
  bool is_relevant = step != nullptr && job->outcome == wire::OPEN &&
                     end.task.index < step->tasks.size() &&
                     !step->tasks[end.task.index].done;
  if (end.kind != end_kind::done) {
    add_job_event(pool, job_event_kind::run_ended, end.task.job,
                  worker->entry.id,
                  describe(end.task, end.run) + " how=" + name_of(end.kind) +
                      (is_relevant ? "" : " stale=1"));
  }
  drop_placement(pool, worker, end.task, end.run);
  mark_started(pool, end.task.job);
  if (!is_relevant) return;
  std::uint32_t attempts = policy_of(*pool, *job).attempts;
  pool->changed_jobs.insert(job->id);
  if (definition(*job, *step).gang()) {
    bool is_last_run = end.run == step->tasks.front().last_run;
    apply_gang_end(pool, job, step, end, attempts, wall);
    if (is_last_run || end.kind == end_kind::done) {
      stop_runs(pool, job->id, step);
    }
  } else {
    apply_task_end(pool, job, step, end, worker->entry.id, attempts, wall);
    if (step->tasks[end.task.index].done) stop_other_runs(pool, *job, end.task);
  }
  if (step->done == step->tasks.size()) {
    add_job_event(pool, job_event_kind::step_done, job->id, worker->entry.id,
                  describe(end.task, end.run));
  }
  update_waiting(pool, *job, *step);
  advance_job(pool, job, wall);
}

}  // namespace ebonygrade::pool
