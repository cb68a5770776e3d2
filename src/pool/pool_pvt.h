// Functions shared by the sources of the pool's scheduler.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "pool/pool.h"

namespace ebonygrade::pool {

// A worker without a reply for this long gets no starts and no leases. The time
// covers two missed polls of one second.
inline constexpr milliseconds kUnresponsiveAfter{2500};
inline bool is_responsive(const worker& worker, steady_time now) {
  return now - worker.last_reply <= kUnresponsiveAfter;
}
// Whether the owner has read the worker's entry, or that it has none. Before,
// the journal is all that it knows of the worker.
inline bool is_observed(const pool_state& pool, const worker& worker) {
  return worker.last_reply != steady_time() ||
         pool.directory_current_as_of != steady_time();
}
// Whether a copy of the start may have no reply yet: it may be carried out
// late, by the worker's next incarnation.
inline bool start_may_arrive(const placement& placed) {
  return placed.phase == phase::sent || placed.starts_sent > 1;
}
// In milliseconds, for events.
inline std::string milliseconds_between(steady_time from, steady_time to) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(to - from).count());
}

// The platform may carry out an order 12 s after it was sent, and a call waits
// for a connection for up to 600 ms.
inline constexpr milliseconds kMaxOrderDelay{12600};

// Whether the owner may grant the worker a lease now.
bool may_get_lease(const pool_state& pool, const worker& worker,
                   steady_time now);
// Moves the end of the worker's lease to `end` unless it is later already.
void extend_lease(worker* worker, steady_time end, bool granted);

// Update the worker's speed when a run completes, or when it is overdue. Runs
// whose time doesn't depend on the worker alone are ignored.
void update_speed_after_end(pool_state* pool, worker* worker,
                            const placement& placed, steady_time now);
void update_speed_if_overdue(pool_state* pool, worker* worker,
                             placement* placed, steady_time now);
// Compares the end of a run with the first forecast of it, if there was one.
void observe_run_end(pool_state* pool, const placement& placed,
                     steady_time now);
// Expected run time on the worker relative to the estimate.
double slowdown_of(const worker& worker, steady_time now);

const wire::step_definition& definition(const job& job, const step_state& step);
resources resources_needed(const wire::step_definition& step);

// Adds an event, unless too many are pending.
void add_job_event(pool_state* pool, job_event_kind kind,
                   const std::string& job, const std::string& worker,
                   std::string detail,
                   std::optional<milliseconds> after = std::nullopt);
// Adds an event, unless too many are pending.
void add_worker_event(pool_state* pool, worker_event_kind kind,
                      const std::string& worker, std::string detail);
std::string describe(const task_key& task, std::uint32_t run);

// When the work of the occurrence was asked for: the acceptance of a job that
// isn't scheduled.
unix_time due_time(const job& job, std::uint32_t occurrence);

// Zero if the job was accepted in the future by this clock.
milliseconds time_since_accepted(const job& job, unix_time wall);

// The policy in the manifest, or else the one at acceptance of the job.
const queue_policy& policy_of(const pool_state& pool, const job& job);

job* find_job(pool_state* pool, const std::string& id);
step_state* find_step(job* job, std::uint32_t occurrence, std::uint32_t step);
// The job and step of a task; both are null if either is unknown.
struct task_ref {
  pool::job* job = nullptr;
  step_state* step = nullptr;
};
task_ref find_task(pool_state* pool, const task_key& task);
// Whether the placement on the worker is the run by which the task is placed.
bool is_current_run(const task& task, const placement& placed,
                    const std::string& worker);
worker* find_worker(pool_state* pool, const std::string& id);
placement* find_placement(worker* worker, const task_key& task,
                          std::uint32_t run);

queue_position position_of(const pool_state& pool, const job& job,
                           const step_state& step);
// Adds the step to the waiting steps if it has tasks to place, else removes it.
void update_waiting(pool_state* pool, const job& job, const step_state& step);

// Marks steps as ready when their dependencies are done, and completes
// occurrences and the job.
void advance_job(pool_state* pool, job* job, unix_time wall);
void end_job(pool_state* pool, job* job, wire::job_outcome outcome,
             unix_time wall);

// A worker has begun a run of the job, which no longer waits for its start.
void mark_started(pool_state* pool, const std::string& job);
// Notes how far the worker has just reported the run to be.
void observe_progress(const worker& worker, std::uint32_t percent,
                      placement* placed);
// Whether the run has made no progress for longer than a sound one would.
bool is_hung(pool_state* pool, const worker& worker, const placement& placed,
             steady_time now);
// Requests a stop of the run, whose task must exist.
void stop_hung_run(pool_state* pool, const worker& worker, placement* placed);
// Applies an end that the worker lists for the first time.
void apply_end(pool_state* pool, worker* worker, const reported_end& end,
               steady_time now, unix_time wall);

// Requests a stop of all runs of the job, or only of those of step `only`.
void stop_runs(pool_state* pool, const std::string& job,
               const step_state* only);

// Adds a run and reserves its resources until drop_placement().
void add_placement(pool_state* pool, worker* worker, placement placed);
// Removes the run and frees its resources. Its task waits again if this was its
// current run.
void drop_placement(pool_state* pool, worker* worker, const task_key& task,
                    std::uint32_t run);
// Calls `visit` for every placement of the job's tasks.
template <typename Visit>
void for_each_placement(pool_state* pool, const job& job, Visit visit) {
  for (const std::pair<const std::string, std::size_t>& each : job.workers) {
    worker* at = find_worker(pool, each.first);
    if (at == nullptr) continue;
    for (placement& placed : at->placements) {
      if (placed.task.job == job.id) visit(&placed);
    }
  }
}

// Orders to the worker get a higher fencing token from now on.
void raise_token(pool_state* pool, worker* worker);

// For how long the run is known to have been at work: from when its start was
// confirmed to the worker's last reply. Zero if its start isn't confirmed.
milliseconds known_run_time(const worker& worker, const placement& placed);
// "key=value" pairs that tell what may have caused the loss of a run: its own
// age, and how many runs were beside it.
std::string describe_loss(const worker& worker, const placement& placed,
                          std::size_t beside);
// The worker's incarnation has ended with the runs that are placed on it.
// `planned`: it was draining.
//
// The tasks that may have caused the crash are suspected: those that had just
// been started, and those that had a worker crash under them before. The next
// run of a suspected task is a trial (see choose_for_trial()). A task is given
// up, and its job fails, if two workers have crashed under it, the second of
// them in a trial with nothing else on it. Without such a proof it ends at a
// limit.
//
// `same_id`: the next incarnation has the worker's id, so it may be the one
// that confirmed the runs that weren't reported yet. settle_crash() follows for
// these.
void record_crash(pool_state* pool, worker* worker, const std::string& reason,
                  bool same_id, bool planned, steady_time now);
// The worker's present incarnation doesn't have the run.
void settle_crash(pool_state* pool, const worker& worker,
                  const placement& placed, steady_time now);
// The worker is silent, its leases have expired, and service discovery no
// longer has it, so it may have crashed.
void record_vanished(pool_state* pool, const worker& worker, steady_time now);
// The worker has reported the run: it goes on, and passes a trial in time.
// `ref` is its task, which must exist.
void observe_sound_run(pool_state* pool, worker* worker, placement* placed,
                       const task_ref& ref);
// Ends the jobs of tasks that crash their workers.
void give_up_jobs(pool_state* pool, unix_time wall);

// Drops all placements of the worker. `reason` goes into the events.
void drop_all(pool_state* pool, worker* worker, const std::string& reason);

// Retries starts without a reply, sends due stops, and drops the runs of
// workers whose lease has expired.
void process_outstanding_orders(pool_state* pool, decisions* out,
                                steady_time now);

// Opens the occurrences that are due.
void start_occurrences(pool_state* pool, unix_time wall);

}  // namespace ebonygrade::pool
