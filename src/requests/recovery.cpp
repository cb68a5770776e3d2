#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

request_state& find_or_add(const context& at, const std::string& id,
                           const job::shard_id& home) {
  auto [position, added] = at.requests.by_id.try_emplace(id);
  request_state& request = position->second;
  if (!added) return request;
  request.request.id = id;
  request.request.home = home;
  request.submitted = at.now;
  request.final_at = at.now;
  at.requests.finished.emplace_back(at.now, id);
  return request;
}

void describe_from_task(request_state& request, const wire::task_record& task) {
  request.request.team = task.team();
  request.request.kind = job::class_from_wire(task.class_());
  request.request.idempotent = task.idempotent();
  request.request.per_task = job::from_wire(task.resources());
}

// A task of ours that the worker lists although its start had no answer.
void confirm_known(const context& at, request_state& request,
                   task_state& task) {
  if (!task.ran_before) confirm_start(at, request, task);
}

void adopt_running(const context& at, request_state& request, task_state& task,
                   const task_found& input) {
  at.effects.push_back(adopt_task{input.worker, input.task});
  if (!is_final(request)) remove_answer(request, task);
  task.phase = task_phase::running;
  task.worker = input.worker;
  task.epoch = input.task.epoch();
  task.attempt = input.task.key().attempt();
  task.in_queue = false;
  task.may_have_run = true;
  task.ran_before = true;
  task.lost = false;
  if (request.cancel_wanted) stop_task(at, request, task);
}

void supersede(const context& at, request_state& request,
               superseded_attempt older) {
  job::attempt_key key{request.request.id, older.task_index, older.attempt};
  at.effects.push_back(send_stop{older.worker, std::move(key)});
  request.superseded.push_back(std::move(older));
  set_timer(at, request, at.now + at.requests.options.stop_timeout);
}

void adopt_ended(const context& at, request_state& request, task_state& task,
                 const task_found& input) {
  bool is_new = input.task.key().attempt() > task.attempt;
  if (task.phase == task_phase::ended && !task.lost && !is_new) return;
  task.may_have_run = true;
  task.ran_before = true;
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
  conclude(at, request);
}

// Some of the tasks run and others have to be started.
bool has_gap(const request_state& request) {
  bool active = false;
  bool waiting = false;
  for (const task_state& task : request.tasks) {
    active = active || is_active(task);
    waiting = waiting || task.phase == task_phase::queued;
  }
  return active && waiting;
}

}  // namespace

void on_task_found(const context& at, const task_found& input) {
  const wire::attempt_key& key = input.task.key();
  if (key.task_index() >= job::kMaxTasksPerRequest) return;
  request_state& request = find_or_add(at, key.request_id(), input.home);
  if (!request.request_known) describe_from_task(request, input.task);
  if (key.task_index() >= request.tasks.size()) {
    request.tasks.resize(key.task_index() + 1);
  }
  task_state& task = request.tasks[key.task_index()];
  bool runs = input.task.end() == wire::task_end_unspecified;
  if (is_active(task) && task.attempt == key.attempt()) {
    if (runs) {
      confirm_known(at, request, task);
    } else {
      on_task_ended(
          at, {job::from_wire(key), input.task.end(), input.task.exit_code(),
               input.task.output(), input.worker});
    }
    return;
  }
  if (is_active(task) && runs && key.attempt() < task.attempt) {
    at.effects.push_back(adopt_task{input.worker, input.task});
    supersede(at, request, {input.worker, key.task_index(), key.attempt()});
    return;
  }
  if (runs) {
    if (is_active(task)) {
      supersede(at, request, {task.worker, key.task_index(), task.attempt});
    }
    adopt_running(at, request, task, input);
  } else if (!is_active(task) && key.attempt() >= task.attempt) {
    adopt_ended(at, request, task, input);
  }
}

void on_intent_found(const context& at, const intent_found& input) {
  request_state& request = find_or_add(at, input.id, input.home);
  if (request.request_known) return;
  request.request.idempotent = false;
  request.intent_written = true;
}

void join_found(const context& at, request_state& request,
                const submitted& input) {
  bool at_most_once = !request.request.idempotent || request.intent_written ||
                      !input.request.idempotent;
  bool any_found = request.intent_written || !request.tasks.empty();
  request.request = input.request;
  request.request_known = true;
  request.home_epoch = input.epoch;
  request.submitted = at.now;
  if (request.tasks.size() < input.request.task_count) {
    request.tasks.resize(input.request.task_count);
  }
  if (at_most_once) request.request.idempotent = false;
  bool no_more_starts = (at_most_once && any_found) || request.cancel_wanted;
  if (no_more_starts) {
    for (task_state& task : request.tasks) {
      if (task.phase != task_phase::queued) continue;
      task.phase = task_phase::ended;
      task.may_have_run = true;
      task.lost = true;
    }
  }
  add_waiter(at, request, input.from);
  conclude(at, request);
  if (is_final(request)) return;
  if (request.request.kind == job::job_class::gang && has_gap(request)) {
    request.restarting = true;
    stop_all(at, request);
  } else {
    enqueue_waiting(at, request);
  }
  if (request.request.deadline != steady_time::max()) {
    set_timer(at, request, request.request.deadline);
  }
}

void stop_superseded(const context& at, request_state& request) {
  for (const superseded_attempt& each : request.superseded) {
    job::attempt_key key{request.request.id, each.task_index, each.attempt};
    at.effects.push_back(send_stop{each.worker, std::move(key)});
  }
  if (request.superseded.empty()) return;
  set_timer(at, request, at.now + at.requests.options.stop_timeout);
}

void end_superseded(const context& at, const job::attempt_key& key) {
  request_state* request = find_request(at, key.request_id);
  if (request == nullptr) return;
  std::erase_if(request->superseded, [&](const superseded_attempt& each) {
    if (each.task_index != key.task_index) return false;
    if (each.attempt != key.attempt) return false;
    at.effects.push_back(
        release_resources{each.worker, key.request_id, key.task_index});
    return true;
  });
}

void lose_superseded(const context& at, request_state& request,
                     const std::string& worker) {
  std::erase_if(request.superseded, [&](const superseded_attempt& each) {
    if (each.worker != worker) return false;
    at.effects.push_back(
        release_resources{worker, request.request.id, each.task_index});
    return true;
  });
}

void disown(const context& at, const std::string& id) {
  auto found = at.requests.by_id.find(id);
  if (found == at.requests.by_id.end()) return;
  request_state& request = found->second;
  withdraw_waiting(at, request);
  job::epoch& fenced = at.requests.fenced_homes[request.request.home];
  fenced = std::max(fenced, request.home_epoch);
  for (const waiter& each : request.waiters) {
    at.effects.push_back(reply{each, id, job::outcome(), true});
  }
  at.requests.by_id.erase(found);
}

void on_shard_lost(const context& at, const shard_lost& input) {
  std::vector<std::string> ids;
  for (const auto& [id, request] : at.requests.by_id) {
    if (request.request.home == input.shard) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    disown(at, id);
  }
  at.requests.uncertain_homes.erase(input.shard);
}

}  // namespace ebonygrade::requests
