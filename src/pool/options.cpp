// Selection and ranking of workers for the tasks of a step.
#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <string>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"
#include "pool/reservations_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// Tickets that expire sooner are not used, as the journal is written before a
// start.
constexpr milliseconds kTicketMargin{120};
// One part in this many of the resources in use is expected to become free
// while a gang collects room.
constexpr int kReleasedShareDivisor = 2;
// A gang collects room on workers for this many times its tasks, if it may use
// so many, as it starts with the first of them that become free.
constexpr std::uint32_t kCollectFactor = 2;
// Workers whose slowdown differs by less rank as equal.
constexpr double kSlowdownBucket = 0.15;

std::uint32_t runs_of_step(const worker& worker, const job& job,
                           const step_state& step) {
  return static_cast<std::uint32_t>(
      std::count_if(worker.placements.begin(), worker.placements.end(),
                    [&](const placement& each) {
                      return each.task.step == step.step &&
                             each.task.occurrence == step.occurrence &&
                             each.task.job == job.id;
                    }));
}

// Whether the step must stay off the worker because of the runs there. Steps
// that fill unused capacity slow down tasks that serve users, so the two kinds
// run on different workers.
bool would_interfere(pool_state* pool, const worker& worker,
                     const wire::step_definition& step) {
  bool serves = step.latency_target_ms() > 0;
  if (!step.fills() && !serves) return false;
  for (const placement& each : worker.placements) {
    task_ref ref = find_task(pool, each.task);
    if (ref.step == nullptr) continue;
    const wire::step_definition& other = definition(*ref.job, *ref.step);
    if (step.fills() && other.latency_target_ms() > 0) return true;
    if (serves && other.fills()) return true;
  }
  return false;
}

// Number of the step's tasks that the resources on the worker hold, within the
// step's limit for each worker.
std::uint32_t count_step_slots(const worker& worker,
                               const candidate_step& candidate,
                               const resources& free, std::uint32_t max_slots) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  std::uint32_t slots = count_slots(free, resources_needed(step), max_slots);
  if (step.max_per_worker() == 0) return slots;
  std::uint32_t running = runs_of_step(worker, *candidate.job, *candidate.step);
  if (running >= step.max_per_worker()) return 0;
  return std::min(slots, step.max_per_worker() - running);
}

// The free resources of the worker that the step may use, if they hold a task.
// Cheaper than the search for a ticket.
std::optional<resources> room_on(const scheduling_round& round,
                                 const candidate_step& candidate,
                                 const resources& need, const worker& worker) {
  if (!fits(need, free_resources_of(worker))) return std::nullopt;
  resources usable = usable_resources(round, candidate, worker);
  if (!fits(need, usable)) return std::nullopt;
  return usable;
}

// Adds the worker to the options if it can run a task of the step. `room`: see
// room_on().
void add_option(const scheduling_round& round, const candidate_step& candidate,
                worker* target, const resources& room, std::string_view ticket,
                std::uint32_t max_slots, std::vector<placement_option>* found) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  placement_option result;
  result.free = room;
  if (!is_eligible(*target, *candidate.job, step)) return;
  // A trial may have been placed in this round.
  if (target->trials > 0) return;
  bool kept_free = is_emptied(*target, round.now);
  bool tries = awaits_trial(*candidate.step) && !step.gang();
  if (kept_free && !tries) return;
  if (would_interfere(round.pool, *target, step)) return;
  result.worker = target;
  result.ticket = ticket;
  result.slots = count_step_slots(*target, candidate, result.free, max_slots);
  result.near_data =
      step.data_rack().empty() || step.data_rack() == target->entry.rack;
  if (result.slots > 0) found->push_back(result);
}

bool expires_soon(const cached_ticket& ticket, steady_time now) {
  return ticket.expires < now + kTicketMargin;
}

// Whether the ticket was granted for the worker's current incarnation.
bool is_for(const cached_ticket& ticket, const worker& worker) {
  return ticket.incarnation_ms == worker.entry.incarnation_ms;
}

const cached_ticket* valid_ticket(const step_state& step, const worker& worker,
                                  steady_time now) {
  std::unordered_map<std::string, cached_ticket>::const_iterator found =
      step.tickets.find(worker.entry.id);
  if (found == step.tickets.end()) return nullptr;
  if (expires_soon(found->second, now)) return nullptr;
  return is_for(found->second, worker) ? &found->second : nullptr;
}

// Number of available workers with enough free CPU for a task. The list is
// sorted by free CPU, so these are its first entries.
std::size_t count_with_free_cpu(const scheduling_round& round,
                                std::int64_t need) {
  std::vector<available_worker>::const_iterator end = std::partition_point(
      round.available.begin(), round.available.end(),
      [need](const available_worker& each) { return each.free_cpu >= need; });
  return static_cast<std::size_t>(end - round.available.begin());
}

// Faster than a scan of the workers if the step has few tickets.
std::vector<placement_option> options_by_ticket(const scheduling_round& round,
                                                const candidate_step& candidate,
                                                std::uint32_t max_slots) {
  resources need =
      resources_needed(definition(*candidate.job, *candidate.step));
  std::vector<placement_option> found;
  for (const std::pair<const std::string, cached_ticket>& each :
       candidate.step->tickets) {
    if (expires_soon(each.second, round.now)) continue;
    worker* target = find_worker(round.pool, each.first);
    if (target == nullptr || !is_available(*target, round.now)) continue;
    if (!is_for(each.second, *target)) continue;
    std::optional<resources> room = room_on(round, candidate, need, *target);
    if (!room) continue;
    add_option(round, candidate, target, *room, each.second.value, max_slots,
               &found);
  }
  return found;
}

// Resources of the worker that are free now or will be soon.
resources expected_resources(const worker& worker) {
  resources free = free_resources_of(worker);
  resources ending = worker.used - worker.lasting - worker.backfilled;
  free = free + worker.backfilled;
  return {free.cpu_milli + ending.cpu_milli / kReleasedShareDivisor,
          free.memory_mb + ending.memory_mb / kReleasedShareDivisor,
          free.gpus + ending.gpus / kReleasedShareDivisor};
}

// Updates the rate, smoothed over about one second.
void update_cpu_release_rate(cpu_release_rate* rate_state, steady_time now) {
  std::chrono::duration<double> passed = now - rate_state->measured;
  constexpr std::chrono::duration<double> kMinInterval{0.02};
  if (passed < kMinInterval) return;
  double rate =
      static_cast<double>(rate_state->freed_cpu_milli) / passed.count();
  double weight = std::min(1.0, passed.count());
  rate_state->cpu_milli_per_second += static_cast<std::int64_t>(
      weight * (rate - static_cast<double>(rate_state->cpu_milli_per_second)));
  rate_state->measured = now;
  rate_state->freed_cpu_milli = 0;
}

}  // namespace

bool is_available(const worker& worker, steady_time now) {
  // A new incarnation may have another label or capacity.
  bool described =
      worker.described_incarnation_ms == worker.entry.incarnation_ms;
  return described && worker.listed && worker.fenced &&
         !worker.entry.draining && is_responsive(worker, now) &&
         worker.contact_lost_at == steady_time() && worker.avoid_until <= now &&
         worker.trials == 0;
}

scheduling_round begin_round(pool_state* pool, decisions* out, steady_time now,
                             unix_time wall) {
  scheduling_round result;
  result.pool = pool;
  result.out = out;
  result.now = now;
  result.wall = wall;
  result.near = begin_near_round(*pool);
  result.yields = now < pool->reservations.yields_until;
  update_cpu_release_rate(&pool->cpu_release_rate, now);
  result.available.reserve(pool->workers.size());
  std::int64_t capacity_cpu = 0;
  for (std::pair<const std::string, worker>& each : pool->workers) {
    if (!is_available(each.second, now)) continue;
    std::int64_t free_cpu = free_resources_of(each.second).cpu_milli;
    result.available.push_back({free_cpu, &each.second});
    result.free_cpu += std::max<std::int64_t>(0, free_cpu);
    capacity_cpu += each.second.entry.capacity.cpu_milli;
  }
  result.mostly_unused = 2 * result.free_cpu > capacity_cpu;
  std::sort(result.available.begin(), result.available.end(),
            [](const available_worker& a, const available_worker& b) {
              if (a.free_cpu != b.free_cpu) return a.free_cpu > b.free_cpu;
              return a.worker->entry.id < b.worker->entry.id;
            });
  return result;
}

resources free_resources_of(const worker& worker) {
  return worker.entry.capacity - worker.used;
}

bool is_eligible(const worker& worker, const job& job,
                 const wire::step_definition& step) {
  if (worker.entry.service != job.submission->service()) return false;
  if (!fits(resources_needed(step), worker.entry.capacity)) return false;
  return step.required_label().empty() ||
         step.required_label() == worker.entry.kind ||
         step.required_label() == worker.entry.rack;
}

bool is_denied(const step_state& step, const std::string& worker) {
  return step.queried.count(worker) > 0 && step.granted.count(worker) == 0;
}

std::uint32_t count_slots(const resources& free, const resources& need,
                          std::uint32_t max_slots) {
  std::int64_t slots = max_slots;
  if (need.cpu_milli > 0) {
    slots = std::min(slots, free.cpu_milli / need.cpu_milli);
  }
  if (need.memory_mb > 0) {
    slots = std::min(slots, free.memory_mb / need.memory_mb);
  }
  if (need.gpus > 0) slots = std::min(slots, free.gpus / need.gpus);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, slots));
}

std::vector<placement_option> find_options(const scheduling_round& round,
                                           const candidate_step& candidate,
                                           ticket_mode mode,
                                           std::uint32_t max_slots) {
  bool advised = candidate.policy->needs_advice;
  bool needs_ticket = advised && mode == ticket_mode::required;
  const step_state& step = *candidate.step;
  resources need = resources_needed(definition(*candidate.job, step));
  std::size_t with_free_cpu = count_with_free_cpu(round, need.cpu_milli);
  if (needs_ticket && step.tickets.size() < with_free_cpu) {
    return options_by_ticket(round, candidate, max_slots);
  }
  std::vector<placement_option> found;
  for (std::size_t i = 0; i < with_free_cpu; ++i) {
    worker* target = round.available[i].worker;
    std::optional<resources> room = room_on(round, candidate, need, *target);
    if (!room) continue;
    const cached_ticket* cached =
        advised ? valid_ticket(step, *target, round.now) : nullptr;
    if (needs_ticket && cached == nullptr) continue;
    if (advised && cached == nullptr && is_denied(step, target->entry.id))
      continue;
    add_option(round, candidate, target, *room,
               cached == nullptr ? std::string_view() : cached->value,
               max_slots, &found);
  }
  return found;
}

double affordable_slowdown(const scheduling_round& round,
                           const candidate_step& candidate) {
  if (candidate.tier == tier::no_value) {
    return std::numeric_limits<double>::infinity();
  }
  unix_time until = candidate.tier == tier::in_time ? candidate.deadline
                                                    : candidate.value_ends;
  double remaining = static_cast<double>((until - round.wall).count());
  double rest = static_cast<double>(
      candidate.job->remaining_paths[candidate.step->step].count());
  return remaining / std::max(1.0, rest * kSlowestTaskFactor);
}

void sort_by_preference(const scheduling_round& round,
                        const candidate_step& candidate,
                        std::vector<placement_option>* options) {
  double affordable = affordable_slowdown(round, candidate);
  for (placement_option& each : *options) {
    double slowdown = slowdown_of(*each.worker, round.now);
    int step = static_cast<int>(std::lround(slowdown / kSlowdownBucket));
    // Among workers that are too slow, the fastest comes first.
    each.speed_rank = slowdown <= affordable ? 0 : step;
    each.fast_enough = slowdown <= affordable;
    bool precedes_gangs = candidate.priority == 0;
    bool reserved =
        round.mostly_unused && round.reserved.count(each.worker) > 0;
    each.avoided = reserved || (precedes_gangs && each.worker->held_for_gang);
  }
  std::sort(options->begin(), options->end(),
            [](const placement_option& a, const placement_option& b) {
              if (a.near_data != b.near_data) return a.near_data;
              if (a.fast_enough != b.fast_enough) return a.fast_enough;
              if (a.avoided != b.avoided) return b.avoided;
              if (a.speed_rank != b.speed_rank) {
                return a.speed_rank < b.speed_rank;
              }
              if (a.free.cpu_milli != b.free.cpu_milli) {
                return a.free.cpu_milli < b.free.cpu_milli;
              }
              return a.worker->entry.id < b.worker->entry.id;
            });
}

std::vector<collectable_worker> collectable_workers(
    const scheduling_round& round, const candidate_step& candidate) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  std::uint32_t count =
      static_cast<std::uint32_t>(candidate.step->tasks.size());
  std::vector<collectable_worker> found;
  auto consider = [&](worker* each) {
    if (round.reserved.count(each) > 0) return;
    if (!is_eligible(*each, *candidate.job, step)) return;
    std::uint32_t free =
        count_step_slots(*each, candidate, free_resources_of(*each), count);
    bool has_backfilled = !fits(each->backfilled, resources());
    std::uint32_t kept_free =
        has_backfilled ? count_step_slots(
                             *each, candidate,
                             free_resources_of(*each) + each->backfilled, count)
                       : free;
    found.push_back(
        {count_step_slots(*each, candidate, expected_resources(*each), count),
         free, kept_free, each});
  };
  const std::unordered_set<std::string>& granted_ids = candidate.step->granted;
  std::size_t unreserved =
      round.available.size() -
      std::min(round.available.size(), round.reserved.size());
  if (candidate.policy->needs_advice && unreserved < granted_ids.size()) {
    // No worker becomes available during a round.
    for (const available_worker& each : round.available) {
      if (round.reserved.count(each.worker) == 0 &&
          is_available(*each.worker, round.now) &&
          granted_ids.count(each.worker->entry.id) > 0) {
        consider(each.worker);
      }
    }
  } else if (candidate.policy->needs_advice) {
    for (const std::string& id : granted_ids) {
      worker* granted = find_worker(round.pool, id);
      if (granted != nullptr && is_available(*granted, round.now)) {
        consider(granted);
      }
    }
  } else {
    for (const available_worker& each : round.available) consider(each.worker);
  }
  std::sort(found.begin(), found.end(),
            [](const collectable_worker& a, const collectable_worker& b) {
              if (a.kept_free != b.kept_free) return a.kept_free > b.kept_free;
              if (a.expected != b.expected) return a.expected > b.expected;
              return a.worker->entry.id < b.worker->entry.id;
            });
  return found;
}

std::size_t count_to_collect(const std::vector<collectable_worker>& workers,
                             std::uint32_t tasks) {
  std::uint32_t expected = 0;
  std::uint32_t free = 0;
  std::size_t used = 0;
  for (const collectable_worker& each : workers) {
    if (free >= tasks || expected >= kCollectFactor * tasks) break;
    expected += each.expected;
    free += each.free;
    ++used;
  }
  return expected < tasks ? 0 : used;
}

bool any_placed(const step_state& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [](const task& each) { return each.placed; });
}

std::uint32_t count_waiting_tasks(const step_state& step) {
  return static_cast<std::uint32_t>(std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [](const task& each) { return !each.done && !each.placed; }));
}

bool is_kept_by_reservations(const scheduling_round& round,
                             const candidate_step& candidate) {
  if (round.reserved.empty()) return false;
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  std::uint32_t wanted = step.gang() ? count_waiting_tasks(*candidate.step) : 1;
  std::uint32_t slots = 0;
  for (const available_worker& each : round.available) {
    // Unreserved workers with room for a single task would have been used.
    if (!step.gang() && round.reserved.count(each.worker) == 0) continue;
    if (!is_eligible(*each.worker, *candidate.job, step)) continue;
    bool denied = candidate.policy->needs_advice &&
                  is_denied(*candidate.step, each.worker->entry.id);
    if (denied) continue;
    slots += count_step_slots(*each.worker, candidate,
                              free_resources_of(*each.worker), wanted);
    if (slots >= wanted) return true;
  }
  return false;
}

std::uint32_t total_slots(const std::vector<placement_option>& options) {
  std::uint32_t total = 0;
  for (const placement_option& each : options) total += each.slots;
  return total;
}

}  // namespace ebonygrade::pool
