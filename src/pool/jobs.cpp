// State of jobs: their steps, occurrences and outcomes.
#include <algorithm>
#include <string>
#include <utility>

#include "pool/manifest.h"
#include "pool/pool_pvt.h"
#include "pool/recorded_leases.h"

namespace ebonygrade::pool {

namespace {

// Limit of open occurrences of one job; later ones wait until an earlier one
// completes.
constexpr std::size_t kMaxOpenOccurrences = 64;
// The caller removes events after each call, so the limit bounds bursts only.
constexpr std::size_t kMaxPendingEvents = 1000;

unix_time from_unix(std::int64_t value) {
  return unix_time(milliseconds(value));
}

std::vector<step_state> make_steps(const wire::job_submission& submission,
                                   std::uint32_t occurrence) {
  std::vector<step_state> steps(
      static_cast<std::size_t>(submission.steps_size()));
  for (std::size_t i = 0; i < steps.size(); ++i) {
    steps[i].occurrence = occurrence;
    steps[i].step = static_cast<std::uint32_t>(i);
    steps[i].tasks.resize(submission.steps(static_cast<int>(i)).count());
  }
  return steps;
}

bool is_done(const step_state& step) { return step.done == step.tasks.size(); }

bool dependencies_done(const wire::step_definition& step,
                       const std::vector<step_state>& steps) {
  return std::all_of(step.after().begin(), step.after().end(),
                     [&](std::uint32_t earlier) {
                       return earlier < steps.size() && is_done(steps[earlier]);
                     });
}

void restore_task(pool_state* pool, job* job, step_state* step,
                  const wire::task_progress& saved, steady_time now) {
  if (saved.index() >= step->tasks.size()) return;
  task& task = step->tasks[saved.index()];
  task.last_run = saved.last_run();
  task.failed_runs.insert(saved.failed_runs().begin(),
                          saved.failed_runs().end());
  task.crashed_runs.insert(saved.crashed_runs().begin(),
                           saved.crashed_runs().end());
  task.vanished_runs.insert(saved.vanished_runs().begin(),
                            saved.vanished_runs().end());
  task.doubtful_runs.insert(saved.doubtful_runs().begin(),
                            saved.doubtful_runs().end());
  task.suspected = saved.suspected();
  task.suspected_since = now;
  task.checkpoint = saved.checkpoint();
  if (saved.worker().empty()) return;
  task.placed = true;
  task.placed_run = saved.last_run();
  task.worker = saved.worker();
  task.incarnation_ms = saved.incarnation_ms();
  worker& worker = pool->workers[saved.worker()];
  worker.entry.id = saved.worker();
  worker.entry.incarnation_ms =
      std::max(worker.entry.incarnation_ms, saved.incarnation_ms());
  milliseconds rest = restore_lease(pool, &worker, saved.incarnation_ms(), now);
  extend_lease(&worker, now + rest, false);
  placement placed;
  placed.task = {job->id, step->occurrence, step->step, saved.index()};
  placed.run = saved.last_run();
  placed.need = resources_needed(definition(*job, *step));
  placed.phase = phase::unverified;
  placed.trial = task.suspected;
  placed.phase_since = now;
  add_placement(pool, &worker, std::move(placed));
}

void restore(pool_state* pool, job* job, const wire::job_progress& saved,
             steady_time now) {
  job->placed = saved.started() || saved.steps_size() > 0;
  job->started = saved.started();
  job->occurrences_done = saved.occurrences_done();
  // Occurrences that have not begun aren't in the record, also those before the
  // ones that have. They are opened again when they are due.
  job->next_occurrence = saved.occurrences_done();
  for (const wire::step_progress& each : saved.steps()) {
    std::vector<step_state>& steps = job->occurrences[each.occurrence()];
    if (steps.empty()) steps = make_steps(*job->submission, each.occurrence());
    if (each.step() >= steps.size()) continue;
    step_state& step = steps[each.step()];
    for (std::uint32_t index : each.done()) {
      if (index >= step.tasks.size() || step.tasks[index].done) continue;
      step.tasks[index].done = true;
      ++step.done;
    }
    for (const wire::task_progress& task : each.tasks()) {
      restore_task(pool, job, &step, task, now);
    }
  }
}

// Longest sum of estimates from each step to the end of the job. Steps depend
// on earlier steps only.
std::vector<milliseconds> remaining_paths_of(
    const wire::job_submission& submission) {
  std::vector<milliseconds> remaining_paths(
      static_cast<std::size_t>(submission.steps_size()));
  for (std::size_t i = remaining_paths.size(); i-- > 0;) {
    const wire::step_definition& step = submission.steps(static_cast<int>(i));
    remaining_paths[i] += milliseconds(step.estimate_ms());
    for (std::uint32_t earlier : step.after()) {
      if (earlier < i)
        remaining_paths[earlier] =
            std::max(remaining_paths[earlier], remaining_paths[i]);
    }
  }
  return remaining_paths;
}

bool occurrence_done(const std::vector<step_state>& steps) {
  return std::all_of(steps.begin(), steps.end(), is_done);
}

// Whether the next occurrence may be opened now.
bool next_occurrence_is_due(const job& job, unix_time wall) {
  const wire::job_submission& submission = *job.submission;
  std::uint32_t total = std::max<std::uint32_t>(1, submission.repeats());
  if (job.next_occurrence >= total) return false;
  if (submission.repeats() == 0) return true;
  if (job.occurrences.size() >= kMaxOpenOccurrences) return false;
  return wall >= due_time(job, job.next_occurrence);
}

}  // namespace

const wire::step_definition& definition(const job& job,
                                        const step_state& step) {
  return job.submission->steps(static_cast<int>(step.step));
}

unix_time due_time(const job& job, std::uint32_t occurrence) {
  const wire::job_submission& submission = *job.submission;
  if (submission.repeats() == 0) return job.accepted;
  return from_unix(submission.first_due_ms() +
                   static_cast<std::int64_t>(occurrence) *
                       submission.interval_ms());
}

resources resources_needed(const wire::step_definition& step) {
  // Steps that fill use CPU time that others leave over, so they reserve none.
  return {step.fills() ? 0 : step.cpu_milli(), step.memory_mb(), step.gpus()};
}

void add_job_event(pool_state* pool, job_event_kind kind,
                   const std::string& job, const std::string& worker,
                   std::string detail, std::optional<milliseconds> after) {
  if (pool->job_events.size() >= kMaxPendingEvents) return;
  pool->job_events.push_back({kind, job, worker, std::move(detail), after});
}

void add_worker_event(pool_state* pool, worker_event_kind kind,
                      const std::string& worker, std::string detail) {
  if (pool->worker_events.size() >= kMaxPendingEvents) return;
  pool->worker_events.push_back({kind, worker, std::move(detail)});
}

std::string describe(const task_key& task, std::uint32_t run) {
  return "occurrence=" + std::to_string(task.occurrence) +
         " step=" + std::to_string(task.step) +
         " task=" + std::to_string(task.index) + " run=" + std::to_string(run);
}

job* find_job(pool_state* pool, const std::string& id) {
  std::unordered_map<std::string, job>::iterator found = pool->jobs.find(id);
  return found == pool->jobs.end() ? nullptr : &found->second;
}

step_state* find_step(job* job, std::uint32_t occurrence, std::uint32_t step) {
  std::map<std::uint32_t, std::vector<step_state>>::iterator found =
      job->occurrences.find(occurrence);
  if (found == job->occurrences.end() || step >= found->second.size()) {
    return nullptr;
  }
  return &found->second[step];
}

task_ref find_task(pool_state* pool, const task_key& task) {
  task_ref found;
  found.job = find_job(pool, task.job);
  if (found.job != nullptr) {
    found.step = find_step(found.job, task.occurrence, task.step);
  }
  if (found.step == nullptr) found.job = nullptr;
  return found;
}

milliseconds time_since_accepted(const job& job, unix_time wall) {
  return std::max(milliseconds(0), wall - job.accepted);
}

const queue_policy& policy_of(const pool_state& pool, const job& job) {
  std::unordered_map<std::string, queue_policy>::const_iterator found =
      pool.queues.find(job.submission->queue());
  return found == pool.queues.end() ? job.accepted_policy : found->second;
}

queue_position position_of(const pool_state& pool, const job& job,
                           const step_state& step) {
  return {policy_of(pool, job).priority, job.accepted, job.id, step.occurrence,
          step.step};
}

void update_waiting(pool_state* pool, const job& job, const step_state& step) {
  bool waits =
      job.outcome == wire::OPEN && step.ready &&
      std::any_of(step.tasks.begin(), step.tasks.end(),
                  [](const task& each) { return !each.done && !each.placed; });
  queue_position position = position_of(*pool, job, step);
  if (waits) {
    pool->waiting_steps.insert(std::move(position));
  } else {
    pool->waiting_steps.erase(position);
  }
}

void end_job(pool_state* pool, job* job, wire::job_outcome outcome,
             unix_time wall) {
  job->outcome = outcome;
  milliseconds after = time_since_accepted(*job, wall);
  add_job_event(pool, job_event_kind::job_ended, job->id, {},
                "outcome=" + wire::job_outcome_Name(outcome) +
                    " queue=" + job->submission->queue() +
                    " after_ms=" + std::to_string(after.count()),
                after);
  pool->changed_jobs.insert(job->id);
  pool->scheduled_jobs.erase(job->id);
  for (std::pair<const std::uint32_t, std::vector<step_state>>& each :
       job->occurrences) {
    for (const step_state& step : each.second) {
      update_waiting(pool, *job, step);
    }
  }
  stop_runs(pool, job->id, nullptr);
}

void advance_job(pool_state* pool, job* job, unix_time wall) {
  if (job->outcome != wire::OPEN) return;
  std::map<std::uint32_t, std::vector<step_state>>::iterator each =
      job->occurrences.begin();
  while (each != job->occurrences.end()) {
    std::vector<step_state>& steps = each->second;
    for (step_state& step : steps) {
      if (step.ready || !dependencies_done(definition(*job, step), steps))
        continue;
      step.ready = true;
      // Steps without dependencies are ready from the due time on, whoever
      // owned the pool then.
      step.ready_since = definition(*job, step).after().empty()
                             ? due_time(*job, each->first)
                             : wall;
      update_waiting(pool, *job, step);
    }
    bool oldest = each->first == job->occurrences_done;
    if (oldest && occurrence_done(steps)) {
      for (const step_state& step : steps) update_waiting(pool, *job, step);
      ++job->occurrences_done;
      pool->changed_jobs.insert(job->id);
      each = job->occurrences.erase(each);
    } else {
      ++each;
    }
  }
  std::uint32_t total = std::max<std::uint32_t>(1, job->submission->repeats());
  if (job->occurrences_done >= total) {
    end_job(pool, job, wire::COMPLETE, wall);
  }
}

void set_queues(pool_state* pool,
                std::unordered_map<std::string, queue_policy> queues) {
  // Queues that the new manifest lacks keep their last policy for their open
  // jobs.
  for (std::pair<const std::string, queue_policy>& each : pool->queues) {
    queues.try_emplace(each.first, std::move(each.second));
  }
  pool->queues = std::move(queues);
  pool->waiting_steps.clear();
  for (const std::pair<const std::string, job>& each : pool->jobs) {
    for (const std::pair<const std::uint32_t, std::vector<step_state>>& open :
         each.second.occurrences) {
      for (const step_state& step : open.second) {
        update_waiting(pool, each.second, step);
      }
    }
  }
}

void add_job(pool_state* pool, const std::string& id, const jobs::entry& entry,
             steady_time now) {
  if (pool->jobs.count(id) > 0) return;
  if (entry.progress.outcome() != wire::OPEN) {
    // Ends without a pool time are as old as this owner at least.
    pool->ended_jobs.try_emplace(
        id, entry.progress.has_ended_pool_time_ms()
                ? milliseconds(entry.progress.ended_pool_time_ms())
                : pool_time(*pool, now));
  }
  if (!entry.submission) return;
  job& job = pool->jobs[id];
  job.id = id;
  job.submission = entry.submission;
  job.accepted = from_unix(entry.submission->accepted_ms());
  job.accepted_policy = from_terms(*entry.submission);
  job.remaining_paths = remaining_paths_of(*entry.submission);
  if (!job.remaining_paths.empty()) {
    job.critical_path = *std::max_element(job.remaining_paths.begin(),
                                          job.remaining_paths.end());
  }
  set_tenant_of(pool, &job);
  job.over_share =
      job.tenant != nullptr && take_share(job.tenant, job.accepted);
  restore(pool, &job, entry.progress, now);
  job.outcome = entry.progress.outcome();
  if (job.outcome != wire::OPEN) {
    stop_runs(pool, id, nullptr);
    return;
  }
  pool->scheduled_jobs.insert(id);
  advance_job(pool, &job, job.accepted);
}

void cancel_job(pool_state* pool, const std::string& id, unix_time wall) {
  job* job = find_job(pool, id);
  if (job == nullptr || job->outcome != wire::OPEN) return;
  end_job(pool, job, wire::CANCELLED, wall);
}

void start_occurrences(pool_state* pool, unix_time wall) {
  std::vector<std::string> finished;
  for (const std::string& id : pool->scheduled_jobs) {
    job* job = find_job(pool, id);
    if (job == nullptr) {
      finished.push_back(id);
      continue;
    }
    bool opened = false;
    while (next_occurrence_is_due(*job, wall)) {
      std::uint32_t number = job->next_occurrence++;
      if (job->occurrences.count(number) > 0) continue;  // Restored.
      job->occurrences[number] = make_steps(*job->submission, number);
      opened = true;
    }
    if (opened) advance_job(pool, job, wall);
    std::uint32_t total =
        std::max<std::uint32_t>(1, job->submission->repeats());
    if (job->next_occurrence >= total) finished.push_back(id);
  }
  for (const std::string& id : finished) pool->scheduled_jobs.erase(id);
}

}  // namespace ebonygrade::pool
