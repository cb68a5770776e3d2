// What to do now: places for waiting tasks and questions to the advice service.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// A ticket that expires sooner is not used: the journal is written first.
constexpr milliseconds kTicketMargin{120};
// Pause after a question that gave nothing usable.
constexpr milliseconds kAdvicePause{300};
// A refreshing question names so many workers for each task that waits.
constexpr std::size_t kWorkersPerTask = 2;
// Questions that are not urgent wait here rather than in a queue, so that they
// name workers that have room when they are asked.
constexpr std::size_t kMaxOpenQuestions = 24;
// Payoff ends at three times the objective.
constexpr int kWorthlessAfter = 3;

// How much a caller still gains from the job.
enum class tier { in_time, late, worthless };

struct candidate_step {
  pool::tier tier = pool::tier::in_time;
  std::uint32_t priority = 0;
  unix_time deadline;
  job* owner = nullptr;
  step_run* step = nullptr;
  const queue_policy* policy = nullptr;
};

// After an interruption many urgent jobs are late at once. They are small and
// still worth something for a short time, while lesser work can wait longer,
// so lateness counts within a priority only.
bool goes_first(const candidate_step& a, const candidate_step& b) {
  bool a_worthless = a.tier == tier::worthless;
  bool b_worthless = b.tier == tier::worthless;
  if (a_worthless != b_worthless) return b_worthless;
  if (a.priority != b.priority) return a.priority < b.priority;
  if (a.tier != b.tier) return a.tier < b.tier;
  return a.deadline < b.deadline;
}

milliseconds objective(const job& job, const queue_policy& policy) {
  return policy.target +
         milliseconds(static_cast<std::int64_t>(
             policy.stretch * static_cast<double>(job.longest_chain.count())));
}

candidate_step make_candidate(job* job, step_run* step,
                              const queue_policy& policy, unix_time wall) {
  candidate_step made;
  milliseconds goal = objective(*job, policy);
  made.priority = policy.priority;
  made.deadline = job->accepted + goal;
  made.owner = job;
  made.step = step;
  made.policy = &policy;
  if (wall > made.deadline) made.tier = tier::late;
  if (wall > job->accepted + kWorthlessAfter * goal) {
    made.tier = tier::worthless;
  }
  return made;
}

std::vector<candidate_step> candidates(pool_state* pool, unix_time wall) {
  std::vector<candidate_step> found;
  found.reserve(pool->waiting.size());
  for (const queue_position& position : pool->waiting) {
    job* job = find_job(pool, position.job);
    if (job == nullptr) continue;
    step_run* step = find_step(job, position.occurrence, position.step);
    if (step == nullptr) continue;
    found.push_back(make_candidate(job, step, policy_of(*pool, *job), wall));
  }
  std::sort(found.begin(), found.end(), goes_first);
  return found;
}

// ---- Workers for a step ----------------------------------------------------

bool is_usable(const worker& worker, const job& job,
               const wire::step_definition& step, steady_time now) {
  if (!worker.listed || !worker.fenced || worker.entry.draining) return false;
  if (now - worker.last_answer > kSilenceLimit) return false;
  if (worker.avoid_until > now) return false;
  if (worker.entry.service != job.submission->service()) return false;
  return step.required_label().empty() ||
         step.required_label() == worker.entry.kind ||
         step.required_label() == worker.entry.rack;
}

resources room_of(const worker& worker) {
  return worker.entry.capacity - worker.used;
}

std::uint32_t runs_of_step(const worker& worker, const job& job,
                           const step_run& step) {
  return static_cast<std::uint32_t>(
      std::count_if(worker.placements.begin(), worker.placements.end(),
                    [&](const placement& each) {
                      return each.task.step == step.step &&
                             each.task.occurrence == step.occurrence &&
                             each.task.job == job.id;
                    }));
}

const held_ticket* valid_ticket(const step_run& step, const std::string& id,
                                steady_time now) {
  std::unordered_map<std::string, held_ticket>::const_iterator found =
      step.tickets.find(id);
  if (found == step.tickets.end()) return nullptr;
  if (found->second.expires < now + kTicketMargin) return nullptr;
  return &found->second;
}

// A worker that could take tasks of the step, and how many.
struct option {
  pool::worker* worker = nullptr;
  std::string_view ticket;
  resources room;
  std::uint32_t slots = 0;  // Tasks that fit.
  bool near_data = true;
};

std::uint32_t slots_in(const resources& room, const resources& need,
                       std::uint32_t most) {
  std::int64_t slots = most;
  if (need.cpu_milli > 0)
    slots = std::min(slots, room.cpu_milli / need.cpu_milli);
  if (need.memory_mb > 0)
    slots = std::min(slots, room.memory_mb / need.memory_mb);
  if (need.gpus > 0) slots = std::min(slots, room.gpus / need.gpus);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, slots));
}

// The advice service has ruled the worker out for the step.
bool is_denied(const step_run& step, const std::string& worker) {
  return step.asked.count(worker) > 0 && step.granted.count(worker) == 0;
}

// Work that fills unused room slows tasks that serve users of their own. The
// two are kept on different workers.
bool would_disturb(pool_state* pool, const worker& worker,
                   const wire::step_definition& step) {
  bool serves = step.latency_target_ms() > 0;
  if (!step.fills() && !serves) return false;
  for (const placement& each : worker.placements) {
    task_place where = find_place(pool, each.task);
    job* job = where.job;
    step_run* other = where.step;
    if (other == nullptr) continue;
    const wire::step_definition& there = definition(*job, *other);
    if (step.fills() && there.latency_target_ms() > 0) return true;
    if (serves && there.fills()) return true;
  }
  return false;
}

// Whom to count as an option: with a valid ticket only, or whoever the advice
// allows, so far as it is known.
enum class tickets { needed, ignored };

std::vector<option> options_for(pool_state* pool, const candidate_step& wanted,
                                tickets mode,
                                const std::unordered_set<std::string>& reserved,
                                std::uint32_t most, steady_time now) {
  const wire::step_definition& step = definition(*wanted.owner, *wanted.step);
  resources need = need_of(step);
  std::vector<option> found;
  for (std::pair<const std::string, worker>& each : pool->workers) {
    worker& candidate = each.second;
    resources room = room_of(candidate);
    if (!fits(need, room)) continue;
    if (!is_usable(candidate, *wanted.owner, step, now)) continue;
    if (reserved.count(each.first) > 0) continue;
    if (would_disturb(pool, candidate, step)) continue;
    option made;
    made.worker = &candidate;
    made.room = room;
    made.slots = slots_in(room, need, most);
    made.near_data =
        step.data_rack().empty() || step.data_rack() == candidate.entry.rack;
    if (step.max_per_worker() > 0) {
      std::uint32_t there =
          runs_of_step(candidate, *wanted.owner, *wanted.step);
      if (there >= step.max_per_worker()) continue;
      made.slots = std::min(made.slots, step.max_per_worker() - there);
    }
    if (wanted.policy->needs_advice) {
      if (is_denied(*wanted.step, each.first)) continue;
      const held_ticket* held = valid_ticket(*wanted.step, each.first, now);
      if (held != nullptr) made.ticket = held->value;
      if (mode == tickets::needed && held == nullptr) continue;
    }
    if (made.slots > 0) found.push_back(made);
  }
  return found;
}

// Best fit: the least processor time left over, near the data first.
void sort_best_fit(std::vector<option>* options) {
  std::sort(options->begin(), options->end(),
            [](const option& a, const option& b) {
              if (a.near_data != b.near_data) return a.near_data;
              if (a.room.cpu_milli != b.room.cpu_milli) {
                return a.room.cpu_milli < b.room.cpu_milli;
              }
              return a.worker->entry.id < b.worker->entry.id;
            });
}

// ---- Placing ----------------------------------------------------------------

void place(pool_state* pool, const candidate_step& wanted, std::uint32_t index,
           std::uint32_t run, option* at, steady_time now) {
  task& task = wanted.step->tasks[index];
  task.last_run = run;
  task.placed = true;
  task.worker = at->worker->entry.id;
  task.incarnation_ms = at->worker->entry.incarnation_ms;
  placement placed;
  placed.task = {wanted.owner->id, wanted.step->occurrence, wanted.step->step,
                 index};
  placed.run = run;
  placed.need = need_of(definition(*wanted.owner, *wanted.step));
  placed.since = now;
  placed.progressed = now;
  placed.ticket = std::string(at->ticket);
  at->worker->used = at->worker->used + placed.need;
  at->room = at->room - placed.need;
  --at->slots;
  pool->to_start.push_back({task.worker, placed.task, run});
  at->worker->placements.push_back(std::move(placed));
  wanted.owner->started = true;
  pool->changed.insert(wanted.owner->id);
}

// Notes where the tasks went that were placed since `first`.
void note_placed(pool_state* pool, const candidate_step& wanted,
                 std::size_t first, bool had_started, unix_time wall) {
  if (first >= pool->to_start.size()) return;
  std::string detail =
      "occurrence=" + std::to_string(wanted.step->occurrence) +
      " step=" + std::to_string(wanted.step->step) +
      " waited_ms=" + std::to_string((wall - wanted.owner->accepted).count()) +
      " tier=" + std::to_string(static_cast<int>(wanted.tier)) + " runs=";
  for (std::size_t i = first; i < pool->to_start.size(); ++i) {
    const placement_name& each = pool->to_start[i];
    if (i > first) detail += ',';
    detail += std::to_string(each.task.index) + "/" + std::to_string(each.run) +
              "@" + each.worker;
  }
  add_note(pool, note_kind::placed, wanted.owner->id, {}, std::move(detail));
  if (!had_started) pool->notes.back().after = wall - wanted.owner->accepted;
}

void place_tasks(pool_state* pool, const candidate_step& wanted,
                 const std::unordered_set<std::string>& reserved,
                 steady_time now) {
  std::vector<option> options =
      options_for(pool, wanted, tickets::needed, reserved,
                  static_cast<std::uint32_t>(wanted.step->tasks.size()), now);
  sort_best_fit(&options);
  for (std::uint32_t i = 0; i < wanted.step->tasks.size(); ++i) {
    task& task = wanted.step->tasks[i];
    if (task.done || task.placed) continue;
    // A task that failed on a worker goes elsewhere if it can.
    option* chosen = nullptr;
    for (option& each : options) {
      if (each.slots == 0) continue;
      if (chosen == nullptr) chosen = &each;
      if (each.worker->entry.id != task.last_failed_worker) {
        chosen = &each;
        break;
      }
    }
    if (chosen == nullptr) break;
    place(pool, wanted, i, task.last_run + 1, chosen, now);
  }
  update_waiting(pool, *wanted.owner, *wanted.step);
}

bool any_placed(const step_run& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [](const task& each) { return each.placed; });
}

std::uint32_t total_slots(const std::vector<option>& options) {
  std::uint32_t total = 0;
  for (const option& each : options) total += each.slots;
  return total;
}

// Keeps the options of the rack that fits the gang best; all if none fits it.
std::vector<option> of_one_rack(const std::vector<option>& options,
                                std::uint32_t count) {
  std::map<std::string, std::vector<option>> racks;
  for (const option& each : options) {
    racks[each.worker->entry.rack].push_back(each);
  }
  const std::vector<option>* best = nullptr;
  std::uint32_t best_slots = 0;
  for (const std::pair<const std::string, std::vector<option>>& rack : racks) {
    std::uint32_t slots = total_slots(rack.second);
    if (slots < count || (best != nullptr && slots >= best_slots)) continue;
    best = &rack.second;
    best_slots = slots;
  }
  return best == nullptr ? options : *best;
}

// All members or none.
bool place_gang(pool_state* pool, const candidate_step& wanted,
                const std::unordered_set<std::string>& reserved,
                steady_time now) {
  std::uint32_t count = static_cast<std::uint32_t>(wanted.step->tasks.size());
  if (any_placed(*wanted.step)) return true;
  std::vector<option> options =
      options_for(pool, wanted, tickets::needed, reserved, count, now);
  if (total_slots(options) < count) return false;
  if (definition(*wanted.owner, *wanted.step).same_rack()) {
    options = of_one_rack(options, count);
  }
  sort_best_fit(&options);
  std::uint32_t run = 0;
  for (const task& each : wanted.step->tasks) {
    run = std::max(run, each.last_run);
  }
  ++run;
  std::uint32_t index = 0;
  for (option& each : options) {
    while (each.slots > 0 && index < count) {
      place(pool, wanted, index++, run, &each, now);
    }
  }
  update_waiting(pool, *wanted.owner, *wanted.step);
  return true;
}

// ---- Advice -----------------------------------------------------------------

std::uint32_t waiting_tasks(const step_run& step) {
  return static_cast<std::uint32_t>(std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [](const task& each) { return !each.done && !each.placed; }));
}

// Every worker that might run the step: what is granted never changes.
std::vector<std::string> workers_to_learn(pool_state* pool,
                                          const candidate_step& wanted) {
  const wire::step_definition& step = definition(*wanted.owner, *wanted.step);
  std::vector<std::string> names;
  for (const std::pair<const std::string, worker>& each : pool->workers) {
    const worker_entry& entry = each.second.entry;
    bool label_fits = step.required_label().empty() ||
                      step.required_label() == entry.kind ||
                      step.required_label() == entry.rack;
    if (each.second.listed && !entry.draining && label_fits &&
        entry.service == wanted.owner->submission->service() &&
        fits(need_of(step), entry.capacity)) {
      names.push_back(each.first);
    }
  }
  return names;
}

// Workers with room now, the best first, whose tickets have expired or that
// came after the first question.
std::vector<std::string> workers_to_renew(
    pool_state* pool, const candidate_step& wanted,
    const std::unordered_set<std::string>& reserved, steady_time now) {
  std::uint32_t count = waiting_tasks(*wanted.step);
  std::vector<option> options =
      options_for(pool, wanted, tickets::ignored, reserved, count, now);
  bool gang = definition(*wanted.owner, *wanted.step).gang();
  if (options.empty() || (gang && total_slots(options) < count)) return {};
  sort_best_fit(&options);
  std::vector<std::string> names;
  std::uint32_t slots = 0;
  for (const option& each : options) {
    if (slots >= count * kWorkersPerTask) break;
    slots += each.slots;
    names.push_back(each.worker->entry.id);
  }
  return names;
}

void ask_advice(pool_state* pool, const candidate_step& wanted,
                const std::unordered_set<std::string>& reserved, decisions* out,
                steady_time now) {
  step_run& step = *wanted.step;
  if (step.advice_open || step.advice_after > now) return;
  if (any_placed(step) && definition(*wanted.owner, step).gang()) return;
  bool urgent = wanted.policy->priority == 0;
  if (!urgent && pool->open_questions >= kMaxOpenQuestions) return;
  std::vector<std::string> names =
      step.asked.empty() ? workers_to_learn(pool, wanted)
                         : workers_to_renew(pool, wanted, reserved, now);
  if (names.empty()) return;
  constexpr std::size_t kMostWorkers = 100;  // Limit of the advice service.
  if (names.size() > kMostWorkers) names.resize(kMostWorkers);
  step.advice_open = true;
  ++pool->open_questions;
  ++pool->counters.advice;
  advice_order order;
  order.job = wanted.owner->id;
  order.occurrence = step.occurrence;
  order.step = step.step;
  order.expected =
      wanted.policy->advice_fixed + milliseconds(static_cast<std::int64_t>(
                                        wanted.policy->advice_ms_per_worker *
                                        static_cast<double>(names.size())));
  order.validity = wanted.policy->advice_validity;
  order.priority = wanted.policy->priority;
  order.workers = std::move(names);
  out->advice.push_back(std::move(order));
}

// Keeps workers for a gang that waits for room, so that smaller work doesn't
// take every piece that comes free.
void reserve_for(pool_state* pool, const candidate_step& wanted,
                 std::unordered_set<std::string>* reserved, steady_time now) {
  const wire::step_definition& step = definition(*wanted.owner, *wanted.step);
  resources need = need_of(step);
  std::vector<std::pair<std::int64_t, worker*>> able;
  for (std::pair<const std::string, worker>& each : pool->workers) {
    bool allowed =
        !wanted.policy->needs_advice || !is_denied(*wanted.step, each.first);
    if (!allowed || !is_usable(each.second, *wanted.owner, step, now)) continue;
    if (!fits(need, each.second.entry.capacity)) continue;
    able.emplace_back(room_of(each.second).cpu_milli, &each.second);
  }
  std::sort(able.begin(), able.end(), [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first > b.first;
    return a.second->entry.id < b.second->entry.id;
  });
  std::uint32_t count = static_cast<std::uint32_t>(wanted.step->tasks.size());
  std::uint32_t slots = 0;
  for (const std::pair<std::int64_t, worker*>& each : able) {
    if (slots >= count) return;
    slots += slots_in(each.second->entry.capacity, need, count);
    reserved->insert(each.second->entry.id);
  }
}

// Keeps the workers on which the gang would fit now while its tickets are
// being renewed. False if it doesn't fit.
bool keep_room_for(pool_state* pool, const candidate_step& wanted,
                   std::unordered_set<std::string>* reserved, steady_time now) {
  std::uint32_t count = static_cast<std::uint32_t>(wanted.step->tasks.size());
  std::vector<option> options =
      options_for(pool, wanted, tickets::ignored, *reserved, count, now);
  if (total_slots(options) < count) return false;
  sort_best_fit(&options);
  std::uint32_t slots = 0;
  for (const option& each : options) {
    if (slots >= count) break;
    slots += each.slots;
    reserved->insert(each.worker->entry.id);
  }
  return true;
}

void place_waiting(pool_state* pool, decisions* out, steady_time now,
                   unix_time wall) {
  std::unordered_set<std::string> reserved;
  bool gang_waits_for_room = false;
  for (const candidate_step& each : candidates(pool, wall)) {
    bool gang = definition(*each.owner, *each.step).gang();
    bool placed = true;
    std::size_t first = pool->to_start.size();
    bool had_started = each.owner->started;
    if (gang) {
      placed = place_gang(pool, each, reserved, now);
    } else {
      place_tasks(pool, each, reserved, now);
    }
    note_placed(pool, each, first, had_started, wall);
    if (each.policy->needs_advice && waiting_tasks(*each.step) > 0) {
      ask_advice(pool, each, reserved, out, now);
    }
    // Urgent gangs are small and need no reservation.
    if (placed || each.priority == 0) continue;
    if (each.tier == tier::worthless) continue;
    if (each.step->advice_open && keep_room_for(pool, each, &reserved, now)) {
      continue;
    }
    if (std::exchange(gang_waits_for_room, true)) continue;
    reserve_for(pool, each, &reserved, now);
  }
}

}  // namespace

decisions decide(pool_state* pool, steady_time now, unix_time wall) {
  decisions out;
  start_occurrences(pool, wall);
  look_after_orders(pool, &out, now);
  place_waiting(pool, &out, now, wall);
  pool->counters.stops += out.stops.size();
  return out;
}

void observe_advice(pool_state* pool, const advice_order& order, bool answered,
                    const std::vector<ticket>& tickets, steady_time valid_until,
                    steady_time now) {
  if (pool->open_questions > 0) --pool->open_questions;
  job* job = find_job(pool, order.job);
  step_run* step =
      job == nullptr ? nullptr : find_step(job, order.occurrence, order.step);
  if (step == nullptr) return;
  step->advice_open = false;
  if (!answered) {
    step->advice_after = now + kAdvicePause;
    return;
  }
  step->asked.insert(order.workers.begin(), order.workers.end());
  for (const ticket& each : tickets) {
    step->granted.insert(each.worker);
    step->tickets[each.worker] = {each.value, valid_until};
  }
  if (tickets.empty()) step->advice_after = now + kAdvicePause;
}

}  // namespace ebonygrade::pool
