// Helpers shared by the sources of this slice.
#pragma once

#include <optional>
#include <string>

#include "pool/pool.h"

namespace ebonygrade::pool {

// How long a worker may be silent before it gets no starts and no leases.
// Two missed polls of one second.
inline constexpr milliseconds kUnresponsiveAfter{2500};

// Takes note of a run's end, or that it is overdue; runs that say nothing of
// the worker's speed are left out.
void update_speed_after_end(pool_state* pool, worker* worker,
                            const placement& placed, steady_time now);
void update_speed_if_overdue(pool_state* pool, worker* worker,
                             placement* placed, steady_time now);
// Expected time of a task on the worker over its estimate.
double slowdown_of(const worker& worker, steady_time now);

const wire::step_definition& definition(const job& job, const step_state& step);
resources resources_needed(const wire::step_definition& step);

// Adds a note unless too many wait to be taken.
void add_job_event(pool_state* pool, job_event_kind kind,
                   const std::string& job, const std::string& worker,
                   std::string detail,
                   std::optional<milliseconds> after = std::nullopt);
std::string describe(const task_key& task, std::uint32_t run);

// As the manifest has it, else as it was when the job was accepted.
const queue_policy& policy_of(const pool_state& pool, const job& job);

job* find_job(pool_state* pool, const std::string& id);
step_state* find_step(job* job, std::uint32_t occurrence, std::uint32_t step);
// A task's job and step, both null if either is not known.
struct task_ref {
  pool::job* job = nullptr;
  step_state* step = nullptr;
};
task_ref find_task(pool_state* pool, const task_key& task);
worker* find_worker(pool_state* pool, const std::string& id);
placement* find_placement(worker* worker, const task_key& task,
                          std::uint32_t run);

queue_position position_of(const pool_state& pool, const job& job,
                           const step_state& step);
// Puts the step into the waiting set if it has work to place, else takes it
// out.
void update_waiting(pool_state* pool, const job& job, const step_state& step);

// Makes steps ready whose predecessors are done, completes occurrences and
// the job.
void advance_job(pool_state* pool, job* job, unix_time wall);
void end_job(pool_state* pool, job* job, wire::job_outcome outcome,
             unix_time wall);

// Wants every run of the step stopped, but not those of `except_run`.
void stop_runs(pool_state* pool, const std::string& job,
               const step_state* only);

// Takes the room of a run on the worker until drop_placement().
void add_placement(pool_state* pool, worker* worker, placement placed);
// Frees the placement's room, and its task if this was its current run.
void drop_placement(pool_state* pool, worker* worker, const task_key& task,
                    std::uint32_t run);
// Everything on the worker is over.
void drop_all(pool_state* pool, worker* worker);

// Sends again or stops what was ordered, and gives up runs whose worker is
// gone.
void process_outstanding_orders(pool_state* pool, decisions* out,
                                steady_time now);

void start_occurrences(pool_state* pool, unix_time wall);

}  // namespace ebonygrade::pool
