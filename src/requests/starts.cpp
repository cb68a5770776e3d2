#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// An attempt number has the epoch in the upper 40 bits and a counter in the
// lower 24.
constexpr int kCounterBits = 24;
constexpr std::uint32_t kCounterMask = (1U << kCounterBits) - 1;

std::uint64_t make_attempt_number(table& requests, job::epoch epoch) {
  std::uint32_t counter = requests.attempt_counter;
  requests.attempt_counter = (counter + 1) & kCounterMask;
  return (epoch << kCounterBits) | counter;
}

void start_task(const step_context& ctx, request_state& request,
                task_state& task) {
  const job::request& spec = request.request;
  task.phase = task_phase::starting;
  task.attempt = make_attempt_number(ctx.state, task.epoch);
  ++task.attempt_count;
  task.may_have_run_before = task.may_have_run;
  task.may_have_run = true;
  task.unanswered_since = kNever;
  job::attempt_key key{spec.id, task_index_of(request, task), task.attempt};
  wire::task_start start;
  *start.mutable_key() = job::to_wire(key);
  *start.mutable_resources() = job::to_wire(spec.per_task);
  start.set_idempotent(spec.idempotent);
  start.set_lease_ms(
      static_cast<std::uint32_t>(ctx.state.options.task_lease.count()));
  start.set_payload(spec.payload);
  start.set_team(spec.team);
  start.set_class_(job::to_wire(spec.kind));
  ctx.effects.push_back(send_start{task.worker, task.epoch, std::move(start)});
}

void await_intent(const step_context& ctx, request_state& request,
                  task_state& task) {
  bool first = std::none_of(request.tasks.begin(), request.tasks.end(),
                            [](const task_state& each) {
                              return each.phase == task_phase::intent_wait;
                            });
  task.phase = task_phase::intent_wait;
  if (!first) return;
  ctx.effects.push_back(write_intent{request.request.id, request.request.home});
}

}  // namespace

std::uint32_t task_index_of(const request_state& request,
                            const task_state& task) {
  return static_cast<std::uint32_t>(&task - request.tasks.data());
}

void set_timer(const step_context& ctx, const request_state& request,
               steady_time when) {
  ctx.state.timers.emplace(when, request.request.id);
}

void enqueue_tasks(const step_context& ctx, request_state& request) {
  enqueue queue;
  for (task_state& task : request.tasks) {
    if (task.phase != task_phase::queued || task.in_queue) continue;
    task.in_queue = true;
    queue.tasks.push_back(task_index_of(request, task));
  }
  request.enqueue_at = kNever;
  if (queue.tasks.empty()) return;
  std::string payload = std::move(request.request.payload);
  request.request.payload.clear();
  queue.request = request.request;
  request.request.payload = std::move(payload);
  ctx.effects.push_back(std::move(queue));
}

void withdraw_tasks(const step_context& ctx, request_state& request) {
  bool queued = false;
  for (task_state& task : request.tasks) {
    if (task.phase == task_phase::intent_wait) {
      task.phase = task_phase::queued;
      ctx.effects.push_back(release_resources{task.worker, request.request.id,
                                              task_index_of(request, task)});
    } else if (task.phase == task_phase::queued) {
      queued = queued || task.in_queue;
    } else {
      continue;
    }
    task.in_queue = false;
    task.worker.clear();
  }
  request.enqueue_at = kNever;
  if (queued) ctx.effects.push_back(withdraw{request.request.id});
}

void confirm_start(const step_context& ctx, request_state& request,
                   task_state& task) {
  bool first = !task.may_have_run_before;
  task.may_have_run_before = true;
  task.unanswered_since = kNever;
  if (task.phase == task_phase::starting) task.phase = task_phase::running;
  if (!first) return;
  milliseconds waited =
      std::chrono::duration_cast<milliseconds>(ctx.now - request.submitted_at);
  ctx.effects.push_back(task_started{request.request.id, request.request.team,
                                     request.request.kind, waited});
}

void on_placed(const step_context& ctx, const placed& input) {
  request_state* request = find_request(ctx, input.id);
  bool is_awaited =
      request != nullptr && !is_final(*request) &&
      input.task_index < request->tasks.size() &&
      request->tasks[input.task_index].phase == task_phase::queued &&
      request->tasks[input.task_index].in_queue;
  if (!is_awaited) {
    ctx.effects.push_back(
        release_resources{input.worker, input.id, input.task_index});
    return;
  }
  task_state& task = request->tasks[input.task_index];
  task.in_queue = false;
  task.worker = input.worker;
  task.epoch = input.epoch;
  if (request->request.idempotent || request->intent_written) {
    start_task(ctx, *request, task);
  } else {
    await_intent(ctx, *request, task);
  }
}

void on_intent_durable(const step_context& ctx, const intent_durable& input) {
  request_state* request = find_request(ctx, input.id);
  if (request == nullptr || is_final(*request)) return;
  request->intent_written = true;
  for (task_state& task : request->tasks) {
    if (task.phase != task_phase::intent_wait) continue;
    start_task(ctx, *request, task);
  }
}

void on_intent_failed(const step_context& ctx, const intent_failed& input) {
  request_state* request = find_request(ctx, input.id);
  if (request == nullptr || is_final(*request)) return;
  if (request->intent_written || may_have_run(*request)) return;
  refuse_request(ctx, *request, input.reason, ctx.state.options.retry_after);
}

void on_start_answered(const step_context& ctx, const start_answered& input) {
  attempt_ref found = find_attempt(ctx, input.key);
  if (found.task == nullptr || found.task->lost) return;
  request_state& request = *found.request;
  task_state& task = *found.task;
  // A refusal of a repeated start says nothing about an attempt that runs or is
  // being stopped.
  if (input.status != wire::started && task.phase != task_phase::starting) {
    return;
  }
  switch (input.status) {
    case wire::started:
      confirm_start(ctx, request, task);
      return;
    case wire::fenced:
      task.may_have_run = task.may_have_run_before;
      if (task.epoch == request.home_epoch) {
        redirect(ctx, request.request.id);
        return;
      }
      break;
    case wire::revoked:
    case wire::rejected:
      task.may_have_run = task.may_have_run_before;
      break;
    default:
      return;
  }
  end_attempt(ctx, request, task, wire::task_end_unspecified);
}

void on_start_unanswered(const step_context& ctx,
                         const start_unanswered& input) {
  attempt_ref found = find_attempt(ctx, input.key);
  if (found.task == nullptr) return;
  request_state& request = *found.request;
  task_state& task = *found.task;
  if (task.phase != task_phase::starting) return;
  if (request.request.idempotent) {
    stop_task(ctx, request, task);
    return;
  }
  // A stop could interrupt a task that must not be started again. The worker's
  // events or its task table may still show the result of the start.
  task.unanswered_since = ctx.now;
  steady_time until = ctx.now + ctx.state.options.task_lease;
  set_timer(ctx, request, std::min(until, request.request.deadline));
}

}  // namespace ebonygrade::requests
