// Which workers can take a step's tasks.
#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// A ticket that expires sooner is not used: the journal is written first.
constexpr milliseconds kTicketMargin{120};
// The slowest of a step's tasks takes so much longer than its estimate.
constexpr double kUnevenness = 1.3;
// Workers whose slowdown differs by less are taken for equal.
constexpr double kSlownessStep = 0.15;

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

// Work that fills unused room slows tasks that serve users of their own. The
// two are kept on different workers.
bool would_disturb(pool_state* pool, const worker& worker,
                   const wire::step_definition& step) {
  bool serves = step.latency_target_ms() > 0;
  if (!step.fills() && !serves) return false;
  for (const placement& each : worker.placements) {
    task_ref where = find_task(pool, each.task);
    if (where.step == nullptr) continue;
    const wire::step_definition& there = definition(*where.job, *where.step);
    if (step.fills() && there.latency_target_ms() > 0) return true;
    if (serves && there.fills()) return true;
  }
  return false;
}

// Adds the worker if it has room for a task and nothing speaks against it.
void add_option(const round& round, const candidate_step& wanted,
                worker* candidate, std::string_view ticket, std::uint32_t most,
                std::vector<option>* found) {
  const wire::step_definition& step = definition(*wanted.owner, *wanted.step);
  resources need = need_of(step);
  option made;
  made.room = free_resources_of(*candidate);
  if (!fits(need, made.room)) return;
  if (!is_eligible(*candidate, *wanted.owner, step)) return;
  if (round.reserved.count(candidate) > 0) return;
  if (would_disturb(round.pool, *candidate, step)) return;
  made.worker = candidate;
  made.ticket = ticket;
  made.slots = slots_in(made.room, need, most);
  made.near_data =
      step.data_rack().empty() || step.data_rack() == candidate->entry.rack;
  if (step.max_per_worker() > 0) {
    std::uint32_t there = runs_of_step(*candidate, *wanted.owner, *wanted.step);
    if (there >= step.max_per_worker()) return;
    made.slots = std::min(made.slots, step.max_per_worker() - there);
  }
  if (made.slots > 0) found->push_back(made);
}

const cached_ticket* valid_ticket(const step_state& step, const std::string& id,
                                  steady_time now) {
  std::unordered_map<std::string, cached_ticket>::const_iterator found =
      step.tickets.find(id);
  if (found == step.tickets.end()) return nullptr;
  if (found->second.expires < now + kTicketMargin) return nullptr;
  return &found->second;
}

// Open workers whose processor room holds a task; they are the first.
std::size_t count_with_room(const round& round, std::int64_t need) {
  std::vector<available_worker>::const_iterator end = std::partition_point(
      round.available.begin(), round.available.end(),
      [need](const available_worker& each) { return each.free_cpu >= need; });
  return static_cast<std::size_t>(end - round.available.begin());
}

// For steps with fewer tickets than there are workers with room.
std::vector<option> options_by_ticket(const round& round,
                                      const candidate_step& wanted,
                                      std::uint32_t most) {
  std::vector<option> found;
  for (const std::pair<const std::string, cached_ticket>& each :
       wanted.step->tickets) {
    if (each.second.expires < round.now + kTicketMargin) continue;
    worker* candidate = find_worker(round.pool, each.first);
    if (candidate == nullptr || !is_available(*candidate, round.now)) continue;
    add_option(round, wanted, candidate, each.second.value, most, &found);
  }
  return found;
}

// Smooths over about a second.
void update_cpu_release_rate(cpu_release_rate* known, steady_time now) {
  std::chrono::duration<double> passed = now - known->measured;
  constexpr std::chrono::duration<double> kShortest{0.02};
  if (passed < kShortest) return;
  double rate = static_cast<double>(known->freed_cpu_milli) / passed.count();
  double weight = std::min(1.0, passed.count());
  known->cpu_milli_per_second += static_cast<std::int64_t>(
      weight * (rate - static_cast<double>(known->cpu_milli_per_second)));
  known->measured = now;
  known->freed_cpu_milli = 0;
}

}  // namespace

bool is_available(const worker& worker, steady_time now) {
  return worker.listed && worker.fenced && !worker.entry.draining &&
         now - worker.last_reply <= kSilenceLimit && worker.avoid_until <= now;
}

round begin_round(pool_state* pool, decisions* out, steady_time now,
                  unix_time wall) {
  round made;
  made.pool = pool;
  made.out = out;
  made.now = now;
  made.wall = wall;
  update_cpu_release_rate(&pool->cpu_release_rate, now);
  made.available.reserve(pool->workers.size());
  for (std::pair<const std::string, worker>& each : pool->workers) {
    if (!is_available(each.second, now)) continue;
    std::int64_t room = free_resources_of(each.second).cpu_milli;
    made.available.push_back({room, &each.second});
    made.free_cpu += std::max<std::int64_t>(0, room);
  }
  std::sort(made.available.begin(), made.available.end(),
            [](const available_worker& a, const available_worker& b) {
              if (a.free_cpu != b.free_cpu) return a.free_cpu > b.free_cpu;
              return a.worker->entry.id < b.worker->entry.id;
            });
  return made;
}

resources free_resources_of(const worker& worker) {
  return worker.entry.capacity - worker.used;
}

bool is_eligible(const worker& worker, const job& job,
                 const wire::step_definition& step) {
  if (worker.entry.service != job.submission->service()) return false;
  if (!fits(need_of(step), worker.entry.capacity)) return false;
  return step.required_label().empty() ||
         step.required_label() == worker.entry.kind ||
         step.required_label() == worker.entry.rack;
}

bool is_denied(const step_state& step, const std::string& worker) {
  return step.queried.count(worker) > 0 && step.granted.count(worker) == 0;
}

std::uint32_t slots_in(const resources& room, const resources& need,
                       std::uint32_t most) {
  std::int64_t slots = most;
  if (need.cpu_milli > 0) {
    slots = std::min(slots, room.cpu_milli / need.cpu_milli);
  }
  if (need.memory_mb > 0) {
    slots = std::min(slots, room.memory_mb / need.memory_mb);
  }
  if (need.gpus > 0) slots = std::min(slots, room.gpus / need.gpus);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, slots));
}

std::vector<option> options_for(const round& round,
                                const candidate_step& wanted, tickets mode,
                                std::uint32_t most) {
  bool advised = wanted.policy->needs_advice;
  bool needs_ticket = advised && mode == tickets::needed;
  const step_state& step = *wanted.step;
  std::size_t with_room = count_with_room(
      round, need_of(definition(*wanted.owner, step)).cpu_milli);
  if (needs_ticket && step.tickets.size() < with_room) {
    return options_by_ticket(round, wanted, most);
  }
  std::vector<option> found;
  for (std::size_t i = 0; i < with_room; ++i) {
    worker* candidate = round.available[i].worker;
    const std::string& id = candidate->entry.id;
    const cached_ticket* held =
        advised ? valid_ticket(step, id, round.now) : nullptr;
    if (needs_ticket && held == nullptr) continue;
    if (advised && held == nullptr && is_denied(step, id)) continue;
    add_option(round, wanted, candidate,
               held == nullptr ? std::string_view() : held->value, most,
               &found);
  }
  return found;
}

double affordable_slowdown(const round& round, const candidate_step& wanted) {
  if (wanted.tier == tier::no_value) {
    return std::numeric_limits<double>::infinity();
  }
  unix_time until =
      wanted.tier == tier::in_time ? wanted.deadline : wanted.value_ends;
  double left = static_cast<double>((until - round.wall).count());
  double rest = static_cast<double>(
      wanted.owner->remaining_paths[wanted.step->step].count());
  return left / std::max(1.0, rest * kUnevenness);
}

void sort_by_preference(const round& round, const candidate_step& wanted,
                        std::vector<option>* options) {
  double affordable = affordable_slowdown(round, wanted);
  for (option& each : *options) {
    double slowdown = slowdown_of(*each.worker, round.now);
    int step = static_cast<int>(std::lround(slowdown / kSlownessStep));
    // Of workers that are too slow, the fastest first.
    each.speed_rank = slowdown <= affordable ? -step : step;
    each.fast_enough = slowdown <= affordable;
  }
  std::sort(options->begin(), options->end(),
            [](const option& a, const option& b) {
              if (a.near_data != b.near_data) return a.near_data;
              if (a.fast_enough != b.fast_enough) return a.fast_enough;
              if (a.speed_rank != b.speed_rank) {
                return a.speed_rank < b.speed_rank;
              }
              if (a.room.cpu_milli != b.room.cpu_milli) {
                return a.room.cpu_milli < b.room.cpu_milli;
              }
              return a.worker->entry.id < b.worker->entry.id;
            });
}

bool any_placed(const step_state& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [](const task& each) { return each.placed; });
}

std::uint32_t waiting_tasks(const step_state& step) {
  return static_cast<std::uint32_t>(std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [](const task& each) { return !each.done && !each.placed; }));
}

std::uint32_t total_slots(const std::vector<option>& options) {
  std::uint32_t total = 0;
  for (const option& each : options) total += each.slots;
  return total;
}

}  // namespace ebonygrade::pool
