#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// The pause before a service task is replaced doubles up to so many times.
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

void release(const context& at, const request_state& request, task_state& task,
             wire::task_end end) {
  at.effects.push_back(release_resources{std::move(task.worker),
                                         request.request.id,
                                         index_of(request, task), end});
  task.worker.clear();
  task.unanswered_since = kNever;
}

bool is_kept_running(const request_state& request) {
  return request.request.kind == job::job_class::service &&
         request.request.idempotent && !request.cancel_wanted &&
         !is_final(request);
}

void make_waiting(task_state& task) {
  task.phase = task_phase::queued;
  task.in_queue = false;
}

// Enqueues the replacement of a service task after a growing pause.
void replace_service_task(const context& at, request_state& request,
                          task_state& task) {
  make_waiting(task);
  std::uint32_t doublings = std::min(request.restarts, kMaxRestartDoublings);
  ++request.restarts;
  request.enqueue_at =
      at.now + at.requests.options.retry_after * (1 << doublings);
  set_timer(at, request, request.enqueue_at);
}

bool may_start_again(const context& at, const request_state& request,
                     const task_state& task) {
  if (!request.request_known) return false;
  if (task.attempts >= at.requests.options.max_attempts) return false;
  return at.now < request.request.deadline;
}

void retry(const context& at, request_state& request, task_state& task,
           wire::task_end end) {
  // A stop that nobody asked for here is a preemption, which is no failure.
  if (end == wire::stopped && task.attempts > 0) --task.attempts;
  if (may_start_again(at, request, task)) {
    make_waiting(task);
    enqueue_waiting(at, request);
    return;
  }
  if (!request.request_known) {
    make_waiting(task);  // Enqueued when the caller hands it in again.
    return;
  }
  end_task(request, task, task.may_have_run ? end : wire::stopped);
  conclude(at, request);
}

bool has_active_task(const request_state& request) {
  return std::any_of(request.tasks.begin(), request.tasks.end(), is_active);
}

// Starts a gang again as a whole once none of its tasks is on a worker, or
// ends it.
void continue_gang(const context& at, request_state& request) {
  if (has_active_task(request)) return;
  request.restarting = false;
  bool again = request.request.idempotent || !may_have_run(request);
  for (const task_state& task : request.tasks) {
    again = again && may_start_again(at, request, task);
  }
  if (!again) {
    end_waiting(at, request);
    conclude(at, request);
    return;
  }
  request.outcome.clear_answers();
  for (task_state& task : request.tasks) {
    task.has_answer = false;
    make_waiting(task);
  }
  enqueue_waiting(at, request);
}

void restart_gang(const context& at, request_state& request, task_state& task) {
  make_waiting(task);
  if (!request.restarting) {
    request.restarting = true;
    stop_all(at, request);
  }
  continue_gang(at, request);
}

bool is_gang(const request_state& request) {
  return request.request.kind == job::job_class::gang;
}

// A result of a task that was taken for lost.
void answer_late(const context& at, request_state& request, task_state& task,
                 const task_ended& input) {
  task.lost = false;
  task.phase = task_phase::ended;
  record_answer(request, task, input);
  conclude(at, request);
}

void lose_task(const context& at, request_state& request, task_state& task) {
  task.phase = task_phase::ended;
  task.lost = true;
  release(at, request, task, wire::lease_expired);
  if (is_gang(request)) stop_all(at, request);
  conclude(at, request);
}

void lose_worker_of(const context& at, request_state& request,
                    task_state& task) {
  if (task.phase == task_phase::intent_wait) {
    release(at, request, task, wire::task_end_unspecified);
    make_waiting(task);
    enqueue_waiting(at, request);
    return;
  }
  if (!is_active(task)) return;
  if (!request.request.idempotent) {
    lose_task(at, request, task);
    return;
  }
  task.ran_before = true;
  attempt_over(at, request, task, wire::lease_expired);
}

}  // namespace

void remove_answer(request_state& request, task_state& task) {
  if (!task.has_answer) return;
  task.has_answer = false;
  std::uint32_t index = index_of(request, task);
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
  answer.set_task_index(index_of(request, task));
  *request.outcome.add_answers() = std::move(answer);
  task.has_answer = true;
}

void end_task(request_state& request, task_state& task, wire::task_end end) {
  task.phase = task_phase::ended;
  wire::task_answer answer;
  answer.set_end(end);
  set_answer(request, task, std::move(answer));
}

void end_waiting(const context& at, request_state& request) {
  withdraw_waiting(at, request);
  for (task_state& task : request.tasks) {
    if (task.phase != task_phase::queued) continue;
    bool ran = task.may_have_run;
    end_task(request, task, ran ? wire::lease_expired : wire::stopped);
  }
}

void attempt_over(const context& at, request_state& request, task_state& task,
                  wire::task_end end) {
  release(at, request, task, end);
  bool ended = is_final(request) || request.cancel_wanted ||
               (!request.request.idempotent && task.may_have_run);
  if (ended) {
    end_task(request, task, end == wire::lease_expired ? end : wire::stopped);
    if (is_gang(request)) stop_all(at, request);
    conclude(at, request);
    return;
  }
  if (is_kept_running(request)) {
    replace_service_task(at, request, task);
  } else if (is_gang(request) && request.request_known) {
    restart_gang(at, request, task);
  } else {
    retry(at, request, task, end);
  }
}

void stop_task(const context& at, request_state& request, task_state& task) {
  task.phase = task_phase::stopping;
  task.stop_sent = at.now;
  job::attempt_key key{request.request.id, index_of(request, task),
                       task.attempt};
  at.effects.push_back(send_stop{task.worker, std::move(key)});
  set_timer(at, request, at.now + at.requests.options.stop_timeout);
}

void stop_all(const context& at, request_state& request) {
  withdraw_waiting(at, request);
  for (task_state& task : request.tasks) {
    if (!is_active(task) || task.phase == task_phase::stopping) continue;
    stop_task(at, request, task);
  }
}

void on_task_ended(const context& at, const task_ended& input) {
  attempt_position found = find_attempt(at, input.key);
  if (found.task == nullptr) {
    end_superseded(at, input.key);
    return;
  }
  request_state& request = *found.request;
  task_state& task = *found.task;
  if (task.lost) {
    answer_late(at, request, task, input);
    return;
  }
  if (!task.ran_before) confirm_start(at, request, task);
  task.may_have_run = true;
  if (input.end == wire::stopped || input.end == wire::lease_expired) {
    attempt_over(at, request, task, input.end);
    return;
  }
  release(at, request, task, input.end);
  if (is_kept_running(request)) {
    replace_service_task(at, request, task);
    return;
  }
  if (request.restarting) {
    restart_gang(at, request, task);
    return;
  }
  task.phase = task_phase::ended;
  record_answer(request, task, input);
  conclude(at, request);
}

void on_stop_answered(const context& at, const stop_answered& input) {
  attempt_position found = find_attempt(at, input.key);
  if (found.task == nullptr) {
    if (input.status != wire::stop_fenced) end_superseded(at, input.key);
    return;
  }
  if (found.task->lost) return;
  request_state& request = *found.request;
  task_state& task = *found.task;
  switch (input.status) {
    case wire::stop_confirmed:
      task.may_have_run = true;
      task.ran_before = true;
      attempt_over(at, request, task, wire::stopped);
      return;
    case wire::never_started:
      task.may_have_run = task.ran_before;
      attempt_over(at, request, task, wire::task_end_unspecified);
      return;
    case wire::already_ended:
      // Its end is among the worker's events.
      if (task.phase == task_phase::stopping) task.phase = task_phase::running;
      return;
    case wire::stop_fenced:
      if (task.epoch == request.home_epoch) disown(at, request.request.id);
      return;
    default:
      return;
  }
}

void on_worker_lost(const context& at, const worker_lost& input) {
  for (auto& [id, request] : at.requests.by_id) {
    lose_superseded(at, request, input.worker);
    for (task_state& task : request.tasks) {
      if (task.worker != input.worker) continue;
      lose_worker_of(at, request, task);
    }
  }
}

}  // namespace ebonygrade::requests
