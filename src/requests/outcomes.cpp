#include <algorithm>
#include <utility>

#include "requests/step_pvt.h"

namespace ebonygrade::requests {

namespace {

// Recipients of `not_run` that are recorded for each request.
constexpr std::size_t kMaxNotRunRecipients = 8;

std::uint32_t count_running(const request_state& request) {
  std::uint32_t running = 0;
  for (const task_state& task : request.tasks) {
    if (task.phase == task_phase::running) ++running;
  }
  return running;
}

bool all_tasks_ended(const request_state& request) {
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

job::outcome answered_outcome(const request_state& request) {
  job::outcome outcome = request.outcome;
  outcome.set_kind(wire::answered);
  outcome.clear_reason();
  sort_answers(outcome);
  return outcome;
}

job::outcome partial_outcome(const request_state& request) {
  job::outcome outcome =
      job::unknown_outcome("a worker was lost with a task that may have run");
  *outcome.mutable_answers() = request.outcome.answers();
  sort_answers(outcome);
  return outcome;
}

// Replaces a final `unknown` after late results, for later queries.
void resolve_unknown(const step_context& ctx, request_state& request) {
  if (!may_have_run(request)) {
    request.outcome = job::not_run_outcome("the start never took effect",
                                           ctx.state.options.retry_after);
    return;
  }
  bool has_all_answers =
      request.outcome.answers_size() == static_cast<int>(request.tasks.size());
  if (has_all_answers) request.outcome = answered_outcome(request);
}

bool is_ownership_uncertain(const step_context& ctx,
                            const job::shard_id& home) {
  if (ctx.state.ownership_uncertain) return true;
  auto found = ctx.state.uncertain_homes.find(home);
  return found != ctx.state.uncertain_homes.end() && ctx.now < found->second;
}

void remember_not_run_recipient(request_state& request, const waiter& to) {
  if (request.outcome.kind() != wire::not_run) return;
  if (request.not_run_recipients.size() >= kMaxNotRunRecipients) return;
  request.not_run_recipients.push_back(to);
}

}  // namespace

request_state* find_request(const step_context& ctx, const std::string& id) {
  auto found = ctx.state.by_id.find(id);
  return found == ctx.state.by_id.end() ? nullptr : &found->second;
}

attempt_ref find_attempt(const step_context& ctx, const job::attempt_key& key) {
  request_state* request = find_request(ctx, key.request_id);
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

job::outcome current_outcome(const request_state& request) {
  if (is_final(request)) return request.outcome;
  std::uint32_t running = count_running(request);
  if (!request.submission_received && running == 0) {
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

void reply_to(const step_context& ctx, const waiter& to, const std::string& id,
              job::outcome outcome) {
  ctx.effects.push_back(reply{to, id, std::move(outcome), false});
}

void add_waiter(const step_context& ctx, request_state& request,
                const waiter& from) {
  bool must_wait = !is_final(request) && from.wait_for_final &&
                   request.waiters.size() < ctx.state.options.max_waiters;
  if (!must_wait) {
    reply_to(ctx, from, request.request.id, current_outcome(request));
    remember_not_run_recipient(request, from);
    return;
  }
  auto found = std::find(request.waiters.begin(), request.waiters.end(), from);
  if (found == request.waiters.end()) request.waiters.push_back(from);
}

job::outcome refusal_outcome(const step_context& ctx, const job::shard_id& home,
                             std::string_view reason,
                             milliseconds retry_after) {
  if (is_ownership_uncertain(ctx, home)) {
    return job::unknown_outcome(
        "an earlier owner may have run it; refused here: " +
        std::string(reason));
  }
  return job::not_run_outcome(reason, retry_after);
}

void finalize(const step_context& ctx, request_state& request,
              job::outcome outcome) {
  request.outcome = std::move(outcome);
  request.final_at = ctx.now;
  request.request.payload.clear();
  request.request.payload.shrink_to_fit();
  ctx.state.retention_queue.emplace_back(ctx.now, request.request.id);
  for (const waiter& each : request.waiters) {
    reply_to(ctx, each, request.request.id, request.outcome);
    remember_not_run_recipient(request, each);
  }
  request.waiters.clear();
  ctx.effects.push_back(request_final{request.request.id, request.request.team,
                                      request.request.kind,
                                      request.outcome.kind()});
}

void refuse_request(const step_context& ctx, request_state& request,
                    std::string_view reason, milliseconds retry_after) {
  withdraw_tasks(ctx, request);
  for (task_state& task : request.tasks) {
    task.phase = task_phase::ended;
  }
  finalize(ctx, request,
           refusal_outcome(ctx, request.request.home, reason, retry_after));
}

void update_outcome(const step_context& ctx, request_state& request) {
  if (!request.submission_received || !all_tasks_ended(request)) return;
  bool lost = has_lost_task(request);
  if (is_final(request)) {
    if (request.outcome.kind() == wire::unknown && !lost) {
      resolve_unknown(ctx, request);
    }
    return;
  }
  if (!may_have_run(request)) {
    bool cancelled = request.cancel_requested;
    refuse_request(ctx, request,
                   cancelled ? "cancelled" : "no worker took the start",
                   cancelled ? milliseconds(0) : ctx.state.options.retry_after);
    return;
  }
  finalize(ctx, request,
           lost ? partial_outcome(request) : answered_outcome(request));
}

}  // namespace ebonygrade::requests
