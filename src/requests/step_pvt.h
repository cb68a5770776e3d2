// Functions of requests::step that its source files share. Not for use by other
// folders.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "requests/requests.h"

namespace ebonygrade::requests {

inline constexpr steady_time kNever{};

// The arguments and the result of one call of step.
struct step_context {
  table& state;
  steady_time now;
  std::vector<effect>& effects;
};

// A task and its request. Both are null if the attempt isn't the task's current
// one, or if it is neither active nor lost.
struct attempt_ref {
  request_state* request = nullptr;
  task_state* task = nullptr;
};

inline bool is_final(const request_state& request) {
  return request.outcome.kind() != wire::pending;
}

// A start was sent and the task is not known to have ended.
inline bool is_active(const task_state& task) {
  return task.phase == task_phase::starting ||
         task.phase == task_phase::running ||
         task.phase == task_phase::stopping;
}

// ---- outcomes.cpp: outcomes and replies ----------------------------------

request_state* find_request(const step_context& ctx, const std::string& id);
attempt_ref find_attempt(const step_context& ctx, const job::attempt_key& key);
bool may_have_run(const request_state& request);
// The final outcome, or the state of a request that isn't final.
job::outcome current_outcome(const request_state& request);
// Replies at once or adds the waiter.
void add_waiter(const step_context& ctx, request_state& request,
                const waiter& from);
void reply_to(const step_context& ctx, const waiter& to, const std::string& id,
              job::outcome outcome);
// `not_run`, or `unknown` if another owner may have run the request.
job::outcome refusal_outcome(const step_context& ctx, const job::shard_id& home,
                             std::string_view reason, milliseconds retry_after);
// Sets the final outcome and replies to every waiter.
void finalize(const step_context& ctx, request_state& request,
              job::outcome outcome);
// Ends a request of which no start can have taken effect.
void refuse_request(const step_context& ctx, request_state& request,
                    std::string_view reason, milliseconds retry_after);
// Finalizes a request whose tasks have all ended. Replaces a final `unknown`
// once the result is known.
void update_outcome(const step_context& ctx, request_state& request);

// ---- starts.cpp: queue, placement and start of tasks ---------------------

std::uint32_t task_index_of(const request_state& request,
                            const task_state& task);
void set_timer(const step_context& ctx, const request_state& request,
               steady_time when);
// Enqueues every task in phase `queued` that isn't in the placement queue.
void enqueue_tasks(const step_context& ctx, request_state& request);
// Removes the request's tasks from the placement queue and releases the
// resources of placed tasks whose start was not sent.
void withdraw_tasks(const step_context& ctx, request_state& request);
// The worker confirmed that it started the task.
void confirm_start(const step_context& ctx, request_state& request,
                   task_state& task);
void on_placed(const step_context& ctx, const placed& input);
void on_intent_durable(const step_context& ctx, const intent_durable& input);
void on_intent_failed(const step_context& ctx, const intent_failed& input);
void on_start_answered(const step_context& ctx, const start_answered& input);
void on_start_unanswered(const step_context& ctx,
                         const start_unanswered& input);

// ---- ends.cpp: ends, stops and restarts of tasks -------------------------

// Puts the task's answer into the outcome and replaces an earlier one. A final
// outcome is changed only if it is `unknown`.
void set_answer(request_state& request, task_state& task,
                wire::task_answer answer);
void remove_answer(request_state& request, task_state& task);
// Ends a task that has no result of its own.
void end_without_result(request_state& request, task_state& task,
                        wire::task_end end);
// Ends every task that is not on a worker.
void end_queued_tasks(const step_context& ctx, request_state& request);
// Handles the end of an attempt without a result: the task is queued again or
// ends.
void end_attempt(const step_context& ctx, request_state& request,
                 task_state& task, wire::task_end end);
void stop_task(const step_context& ctx, request_state& request,
               task_state& task);
void stop_active_tasks(const step_context& ctx, request_state& request);
void on_task_ended(const step_context& ctx, const task_ended& input);
void on_stop_answered(const step_context& ctx, const stop_answered& input);
void on_worker_lost(const step_context& ctx, const worker_lost& input);

// ---- recovery.cpp: changes of ownership ----------------------------------

void on_task_found(const step_context& ctx, const task_found& input);
void on_intent_found(const step_context& ctx, const intent_found& input);
void on_shard_lost(const step_context& ctx, const shard_lost& input);
// Handles the submission of a request that was known only from an intent or
// from a task on a worker.
void merge_submission(const step_context& ctx, request_state& request,
                      const submitted& input);
// Sends the stops of the superseded attempts again.
void repeat_superseded_stops(const step_context& ctx, request_state& request);
// Releases the resources of a superseded attempt that has ended.
void release_superseded(const step_context& ctx, const job::attempt_key& key);
void release_superseded_on(const step_context& ctx, request_state& request,
                           const std::string& worker);
// Another daemon owns the home shard: replies so to the waiters and forgets the
// request.
void redirect(const step_context& ctx, const std::string& id);

}  // namespace ebonygrade::requests
