// Parts of requests::step, shared by its source files. Not for other slices.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "requests/requests.h"

namespace ebonygrade::requests {

inline constexpr steady_time kNever{};

// What one call of step works on.
struct context {
  table& requests;
  steady_time now;
  std::vector<effect>& effects;
};

// A task and its request; both null if there is no such attempt under way.
struct attempt_position {
  request_state* request = nullptr;
  task_state* task = nullptr;
};

inline bool is_final(const request_state& request) {
  return request.outcome.kind() != wire::pending;
}

// A start was sent and the task is not known to be over.
inline bool is_active(const task_state& task) {
  return task.phase == task_phase::starting ||
         task.phase == task_phase::running ||
         task.phase == task_phase::stopping;
}

// ---- outcomes.cpp: who is told what --------------------------------------

request_state* find_request(const context& at, const std::string& id);
attempt_position find_attempt(const context& at, const job::attempt_key& key);
bool may_have_run(const request_state& request);
// The request's outcome as of now.
job::outcome present_outcome(const request_state& request);
// Replies at once or adds the waiter.
void add_waiter(const context& at, request_state& request, const waiter& from);
void reply_to(const context& at, const waiter& to, const std::string& id,
              job::outcome outcome);
// `not_run`, or `unknown` where another owner may have run the request.
job::outcome refusal(const context& at, const job::shard_id& home,
                     std::string_view reason, milliseconds retry_after);
void finish(const context& at, request_state& request, job::outcome outcome);
// Ends a request of which no start is left in doubt and none ran.
void refuse(const context& at, request_state& request, std::string_view reason,
            milliseconds retry_after);
// Makes the request final if every task is over, or improves an `unknown`.
void conclude(const context& at, request_state& request);

// ---- starts.cpp: from the queue to a worker ------------------------------

std::uint32_t index_of(const request_state& request, const task_state& task);
void set_timer(const context& at, const request_state& request,
               steady_time when);
// Puts every waiting task that the placement queue doesn't hold into it.
void enqueue_waiting(const context& at, request_state& request);
// Takes the waiting tasks out of the queue, and gives back what is reserved
// for tasks whose start was not sent.
void withdraw_waiting(const context& at, request_state& request);
// The worker took the start.
void confirm_start(const context& at, request_state& request, task_state& task);
void on_placed(const context& at, const placed& input);
void on_intent_durable(const context& at, const intent_durable& input);
void on_intent_failed(const context& at, const intent_failed& input);
void on_start_answered(const context& at, const start_answered& input);
void on_start_unanswered(const context& at, const start_unanswered& input);

// ---- ends.cpp: how tasks end ---------------------------------------------

// Puts the task's answer into the outcome, in place of an earlier one. A final
// outcome doesn't change, unless it is `unknown`.
void set_answer(request_state& request, task_state& task,
                wire::task_answer answer);
void remove_answer(request_state& request, task_state& task);
// Ends a task that gave no result.
void end_task(request_state& request, task_state& task, wire::task_end end);
// Ends every task that no worker has, without another start.
void end_waiting(const context& at, request_state& request);
// The attempt is over and gave no result: tries again, or ends the task.
void attempt_over(const context& at, request_state& request, task_state& task,
                  wire::task_end end);
void stop_task(const context& at, request_state& request, task_state& task);
void stop_all(const context& at, request_state& request);
void on_task_ended(const context& at, const task_ended& input);
void on_stop_answered(const context& at, const stop_answered& input);
void on_worker_lost(const context& at, const worker_lost& input);

// ---- recovery.cpp: changes of ownership ----------------------------------

void on_task_found(const context& at, const task_found& input);
void on_intent_found(const context& at, const intent_found& input);
void on_shard_lost(const context& at, const shard_lost& input);
// The caller handed in a request that was only found until now.
void join_found(const context& at, request_state& request,
                const submitted& input);
// Asks again for the superseded attempts to be stopped.
void stop_superseded(const context& at, request_state& request);
// Gives back the room of a superseded attempt that has ended.
void end_superseded(const context& at, const job::attempt_key& key);
void lose_superseded(const context& at, request_state& request,
                     const std::string& worker);
// Another daemon owns the home: sends the waiters there and forgets.
void disown(const context& at, const std::string& id);

}  // namespace ebonygrade::requests
