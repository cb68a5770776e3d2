// Requests whose home shard this daemon owns: what became of each, by id.
//
// A pure step function: it takes the state, one event and the time, changes
// the state and returns effects for the caller to carry out. It does no I/O,
// reads no clock and decides no placement. The model in spec/ and the
// property tests drive the same function as the daemon.
//
// Rules it keeps:
//  - `not_run` is replied only if no start of the request left this daemon,
//    or every start that left was confirmed never to have run.
//  - A non-idempotent task is started at most once. Its intent is durable in
//    the log before the start leaves.
//  - An idempotent task is started again only after the earlier attempt was
//    confirmed stopped, refused or lapsed.
//  - A repeated id joins the first request and gets its outcome.
//
// What it relies on: a request is placed only on workers of its home shard.
// The next owner of the home fences just these, so a task elsewhere would be
// unknown to it and be started a second time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "job/job.h"

namespace ebonygrade::requests {

using clock::milliseconds;
using clock::steady_time;

// Who waits for an outcome: a connection of this daemon's HTTP server, or a
// daemon that forwarded the request. Opaque here. A message that is sent again
// keeps its token, so that a late copy of a refused one isn't taken for a new
// submission.
struct waiter {
  std::string peer;  // Empty for a local connection.
  std::uint64_t token = 0;
  bool wait_for_final = true;  // False: reply with the present state at once.

  friend bool operator==(const waiter&, const waiter&) = default;
};

// Limits and times of the table.
struct table_options {
  milliseconds task_lease{30000};
  milliseconds outcome_retention{600000};  // Final outcomes are kept so long.
  milliseconds intent_retention{3600000};  // The same, non-idempotent requests.
  milliseconds min_retention{30000};       // Even if the table is full.
  milliseconds retry_after{1000};  // Told with not_run for passing causes.
  std::uint32_t max_attempts = 3;  // Of one idempotent task.
  std::size_t max_requests = 200000;
  std::size_t max_waiters = 64;     // Of one request; more get `pending`.
  milliseconds stop_timeout{5000};  // A stop without an answer is repeated.
};

// ---- Events -------------------------------------------------------------

struct submitted {
  job::request request;
  waiter from;
  job::epoch epoch = 0;  // Of the home shard.
};
struct queried {
  std::string id;
  waiter from;
};
struct cancelled {
  std::string id;
  waiter from;
};
// The placement queue declined the request.
struct admission_refused {
  std::string id;
  std::string reason;
  milliseconds retry_after{0};  // 0: never.
};
// Placement chose a worker and has reserved the resources there.
struct placed {
  std::string id;
  std::uint32_t task_index = 0;
  std::string worker;
  job::epoch epoch = 0;  // Of the worker's shard.
};
// The request's intent is in the log, and its shard's claim was read again
// after that and still is this daemon's.
struct intent_durable {
  std::string id;
};
// The intent was not written, or a later claim of the shard came first.
struct intent_failed {
  std::string id;
  std::string reason;
};
struct start_answered {
  job::attempt_key key;
  wire::start_status status = wire::started;
};
// No answer to a start: it may or may not have taken effect.
struct start_unanswered {
  job::attempt_key key;
};
struct task_ended {
  job::attempt_key key;
  wire::task_end end = wire::completed;
  std::int32_t exit_code = 0;
  std::string output;
  std::string worker;
};
struct stop_answered {
  job::attempt_key key;
  wire::stop_status status = wire::stop_confirmed;
};
// The worker is gone for good or has lost its task table, and every lease
// that it held has run out.
struct worker_lost {
  std::string worker;
};
// A task found on a worker while reconciling a newly owned shard.
struct task_found {
  wire::task_record task;
  std::string worker;
  job::shard_id home;  // Of the request.
};
// An intent found in a previous owner's stream.
struct intent_found {
  std::string id;
  job::shard_id home;
};
// A shard is no longer owned: its requests are forgotten and their waiters
// told to ask the new owner.
struct shard_lost {
  job::shard_id shard;
};
// A home shard is served from now on. `complete` says that every worker on
// which a request of this home may have been started has answered a fence with
// its task table. If one has not, a request that is refused here may still
// have run there, and the refusal is `unknown` for the outcome retention.
struct home_shard_serving {
  job::shard_id shard;
  bool all_workers_fenced = true;
};
// Another daemon may own our shards without our knowing, as after a pause or
// while neither the log nor any daemon answers. Ends when the claims were read
// to the end. Meanwhile a refusal is `unknown`.
struct ownership_uncertain {
  bool uncertain = true;
};
// Time passes: deadlines, repeated stops and retention.
struct tick {};

using event =
    std::variant<submitted, queried, cancelled, admission_refused, placed,
                 intent_durable, intent_failed, start_answered,
                 start_unanswered, task_ended, stop_answered, worker_lost,
                 task_found, intent_found, shard_lost, home_shard_serving,
                 ownership_uncertain, tick>;

// ---- Effects ------------------------------------------------------------

// Put the tasks of the request into the placement queue. The payload is left
// out.
struct enqueue {
  job::request request;
  std::vector<std::uint32_t> tasks;
};
// Take what is queued of the request out of the placement queue.
struct withdraw {
  std::string id;
};
// Give back resources reserved for the task on the worker.
struct release_resources {
  std::string worker;
  std::string id;
  std::uint32_t task_index = 0;
  wire::task_end end = wire::task_end_unspecified;  // It never started.
};
// Count the resources of a task found running as used on the worker.
struct adopt_task {
  std::string worker;
  wire::task_record task;
};
struct write_intent {
  std::string id;
  job::shard_id home;
};
struct send_start {
  std::string worker;
  job::epoch epoch = 0;
  wire::task_start task;
};
struct send_stop {
  std::string worker;
  job::attempt_key key;
};
struct reply {
  waiter to;
  std::string id;
  job::outcome outcome;
  bool wrong_owner = false;  // The shard has a new owner; ask there.
};
// For metrics: a task started or a request became final.
struct task_started {
  std::string id;
  std::string team;
  job::job_class kind = job::job_class::batch;
  milliseconds waited{0};
};
struct request_final {
  std::string id;
  std::string team;
  job::job_class kind = job::job_class::batch;
  wire::outcome_kind outcome = wire::answered;
};

using effect =
    std::variant<enqueue, withdraw, release_resources, adopt_task, write_intent,
                 send_start, send_stop, reply, task_started, request_final>;

// ---- State --------------------------------------------------------------

enum class task_phase {
  queued,       // In the placement queue.
  intent_wait,  // Placed; the intent is being written.
  starting,     // The start was sent; no answer yet.
  running,      // The worker confirmed the start.
  stopping,     // A stop was sent.
  ended,        // Over; the answer, if any, is in the outcome.
};

struct task_state {
  task_phase phase = task_phase::queued;
  std::string worker;
  job::epoch epoch = 0;
  std::uint64_t attempt = 0;
  std::uint32_t attempts = 0;
  bool may_have_run = false;     // Some start of it is not disproved.
  bool ran_before = false;       // The same, without the present attempt.
  bool in_queue = false;         // While queued: the placement queue has it.
  bool lost = false;             // Ended without an answer, ever.
  bool has_answer = false;       // The outcome holds an answer of it.
  steady_time unanswered_since;  // The start had no answer; zero: it had.
  steady_time stop_sent;
};

// An attempt found on a worker although a later one of its task runs
// elsewhere. It is being stopped, and holds room until then.
struct superseded_attempt {
  std::string worker;
  std::uint32_t task_index = 0;
  std::uint64_t attempt = 0;
};

struct request_state {
  job::request request;
  bool request_known = false;  // False: only found as an intent or on a worker.
  bool cancel_wanted = false;
  bool intent_written = false;
  bool restarting = false;  // A gang whose tasks are being stopped for that.
  job::epoch home_epoch = 0;
  std::uint32_t restarts = 0;  // Of service tasks; sets their pause.
  steady_time enqueue_at;      // When refused tasks are enqueued again.
  steady_time submitted;
  steady_time final_at;  // When the outcome became final.
  std::vector<task_state> tasks;
  job::outcome outcome;
  std::vector<superseded_attempt> superseded;
  std::vector<waiter> waiters;
  std::vector<waiter> told;  // Were told not_run; bounded.
};

struct table {
  table_options options;
  std::unordered_map<std::string, request_state> by_id;
  std::uint32_t next_attempt = 1;  // Lower bits of the next attempt.
  // When to look at a request again. Entries may be stale.
  std::multimap<steady_time, std::string> timers;
  // Final requests in the order of final_at.
  std::deque<std::pair<steady_time, std::string>> finished;
  // Homes that were served without a complete reconciliation, until when
  // refusals are in doubt.
  std::map<job::shard_id, steady_time> uncertain_homes;
  // Homes of which a worker has shown a later epoch than this. Requests of
  // them are not taken until the home is owned under a later one.
  std::map<job::shard_id, job::epoch> fenced_homes;
  bool ownership_uncertain = false;
};

// Applies one event. Events for unknown ids or stale attempts change nothing.
std::vector<effect> step(table& state, const event& input, steady_time now);

}  // namespace ebonygrade::requests
