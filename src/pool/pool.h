// Scheduling of one pool by its owner: which task runs where, under which run
// number, and what is known of each worker. Everything here is a plain struct
// with free functions; time is passed in, and nothing does I/O.
//
//   pool::pool_state pool{limits};
//   add_job(&pool, id, submission, progress, cancelled, now);
//   observe_worker_report(&pool, worker, report, sent, now);
//   pool::decisions orders = decide(&pool, now, wall);
//   pool::journal_batch batch = take_batch(&pool, wall);
//   ... append batch.records to the journal ...
//   std::vector<start_order> starts = observe_batch_written(&pool, batch, now);
//
// A start leaves only after the journal holds its worker and run number, and
// an end is acknowledged only after the journal holds its effect. A later
// owner therefore knows of every place where a task may run.
//
// A task's place is given up, and the task started elsewhere, only when the
// worker lists the end of its run, refused the start, confirmed a stop and
// doesn't list the run, began another incarnation, or when every lease that it
// may hold has passed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "jobs/job_table.h"
#include "pool/types.h"

namespace ebonygrade::pool {

struct limits {
  milliseconds lease{6000};          // Longest lease that workers grant.
  milliseconds status_time{120000};  // Ended jobs are remembered so long.
};

// An owner that can't reach the journal gives no leases after this, so that
// they run out even where it alone reaches a worker.
inline milliseconds isolation_limit(const limits& limits) {
  return limits.lease / 2;
}
// No lease of an earlier owner lasts longer than this after a claim; a
// worker's clock may be 2% slow.
inline milliseconds max_previous_owner_lease(const limits& limits) {
  constexpr int kDriftPercent = 3;
  milliseconds longest = isolation_limit(limits) + limits.lease;
  return longest + longest * kDriftPercent / 100;
}

// ---- Workers --------------------------------------------------------------

enum class phase {
  recording,  // The journal doesn't hold the placement yet.
  sent,       // Ordered; the worker has not confirmed.
  running,
  unverified,  // Taken over from an earlier owner.
};

// A run of a task on a worker, from the decision until its room is free.
struct placement {
  task_key task;
  std::uint32_t run = 0;
  resources need;
  pool::phase phase = pool::phase::recording;
  steady_time phase_since;  // Of the phase.
  std::uint32_t starts_sent = 0;
  std::string ticket;
  std::uint32_t percent = 0;
  steady_time last_progress;  // When `percent` last changed.
  bool resumed = false;       // Began at a checkpoint.
  bool overdue = false;       // Counted as slow before its end.
  bool stop_wanted = false;
  bool stop_confirmed = false;
  steady_time stop_sent_at;  // Epoch of the clock: not sent.
  steady_time stop_confirmed_at;
};

// How long a worker's tasks take beside their estimates.
struct speed {
  double slowdown = 1;  // Time taken over the estimate, smoothed.
  std::uint32_t samples = 0;
  steady_time last_sample;  // Last.
};

struct worker {
  worker_entry entry;
  bool listed = false;  // Service discovery has it.
  bool fenced = false;  // It answered under this owner's fencing token.
  steady_time last_reply;
  worker_time clock{0};  // As of clock_read_at.
  steady_time clock_read_at;
  steady_time lease_end;        // Nothing that was leased runs after this.
  std::uint64_t last_end = 0;   // Highest end that was taken in.
  std::uint64_t acked_end = 0;  // Highest end whose effect is durable.
  std::vector<placement> placements;
  resources used;
  std::uint32_t consecutive_failures = 0;
  steady_time avoid_until;  // No starts before.
  pool::speed speed;
};

// ---- Jobs -----------------------------------------------------------------

struct task {
  std::uint32_t last_run = 0;
  std::set<std::uint32_t> failed_runs;  // Of a gang: kept by its first task.
  bool done = false;
  bool placed = false;
  std::string checkpoint;
  std::string worker;  // While placed.
  std::int64_t incarnation_ms = 0;
  std::string last_failed_worker;
};

struct cached_ticket {
  std::string value;
  steady_time expires;
};

// One step of one occurrence.
struct step_state {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<task> tasks;
  std::uint32_t done = 0;
  bool ready = false;  // Every step before it is done.
  // Advice: which workers may run the step, and the tickets that prove it.
  bool advice_pending = false;
  steady_time advice_retry_at;              // Ask no sooner.
  std::unordered_set<std::string> queried;  // Workers asked about so far.
  std::unordered_set<std::string> granted;  // Of these; never changes.
  std::unordered_map<std::string, cached_ticket> tickets;
};

struct job {
  std::string id;
  std::shared_ptr<const wire::job_submission> submission;
  wire::job_outcome outcome = wire::OPEN;
  bool started = false;
  unix_time accepted;
  unix_time ended;
  queue_policy accepted_policy;
  // Longest sum of estimates along the dependencies: from each step to the end
  // of the job, and of the whole job.
  std::vector<milliseconds> remaining_paths;
  milliseconds critical_path{0};
  std::map<std::uint32_t, std::vector<step_state>> occurrences;  // Open ones.
  std::uint32_t occurrences_done = 0;
  std::uint32_t next_occurrence = 0;
  // Workers with placements of its tasks, and how many each.
  std::unordered_map<std::string, std::size_t> workers;
};

// Order in which steps that have waiting tasks are looked at.
struct queue_position {
  std::uint32_t priority = 0;
  unix_time accepted;
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const queue_position&,
                          const queue_position&) = default;
};

struct placement_key {
  std::string worker;
  task_key task;
  std::uint32_t run = 0;
};

// Something that an operator may want to know of a job later.
enum class job_event_kind {
  placed,
  run_ended,
  run_lost,
  step_done,
  job_ended,
  worker_avoided,
};

struct job_event {
  job_event_kind kind = job_event_kind::placed;
  std::string job;
  std::string worker;  // Empty for placed and job_ended.
  std::string detail;  // "key=value" pairs: the inputs and the outcome.
  // Since the acceptance of the job: at its end, and at its first start.
  std::optional<milliseconds> since_accepted;
};

// Processor time of the workers that comes free.
struct cpu_release_rate {
  std::int64_t cpu_milli_per_second = 0;  // Smoothed.
  std::int64_t freed_cpu_milli = 0;       // Since it was last measured.
  steady_time measured;
};

struct counters {
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  std::uint64_t advice_requests = 0;
  std::uint64_t ends_done = 0;
  std::uint64_t ends_failed = 0;
  std::uint64_t ends_other = 0;
  std::uint64_t lost_runs = 0;  // Placements whose worker died or fell silent.
  std::uint64_t refused_starts = 0;
};

struct pool_state {
  pool::limits limits;
  std::unordered_map<std::string, worker> workers;
  std::unordered_map<std::string, job> jobs;
  std::unordered_map<std::string, queue_policy> queues;
  std::set<queue_position> waiting_steps;
  std::unordered_set<std::string>
      scheduled_jobs;  // Jobs with occurrences to come.
  std::unordered_set<std::string>
      changed_jobs;  // Jobs to write to the journal.
  std::unordered_map<std::string, unix_time>
      ended_jobs;  // To be forgotten later.
  // Placements whose record is still to be written: worker, task, run.
  std::vector<placement_key> unrecorded_starts;
  std::size_t pending_advice_requests = 0;  // To the advice service.
  // Share of the named workers that the service grants, smoothed, by queue.
  std::unordered_map<std::string, double> grant_shares;
  pool::cpu_release_rate cpu_release_rate;
  bool superseded = false;            // A worker knows a newer owner.
  std::vector<job_event> job_events;  // Since they were last taken.
  pool::counters counters;
};

// ---- Jobs in --------------------------------------------------------------

void set_queues(pool_state* pool,
                std::unordered_map<std::string, queue_policy> queues);

// Adds a job as the journal has it. Safe to repeat.
void add_job(pool_state* pool, const std::string& id, const jobs::entry& entry,
             steady_time now);
// Ends the job; its tasks are stopped.
void cancel_job(pool_state* pool, const std::string& id, unix_time wall);

// ---- Workers in -----------------------------------------------------------

void observe_worker_entry(pool_state* pool, const worker_entry& entry,
                          steady_time now);
// Service discovery has dropped the worker.
void observe_worker_removed(pool_state* pool, const std::string& worker);

// The lease that a call to the worker may ask for now; zero if the worker is
// silent and its lease must run out. Remembers the lease as given.
worker_time grant_lease(pool_state* pool, const std::string& worker,
                        steady_time now);

// Takes in a report whose call was sent at `sent`.
void observe_worker_report(pool_state* pool, const std::string& worker,
                           const worker_report& report, steady_time sent,
                           steady_time now, unix_time wall);
// The worker's address has another incarnation under another id.
// The incarnation, of the time of the call, is over.
void observe_worker_replaced(pool_state* pool, const std::string& worker,
                             std::int64_t incarnation_ms);
void observe_start(pool_state* pool, const start_order& order,
                   start_outcome answer, steady_time now);
void observe_stop(pool_state* pool, const stop_order& order, bool confirmed,
                  steady_time now);
// `valid_until` bounds the tickets; `answered` is false if the question got
// no answer.
void observe_advice(pool_state* pool, const advice_request& order,
                    bool answered, const std::vector<ticket>& tickets,
                    steady_time valid_until, steady_time now);

// ---- Decisions ------------------------------------------------------------

struct decisions {
  std::vector<start_order> repeated_starts;  // Recorded before; sent again.
  std::vector<stop_order> stops;
  std::vector<advice_request> advice;
};

decisions decide(pool_state* pool, steady_time now, unix_time wall);

// Changes to write before anything that depends on them leaves.
struct journal_batch {
  std::vector<jobs::record> records;
  // Highest end taken in of each worker that has some to acknowledge.
  std::vector<std::pair<std::string, std::uint64_t>> ends_to_acknowledge;
  std::vector<placement_key> starts;
  std::vector<jobs::record> job_ends;  // Those of `records` that end a job.
};

journal_batch take_batch(pool_state* pool, unix_time wall);
std::vector<start_order> observe_batch_written(pool_state* pool,
                                               const journal_batch& batch,
                                               steady_time now);

}  // namespace ebonygrade::pool
