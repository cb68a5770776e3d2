// Request table of a daemon: the state and outcome, by id, of every request
// whose home shard the daemon owns.
//
// `step` is a pure function: it applies one event to the table at a given time
// and returns the effects that the caller carries out. It does no I/O, reads no
// clock and makes no placement decision. The model in spec/ and the property
// tests drive the same function as the daemon.
//
// Guarantees:
//  - `not_run` is replied only if this daemon sent no start of the request, or
//    every start that it sent is confirmed not to have taken effect.
//  - A task of a non-idempotent request is started at most once. The request's
//    intent is durable in the log before the start is sent.
//  - A task of an idempotent request is started again only after its previous
//    attempt was confirmed stopped, was refused, or lost its lease.
//  - A submission with a known id joins the first one and gets its outcome.
//
// Precondition: a request is placed only on workers of its home shard. The next
// owner of the home shard fences only these workers, so it would not know of a
// task elsewhere and would start the task a second time.
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
// daemon that forwarded the request. The fields are opaque to this table. A
// message that is sent again keeps its token, so that a late copy of a refused
// message isn't mistaken for a new submission.
struct waiter {
  std::string peer;  // Empty for a local connection.
  std::uint64_t token = 0;
  bool wait_for_final = true;  // False: reply with the current state at once.

  friend bool operator==(const waiter&, const waiter&) = default;
};

struct table_options {
  milliseconds task_lease{30000};
  // How long a final outcome is kept, by kind of request.
  milliseconds outcome_retention{600000};  // Idempotent.
  milliseconds intent_retention{3600000};  // Non-idempotent.
  milliseconds min_retention{30000};       // Idempotent, if the table is full.
  // Sent with `not_run` if a later submission may succeed. Also the first
  // backoff before an ended service task is started again.
  milliseconds retry_after{1000};
  std::uint32_t max_attempts = 3;  // Of one idempotent task.
  std::size_t max_requests = 200000;
  std::size_t max_waiters = 64;     // Of one request; more get `pending`.
  milliseconds stop_timeout{5000};  // A stop without a reply is then repeated.
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
// The placement queue refused the request.
struct admission_refused {
  std::string id;
  std::string reason;
  milliseconds retry_after{0};  // 0: a later submission won't succeed either.
};
// Placement chose a worker and reserved the resources there.
struct placed {
  std::string id;
  std::uint32_t task_index = 0;
  std::string worker;
  job::epoch epoch = 0;  // Of the worker's shard.
};
// The request's intent is in the log, and the claims read after that show that
// this daemon still owns the home shard.
struct intent_durable {
  std::string id;
};
// The intent was not written, or another daemon's claim of the home shard came
// before it.
struct intent_failed {
  std::string id;
  std::string reason;
};
struct start_answered {
  job::attempt_key key;
  wire::start_status status = wire::started;
};
// The start got no reply: it may have taken effect.
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
// The worker will not return or lost its task table, and every lease of its
// tasks has expired.
struct worker_lost {
  std::string worker;
};
// A task found on a worker while a newly owned shard is reconciled.
struct task_found {
  wire::task_record task;
  std::string worker;
  job::shard_id home;  // Of the request.
};
// An intent found in the stream of a previous owner.
struct intent_found {
  std::string id;
  job::shard_id home;
};
// A shard is no longer owned: its requests are forgotten, and their waiters get
// the reply that the shard has another owner.
struct shard_lost {
  job::shard_id shard;
};
// A home shard is served from now on. `all_workers_fenced`: every worker on
// which a request of this home may have been started has replied to a fence
// with its task table. Without such a reply, a request that is refused here may
// have run on that worker, so refusals are `unknown` for the time of
// `outcome_retention`.
struct home_shard_serving {
  job::shard_id shard;
  bool all_workers_fenced = true;
};
// Another daemon may have taken over shards unnoticed, for example while this
// process was suspended or could reach neither the log nor any daemon. Until
// the claims stream was read to its end, refusals are `unknown`.
struct ownership_uncertain {
  bool uncertain = true;
};
// Handles deadlines, repeated stops and retention.
struct tick {};

using event =
    std::variant<submitted, queried, cancelled, admission_refused, placed,
                 intent_durable, intent_failed, start_answered,
                 start_unanswered, task_ended, stop_answered, worker_lost,
                 task_found, intent_found, shard_lost, home_shard_serving,
                 ownership_uncertain, tick>;

// ---- Effects ------------------------------------------------------------

// Put the tasks of the request into the placement queue. The request comes
// without its payload.
struct enqueue {
  job::request request;
  std::vector<std::uint32_t> tasks;
};
// Remove the request's tasks from the placement queue.
struct withdraw {
  std::string id;
};
// Release the resources that are reserved for the task on the worker.
struct release_resources {
  std::string worker;
  std::string id;
  std::uint32_t task_index = 0;
  wire::task_end end = wire::task_end_unspecified;  // Unspecified: not started.
};
// Count the resources of a task that was found running as used on the worker.
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
  // Another daemon owns the home shard; the request has to be sent there.
  bool wrong_owner = false;
};
// For metrics: a worker confirmed the first start of a task.
struct task_started {
  std::string id;
  std::string team;
  job::job_class kind = job::job_class::batch;
  milliseconds waited{0};  // Since the submission.
};
// For metrics: the outcome of a request became final.
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
  queued,       // Waits for placement.
  intent_wait,  // Placed; the intent is being written.
  starting,     // The start was sent and has no reply yet.
  running,      // The worker confirmed the start.
  stopping,     // A stop was sent.
  ended,        // Ended; the outcome holds the answer, if there is one.
};

struct task_state {
  task_phase phase = task_phase::queued;
  std::string worker;
  job::epoch epoch = 0;  // Of the worker's shard, under which it was placed.
  std::uint64_t attempt = 0;
  std::uint32_t attempt_count = 0;
  // At least one start of the task may have taken effect.
  bool may_have_run = false;
  // An earlier attempt may have taken effect, or the present start was
  // confirmed: a refusal of the present start doesn't mean `not_run`.
  bool may_have_run_before = false;
  bool in_queue = false;    // In phase `queued`: is in the placement queue.
  bool lost = false;        // Ended with unknown result; may be known later.
  bool has_answer = false;  // The outcome holds an answer of this task.
  // When the start of a non-idempotent task was found to have no reply; zero:
  // it has one, or isn't overdue.
  steady_time unanswered_since;
  steady_time stop_sent_at;
};

// An attempt that was found on a worker although a later attempt of the same
// task runs elsewhere. It is being stopped and occupies resources until then.
struct superseded_attempt {
  std::string worker;
  std::uint32_t task_index = 0;
  std::uint64_t attempt = 0;
};

struct request_state {
  job::request request;
  // False: known only from an intent or from a task on a worker.
  bool submission_received = false;
  bool cancel_requested = false;
  bool intent_written = false;
  // The tasks of a gang are being stopped to start the gang again as a whole.
  bool gang_restarting = false;
  job::epoch home_epoch = 0;
  std::uint32_t restart_count = 0;  // Of service tasks; sets the backoff.
  // When tasks are enqueued after a delay; zero: no such delay.
  steady_time enqueue_at;
  steady_time submitted_at;
  // When the outcome became final, or when the request was found.
  steady_time final_at;
  std::vector<task_state> tasks;
  job::outcome outcome;
  std::vector<superseded_attempt> superseded;
  std::vector<waiter> waiters;
  // Waiters that got `not_run`, up to a limit.
  std::vector<waiter> not_run_recipients;
};

struct table {
  table_options options;
  std::unordered_map<std::string, request_state> by_id;
  std::uint32_t attempt_counter = 1;  // Lower bits of the next attempt number.
  // When a request has to be examined again. Entries may be stale.
  std::multimap<steady_time, std::string> timers;
  // Requests to forget after their retention, with the time at which they were
  // queued here.
  std::deque<std::pair<steady_time, std::string>> retention_queue;
  // Home shards that are served without a complete reconciliation: until the
  // given time, refusals are `unknown`.
  std::map<job::shard_id, steady_time> uncertain_homes;
  // By home shard: the last epoch under which requests were redirected to
  // another owner and forgotten. Submissions are accepted under a later epoch
  // only.
  std::map<job::shard_id, job::epoch> fenced_homes;
  bool ownership_uncertain = false;
};

// Applies one event. Events for unknown ids or stale attempts have no effect.
std::vector<effect> step(table& state, const event& input, steady_time now);

}  // namespace ebonygrade::requests
