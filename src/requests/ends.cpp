#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// Limits the exponential backoff before an ended service task is started again.
constexpr std::uint32_t kMaxRestartDoublings = 5;

void record_answer(request_state& request, task_state& task,
                   const task_ended& input) {
  wire::task_answer answer;
  answer.set_end(input.end);
  answer.set_exit_code(input.exit_code);
  answer.set_output(input.output);
  answer.set_worker(input.worker);
  set_answer(request, task, std::move(answer));
}

void release_task(const step_context& ctx, const request_state& request,
                  task_state& task, wire::task_end end) {
  ctx.effects.push_back(release_resources{std::move(task.worker),
                                          request.request.id,
                                          task_index_of(request, task), end});
  task.worker.clear();
  task.unanswered_since = kNever;
}

bool must_keep_running(const request_state& request) {
  return request.request.kind == job::job_class::service &&
         request.request.idempotent && !request.cancel_requested &&
         !is_final(request);
}

void mark_queued(task_state& task) {
  task.phase = task_phase::queued;
  task.in_queue = false;
}

// Starts an ended service task again after an exponential backoff.
void restart_service_task(const step_context& ctx, request_state& request,
                          task_state& task) {
  mark_queued(task);
  std::uint32_t doublings =
      std::min(request.restart_count, kMaxRestartDoublings);
  ++request.restart_count;
  request.enqueue_at =
      ctx.now + ctx.state.options.retry_after * (1 << doublings);
  set_timer(ctx, request, request.enqueue_at);
}

bool may_start_again(const step_context& ctx, const request_state& request,
                     const task_state& task) {
  if (!request.submission_received) return false;
  if (task.attempt_count >= ctx.state.options.max_attempts) return false;
  return ctx.now < request.request.deadline;
}

void retry_or_end_task(const step_context& ctx, request_state& request,
                       task_state& task, wire::task_end end) {
  // A stop that this table didn't send is a preemption. Preemptions don't count
  // towards the limit of attempts.
  if (end == wire::stopped && task.attempt_count > 0) --task.attempt_count;
  if (may_start_again(ctx, request, task)) {
    mark_queued(task);
    enqueue_tasks(ctx, request);
    return;
  }
  if (!request.submission_received) {
    mark_queued(task);  // Enqueued when the caller submits the request again.
    return;
  }
  end_without_result(request, task, task.may_have_run ? end : wire::stopped);
  update_outcome(ctx, request);
}

bool has_active_task(const request_state& request) {
  return std::any_of(request.tasks.begin(), request.tasks.end(), is_active);
}

// Once none of the gang's tasks is on a worker, starts the gang again as a
// whole or ends it.
void restart_or_end_gang(const step_context& ctx, request_state& request) {
  if (has_active_task(request)) return;
  request.gang_restarting = false;
  bool restart = request.request.idempotent || !may_have_run(request);
  for (const task_state& task : request.tasks) {
    restart = restart && may_start_again(ctx, request, task);
  }
  if (!restart) {
    end_queued_tasks(ctx, request);
    update_outcome(ctx, request);
    return;
  }
  request.outcome.clear_answers();
  for (task_state& task : request.tasks) {
    task.has_answer = false;
    mark_queued(task);
  }
  enqueue_tasks(ctx, request);
}

void restart_gang(const step_context& ctx, request_state& request,
                  task_state& task) {
  mark_queued(task);
  if (!request.gang_restarting) {
    request.gang_restarting = true;
    stop_active_tasks(ctx, request);
  }
  restart_or_end_gang(ctx, request);
}

bool is_gang(const request_state& request) {
  return request.request.kind == job::job_class::gang;
}

// Records the result of a task that was marked as lost.
void record_late_answer(const step_context& ctx, request_state& request,
                        task_state& task, const task_ended& input) {
  task.lost = false;
  task.phase = task_phase::ended;
  record_answer(request, task, input);
  update_outcome(ctx, request);
}

void mark_task_lost(const step_context& ctx, request_state& request,
                    task_state& task) {
  task.phase = task_phase::ended;
  task.lost = true;
  release_task(ctx, request, task, wire::lease_expired);
  if (is_gang(request)) stop_active_tasks(ctx, request);
  update_outcome(ctx, request);
}

void handle_lost_worker(const step_context& ctx, request_state& request,
                        task_state& task) {
  if (task.phase == task_phase::intent_wait) {
    release_task(ctx, request, task, wire::task_end_unspecified);
    mark_queued(task);
    enqueue_tasks(ctx, request);
    return;
  }
  if (!is_active(task)) return;
  if (!request.request.idempotent) {
    mark_task_lost(ctx, request, task);
    return;
  }
  task.may_have_run_before = true;
  end_attempt(ctx, request, task, wire::lease_expired);
}

}  // namespace

void remove_answer(request_state& request, task_state& task) {
  if (!task.has_answer) return;
  task.has_answer = false;
  std::uint32_t index = task_index_of(request, task);
  google::protobuf::RepeatedPtrField<wire::task_answer>* answers =
      request.outcome.mutable_answers();
  for (int i = 0; i < answers->size(); ++i) {
    if (answers->Get(i).task_index() != index) continue;
    answers->DeleteSubrange(i, 1);
    return;
  }
}

void set_answer(request_state& request, task_state& task,
                wire::task_answer answer) {
  if (is_final(request) && request.outcome.kind() != wire::unknown) return;
  remove_answer(request, task);
  answer.set_task_index(task_index_of(request, task));
  *request.outcome.add_answers() = std::move(answer);
  task.has_answer = true;
}

void end_without_result(request_state& request, task_state& task,
                        wire::task_end end) {
  task.phase = task_phase::ended;
  wire::task_answer answer;
  answer.set_end(end);
  set_answer(request, task, std::move(answer));
}

void end_queued_tasks(const step_context& ctx, request_state& request) {
  withdraw_tasks(ctx, request);
  for (task_state& task : request.tasks) {
    if (task.phase != task_phase::queued) continue;
    bool maybe_ran = task.may_have_run;
    end_without_result(request, task,
                       maybe_ran ? wire::lease_expired : wire::stopped);
  }
}

void end_attempt(const step_context& ctx, request_state& request,
                 task_state& task, wire::task_end end) {
  release_task(ctx, request, task, end);
  bool ended = is_final(request) || request.cancel_requested ||
               (!request.request.idempotent && task.may_have_run);
  if (ended) {
    end_without_result(request, task,
                       end == wire::lease_expired ? end : wire::stopped);
    if (is_gang(request)) stop_active_tasks(ctx, request);
    update_outcome(ctx, request);
    return;
  }
  if (must_keep_running(request)) {
    restart_service_task(ctx, request, task);
  } else if (is_gang(request) && request.submission_received) {
    restart_gang(ctx, request, task);
  } else {
    retry_or_end_task(ctx, request, task, end);
  }
}

void stop_task(const step_context& ctx, request_state& request,
               task_state& task) {
  task.phase = task_phase::stopping;
  task.stop_sent_at = ctx.now;
  job::attempt_key key{request.request.id, task_index_of(request, task),
                       task.attempt};
  ctx.effects.push_back(send_stop{task.worker, std::move(key)});
  set_timer(ctx, request, ctx.now + ctx.state.options.stop_timeout);
}

void stop_active_tasks(const step_context& ctx, request_state& request) {
  withdraw_tasks(ctx, request);
  for (task_state& task : request.tasks) {
    if (!is_active(task) || task.phase == task_phase::stopping) continue;
    stop_task(ctx, request, task);
  }
}

void on_task_ended(const step_context& ctx, const task_ended& input) {
  attempt_ref found = find_attempt(ctx, input.key);
  if (found.task == nullptr) {
    release_superseded(ctx, input.key);
    return;
  }
  request_state& request = *found.request;
  task_state& task = *found.task;
  if (task.lost) {
    record_late_answer(ctx, request, task, input);
    return;
  }
  if (!task.may_have_run_before) confirm_start(ctx, request, task);
  task.may_have_run = true;
  if (input.end == wire::stopped || input.end == wire::lease_expired) {
    end_attempt(ctx, request, task, input.end);
    return;
  }
  release_task(ctx, request, task, input.end);
  if (must_keep_running(request)) {
    restart_service_task(ctx, request, task);
    return;
  }
  if (request.gang_restarting) {
    restart_gang(ctx, request, task);
    return;
  }
  task.phase = task_phase::ended;
  record_answer(request, task, input);
  update_outcome(ctx, request);
}

void on_stop_answered(const step_context& ctx, const stop_answered& input) {
  attempt_ref found = find_attempt(ctx, input.key);
  if (found.task == nullptr) {
    if (input.status != wire::stop_fenced) release_superseded(ctx, input.key);
    return;
  }
  if (found.task->lost) return;
  request_state& request = *found.request;
  task_state& task = *found.task;
  switch (input.status) {
    case wire::stop_confirmed:
      task.may_have_run = true;
      task.may_have_run_before = true;
      end_attempt(ctx, request, task, wire::stopped);
      return;
    case wire::never_started:
      task.may_have_run = task.may_have_run_before;
      end_attempt(ctx, request, task, wire::task_end_unspecified);
      return;
    case wire::already_ended:
      // The worker reports the end as a separate event.
      if (task.phase == task_phase::stopping) task.phase = task_phase::running;
      return;
    case wire::stop_fenced:
      if (task.epoch == request.home_epoch) redirect(ctx, request.request.id);
      return;
    default:
      return;
  }
}

void on_worker_lost(const step_context& ctx, const worker_lost& input) {
  for (auto& [id, request] : ctx.state.by_id) {
    release_superseded_on(ctx, request, input.worker);
    for (task_state& task : request.tasks) {
      if (task.worker != input.worker) continue;
      handle_lost_worker(ctx, request, task);
    }
  }
}

}  // namespace ebonygrade::requests
