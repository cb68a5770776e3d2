// Placement of waiting tasks, in the order of the value of their results.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"
#include "pool/reservations_pvt.h"
#include "pool/round_pvt.h"
#include "pool/step_wait.h"
#include "pool/tenant_order.h"

namespace ebonygrade::pool {

namespace {

// Run times below this share of their estimates are not expected.
constexpr double kShortestRunFactor = 0.7;

// Priority comes before lateness: after an interruption, many urgent jobs are
// late at once. They are small and keep their value for a short time only,
// while work of lower priority can wait longer. Lateness therefore counts
// within a priority.
bool precedes(const candidate_step& a, const candidate_step& b) {
  bool a_worthless = a.tier == tier::no_value;
  bool b_worthless = b.tier == tier::no_value;
  if (a_worthless != b_worthless) return b_worthless;
  if (a.priority != b.priority) return a.priority < b.priority;
  if (a.tier != b.tier) return a.tier < b.tier;
  return a.deadline < b.deadline;
}

milliseconds objective(const job& job, const queue_policy& policy) {
  return policy.target +
         milliseconds(static_cast<std::int64_t>(
             policy.stretch * static_cast<double>(job.critical_path.count())));
}

// The job's run time from this step on, if the estimates are too high. Load
// pattern: with a backlog, jobs that can't be in time any more come next by
// their deadline, and each makes another job late in its turn.
milliseconds shortest_rest(const job& job, const step_state& step) {
  return std::chrono::duration_cast<milliseconds>(
      job.remaining_paths[step.step] * kShortestRunFactor);
}

candidate_step make_candidate(job* job, step_state* step,
                              const queue_policy& policy, unix_time wall) {
  candidate_step result;
  milliseconds target = objective(*job, policy);
  result.priority = policy.priority;
  unix_time due = due_time(*job, step->occurrence);
  result.deadline = due + target;
  result.value_ends = due + kValueEndFactor * target;
  result.job = job;
  result.step = step;
  result.policy = &policy;
  // What lasts has value whenever it runs.
  if (definition(*job, *step).long_running()) return result;
  unix_time earliest_end = wall + shortest_rest(*job, *step);
  if (earliest_end > result.deadline) result.tier = tier::late;
  if (earliest_end > result.value_ends) result.tier = tier::no_value;
  return result;
}

std::vector<candidate_step> candidates(pool_state* pool, unix_time wall) {
  std::vector<candidate_step> found;
  found.reserve(pool->waiting_steps.size());
  for (const queue_position& position : pool->waiting_steps) {
    job* job = find_job(pool, position.job);
    if (job == nullptr) continue;
    step_state* step = find_step(job, position.occurrence, position.step);
    if (step == nullptr) continue;
    found.push_back(make_candidate(job, step, policy_of(*pool, *job), wall));
    if (pool->has_tenants) describe_to_tenant(&found.back());
  }
  // The waiting steps are sorted by job and occurrence, which decides ties.
  std::stable_sort(found.begin(), found.end(), precedes);
  return found;
}

// ---- Placement
// ----------------------------------------------------------------

void place(const scheduling_round& round, const candidate_step& candidate,
           std::uint32_t index, std::uint32_t run, bool trial,
           placement_option* at) {
  task& task = candidate.step->tasks[index];
  task.emptied_worker.clear();
  task.last_run = run;
  task.placed = true;
  task.placed_run = run;
  task.worker = at->worker->entry.id;
  task.incarnation_ms = at->worker->entry.incarnation_ms;
  placement placed;
  placed.task = {candidate.job->id, candidate.step->occurrence,
                 candidate.step->step, index};
  placed.run = run;
  placed.need = resources_needed(definition(*candidate.job, *candidate.step));
  placed.phase_since = round.now;
  placed.placed_at = round.now;
  placed.ticket = std::string(at->ticket);
  placed.trial = trial;
  if (trial) ++round.pool->counters.trials;
  at->free = at->free - placed.need;
  round.pool->unrecorded_starts.push_back(
      {task.worker, task.incarnation_ms, placed.task, run});
  add_placement(round.pool, at->worker, std::move(placed));
  candidate.job->placed = true;
  candidate.step->waits_since = {};
  round.pool->changed_jobs.insert(candidate.job->id);
}

// Records a job event with the placements made since index `first`.
void record_placements(const scheduling_round& round,
                       const candidate_step& candidate, std::size_t first,
                       bool had_placed) {
  pool_state* pool = round.pool;
  if (first >= pool->unrecorded_starts.size()) return;
  milliseconds waited = time_since_accepted(*candidate.job, round.wall);
  std::string detail =
      "occurrence=" + std::to_string(candidate.step->occurrence) +
      " step=" + std::to_string(candidate.step->step) +
      " waited_ms=" + std::to_string(waited.count()) +
      " tier=" + std::to_string(static_cast<int>(candidate.tier)) + " runs=";
  for (std::size_t i = first; i < pool->unrecorded_starts.size(); ++i) {
    const placement_key& each = pool->unrecorded_starts[i];
    if (i > first) detail += ',';
    detail += std::to_string(each.task.index) + "/" + std::to_string(each.run) +
              "@" + each.worker;
  }
  std::optional<milliseconds> first_start;
  if (!had_placed) first_start = waited;
  add_job_event(pool, job_event_kind::placed, candidate.job->id, {},
                std::move(detail), first_start);
}

// Avoids the worker on which the task failed last, if others have slots.
placement_option* choose_option(const scheduling_round& round, const task& task,
                                std::vector<placement_option>* options) {
  placement_option* chosen = nullptr;
  for (placement_option& each : *options) {
    if (each.slots == 0 || is_emptied(*each.worker, round.now)) continue;
    if (each.worker->entry.id != task.last_failed_worker) return &each;
    if (chosen == nullptr) chosen = &each;
  }
  return chosen;
}

// Places at most `allowed` tasks.
void place_tasks(const scheduling_round& round, const candidate_step& candidate,
                 std::uint32_t allowed) {
  std::vector<placement_option> options =
      find_options(round, candidate, ticket_mode::required,
                   static_cast<std::uint32_t>(candidate.step->tasks.size()));
  if (options.empty()) return;
  sort_by_preference(round, candidate, &options);
  for (std::uint32_t i = 0; i < candidate.step->tasks.size(); ++i) {
    task& task = candidate.step->tasks[i];
    if (task.done || task.placed) continue;
    if (allowed == 0) break;
    placement_option* chosen =
        task.suspected ? choose_for_trial(
                             round, definition(*candidate.job, *candidate.step),
                             &task, &options)
                       : choose_option(round, task, &options);
    if (chosen == nullptr) continue;
    if (waits_for_near(round, candidate, &task, *chosen)) continue;
    observe_place(round, candidate, &task, {chosen});
    place(round, candidate, i, task.last_run + 1, task.suspected, chosen);
    --allowed;
    // Nothing starts beside a trial.
    chosen->slots = task.suspected ? 0 : chosen->slots - 1;
  }
  update_waiting(round.pool, *candidate.job, *candidate.step);
}

// Returns the options of the rack with the fewest slots that fits the gang, or
// all options if no rack fits it.
std::vector<placement_option> options_in_one_rack(
    const std::vector<placement_option>& options, std::uint32_t count) {
  std::map<std::string, std::vector<placement_option>> racks;
  for (const placement_option& each : options) {
    racks[each.worker->entry.rack].push_back(each);
  }
  const std::vector<placement_option>* best = nullptr;
  std::uint32_t best_slots = 0;
  for (const std::pair<const std::string, std::vector<placement_option>>& rack :
       racks) {
    std::uint32_t slots = total_slots(rack.second);
    if (slots < count || (best != nullptr && slots >= best_slots)) continue;
    best = &rack.second;
    best_slots = slots;
  }
  return best == nullptr ? options : *best;
}

// The options of the members, in their order. Empty if the gang must wait for
// capacity. Suspected members run alone as far as there are idle workers: with
// a wait for them, a gang that was packed on a worker that crashed would need
// many at the same time.
std::vector<placement_option*> choose_for_gang(
    const step_state& step, std::vector<placement_option>* options) {
  std::vector<placement_option*> chosen(step.tasks.size());
  std::uint32_t others = static_cast<std::uint32_t>(step.tasks.size());
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (!step.tasks[i].suspected) continue;
    placement_option* idle = idle_option(options);
    if (idle == nullptr || total_slots(*options) - idle->slots < others - 1) {
      break;
    }
    idle->slots = 0;
    chosen[i] = idle;
    --others;
  }
  std::vector<placement_option>::iterator next = options->begin();
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (chosen[i] != nullptr) continue;
    while (next != options->end() && next->slots == 0) ++next;
    if (next == options->end()) return {};
    chosen[i] = &*next;
    --next->slots;
  }
  return chosen;
}

// Places all members or none. False if the gang must wait for capacity.
bool place_gang(const scheduling_round& round,
                const candidate_step& candidate) {
  std::uint32_t count =
      static_cast<std::uint32_t>(candidate.step->tasks.size());
  if (any_placed(*candidate.step)) return true;
  std::vector<placement_option> options =
      find_options(round, candidate, ticket_mode::required, count);
  if (total_slots(options) < count) return false;
  if (definition(*candidate.job, *candidate.step).same_rack()) {
    options = options_in_one_rack(
        prefer_data_rack(round, candidate, options, count), count);
  }
  sort_by_preference(round, candidate, &options);
  std::vector<placement_option*> chosen =
      choose_for_gang(*candidate.step, &options);
  if (chosen.size() < count) return false;
  if (gang_waits_for_near(round, candidate, chosen)) return true;
  observe_place(round, candidate, &candidate.step->tasks.front(), chosen);
  std::uint32_t run = 0;
  for (const task& each : candidate.step->tasks) {
    run = std::max(run, each.last_run);
  }
  ++run;
  for (std::uint32_t index = 0; index < count; ++index) {
    bool alone = std::count(chosen.begin(), chosen.end(), chosen[index]) == 1 &&
                 chosen[index]->worker->placements.empty();
    bool trial = alone && candidate.step->tasks[index].suspected;
    place(round, candidate, index, run, trial, chosen[index]);
  }
  update_waiting(round.pool, *candidate.job, *candidate.step);
  return true;
}

void count_waiting(const candidate_step& candidate, load_summary* load) {
  std::uint32_t tasks = count_waiting_tasks(*candidate.step);
  if (tasks == 0) return;
  std::int64_t cpu =
      tasks *
      resources_needed(definition(*candidate.job, *candidate.step)).cpu_milli;
  load->waiting_cpu_milli += cpu;
  if (candidate.step->pending_advice > 0) load->waiting_for_advice_milli += cpu;
  if (candidate.tier == tier::in_time) ++load->waiting_in_time;
  if (candidate.tier == tier::late) ++load->waiting_late;
  if (candidate.tier == tier::no_value) ++load->waiting_without_value;
}

load_summary summarize(const scheduling_round& round,
                       const std::vector<candidate_step>& candidates) {
  load_summary load;
  load.available_workers = round.available.size();
  load.reserved_workers = round.reserved.size();
  for (const available_worker& each : round.available) {
    std::int64_t free =
        std::max<std::int64_t>(0, free_resources_of(*each.worker).cpu_milli);
    load.free_cpu_milli += free;
    if (round.reserved.count(each.worker) > 0) {
      load.reserved_free_cpu_milli += free;
    }
  }
  for (const candidate_step& each : candidates) count_waiting(each, &load);
  return load;
}

void place_waiting_steps(scheduling_round* round,
                         const std::vector<candidate_step>& candidates) {
  for (const candidate_step& each : candidates) {
    std::uint32_t allowed = tasks_within_quota(*round, each);
    if (allowed == 0) {
      report_step_wait(*round, each, allowed);
      continue;
    }
    bool gang = definition(*each.job, *each.step).gang();
    bool placed = true;
    std::size_t first = round->pool->unrecorded_starts.size();
    bool had_placed = each.job->placed;
    if (gang) {
      placed = place_gang(*round, each);
      reserve_near_room(round, each);
    } else {
      place_tasks(*round, each, allowed);
    }
    observe_starts(*round, each);
    observe_beside_reservations(round, each, first);
    record_placements(*round, each, first, had_placed);
    report_step_wait(*round, each, allowed);
    // Tickets of tasks that a quota holds back would expire.
    bool quota_left = round->pool->unrecorded_starts.size() - first < allowed;
    if (each.policy->needs_advice && quota_left &&
        count_waiting_tasks(*each.step) > 0 &&
        !all_wait_for_near(*round, each)) {
      request_advice(round, each);
      if (each.step->pending_advice > 0) {
        round->cpu_awaiting_advice +=
            count_waiting_tasks(*each.step) *
            resources_needed(definition(*each.job, *each.step)).cpu_milli;
      }
    }
    // Gangs of priority 0 are small and need no reservation.
    if (placed || each.priority == 0) continue;
    if (each.tier == tier::no_value) continue;
    reserve_workers(round, each);
  }
}

}  // namespace

unconfirmed_starts count_unconfirmed_starts(const pool_state& pool,
                                            steady_time now) {
  unconfirmed_starts found;
  std::unordered_map<std::string_view, bool> confirmed;  // By job.
  for (const std::pair<const std::string, worker>& each : pool.workers) {
    for (const placement& placed : each.second.placements) {
      bool unconfirmed =
          placed.phase == phase::recording || placed.phase == phase::sent;
      confirmed[placed.task.job] |= !unconfirmed;
      if (!unconfirmed) continue;
      ++found.runs;
      found.oldest = std::max(
          found.oldest,
          std::chrono::duration_cast<milliseconds>(now - placed.placed_at));
    }
  }
  found.jobs = static_cast<std::size_t>(
      std::count_if(confirmed.begin(), confirmed.end(),
                    [](const std::pair<const std::string_view, bool>& each) {
                      return !each.second;
                    }));
  return found;
}

decisions decide(pool_state* pool, steady_time now, unix_time wall) {
  decisions out;
  start_occurrences(pool, wall);
  process_outstanding_orders(pool, &out, now);
  give_up_jobs(pool, wall);
  scheduling_round round = begin_round(pool, &out, now, wall);
  if (pool->has_tenants) begin_tenant_round(pool, now);
  std::vector<candidate_step> waiting = candidates(pool, wall);
  if (pool->has_tenants) {
    reserve_for_longest_held(round, waiting);
    order_by_tenant(round, &waiting);
  }
  choose_step_waits(&round, waiting);
  if (is_outdated(*pool, now)) {
    ++pool->counters.outdated_rounds;
    for (const candidate_step& each : waiting) {
      report_step_wait(round, each, count_waiting_tasks(*each.step));
    }
  } else {
    place_waiting_steps(&round, waiting);
    update_yield(&round);
  }
  if (pool->has_tenants) end_tenant_round(pool, now);
  for (std::pair<const std::string, worker>& each : pool->workers) {
    each.second.held_for_gang = round.reserved.count(&each.second) > 0;
  }
  pool->load = summarize(round, waiting);
  update_admission_load(round, waiting);
  pool->counters.stops += out.stops.size();
  return out;
}

}  // namespace ebonygrade::pool
