#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// Waiters that are remembered as told not_run.
constexpr std::size_t kMaxTold = 8;

std::uint32_t count_running(const request_state& request) {
  std::uint32_t running = 0;
  for (const task_state& task : request.tasks) {
    if (task.phase == task_phase::running) ++running;
  }
  return running;
}

bool is_over(const request_state& request) {
  return std::all_of(
      request.tasks.begin(), request.tasks.end(),
      [](const task_state& t) { return t.phase == task_phase::ended; });
}

bool has_lost_task(const request_state& request) {
  return std::any_of(request.tasks.begin(), request.tasks.end(),
                     [](const task_state& task) { return task.lost; });
}

void sort_answers(job::outcome& outcome) {
  std::sort(outcome.mutable_answers()->begin(),
            outcome.mutable_answers()->end(),
            [](const wire::task_answer& left, const wire::task_answer& right) {
              return left.task_index() < right.task_index();
            });
}

job::outcome answered(const request_state& request) {
  job::outcome outcome = request.outcome;
  outcome.set_kind(wire::answered);
  outcome.clear_reason();
  sort_answers(outcome);
  return outcome;
}

job::outcome partly_answered(const request_state& request) {
  job::outcome outcome =
      job::unknown_outcome("a worker was lost with a task that may have run");
  *outcome.mutable_answers() = request.outcome.answers();
  sort_answers(outcome);
  return outcome;
}

// A late answer makes an unknown outcome known to later queries.
void resolve_unknown(const context& at, request_state& request) {
  if (!may_have_run(request)) {
    request.outcome = job::not_run_outcome("the start never took effect",
                                           at.requests.options.retry_after);
    return;
  }
  bool whole =
      request.outcome.answers_size() == static_cast<int>(request.tasks.size());
  if (whole) request.outcome = answered(request);
}

bool is_uncertain(const context& at, const job::shard_id& home) {
  if (at.requests.ownership_uncertain) return true;
  auto found = at.requests.uncertain_homes.find(home);
  return found != at.requests.uncertain_homes.end() && at.now < found->second;
}

void remember_told(request_state& request, const waiter& to) {
  if (request.outcome.kind() != wire::not_run) return;
  if (request.told.size() >= kMaxTold) return;
  request.told.push_back(to);
}

}  // namespace

request_state* find_request(const context& at, const std::string& id) {
  auto found = at.requests.by_id.find(id);
  return found == at.requests.by_id.end() ? nullptr : &found->second;
}

attempt_position find_attempt(const context& at, const job::attempt_key& key) {
  request_state* request = find_request(at, key.request_id);
  if (request == nullptr || key.task_index >= request->tasks.size()) return {};
  task_state& task = request->tasks[key.task_index];
  if (task.attempt != key.attempt) return {};
  if (!is_active(task) && !task.lost) return {};
  return {request, &task};
}

bool may_have_run(const request_state& request) {
  return std::any_of(request.tasks.begin(), request.tasks.end(),
                     [](const task_state& task) { return task.may_have_run; });
}

job::outcome present_outcome(const request_state& request) {
  if (is_final(request)) return request.outcome;
  std::uint32_t running = count_running(request);
  if (!request.request_known && running == 0) {
    job::outcome outcome =
        job::unknown_outcome("the request's owner changed; submit it again");
    *outcome.mutable_answers() = request.outcome.answers();
    return outcome;
  }
  job::outcome outcome;
  outcome.set_kind(wire::pending);
  outcome.set_running_tasks(running);
  return outcome;
}

void reply_to(const context& at, const waiter& to, const std::string& id,
              job::outcome outcome) {
  at.effects.push_back(reply{to, id, std::move(outcome), false});
}

void add_waiter(const context& at, request_state& request, const waiter& from) {
  bool must_wait = !is_final(request) && from.wait_for_final &&
                   request.waiters.size() < at.requests.options.max_waiters;
  if (!must_wait) {
    reply_to(at, from, request.request.id, present_outcome(request));
    remember_told(request, from);
    return;
  }
  auto found = std::find(request.waiters.begin(), request.waiters.end(), from);
  if (found == request.waiters.end()) request.waiters.push_back(from);
}

job::outcome refusal(const context& at, const job::shard_id& home,
                     std::string_view reason, milliseconds retry_after) {
  if (is_uncertain(at, home)) {
    return job::unknown_outcome(
        "an earlier owner may have run it; refused here: " +
        std::string(reason));
  }
  return job::not_run_outcome(reason, retry_after);
}

void finish(const context& at, request_state& request, job::outcome outcome) {
  request.outcome = std::move(outcome);
  request.final_at = at.now;
  request.request.payload.clear();
  request.request.payload.shrink_to_fit();
  at.requests.finished.emplace_back(at.now, request.request.id);
  for (const waiter& each : request.waiters) {
    reply_to(at, each, request.request.id, request.outcome);
    remember_told(request, each);
  }
  request.waiters.clear();
  at.effects.push_back(request_final{request.request.id, request.request.team,
                                     request.request.kind,
                                     request.outcome.kind()});
}

void refuse(const context& at, request_state& request, std::string_view reason,
            milliseconds retry_after) {
  withdraw_waiting(at, request);
  for (task_state& task : request.tasks) {
    task.phase = task_phase::ended;
  }
  finish(at, request, refusal(at, request.request.home, reason, retry_after));
}

void conclude(const context& at, request_state& request) {
  if (!request.request_known || !is_over(request)) return;
  bool lost = has_lost_task(request);
  if (is_final(request)) {
    if (request.outcome.kind() == wire::unknown && !lost) {
      resolve_unknown(at, request);
    }
    return;
  }
  if (!may_have_run(request)) {
    bool cancelled = request.cancel_wanted;
    refuse(at, request, cancelled ? "cancelled" : "no worker took the start",
           cancelled ? milliseconds(0) : at.requests.options.retry_after);
    return;
  }
  finish(at, request, lost ? partly_answered(request) : answered(request));
}

}  // namespace ebonygrade::requests
