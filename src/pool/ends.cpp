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

// What the end of a run means for its task.
//
//                    task that ends   task that lasts
//   done             completes        starts again
//   failed           uses an attempt  starts again
//   stopped, lapsed  starts again     starts again
//   broken, alone    starts again     starts again
//
// A gang ends as a whole: one such end of a member stands for all. A task that
// lasts runs until its job is cancelled, however often it ends. Runs that are
// lost with their worker aren't among these; crashes.cpp counts them the same
// way for all tasks.
enum class end_effect { completes, uses_attempt, starts_again };

end_effect effect_of(end_kind kind, const wire::step_definition& step) {
  if (step.long_running()) return end_effect::starts_again;
  switch (kind) {
    case end_kind::done:
      return end_effect::completes;
    case end_kind::failed:
      return end_effect::uses_attempt;
    case end_kind::stopped:
    case end_kind::lapsed:
    case end_kind::broken:
    case end_kind::alone:
      break;
  }
  return end_effect::starts_again;
}

void apply_to_tasks(pool_state* pool, job* job, step_state* step,
                    const reported_end& end, const std::string& worker,
                    unix_time wall) {
  const wire::step_definition& spec = definition(*job, *step);
  end_effect effect = effect_of(end.kind, spec);
  std::uint32_t size = static_cast<std::uint32_t>(step->tasks.size());
  std::uint32_t first = spec.gang() ? 0 : end.task.index;
  std::uint32_t last = spec.gang() ? size : first + 1;
  for (std::uint32_t i = first; i < last; ++i) {
    if (effect == end_effect::completes) {
      mark_done(step, i);
    } else if (!end.checkpoint.empty()) {
      step->tasks[i].checkpoint = end.checkpoint;
    }
  }
  if (effect != end_effect::uses_attempt) return;
  task& counted = step->tasks[first];
  counted.failed_runs.insert(end.run);
  if (!spec.gang()) counted.last_failed_worker = worker;
  if (counted.failed_runs.size() >= policy_of(*pool, *job).attempts) {
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
    if (placed != nullptr) {
      update_speed_after_end(pool, worker, *placed, now);
      observe_run_end(pool, *placed, now);
    }
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
  pool->changed_jobs.insert(job->id);
  bool is_last_run = end.run == step->tasks.front().last_run;
  apply_to_tasks(pool, job, step, end, worker->entry.id, wall);
  bool done = step->tasks[end.task.index].done;
  if (!definition(*job, *step).gang()) {
    if (done) stop_other_runs(pool, *job, end.task);
  } else if (is_last_run || done) {
    stop_runs(pool, job->id, step);
  }
  if (step->done == step->tasks.size()) {
    add_job_event(pool, job_event_kind::step_done, job->id, worker->entry.id,
                  describe(end.task, end.run));
  }
  update_waiting(pool, *job, *step);
  advance_job(pool, job, wall);
}

}  // namespace ebonygrade::pool
