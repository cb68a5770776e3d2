#include "requests/requests.h"

#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// How many queued requests are examined to evict one for a new request.
constexpr int kMaxEvictionChecks = 8;

// ---- Submission, query, cancellation -------------------------------------

bool has_received_not_run(const request_state& request, const waiter& from) {
  for (const waiter& each : request.not_run_recipients) {
    if (each.peer == from.peer && each.token == from.token) return true;
  }
  return false;
}

// A refused request may be submitted again under the same id.
bool may_resubmit(const request_state& request, const waiter& from) {
  return request.outcome.kind() == wire::not_run &&
         request.outcome.retry_after_ms() > 0 &&
         !has_received_not_run(request, from);
}

bool may_evict(const step_context& ctx, const request_state& request) {
  return is_final(request) && request.request.idempotent &&
         ctx.now - request.final_at >= ctx.state.options.min_retention;
}

// Forgets one of the oldest outcomes early if the table is full. Returns
// whether the table has a free entry.
bool evict_if_full(const step_context& ctx) {
  table& requests = ctx.state;
  for (int i = 0; i < kMaxEvictionChecks; ++i) {
    if (requests.by_id.size() < requests.options.max_requests) return true;
    if (requests.retention_queue.empty()) return false;
    std::pair<steady_time, std::string> oldest =
        requests.retention_queue.front();
    requests.retention_queue.pop_front();
    request_state* request = find_request(ctx, oldest.second);
    if (request == nullptr) continue;
    if (may_evict(ctx, *request)) {
      requests.by_id.erase(oldest.second);
    } else {
      requests.retention_queue.push_back(std::move(oldest));
    }
  }
  return requests.by_id.size() < requests.options.max_requests;
}

void add_request(const step_context& ctx, const submitted& input) {
  request_state& request = ctx.state.by_id[input.request.id];
  request.request = input.request;
  request.submission_received = true;
  request.home_epoch = input.epoch;
  request.submitted_at = ctx.now;
  request.tasks.resize(input.request.task_count);
  add_waiter(ctx, request, input.from);
  enqueue_tasks(ctx, request);
  if (input.request.deadline != steady_time::max()) {
    set_timer(ctx, request, input.request.deadline);
  }
}

bool is_fenced(const step_context& ctx, const submitted& input) {
  auto found = ctx.state.fenced_homes.find(input.request.home);
  return found != ctx.state.fenced_homes.end() && input.epoch <= found->second;
}

void on_submitted(const step_context& ctx, const submitted& input) {
  if (is_fenced(ctx, input)) {
    ctx.effects.push_back(
        reply{input.from, input.request.id, job::outcome(), true});
    return;
  }
  request_state* known = find_request(ctx, input.request.id);
  if (known != nullptr && !known->submission_received) {
    merge_submission(ctx, *known, input);
    return;
  }
  if (known != nullptr && !may_resubmit(*known, input.from)) {
    add_waiter(ctx, *known, input.from);
    return;
  }
  if (known != nullptr) {
    std::vector<waiter> not_run_recipients =
        std::move(known->not_run_recipients);
    ctx.state.by_id.erase(input.request.id);
    add_request(ctx, input);
    find_request(ctx, input.request.id)->not_run_recipients =
        std::move(not_run_recipients);
    return;
  }
  if (!evict_if_full(ctx)) {
    reply_to(ctx, input.from, input.request.id,
             refusal_outcome(ctx, input.request.home, "too many requests",
                             ctx.state.options.retry_after));
    return;
  }
  add_request(ctx, input);
}

void reply_no_record(const step_context& ctx, const waiter& to,
                     const std::string& id) {
  reply_to(ctx, to, id, job::unknown_outcome("no record of this request"));
}

void on_queried(const step_context& ctx, const queried& input) {
  request_state* request = find_request(ctx, input.id);
  if (request == nullptr) {
    reply_no_record(ctx, input.from, input.id);
    return;
  }
  add_waiter(ctx, *request, input.from);
}

void on_cancelled(const step_context& ctx, const cancelled& input) {
  request_state* request = find_request(ctx, input.id);
  if (request == nullptr) {
    reply_no_record(ctx, input.from, input.id);
    return;
  }
  bool repeated = request->cancel_requested;
  if (!is_final(*request)) request->cancel_requested = true;
  if (!request->submission_received) {
    reply_to(ctx, input.from, input.id, current_outcome(*request));
    if (!repeated) stop_active_tasks(ctx, *request);
    return;
  }
  add_waiter(ctx, *request, input.from);
  if (is_final(*request) || repeated) return;
  if (!may_have_run(*request)) {
    refuse_request(ctx, *request, "cancelled", milliseconds(0));
    return;
  }
  request->gang_restarting = false;
  end_queued_tasks(ctx, *request);
  stop_active_tasks(ctx, *request);
  update_outcome(ctx, *request);
}

void on_admission_refused(const step_context& ctx,
                          const admission_refused& input) {
  request_state* request = find_request(ctx, input.id);
  if (request == nullptr || is_final(*request)) return;
  for (task_state& task : request->tasks) {
    task.in_queue = false;
  }
  if (!may_have_run(*request)) {
    refuse_request(ctx, *request, input.reason, input.retry_after);
    return;
  }
  if (input.retry_after > milliseconds(0)) {
    request->enqueue_at = ctx.now + input.retry_after;
    set_timer(ctx, *request, request->enqueue_at);
    return;
  }
  end_queued_tasks(ctx, *request);
  update_outcome(ctx, *request);
}

// ---- Time -----------------------------------------------------------------

void handle_deadline(const step_context& ctx, request_state& request) {
  if (!may_have_run(request)) {
    refuse_request(ctx, request, "the deadline passed before a start",
                   ctx.state.options.retry_after);
    return;
  }
  bool may_continue = request.gang_restarting ||
                      request.request.kind == job::job_class::service;
  if (may_continue) return;
  end_queued_tasks(ctx, request);
  update_outcome(ctx, request);
}

// Whether a start got no reply before the deadline or for a whole task lease.
bool has_start_timed_out(const step_context& ctx,
                         const request_state& request) {
  for (const task_state& task : request.tasks) {
    if (task.unanswered_since == kNever) continue;
    if (ctx.now >= request.request.deadline) return true;
    if (ctx.now - task.unanswered_since >= ctx.state.options.task_lease) {
      return true;
    }
  }
  return false;
}

// Replies `unknown` to the waiters at once. The stop then releases the
// resources, whether or not the task runs.
void abandon_starts(const step_context& ctx, request_state& request) {
  finalize(
      ctx, request,
      job::unknown_outcome("a start was sent and the worker did not answer"));
  for (task_state& task : request.tasks) {
    if (task.unanswered_since == kNever) continue;
    stop_task(ctx, request, task);
  }
}

void repeat_stops(const step_context& ctx, request_state& request) {
  for (task_state& task : request.tasks) {
    if (task.phase != task_phase::stopping) continue;
    if (ctx.now - task.stop_sent_at < ctx.state.options.stop_timeout) continue;
    stop_task(ctx, request, task);
  }
}

void handle_timer(const step_context& ctx, request_state& request) {
  repeat_stops(ctx, request);
  repeat_superseded_stops(ctx, request);
  if (is_final(request) || !request.submission_received) return;
  if (has_start_timed_out(ctx, request)) {
    abandon_starts(ctx, request);
    return;
  }
  if (ctx.now >= request.request.deadline) handle_deadline(ctx, request);
  if (is_final(request) || request.enqueue_at == kNever) return;
  if (ctx.now >= request.enqueue_at) {
    enqueue_tasks(ctx, request);
  } else {
    set_timer(ctx, request, request.enqueue_at);
  }
}

void run_timers(const step_context& ctx) {
  std::multimap<steady_time, std::string>& timers = ctx.state.timers;
  while (!timers.empty() && timers.begin()->first <= ctx.now) {
    std::string id = std::move(timers.begin()->second);
    timers.erase(timers.begin());
    request_state* request = find_request(ctx, id);
    if (request != nullptr) handle_timer(ctx, *request);
  }
}

milliseconds retention_of(const step_context& ctx,
                          const request_state& request) {
  return request.request.idempotent ? ctx.state.options.outcome_retention
                                    : ctx.state.options.intent_retention;
}

bool has_task_on_worker(const request_state& request) {
  for (const task_state& task : request.tasks) {
    if (is_active(task)) return true;
  }
  return false;
}

// Forgets the request unless its retention has not passed or a task of it is
// still on a worker.
void forget_if_expired(const step_context& ctx, const std::string& id) {
  request_state* request = find_request(ctx, id);
  if (request == nullptr) return;
  if (request->submission_received && !is_final(*request)) return;
  bool keep = has_task_on_worker(*request) ||
              ctx.now - request->final_at < retention_of(ctx, *request);
  if (keep) {
    ctx.state.retention_queue.emplace_back(ctx.now, id);
  } else {
    ctx.state.by_id.erase(id);
  }
}

void forget_expired_outcomes(const step_context& ctx) {
  std::deque<std::pair<steady_time, std::string>>& retention_queue =
      ctx.state.retention_queue;
  while (!retention_queue.empty()) {
    const std::pair<steady_time, std::string> oldest = retention_queue.front();
    milliseconds age =
        std::chrono::duration_cast<milliseconds>(ctx.now - oldest.first);
    if (age < ctx.state.options.outcome_retention) break;
    retention_queue.pop_front();
    forget_if_expired(ctx, oldest.second);
  }
  std::erase_if(ctx.state.uncertain_homes,
                [&](const auto& each) { return each.second <= ctx.now; });
}

void on_home_shard_serving(const step_context& ctx,
                           const home_shard_serving& input) {
  if (input.all_workers_fenced) {
    ctx.state.uncertain_homes.erase(input.shard);
    return;
  }
  ctx.state.uncertain_homes[input.shard] =
      ctx.now + ctx.state.options.outcome_retention;
}

}  // namespace

std::vector<effect> step(table& state, const event& input, steady_time now) {
  std::vector<effect> effects;
  const step_context ctx{state, now, effects};
  if (const auto* e = std::get_if<submitted>(&input)) {
    on_submitted(ctx, *e);
  } else if (const auto* e = std::get_if<queried>(&input)) {
    on_queried(ctx, *e);
  } else if (const auto* e = std::get_if<cancelled>(&input)) {
    on_cancelled(ctx, *e);
  } else if (const auto* e = std::get_if<admission_refused>(&input)) {
    on_admission_refused(ctx, *e);
  } else if (const auto* e = std::get_if<placed>(&input)) {
    on_placed(ctx, *e);
  } else if (const auto* e = std::get_if<intent_durable>(&input)) {
    on_intent_durable(ctx, *e);
  } else if (const auto* e = std::get_if<intent_failed>(&input)) {
    on_intent_failed(ctx, *e);
  } else if (const auto* e = std::get_if<start_answered>(&input)) {
    on_start_answered(ctx, *e);
  } else if (const auto* e = std::get_if<start_unanswered>(&input)) {
    on_start_unanswered(ctx, *e);
  } else if (const auto* e = std::get_if<task_ended>(&input)) {
    on_task_ended(ctx, *e);
  } else if (const auto* e = std::get_if<stop_answered>(&input)) {
    on_stop_answered(ctx, *e);
  } else if (const auto* e = std::get_if<worker_lost>(&input)) {
    on_worker_lost(ctx, *e);
  } else if (const auto* e = std::get_if<task_found>(&input)) {
    on_task_found(ctx, *e);
  } else if (const auto* e = std::get_if<intent_found>(&input)) {
    on_intent_found(ctx, *e);
  } else if (const auto* e = std::get_if<shard_lost>(&input)) {
    on_shard_lost(ctx, *e);
  } else if (const auto* e = std::get_if<home_shard_serving>(&input)) {
    on_home_shard_serving(ctx, *e);
  } else if (const auto* e = std::get_if<ownership_uncertain>(&input)) {
    state.ownership_uncertain = e->uncertain;
  } else if (std::holds_alternative<tick>(input)) {
    run_timers(ctx);
    forget_expired_outcomes(ctx);
  }
  return effects;
}

}  // namespace ebonygrade::requests
