// Waits for near places as part of the scheduling rounds.
#include <algorithm>
#include <string>
#include <utility>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"
#include "pool/reservations_pvt.h"

namespace ebonygrade::pool {

namespace {

// Bound of the wait of a job with nothing running. Such a job must start within
// 3 s once there is room for it, whatever the operator has set.
constexpr milliseconds kMaxIdleJobWait{2000};
// Further waits of a round have no event.
constexpr std::size_t kMaxEventsPerRound = 50;

bool has_near_rack(const wire::step_definition& step) {
  return !step.data_rack().empty() || (step.gang() && step.same_rack());
}

// Whether waiting is an option for the step at all.
bool may_wait(const scheduling_round& round,
              const wire::step_definition& step) {
  return round.near != nullptr && has_near_rack(step) &&
         step.estimate_ms() > 0 && !step.long_running() && !step.fills() &&
         step.latency_target_ms() == 0;
}

// Whether the members are on the rack that the step names or, without one, on
// the same rack.
bool are_near(const wire::step_definition& step,
              const std::vector<placement_option*>& chosen) {
  const std::string& rack = step.data_rack().empty()
                                ? chosen.front()->worker->entry.rack
                                : step.data_rack();
  return std::all_of(chosen.begin(), chosen.end(),
                     [&](const placement_option* each) {
                       return each->worker->entry.rack == rack;
                     });
}

milliseconds waited_by(const scheduling_round& round,
                       const candidate_step& candidate, const near_wait& wait) {
  milliseconds here =
      std::chrono::duration_cast<milliseconds>(round.now - wait.considered);
  if (wait.ran) return here;
  return std::max(here, round.wall - candidate.step->ready_since);
}

// By when the step's runs must end for the objective of the job, or for its
// value if the job is late.
std::optional<steady_time> due_of(const scheduling_round& round,
                                  const candidate_step& candidate) {
  if (candidate.tier == tier::no_value) return std::nullopt;
  milliseconds later_steps =
      candidate.job->remaining_paths[candidate.step->step] -
      milliseconds(definition(*candidate.job, *candidate.step).estimate_ms());
  unix_time until = candidate.tier == tier::in_time ? candidate.deadline
                                                    : candidate.value_ends;
  return round.now + (until - round.wall) - later_steps;
}

steady_time ticket_end(const step_state& step, const worker& worker) {
  std::unordered_map<std::string, cached_ticket>::const_iterator found =
      step.tickets.find(worker.entry.id);
  return found == step.tickets.end() ? steady_time::max()
                                     : found->second.expires;
}

// What is known without a look at the near racks.
near_options options_for(const scheduling_round& round,
                         const candidate_step& candidate, const task& task,
                         const std::vector<placement_option*>& far) {
  const near_wait_settings& settings = round.pool->near.settings;
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  near_options options;
  options.now = round.now;
  options.estimate = milliseconds(step.estimate_ms());
  options.far_factor = settings.far_factor;
  if (!task.checkpoint.empty()) options.far_resume_time = settings.restore_time;
  options.longest = settings.longest;
  if (candidate.job->workers.empty()) {
    options.longest = std::min(options.longest, kMaxIdleJobWait);
  }
  options.waited = waited_by(round, candidate, task.near);
  options.due = due_of(round, candidate);
  if (task.near.waiting) options.promised = task.near.until;
  double slowest = 0;
  for (const placement_option* each : far) {
    slowest = std::max(slowest, slowdown_of(*each->worker, round.now));
    if (!candidate.policy->needs_advice) continue;
    options.far_ticket_until = std::min(
        options.far_ticket_until, ticket_end(*candidate.step, *each->worker));
  }
  options.far_slowdown = slowest;
  return options;
}

void add_near_facts(const scheduling_round& round,
                    const std::vector<placement_option*>& far,
                    const found_room& room, near_options* options) {
  options->has_near_workers = room.has_workers;
  options->near = room.forecast;
  if (!room.forecast) return;
  options->margin = forecast_margin(round.pool->near.error,
                                    std::chrono::duration_cast<milliseconds>(
                                        room.forecast->free_at - round.now));
  const std::string& zone = room.workers.front()->entry.zone;
  options->far_in_near_zone =
      std::all_of(far.begin(), far.end(), [&](const placement_option* each) {
        return each->worker->entry.zone == zone;
      });
}

void add_event(const scheduling_round& round, const candidate_step& candidate,
               const task& task, job_event_kind kind,
               const std::string& detail) {
  if (round.near->events >= kMaxEventsPerRound) return;
  ++round.near->events;
  std::uint32_t index =
      static_cast<std::uint32_t>(&task - candidate.step->tasks.data());
  task_key key{candidate.job->id, candidate.step->occurrence,
               candidate.step->step, index};
  add_job_event(round.pool, kind, candidate.job->id, {},
                describe(key, task.last_run + 1) + detail);
}

void begin_wait(const scheduling_round& round, const candidate_step& candidate,
                const near_options& options, const near_decision& decision,
                task* task) {
  near_wait& wait = task->near;
  wait.waiting = true;
  wait.begun = round.now;
  wait.free_at = options.near ? options.near->free_at : decision.until;
  wait.until = decision.until;
  ++round.pool->near.counters.waits;
  milliseconds ahead =
      std::chrono::duration_cast<milliseconds>(wait.free_at - round.now);
  milliseconds near_run = std::chrono::duration_cast<milliseconds>(
      options.estimate * (options.near ? options.near->slowdown : 1));
  add_event(round, candidate, *task, job_event_kind::near_wait_begun,
            " near_in_ms=" + std::to_string(ahead.count()) +
                " margin_ms=" + std::to_string(options.margin.count()) +
                " near_run_ms=" + std::to_string(near_run.count()) +
                " far_run_ms=" + std::to_string(far_run_time(options).count()) +
                " waited_ms=" + std::to_string(options.waited.count()) +
                " bound_ms=" + std::to_string(wait_bound(options).count()));
}

void end_wait(const scheduling_round& round, const candidate_step& candidate,
              near_reason reason, task* task) {
  near_wait& wait = task->near;
  wait.waiting = false;
  milliseconds waited =
      std::chrono::duration_cast<milliseconds>(round.now - wait.begun);
  near_wait_state& state = round.pool->near;
  state.counters.waited += waited;
  bool near = reason == near_reason::near_free;
  if (!near) ++state.counters.waits_ended_far;
  // Of other ends it isn't known when near room would have come free.
  if (near || reason == near_reason::forecast_passed) {
    add_forecast_sample(&state.error, wait.begun, wait.free_at, round.now);
  }
  milliseconds error =
      std::chrono::duration_cast<milliseconds>(round.now - wait.free_at);
  add_event(round, candidate, *task, job_event_kind::near_wait_ended,
            std::string(" outcome=") + (near ? "near" : "far") +
                " reason=" + name_of(reason) +
                " waited_ms=" + std::to_string(waited.count()) +
                " after_forecast_ms=" + std::to_string(error.count()));
}

// `find_room` is called only if the time waited leaves a choice, and `on_wait`
// with the room that the task waits for.
template <typename FindRoom, typename OnWait>
bool decide_wait(const scheduling_round& round, const candidate_step& candidate,
                 const std::vector<placement_option*>& far, FindRoom find_room,
                 OnWait on_wait, task* task) {
  near_wait& wait = task->near;
  if (wait.given_up) return false;
  if (wait.considered == steady_time()) wait.considered = round.now;
  near_options options = options_for(round, candidate, *task, far);
  const near_rule rule = round.pool->near.settings.rule;
  near_decision decision{false, near_reason::bound, {}};
  milliseconds bound =
      rule == choose_place ? wait_bound(options) : options.longest;
  if (options.waited < bound) {
    found_room room = find_room();
    add_near_facts(round, far, room, &options);
    decision = rule(options);
    if (decision.waits && room.forecast) on_wait(room);
  }
  if (decision.waits) {
    if (!wait.waiting) begin_wait(round, candidate, options, decision, task);
    wait.decided = round.now;
    return true;
  }
  if (wait.waiting) {
    end_wait(round, candidate, decision.reason, task);
    wait.given_up = true;
  }
  return false;
}

}  // namespace

std::shared_ptr<near_round> begin_near_round(const pool_state& pool) {
  if (!waits_for_near(pool.near.settings)) return nullptr;
  return std::make_shared<near_round>();
}

void observe_run_end(pool_state* pool, const placement& placed,
                     steady_time now) {
  if (placed.forecast_made == steady_time()) return;
  add_forecast_sample(&pool->near.error, placed.forecast_made,
                      placed.forecast_end, now);
}

bool waits_for_near(const scheduling_round& round,
                    const candidate_step& candidate, task* task,
                    const placement_option& best) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  if (best.near_data || task->suspected || !may_wait(round, step)) return false;
  placement_option far = best;
  return decide_wait(
      round, candidate, {&far},
      [&] { return find_task_room(round, candidate, *task, step.data_rack()); },
      [&](const found_room& room) { claim_room(round, candidate, room); },
      task);
}

bool gang_waits_for_near(const scheduling_round& round,
                         const candidate_step& candidate,
                         const std::vector<placement_option*>& chosen) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  if (!may_wait(round, step) || are_near(step, chosen)) return false;
  if (awaits_trial(*candidate.step)) return false;
  return decide_wait(
      round, candidate, chosen,
      [&] { return find_gang_room(round, candidate, step.data_rack()); },
      [&](const found_room& room) { round.near->awaited = room.workers; },
      &candidate.step->tasks.front());
}

void observe_place(const scheduling_round& round,
                   const candidate_step& candidate, task* task,
                   const std::vector<placement_option*>& chosen) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  if (!has_near_rack(step)) return;
  bool near = are_near(step, chosen);
  near_wait_counters& counters = round.pool->near.counters;
  (near ? counters.near_runs : counters.far_runs) += chosen.size();
  if (task->near.waiting) {
    end_wait(round, candidate,
             near ? near_reason::near_free : near_reason::far_sooner, task);
  }
  task->near = {};
  task->near.ran = true;
}

std::vector<placement_option> prefer_data_rack(
    const scheduling_round& round, const candidate_step& candidate,
    const std::vector<placement_option>& options, std::uint32_t count) {
  const std::string& rack =
      definition(*candidate.job, *candidate.step).data_rack();
  if (round.near == nullptr || rack.empty()) return options;
  std::vector<placement_option> near;
  std::copy_if(options.begin(), options.end(), std::back_inserter(near),
               [](const placement_option& each) { return each.near_data; });
  return total_slots(near) < count ? options : near;
}

void name_near_workers(const scheduling_round& round,
                       const wire::step_definition& step, std::size_t count,
                       std::vector<const worker*>* workers) {
  if (round.near == nullptr || step.data_rack().empty()) return;
  std::vector<const worker*> near;
  std::vector<const worker*> others;
  for (const worker* each : *workers) {
    bool named =
        each->entry.rack == step.data_rack() && near.size() < (count + 1) / 2;
    (named ? near : others).push_back(each);
  }
  near.insert(near.end(), others.begin(), others.end());
  *workers = std::move(near);
}

void reserve_near_room(scheduling_round* round,
                       const candidate_step& candidate) {
  if (round->near == nullptr || round->near->awaited.empty()) return;
  reserve_room(round, candidate, std::exchange(round->near->awaited, {}));
}

bool all_wait_for_near(const scheduling_round& round,
                       const candidate_step& candidate) {
  // Without a far place a task has no decision to make, and needs advice.
  auto waits = [&](const task& each) {
    return each.near.waiting && each.near.decided == round.now;
  };
  const std::vector<task>& tasks = candidate.step->tasks;
  if (definition(*candidate.job, *candidate.step).gang()) {
    return waits(tasks.front());
  }
  return std::all_of(tasks.begin(), tasks.end(), [&](const task& each) {
    return each.done || each.placed || waits(each);
  });
}

}  // namespace ebonygrade::pool
