#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

request_state& find_or_add(const step_context& ctx, const std::string& id,
                           const job::shard_id& home) {
  auto [entry, added] = ctx.state.by_id.try_emplace(id);
  request_state& request = entry->second;
  if (!added) return request;
  request.request.id = id;
  request.request.home = home;
  request.submitted_at = ctx.now;
  request.final_at = ctx.now;
  ctx.state.retention_queue.emplace_back(ctx.now, id);
  return request;
}

void fill_from_task(request_state& request, const wire::task_record& task) {
  request.request.team = task.team();
  request.request.kind = job::class_from_wire(task.class_());
  request.request.idempotent = task.idempotent();
  request.request.per_task = job::from_wire(task.resources());
}

// The worker lists a task of this daemon, so its start has taken effect.
void confirm_listed_task(const step_context& ctx, request_state& request,
                         task_state& task) {
  if (!task.may_have_run_before) confirm_start(ctx, request, task);
}

void adopt_running(const step_context& ctx, request_state& request,
                   task_state& task, const task_found& input) {
  ctx.effects.push_back(adopt_task{input.worker, input.task});
  if (!is_final(request)) remove_answer(request, task);
  task.phase = task_phase::running;
  task.worker = input.worker;
  task.epoch = input.task.epoch();
  task.attempt = input.task.key().attempt();
  task.in_queue = false;
  task.may_have_run = true;
  task.may_have_run_before = true;
  task.lost = false;
  if (request.cancel_requested) stop_task(ctx, request, task);
}

void stop_superseded_attempt(const step_context& ctx, request_state& request,
                             superseded_attempt older) {
  job::attempt_key key{request.request.id, older.task_index, older.attempt};
  ctx.effects.push_back(send_stop{older.worker, std::move(key)});
  request.superseded.push_back(std::move(older));
  set_timer(ctx, request, ctx.now + ctx.state.options.stop_timeout);
}

void adopt_ended(const step_context& ctx, request_state& request,
                 task_state& task, const task_found& input) {
  bool is_new = input.task.key().attempt() > task.attempt;
  if (task.phase == task_phase::ended && !task.lost && !is_new) return;
  task.may_have_run = true;
  task.may_have_run_before = true;
  task.attempt = input.task.key().attempt();
  bool is_result =
      input.task.end() == wire::completed || input.task.end() == wire::failed;
  bool is_service = request.request.kind == job::job_class::service;
  if (request.request.idempotent && (!is_result || is_service)) return;
  task.phase = task_phase::ended;
  task.lost = false;
  wire::task_answer answer;
  answer.set_end(input.task.end());
  answer.set_exit_code(input.task.exit_code());
  answer.set_output(input.task.output());
  answer.set_worker(input.worker);
  set_answer(request, task, std::move(answer));
  update_outcome(ctx, request);
}

// Some tasks are on workers and others are not started.
bool is_partly_running(const request_state& request) {
  bool active = false;
  bool waiting = false;
  for (const task_state& task : request.tasks) {
    active = active || is_active(task);
    waiting = waiting || task.phase == task_phase::queued;
  }
  return active && waiting;
}

}  // namespace

void on_task_found(const step_context& ctx, const task_found& input) {
  const wire::attempt_key& key = input.task.key();
  if (key.task_index() >= job::kMaxTasksPerRequest) return;
  request_state& request = find_or_add(ctx, key.request_id(), input.home);
  if (!request.submission_received) fill_from_task(request, input.task);
  if (key.task_index() >= request.tasks.size()) {
    request.tasks.resize(key.task_index() + 1);
  }
  task_state& task = request.tasks[key.task_index()];
  bool runs = input.task.end() == wire::task_end_unspecified;
  if (is_active(task) && task.attempt == key.attempt()) {
    if (runs) {
      confirm_listed_task(ctx, request, task);
    } else {
      on_task_ended(
          ctx, {job::from_wire(key), input.task.end(), input.task.exit_code(),
                input.task.output(), input.worker});
    }
    return;
  }
  if (is_active(task) && runs && key.attempt() < task.attempt) {
    ctx.effects.push_back(adopt_task{input.worker, input.task});
    stop_superseded_attempt(ctx, request,
                            {input.worker, key.task_index(), key.attempt()});
    return;
  }
  if (runs) {
    if (is_active(task)) {
      stop_superseded_attempt(ctx, request,
                              {task.worker, key.task_index(), task.attempt});
    }
    adopt_running(ctx, request, task, input);
  } else if (!is_active(task) && key.attempt() >= task.attempt) {
    adopt_ended(ctx, request, task, input);
  }
}

void on_intent_found(const step_context& ctx, const intent_found& input) {
  request_state& request = find_or_add(ctx, input.id, input.home);
  if (request.submission_received) return;
  request.request.idempotent = false;
  request.intent_written = true;
}

void merge_submission(const step_context& ctx, request_state& request,
                      const submitted& input) {
  bool at_most_once = !request.request.idempotent || request.intent_written ||
                      !input.request.idempotent;
  bool any_found = request.intent_written || !request.tasks.empty();
  request.request = input.request;
  request.submission_received = true;
  request.home_epoch = input.epoch;
  request.submitted_at = ctx.now;
  if (request.tasks.size() < input.request.task_count) {
    request.tasks.resize(input.request.task_count);
  }
  if (at_most_once) request.request.idempotent = false;
  bool no_more_starts = (at_most_once && any_found) || request.cancel_requested;
  if (no_more_starts) {
    for (task_state& task : request.tasks) {
      if (task.phase != task_phase::queued) continue;
      task.phase = task_phase::ended;
      task.may_have_run = true;
      task.lost = true;
    }
  }
  add_waiter(ctx, request, input.from);
  update_outcome(ctx, request);
  if (is_final(request)) return;
  if (request.request.kind == job::job_class::gang &&
      is_partly_running(request)) {
    request.gang_restarting = true;
    stop_active_tasks(ctx, request);
  } else {
    enqueue_tasks(ctx, request);
  }
  if (request.request.deadline != steady_time::max()) {
    set_timer(ctx, request, request.request.deadline);
  }
}

void repeat_superseded_stops(const step_context& ctx, request_state& request) {
  for (const superseded_attempt& each : request.superseded) {
    job::attempt_key key{request.request.id, each.task_index, each.attempt};
    ctx.effects.push_back(send_stop{each.worker, std::move(key)});
  }
  if (request.superseded.empty()) return;
  set_timer(ctx, request, ctx.now + ctx.state.options.stop_timeout);
}

void release_superseded(const step_context& ctx, const job::attempt_key& key) {
  request_state* request = find_request(ctx, key.request_id);
  if (request == nullptr) return;
  std::erase_if(request->superseded, [&](const superseded_attempt& each) {
    if (each.task_index != key.task_index) return false;
    if (each.attempt != key.attempt) return false;
    ctx.effects.push_back(
        release_resources{each.worker, key.request_id, key.task_index});
    return true;
  });
}

void release_superseded_on(const step_context& ctx, request_state& request,
                           const std::string& worker) {
  std::erase_if(request.superseded, [&](const superseded_attempt& each) {
    if (each.worker != worker) return false;
    ctx.effects.push_back(
        release_resources{worker, request.request.id, each.task_index});
    return true;
  });
}

void redirect(const step_context& ctx, const std::string& id) {
  auto found = ctx.state.by_id.find(id);
  if (found == ctx.state.by_id.end()) return;
  request_state& request = found->second;
  withdraw_tasks(ctx, request);
  job::epoch& fenced = ctx.state.fenced_homes[request.request.home];
  fenced = std::max(fenced, request.home_epoch);
  for (const waiter& each : request.waiters) {
    ctx.effects.push_back(reply{each, id, job::outcome(), true});
  }
  ctx.state.by_id.erase(found);
}

void on_shard_lost(const step_context& ctx, const shard_lost& input) {
  std::vector<std::string> ids;
  for (const auto& [id, request] : ctx.state.by_id) {
    if (request.request.home == input.shard) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    redirect(ctx, id);
  }
  ctx.state.uncertain_homes.erase(input.shard);
}

}  // namespace ebonygrade::requests
