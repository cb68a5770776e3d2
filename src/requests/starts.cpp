#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// An attempt is the epoch in the upper 40 bits and a counter in the lower 24.
constexpr int kCounterBits = 24;
constexpr std::uint32_t kCounterMask = (1U << kCounterBits) - 1;

std::uint64_t next_attempt(table& requests, job::epoch epoch) {
  std::uint32_t counter = requests.next_attempt;
  requests.next_attempt = (counter + 1) & kCounterMask;
  return (epoch << kCounterBits) | counter;
}

void start_task(const context& at, request_state& request, task_state& task) {
  const job::request& wanted = request.request;
  task.phase = task_phase::starting;
  task.attempt = next_attempt(at.requests, task.epoch);
  ++task.attempts;
  task.ran_before = task.may_have_run;
  task.may_have_run = true;
  task.unanswered_since = kNever;
  job::attempt_key key{wanted.id, index_of(request, task), task.attempt};
  wire::task_start start;
  *start.mutable_key() = job::to_wire(key);
  *start.mutable_resources() = job::to_wire(wanted.per_task);
  start.set_idempotent(wanted.idempotent);
  start.set_lease_ms(
      static_cast<std::uint32_t>(at.requests.options.task_lease.count()));
  start.set_payload(wanted.payload);
  start.set_team(wanted.team);
  start.set_class_(job::to_wire(wanted.kind));
  at.effects.push_back(send_start{task.worker, task.epoch, std::move(start)});
}

void await_intent(const context& at, request_state& request, task_state& task) {
  bool first = std::none_of(request.tasks.begin(), request.tasks.end(),
                            [](const task_state& each) {
                              return each.phase == task_phase::intent_wait;
                            });
  task.phase = task_phase::intent_wait;
  if (!first) return;
  at.effects.push_back(write_intent{request.request.id, request.request.home});
}

}  // namespace

std::uint32_t index_of(const request_state& request, const task_state& task) {
  return static_cast<std::uint32_t>(&task - request.tasks.data());
}

void set_timer(const context& at, const request_state& request,
               steady_time when) {
  at.requests.timers.emplace(when, request.request.id);
}

void enqueue_waiting(const context& at, request_state& request) {
  enqueue queue;
  for (task_state& task : request.tasks) {
    if (task.phase != task_phase::queued || task.in_queue) continue;
    task.in_queue = true;
    queue.tasks.push_back(index_of(request, task));
  }
  request.enqueue_at = kNever;
  if (queue.tasks.empty()) return;
  std::string payload = std::move(request.request.payload);
  request.request.payload.clear();
  queue.request = request.request;
  request.request.payload = std::move(payload);
  at.effects.push_back(std::move(queue));
}

void withdraw_waiting(const context& at, request_state& request) {
  bool queued = false;
  for (task_state& task : request.tasks) {
    if (task.phase == task_phase::intent_wait) {
      task.phase = task_phase::queued;
      at.effects.push_back(release_resources{task.worker, request.request.id,
                                             index_of(request, task)});
    } else if (task.phase == task_phase::queued) {
      queued = queued || task.in_queue;
    } else {
      continue;
    }
    task.in_queue = false;
    task.worker.clear();
  }
  request.enqueue_at = kNever;
  if (queued) at.effects.push_back(withdraw{request.request.id});
}

void confirm_start(const context& at, request_state& request,
                   task_state& task) {
  bool first = !task.ran_before;
  task.ran_before = true;
  task.unanswered_since = kNever;
  if (task.phase == task_phase::starting) task.phase = task_phase::running;
  if (!first) return;
  milliseconds waited =
      std::chrono::duration_cast<milliseconds>(at.now - request.submitted);
  at.effects.push_back(task_started{request.request.id, request.request.team,
                                    request.request.kind, waited});
}

void on_placed(const context& at, const placed& input) {
  request_state* request = find_request(at, input.id);
  bool wanted = request != nullptr && !is_final(*request) &&
                input.task_index < request->tasks.size() &&
                request->tasks[input.task_index].phase == task_phase::queued &&
                request->tasks[input.task_index].in_queue;
  if (!wanted) {
    at.effects.push_back(
        release_resources{input.worker, input.id, input.task_index});
    return;
  }
  task_state& task = request->tasks[input.task_index];
  task.in_queue = false;
  task.worker = input.worker;
  task.epoch = input.epoch;
  if (request->request.idempotent || request->intent_written) {
    start_task(at, *request, task);
  } else {
    await_intent(at, *request, task);
  }
}

void on_intent_durable(const context& at, const intent_durable& input) {
  request_state* request = find_request(at, input.id);
  if (request == nullptr || is_final(*request)) return;
  request->intent_written = true;
  for (task_state& task : request->tasks) {
    if (task.phase != task_phase::intent_wait) continue;
    start_task(at, *request, task);
  }
}

void on_intent_failed(const context& at, const intent_failed& input) {
  request_state* request = find_request(at, input.id);
  if (request == nullptr || is_final(*request)) return;
  if (request->intent_written || may_have_run(*request)) return;
  refuse(at, *request, input.reason, at.requests.options.retry_after);
}

void on_start_answered(const context& at, const start_answered& input) {
  attempt_position found = find_attempt(at, input.key);
  if (found.task == nullptr || found.task->lost) return;
  request_state& request = *found.request;
  task_state& task = *found.task;
  // A refusal of a repeated start says nothing of an attempt that runs or is
  // being stopped.
  if (input.status != wire::started && task.phase != task_phase::starting) {
    return;
  }
  switch (input.status) {
    case wire::started:
      confirm_start(at, request, task);
      return;
    case wire::fenced:
      task.may_have_run = task.ran_before;
      if (task.epoch == request.home_epoch) {
        disown(at, request.request.id);
        return;
      }
      break;
    case wire::revoked:
    case wire::rejected:
      task.may_have_run = task.ran_before;
      break;
    default:
      return;
  }
  attempt_over(at, request, task, wire::task_end_unspecified);
}

void on_start_unanswered(const context& at, const start_unanswered& input) {
  attempt_position found = find_attempt(at, input.key);
  if (found.task == nullptr) return;
  request_state& request = *found.request;
  task_state& task = *found.task;
  if (task.phase != task_phase::starting) return;
  if (request.request.idempotent) {
    stop_task(at, request, task);
    return;
  }
  // A stop could cut a task that must not be repeated; the worker's events or
  // its task table may still tell what became of it.
  task.unanswered_since = at.now;
  steady_time until = at.now + at.requests.options.task_lease;
  set_timer(at, request, std::min(until, request.request.deadline));
}

}  // namespace ebonygrade::requests
