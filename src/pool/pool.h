// The scheduler of one pool. It decides which task runs on which worker and
// under which run number, and tracks the state of each worker. The scheduler
// consists of plain structs and free functions; the caller passes in the time
// and does all I/O.
//
//   pool::pool_state pool{limits};
//   continue_pool_time(&pool, table.pool_time, now);
//   add_job(&pool, id, entry, now);
//   observe_worker_report(&pool, worker, report, token, sent, now, wall);
//   pool::decisions orders = decide(&pool, now, wall);
//   pool::journal_batch batch = take_batch(&pool, now);
//   ... append batch.records to the journal ...
//   std::vector<start_order> starts = observe_batch_written(&pool, batch, now);
//
// A start order is sent only after its worker and run number are in the
// journal, and an end is acknowledged only after its effect is in the journal.
// A later owner therefore knows every worker on which a task may be running.
//
// A placement is dropped, and its task may start elsewhere, only in one of
// these cases:
// - the worker reported the end of the run or refused the start;
// - the worker confirmed a stop and no longer reports the run;
// - the worker began another incarnation;
// - another worker has the address that the worker's incarnation had;
// - the worker has left: it said that it drains, it removed its entry, and its
//   connection broke;
// - every lease that the worker may have has expired.
#pragma once

#include <algorithm>
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
#include "pool/admission.h"
#include "pool/directory_history.h"
#include "pool/near_wait.h"
#include "pool/tenant_usage.h"
#include "pool/types.h"

namespace ebonygrade::pool {

struct limits {
  milliseconds lease{6000};          // Longest lease that workers accept.
  milliseconds status_time{120000};  // How long ended jobs stay visible.
  // In which an acknowledged cancellation, and a worker's notice that it
  // leaves, take effect.
  milliseconds cancel_time{3000};
  milliseconds drain_time{2500};
  // Interval at which workers write their entries. The platform removes the
  // entry of a worker that has written none for three of them.
  milliseconds heartbeat{1500};
};

// An entry that is removed earlier than this after it was written hasn't
// expired: its worker has removed it. Half a heartbeat is left as a margin.
inline milliseconds earliest_entry_expiry(const limits& limits) {
  return limits.heartbeat * 5 / 2;
}

// An owner grants no more leases this long after it sent its last append that
// the journal confirmed. Another owner may have claimed the pool right after
// that append, and the leases expire even on workers that it can't reach.
inline milliseconds isolation_limit(const limits& limits) {
  return limits.lease / 2;
}
// The part of a time limit that an owner with copies of the store's records may
// have used up when it sends an order: a call to a worker may take 600 ms.
inline milliseconds copy_age_limit(milliseconds time_limit) {
  constexpr milliseconds kOrderTime{800};
  return std::max(time_limit - kOrderTime, time_limit / 4);
}
// An owner starts nothing while its copy of the journal, or of the directory of
// workers, is older than this.
inline milliseconds journal_age_limit(const limits& limits) {
  return copy_age_limit(limits.cancel_time);
}
inline milliseconds directory_age_limit(const limits& limits) {
  return copy_age_limit(limits.drain_time);
}
// Upper bound for the remaining time of leases of earlier owners when a new
// owner claims the pool. The drift allows for worker clocks that are 2% slow.
inline milliseconds max_previous_owner_lease(const limits& limits) {
  constexpr int kDriftPercent = 3;
  milliseconds longest = isolation_limit(limits) + limits.lease;
  return longest + longest * kDriftPercent / 100;
}

// ---- Workers --------------------------------------------------------------

enum class phase {
  recording,  // The placement is not in the journal yet.
  sent,       // The start was sent and is not confirmed.
  running,
  unverified,  // From the journal of an earlier owner; not reported yet.
};

// A run of a task on a worker, from the decision until its resources are free.
struct placement {
  task_key task;
  std::uint32_t run = 0;
  resources need;
  std::string tenant;  // Whose usage has the need; in a pool with tenants.
  pool::phase phase = pool::phase::recording;
  steady_time phase_since;  // Or max(), while a start has no outcome.
  steady_time placed_at;
  std::uint32_t starts_sent = 0;
  std::string ticket;
  std::uint32_t percent = 0;
  worker_time last_progress{0};  // Worker's clock when `percent` last changed.
  milliseconds longest_per_percent{0};  // Of this run so far.
  bool resumed = false;                 // Started from a checkpoint.
  bool overdue = false;                 // Counted as slow before it ended.
  bool reported = false;                // By the worker's current incarnation.
  bool unexpected = false;              // Reported without a valid order.
  bool trial = false;  // Of a suspected task, and not passed yet.
  bool lasts = false;  // Until its job is cancelled.
  // Started on a worker reserved for a gang, to end before the gang starts.
  bool backfilled = false;
  // The worker has restarted since the run was confirmed, and hasn't told
  // whether it has the run.
  bool crash_unsettled = false;
  // At that crash.
  bool was_at_work = false;
  bool was_alone = false;
  bool stop_wanted = false;
  bool stop_confirmed = false;
  steady_time stop_sent_at;  // Default value: not sent.
  steady_time stop_confirmed_at;
  // First forecast of its end and when it was made; default value: none.
  steady_time forecast_made;
  steady_time forecast_end;
  // When it is expected to free its resources, and when that was computed; see
  // reservations.cpp.
  steady_time release_at;
  steady_time release_computed;
};

// The journal's record of the end of a worker's lease; see recorded_leases.h.
enum class lease_record {
  none,
  kept,     // In the journal, or about to be written.
  deleted,  // The deletion isn't confirmed yet.
};

// Run times on a worker relative to the estimates.
struct speed {
  double slowdown = 1;  // Run time / estimate, smoothed.
  std::uint32_t samples = 0;
  steady_time last_sample_at;
};

struct worker {
  worker_entry entry;
  // The incarnation that `entry` describes, except for its incarnation_ms,
  // which is the newest that is known.
  std::int64_t described_incarnation_ms = 0;
  bool listed = false;  // Present in service discovery.
  // Its newest entry was written after this time; default value: not known.
  steady_time entry_written_after;
  // When it was read that the worker, which drains, has removed its entry, as
  // one does that has exited; default value: it hasn't.
  steady_time withdrawn_at;
  bool fenced = false;  // This incarnation has replied to this owner's token.
  bool knows_token = false;     // Has replied to the current fencing token.
  bool token_in_start = false;  // A start has carried the current token.
  // Where the current incarnation has replied. Empty before its first reply.
  std::string replied_at;
  steady_time last_reply;
  // When the connection broke or was refused first after the last reply;
  // default value: it didn't.
  steady_time contact_lost_at;
  worker_time clock{0};  // The worker's clock at clock_read_at.
  steady_time clock_read_at;
  steady_time lease_end;        // No leased run continues after this.
  steady_time last_lease_sent;  // In an order of this owner.
  // The journal told how long the leases of earlier owners last.
  bool lease_told = false;
  // It gets a lease only without a record of the end of its last one.
  pool::lease_record lease_record = lease_record::none;
  // Whether lease_end follows from a lease that this owner sent, rather than
  // from what earlier owners may have sent. For logs only.
  bool lease_granted = false;
  std::uint64_t last_end = 0;   // Highest end number that was applied.
  std::uint64_t acked_end = 0;  // Highest end whose effect is in the journal.
  // Of the last report. Without all ends, a run that isn't reported may have
  // ended in any way.
  bool has_all_ends = true;
  std::vector<placement> placements;
  resources used;
  // Parts of `used`, by runs that last and by backfilled runs.
  resources lasting;
  resources backfilled;
  std::uint32_t consecutive_failures = 0;
  steady_time avoid_until;     // No starts before this time.
  bool held_for_gang = false;  // Reserved in the last scheduling round.
  std::size_t trials = 0;      // Placements on trial; nothing starts beside.
  // Until then nothing but trials starts here.
  steady_time emptied_until;
  pool::speed speed;
};

// ---- Jobs -----------------------------------------------------------------

struct task {
  std::uint32_t last_run = 0;
  std::set<std::uint32_t> failed_runs;  // For a gang: in its first task.
  bool done = false;
  bool placed = false;
  std::string checkpoint;
  std::string worker;            // While placed.
  std::uint32_t placed_run = 0;  // While placed; may be before last_run.
  std::int64_t incarnation_ms = 0;
  std::string last_failed_worker;
  std::uint32_t hung_runs = 0;  // Stopped under this owner.
  // Runs that were at work when their worker crashed.
  std::set<std::uint32_t> crashed_runs;
  // Runs that may have been: their start wasn't confirmed, they may have ended
  // before, or their worker has left without a word.
  std::set<std::uint32_t> vanished_runs;
  // Of these, the ones that nothing ties to a crash: their start may not have
  // arrived, or they were known to run for a while before.
  std::set<std::uint32_t> doubtful_runs;
  // It may have caused the last of these crashes, so its next run is a trial.
  bool suspected = false;
  steady_time suspected_since;
  std::string emptied_worker;  // Being emptied for the trial.
  near_wait near;
};

struct cached_ticket {
  std::string value;
  std::int64_t incarnation_ms = 0;  // Of the worker; valid for no other.
  steady_time expires;
};

// One step of one occurrence.
struct step_state {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<task> tasks;
  std::uint32_t done = 0;
  bool ready = false;  // All steps it depends on are done.
  // When the quota of its tenant first held back tasks that still wait; default
  // value: it doesn't.
  steady_time held_by_quota_since;
  // Of a gang: how often its reservation has given way.
  std::uint32_t yields = 0;
  // Since when it has been ready. For a later step that was ready before a
  // takeover: the acceptance of its job, which is earlier.
  unix_time ready_since;
  // When the owner first saw it wait, since its last task was placed; default
  // value: it doesn't wait. For reports only.
  steady_time waits_since;
  // Advice: the workers that may run the step, and the tickets that prove this.
  std::uint32_t pending_advice = 0;         // Requests without a reply.
  steady_time advice_retry_at;              // No request before this.
  steady_time last_advice;                  // Last reply to a request.
  std::unordered_set<std::string> queried;  // Workers in requests so far.
  std::unordered_set<std::string> granted;  // Subset; a grant is final.
  std::unordered_map<std::string, cached_ticket> tickets;
};

struct job {
  std::string id;
  std::shared_ptr<const wire::job_submission> submission;
  wire::job_outcome outcome = wire::OPEN;
  bool placed = false;   // A task has been placed, maybe in vain.
  bool started = false;  // A worker has begun a task.
  // In pool_state::tenants; null in a pool without tenants. A pool that is
  // copied needs set_tenants().
  tenant_state* tenant = nullptr;
  // Accepted when its tenant had used up its share; see take_share().
  bool over_share = false;
  unix_time accepted;
  queue_policy accepted_policy;
  // Longest sum of estimates along the dependencies, from each step to the end
  // of the job; critical_path is the longest of the whole job.
  std::vector<milliseconds> remaining_paths;
  milliseconds critical_path{0};
  // Open occurrences. All below next_occurrence are open or done. After a
  // takeover later ones may be open too, which an earlier owner had begun.
  std::map<std::uint32_t, std::vector<step_state>> occurrences;
  std::uint32_t occurrences_done = 0;
  std::uint32_t next_occurrence = 0;
  // Workers with placements of the job's tasks, and the number on each.
  std::unordered_map<std::string, std::size_t> workers;
};

// Sort key of the steps that have waiting tasks.
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
  std::int64_t incarnation_ms = 0;  // Of the worker that was chosen.
  task_key task;
  std::uint32_t run = 0;
};

// Kinds of events that are reported to operators for a job.
enum class job_event_kind {
  placed,
  run_ended,
  run_lost,
  step_done,
  job_ended,
  worker_avoided,
  suspected,        // A task may have crashed its worker.
  cleared,          // It hasn't: its next run went on.
  given_up,         // It crashes its workers; the job fails.
  near_wait_begun,  // A task waits for a place near its data.
  near_wait_ended,
  step_waits,  // Has waited for long; see step_wait.h.
  reservation_yielded,
};

struct job_event {
  job_event_kind kind = job_event_kind::placed;
  std::string job;
  std::string worker;  // Empty for placed and job_ended.
  std::string detail;  // "key=value" pairs with inputs and outcome.
  // Time since the job was accepted; set for its first start and its end.
  std::optional<milliseconds> since_accepted;
};

// Kinds of events that are reported to operators for a worker.
enum class worker_event_kind {
  restarted,       // It began another incarnation.
  run_unexpected,  // It reports a run without a valid order.
  entry_outdated,  // Its entry is older than its known incarnation.
  crashed,         // Its incarnation ended without draining, with its runs.
  removed,         // Its entry was removed while it has runs.
};

struct worker_event {
  worker_event_kind kind = worker_event_kind::restarted;
  std::string worker;
  std::string detail;  // "key=value" pairs with inputs and outcome.
};

// An ended job that was deleted from the journal.
struct forgotten_job {
  std::string job;
  std::string outcome;  // Empty if not known.
  milliseconds age{0};  // Since its end, as the retention measures it.
};

// Rate at which ended runs release CPU capacity of the pool.
struct cpu_release_rate {
  std::int64_t cpu_milli_per_second = 0;  // Smoothed.
  std::int64_t freed_cpu_milli = 0;       // Since `measured`.
  steady_time measured;
};

struct counters {
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  std::uint64_t advice_requests = 0;
  std::uint64_t ends_done = 0;
  std::uint64_t ends_failed = 0;
  std::uint64_t ends_other = 0;
  // Runs whose worker restarted or became unresponsive.
  std::uint64_t lost_runs = 0;
  std::uint64_t lease_passed_runs = 0;  // Part of the lost runs.
  std::uint64_t departed_runs = 0;      // The same: of workers that have left.
  std::uint64_t traced_departures = 0;  // Workers; see observe_departure().
  std::uint64_t refused_starts = 0;
  std::uint64_t forgotten_jobs = 0;   // Deleted from the journal.
  std::uint64_t worker_restarts = 0;  // New incarnations under a known id.
  std::uint64_t worker_crashes = 0;   // With runs, and not while draining.
  std::uint64_t suspicions = 0;       // Tasks that may have caused a crash.
  std::uint64_t trials = 0;           // Runs of such tasks.
  std::uint64_t given_up_jobs = 0;    // Of tasks that crash their workers.
  std::uint64_t unexpected_runs = 0;  // Reported runs without a valid order.
  // That placed nothing, as a copy of the store's records was too old.
  std::uint64_t outdated_rounds = 0;
  std::uint64_t backfilled_runs = 0;  // Beside a reservation; placed.
  // How often a gang has given way to jobs with nothing running.
  std::uint64_t reservation_yields = 0;
};

// Runs that were placed and that no worker has confirmed.
struct unconfirmed_starts {
  std::size_t runs = 0;
  std::size_t jobs = 0;  // Of them, those without any confirmed run.
  milliseconds oldest{0};
};

// Load of the pool as the last scheduling round left it.
struct load_summary {
  std::size_t available_workers = 0;  // May get starts.
  std::size_t reserved_workers = 0;   // Kept free for a waiting gang.
  std::int64_t free_cpu_milli = 0;    // Of the available workers.
  std::int64_t reserved_free_cpu_milli = 0;
  std::int64_t waiting_cpu_milli = 0;         // Of all waiting tasks.
  std::int64_t waiting_for_advice_milli = 0;  // Part of it without tickets.
  std::size_t waiting_in_time = 0;            // Steps, by value of the result.
  std::size_t waiting_late = 0;
  std::size_t waiting_without_value = 0;
};

// Of all rounds; see reservations_pvt.h.
struct reservation_state {
  // Since when reservations have kept jobs with nothing running from starting
  // while most of the pool is unused; default value: they don't.
  steady_time idle_jobs_kept_since;
  steady_time yields_until;  // Until then such jobs may use reserved workers,
  bool all_yield = false;    // also of gangs that are about to start.
};

// Use pool_time() and continue_pool_time().
struct pool_time_state {
  milliseconds base{0};     // The pool time at `base_at`.
  steady_time base_at;      // When this owner took over.
  milliseconds written{0};  // Last one that was put into a batch.
};

// A task that crashes its workers, and the evidence for operators.
struct deadly_task {
  task_key task;
  std::string evidence;
};

struct pool_state {
  pool::limits limits;
  std::uint64_t epoch = 0;  // Of the owner; rises with each owner.
  std::unordered_map<std::string, worker> workers;
  // How often this owner has raised the fencing token of a worker. Kept when a
  // worker departs, as it may return.
  std::unordered_map<std::string, std::uint64_t> raised_tokens;
  std::unordered_map<std::string, job> jobs;
  std::unordered_map<std::string, queue_policy> queues;
  bool has_tenants = false;  // In the manifest in force; see set_tenants().
  std::unordered_map<std::string, tenant_state> tenants;  // By name.
  std::set<queue_position> waiting_steps;
  // Jobs that have occurrences to open.
  std::unordered_set<std::string> scheduled_jobs;
  std::unordered_set<std::string> changed_jobs;  // To write to the journal.
  pool_time_state time;
  // Ended jobs and the pool time of the record of their end. They are removed
  // some time after status_time.
  std::unordered_map<std::string, milliseconds> ended_jobs;
  std::size_t unexpected_placements = 0;  // Of all workers.
  // Placements that are not in the journal yet.
  std::vector<placement_key> unrecorded_starts;
  std::size_t pending_advice_requests = 0;  // To the advice service.
  // Daemons that send advice requests, set by the caller. The service handles
  // one request at a time for each of them.
  std::size_t advice_daemons = 1;
  // Smoothed share of the requested workers that are granted, by queue.
  std::unordered_map<std::string, double> grant_shares;
  pool::cpu_release_rate cpu_release_rate;
  bool superseded = false;  // A worker has seen a newer owner.
  bool releasing = false;   // Its record of leases holds: it grants no more.
  // What the journal told at the takeover of the leases of earlier owners; see
  // recorded_leases.h. Both are empty once the first round has begun.
  std::unordered_map<std::string, wire::worker_lease> released_leases;
  std::unordered_map<std::string, wire::silent_worker> silent_workers;
  // Workers whose record of a lease is to be written, or deleted, next.
  std::set<std::string> leases_to_record;
  std::set<std::string> leases_to_delete;
  // When the last append that the journal confirmed was first sent.
  steady_time last_journal_write;
  // Default value: not read yet.
  steady_time journal_current_as_of;
  steady_time directory_current_as_of;
  load_summary load;
  reservation_state reservations;
  steady_time step_waits_reported_at;
  std::size_t long_step_waits = 0;  // Steps with a long wait, at that time.
  near_wait_state near;
  admission_state admission;
  std::vector<deadly_task> deadly_tasks;    // Their jobs fail next.
  std::vector<job_event> job_events;        // The caller removes them.
  std::vector<worker_event> worker_events;  // The caller removes them.
  // Apart from the job events, which a mass of them must not push out. The
  // caller removes them; the later ones of a burst are counted only.
  std::vector<forgotten_job> forgotten_jobs;
  std::vector<tenant_event> tenant_events;  // The caller removes them.
  pool::counters counters;
};

// ---- Pool time ------------------------------------------------------------

// The pool time is the time for which the pool has had an owner. Its owners
// keep it in the journal and count it by their own clocks, so it depends
// on no time of day. A change of owner loses the time since the last record of
// it, which an owner writes every two seconds, and the time without an owner.
// It is never ahead of the time that has passed.
//
// Ended jobs are deleted by it: not before status_time after their end, and
// later by what the changes of owner since then have lost, nor while a run of
// the job may be left. If every owner lasts for less than two seconds, jobs may
// stay for as long as that goes on. An end recorded without a pool time counts
// as ended when the present owner took over.
//
// The owner counts from when the record of the end is confirmed, as callers see
// the end only then. A later owner counts from when the record was made.

// Continues from the highest pool time in the journal. To be called at the
// takeover, before the first job is added.
void continue_pool_time(pool_state* pool, milliseconds known, steady_time now);
milliseconds pool_time(const pool_state& pool, steady_time now);

// ---- Job updates ----------------------------------------------------------

void set_queues(pool_state* pool,
                std::unordered_map<std::string, queue_policy> queues);

// Adds a job with its state from the journal. Does nothing for a known job.
// In a pool with tenants, to be called in order of acceptance: a job is marked
// as over its tenant's share by the jobs that were added before.
void add_job(pool_state* pool, const std::string& id, const jobs::entry& entry,
             steady_time now);
// Ends the job as cancelled and stops its runs.
void cancel_job(pool_state* pool, const std::string& id, unix_time wall);

// ---- Worker updates -------------------------------------------------------

// Returns false, and changes nothing, if the entry is of an earlier incarnation
// than the known one, which a report or the journal may have told first, or
// older than the known entry: reads of the discovery topic may fall back.
//
// `written_after`: the entry was written after this time; default value: not
// known.
bool observe_worker_entry(pool_state* pool, const worker_entry& entry,
                          steady_time now, steady_time written_after = {});
// The worker's entry was removed from service discovery. If the worker drains
// and the entry can't have expired, the worker has left, and its runs are over
// once its connection has been lost for a while.
//
// observe_worker_unlisted(): it has no entry that can be read, for whatever
// reason, which tells nothing of its runs.
void observe_worker_unlisted(pool_state* pool, const std::string& worker);
void observe_worker_removed(pool_state* pool, const std::string& worker,
                            steady_time now);

// Workers with runs of an earlier owner that may have left before this owner
// knew their entries: those without an entry, and those that drain.
std::unordered_set<std::string> workers_to_trace(const pool_state& pool);
// The directory's history tells that the worker has left; its runs are over as
// after observe_worker_removed(). Returns false, and changes nothing, if the
// worker is listed, is known to have left, or has another incarnation.
bool observe_departure(pool_state* pool, const departure& departure,
                       steady_time now);

// The token of orders to the worker. Workers refuse orders with a lower token
// than they have seen. It rises with the epoch and whenever the next call may
// reach another incarnation of the worker, so that orders to an earlier one,
// which name the same id and may be delivered late, are refused like those of
// an earlier owner.
std::uint64_t fencing_token(const pool_state& pool, const std::string& worker);

// The connection to the worker is lost: the next call may reach another
// incarnation.
void observe_connection_lost(pool_state* pool, const std::string& worker);

// The worker's connection broke during a poll, or none could be opened. The
// worker may have crashed, so it gets no starts until it replies. It may also
// live on, so its runs aren't lost.
void observe_contact_lost(pool_state* pool, const std::string& worker,
                          steady_time now);

// The journal confirmed an append of this owner that was first sent at `sent`.
void observe_journal_write(pool_state* pool, steady_time sent);
// The owner's copy of the journal is complete as of `current_as_of`.
void observe_journal_read(pool_state* pool, steady_time current_as_of);
// Age of that copy; 0 before the first read.
milliseconds journal_age(const pool_state& pool, steady_time now);
// The same for the owner's copy of the directory of workers.
void observe_directory_read(pool_state* pool, steady_time current_as_of);
milliseconds directory_age(const pool_state& pool, steady_time now);
// Whether one of these ages exceeds its limit. Other daemons acknowledge the
// cancellations that they have appended, also while they can't reach the owner.
bool is_outdated(const pool_state& pool, steady_time now);
// Whether another owner may exist for so long that leases of this one would
// outlast max_previous_owner_lease().
bool is_isolated(const pool_state& pool, steady_time now);

// Returns the end of the lease to send to the worker, and records the lease as
// granted. Zero if the worker is unresponsive or the owner is isolated, so that
// the worker's lease expires.
worker_time grant_lease(pool_state* pool, const std::string& worker,
                        steady_time now);

// Applies the report of a poll that was sent at `sent` with fencing token
// `token`.
void observe_worker_report(pool_state* pool, const std::string& worker,
                           const worker_report& report, std::uint64_t token,
                           steady_time sent, steady_time now, unix_time wall);
// The worker refused a poll with fencing token `token`.
void observe_poll_fenced(pool_state* pool, const std::string& worker,
                         std::uint64_t token);
// Another worker id has the address that a call went to. `incarnation_ms` is
// the incarnation that the call was addressed to. That incarnation has ended if
// the address was its own. Otherwise it may live elsewhere, and its runs are
// kept until their lease has expired. Returns false if the worker is known to
// have begun a later incarnation or to have moved since the call.
bool observe_worker_replaced(pool_state* pool, const std::string& worker,
                             std::int64_t incarnation_ms,
                             const std::string& address, steady_time now);
void observe_start(pool_state* pool, const start_order& order,
                   start_outcome outcome, steady_time now);
void observe_stop(pool_state* pool, const stop_order& order, bool confirmed,
                  steady_time now);
// The tickets expire at `valid_until`; `replied` is false if the request got
// no reply. Tickets of workers that have restarted since the request are not
// kept, but count as granted.
void observe_advice(pool_state* pool, const advice_request& order, bool replied,
                    const std::vector<ticket>& tickets, steady_time valid_until,
                    steady_time now);

// ---- Decisions ------------------------------------------------------------

struct decisions {
  std::vector<start_order> repeated_starts;  // Sent before, without a reply.
  std::vector<stop_order> stops;
  std::vector<advice_request> advice;
  // Workers that are forgotten, since they have left and no longer reply.
  std::vector<std::string> departed;
};

decisions decide(pool_state* pool, steady_time now, unix_time wall);

unconfirmed_starts count_unconfirmed_starts(const pool_state& pool,
                                            steady_time now);

// The highest end that was applied of one incarnation of a worker.
struct applied_end {
  std::string worker;
  std::int64_t incarnation_ms = 0;
  std::uint64_t number = 0;
};

// Changes that must be in the journal before orders that depend on them are
// sent.
struct journal_batch {
  std::vector<jobs::record> records;
  std::vector<applied_end> ends_to_acknowledge;
  std::vector<placement_key> starts;
  std::vector<std::string>
      ended_jobs;  // Whose end is recorded for the first time.
  std::vector<std::string> deleted_leases;  // Workers; see recorded_leases.h.
};

journal_batch take_batch(pool_state* pool, steady_time now);
std::vector<start_order> observe_batch_written(pool_state* pool,
                                               const journal_batch& batch,
                                               steady_time now);

}  // namespace ebonygrade::pool
