#include "requests/requests.h"

#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// Finished requests that are looked at to make room for a new one.
constexpr int kMaxEvictionTries = 8;

// ---- Submission, query, cancellation -------------------------------------

bool was_told(const request_state& request, const waiter& from) {
  for (const waiter& each : request.told) {
    if (each.peer == from.peer && each.token == from.token) return true;
  }
  return false;
}

// A refused request may be handed in again under the same id.
bool starts_afresh(const request_state& request, const waiter& from) {
  return request.outcome.kind() == wire::not_run &&
         request.outcome.retry_after_ms() > 0 && !was_told(request, from);
}

bool is_evictable(const context& at, const request_state& request) {
  return is_final(request) && request.request.idempotent &&
         at.now - request.final_at >= at.requests.options.min_retention;
}

// Forgets one of the oldest outcomes early if the table is full.
bool make_room(const context& at) {
  table& requests = at.requests;
  for (int i = 0; i < kMaxEvictionTries; ++i) {
    if (requests.by_id.size() < requests.options.max_requests) return true;
    if (requests.finished.empty()) return false;
    std::pair<steady_time, std::string> oldest = requests.finished.front();
    requests.finished.pop_front();
    request_state* request = find_request(at, oldest.second);
    if (request == nullptr) continue;
    if (is_evictable(at, *request)) {
      requests.by_id.erase(oldest.second);
    } else {
      requests.finished.push_back(std::move(oldest));
    }
  }
  return requests.by_id.size() < requests.options.max_requests;
}

void add_request(const context& at, const submitted& input) {
  request_state& request = at.requests.by_id[input.request.id];
  request.request = input.request;
  request.request_known = true;
  request.home_epoch = input.epoch;
  request.submitted = at.now;
  request.tasks.resize(input.request.task_count);
  add_waiter(at, request, input.from);
  enqueue_waiting(at, request);
  if (input.request.deadline != steady_time::max()) {
    set_timer(at, request, input.request.deadline);
  }
}

bool is_fenced(const context& at, const submitted& input) {
  auto found = at.requests.fenced_homes.find(input.request.home);
  return found != at.requests.fenced_homes.end() &&
         input.epoch <= found->second;
}

void on_submitted(const context& at, const submitted& input) {
  if (is_fenced(at, input)) {
    at.effects.push_back(
        reply{input.from, input.request.id, job::outcome(), true});
    return;
  }
  request_state* known = find_request(at, input.request.id);
  if (known != nullptr && !known->request_known) {
    join_found(at, *known, input);
    return;
  }
  if (known != nullptr && !starts_afresh(*known, input.from)) {
    add_waiter(at, *known, input.from);
    return;
  }
  if (known != nullptr) {
    std::vector<waiter> told = std::move(known->told);
    at.requests.by_id.erase(input.request.id);
    add_request(at, input);
    find_request(at, input.request.id)->told = std::move(told);
    return;
  }
  if (!make_room(at)) {
    reply_to(at, input.from, input.request.id,
             refusal(at, input.request.home, "too many requests",
                     at.requests.options.retry_after));
    return;
  }
  add_request(at, input);
}

void reply_no_record(const context& at, const waiter& to,
                     const std::string& id) {
  reply_to(at, to, id, job::unknown_outcome("no record of this request"));
}

void on_queried(const context& at, const queried& input) {
  request_state* request = find_request(at, input.id);
  if (request == nullptr) {
    reply_no_record(at, input.from, input.id);
    return;
  }
  add_waiter(at, *request, input.from);
}

void on_cancelled(const context& at, const cancelled& input) {
  request_state* request = find_request(at, input.id);
  if (request == nullptr) {
    reply_no_record(at, input.from, input.id);
    return;
  }
  bool repeated = request->cancel_wanted;
  if (!is_final(*request)) request->cancel_wanted = true;
  if (!request->request_known) {
    reply_to(at, input.from, input.id, present_outcome(*request));
    if (!repeated) stop_all(at, *request);
    return;
  }
  add_waiter(at, *request, input.from);
  if (is_final(*request) || repeated) return;
  if (!may_have_run(*request)) {
    refuse(at, *request, "cancelled", milliseconds(0));
    return;
  }
  request->restarting = false;
  end_waiting(at, *request);
  stop_all(at, *request);
  conclude(at, *request);
}

void on_admission_refused(const context& at, const admission_refused& input) {
  request_state* request = find_request(at, input.id);
  if (request == nullptr || is_final(*request)) return;
  for (task_state& task : request->tasks) {
    task.in_queue = false;
  }
  if (!may_have_run(*request)) {
    refuse(at, *request, input.reason, input.retry_after);
    return;
  }
  if (input.retry_after > milliseconds(0)) {
    request->enqueue_at = at.now + input.retry_after;
    set_timer(at, *request, request->enqueue_at);
    return;
  }
  end_waiting(at, *request);
  conclude(at, *request);
}

// ---- Time -----------------------------------------------------------------

void pass_deadline(const context& at, request_state& request) {
  if (!may_have_run(request)) {
    refuse(at, request, "the deadline passed before a start",
           at.requests.options.retry_after);
    return;
  }
  bool goes_on =
      request.restarting || request.request.kind == job::job_class::service;
  if (goes_on) return;
  end_waiting(at, request);
  conclude(at, request);
}

// Whether a start without an answer has been waited for long enough.
bool is_given_up(const context& at, const request_state& request) {
  for (const task_state& task : request.tasks) {
    if (task.unanswered_since == kNever) continue;
    if (at.now >= request.request.deadline) return true;
    if (at.now - task.unanswered_since >= at.requests.options.task_lease) {
      return true;
    }
  }
  return false;
}

// Tells the callers at once. The stop then frees the room, whether or not the
// task runs.
void give_up(const context& at, request_state& request) {
  finish(
      at, request,
      job::unknown_outcome("a start was sent and the worker did not answer"));
  for (task_state& task : request.tasks) {
    if (task.unanswered_since == kNever) continue;
    stop_task(at, request, task);
  }
}

void repeat_stops(const context& at, request_state& request) {
  for (task_state& task : request.tasks) {
    if (task.phase != task_phase::stopping) continue;
    if (at.now - task.stop_sent < at.requests.options.stop_timeout) continue;
    stop_task(at, request, task);
  }
}

void review(const context& at, request_state& request) {
  repeat_stops(at, request);
  stop_superseded(at, request);
  if (is_final(request) || !request.request_known) return;
  if (is_given_up(at, request)) {
    give_up(at, request);
    return;
  }
  if (at.now >= request.request.deadline) pass_deadline(at, request);
  if (is_final(request) || request.enqueue_at == kNever) return;
  if (at.now >= request.enqueue_at) {
    enqueue_waiting(at, request);
  } else {
    set_timer(at, request, request.enqueue_at);
  }
}

void run_timers(const context& at) {
  std::multimap<steady_time, std::string>& timers = at.requests.timers;
  while (!timers.empty() && timers.begin()->first <= at.now) {
    std::string id = std::move(timers.begin()->second);
    timers.erase(timers.begin());
    request_state* request = find_request(at, id);
    if (request != nullptr) review(at, *request);
  }
}

milliseconds retention_of(const context& at, const request_state& request) {
  return request.request.idempotent ? at.requests.options.outcome_retention
                                    : at.requests.options.intent_retention;
}

bool has_task_on_worker(const request_state& request) {
  for (const task_state& task : request.tasks) {
    if (is_active(task)) return true;
  }
  return false;
}

// Forgets the outcome unless it must be kept for longer.
void expire(const context& at, const std::string& id) {
  request_state* request = find_request(at, id);
  if (request == nullptr) return;
  if (request->request_known && !is_final(*request)) return;
  bool keep = has_task_on_worker(*request) ||
              at.now - request->final_at < retention_of(at, *request);
  if (keep) {
    at.requests.finished.emplace_back(at.now, id);
  } else {
    at.requests.by_id.erase(id);
  }
}

void forget_old(const context& at) {
  std::deque<std::pair<steady_time, std::string>>& finished =
      at.requests.finished;
  while (!finished.empty()) {
    const std::pair<steady_time, std::string> oldest = finished.front();
    milliseconds age =
        std::chrono::duration_cast<milliseconds>(at.now - oldest.first);
    if (age < at.requests.options.outcome_retention) break;
    finished.pop_front();
    expire(at, oldest.second);
  }
  std::erase_if(at.requests.uncertain_homes,
                [&](const auto& each) { return each.second <= at.now; });
}

void on_home_served(const context& at, const home_shard_serving& input) {
  if (input.all_workers_fenced) {
    at.requests.uncertain_homes.erase(input.shard);
    return;
  }
  at.requests.uncertain_homes[input.shard] =
      at.now + at.requests.options.outcome_retention;
}

}  // namespace

std::vector<effect> step(table& state, const event& input, steady_time now) {
  std::vector<effect> effects;
  const context at{state, now, effects};
  if (const auto* e = std::get_if<submitted>(&input)) {
    on_submitted(at, *e);
  } else if (const auto* e = std::get_if<queried>(&input)) {
    on_queried(at, *e);
  } else if (const auto* e = std::get_if<cancelled>(&input)) {
    on_cancelled(at, *e);
  } else if (const auto* e = std::get_if<admission_refused>(&input)) {
    on_admission_refused(at, *e);
  } else if (const auto* e = std::get_if<placed>(&input)) {
    on_placed(at, *e);
  } else if (const auto* e = std::get_if<intent_durable>(&input)) {
    on_intent_durable(at, *e);
  } else if (const auto* e = std::get_if<intent_failed>(&input)) {
    on_intent_failed(at, *e);
  } else if (const auto* e = std::get_if<start_answered>(&input)) {
    on_start_answered(at, *e);
  } else if (const auto* e = std::get_if<start_unanswered>(&input)) {
    on_start_unanswered(at, *e);
  } else if (const auto* e = std::get_if<task_ended>(&input)) {
    on_task_ended(at, *e);
  } else if (const auto* e = std::get_if<stop_answered>(&input)) {
    on_stop_answered(at, *e);
  } else if (const auto* e = std::get_if<worker_lost>(&input)) {
    on_worker_lost(at, *e);
  } else if (const auto* e = std::get_if<task_found>(&input)) {
    on_task_found(at, *e);
  } else if (const auto* e = std::get_if<intent_found>(&input)) {
    on_intent_found(at, *e);
  } else if (const auto* e = std::get_if<shard_lost>(&input)) {
    on_shard_lost(at, *e);
  } else if (const auto* e = std::get_if<home_shard_serving>(&input)) {
    on_home_served(at, *e);
  } else if (const auto* e = std::get_if<ownership_uncertain>(&input)) {
    state.ownership_uncertain = e->uncertain;
  } else if (std::holds_alternative<tick>(input)) {
    run_timers(at);
    forget_old(at);
  }
  return effects;
}

}  // namespace ebonygrade::requests
