#include "pool/maintenance.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// Workers that are next get no starts for this long. Each scheduling round
// renews the time.
constexpr milliseconds kAvoidTime{2000};
// Planned time per machine, in maintenance times: the list of machines and new
// workers arrive late.
constexpr int kPlannedTimeFactor = 2;

const worker* worker_of(const pool_state& pool, const machine& machine) {
  std::unordered_map<std::string, worker>::const_iterator found =
      pool.workers.find(machine.worker);
  return found == pool.workers.end() ? nullptr : &found->second;
}

// Number of tasks of the step that have no placement.
std::uint32_t count_unplaced_tasks(const step_state& step) {
  return static_cast<std::uint32_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(),
                    [](const task& each) { return !each.placed; }));
}

// Whether taking the worker down would leave a long-running step with more
// unplaced tasks than it may miss.
bool would_exceed_may_miss(pool_state* pool, const worker& worker) {
  for (const placement& each : worker.placements) {
    task_ref ref = find_task(pool, each.task);
    job* job = ref.job;
    step_state* step = ref.step;
    if (step == nullptr) continue;
    const wire::step_definition& spec = definition(*job, *step);
    if (!spec.long_running() || spec.may_miss() == 0) continue;
    std::uint32_t here = static_cast<std::uint32_t>(
        std::count_if(worker.placements.begin(), worker.placements.end(),
                      [&](const placement& other) {
                        return other.task.job == each.task.job &&
                               other.task.step == each.task.step;
                      }));
    if (count_unplaced_tasks(*step) + here > spec.may_miss()) return true;
  }
  return false;
}

struct candidate {
  const machine* target = nullptr;
  std::int64_t cpu_in_use = 0;
};

std::vector<candidate> candidates(const maintenance_state& maintenance,
                                  const pool_state& pool,
                                  const wave_progress& progress) {
  std::vector<candidate> found;
  for (const std::string& id : progress.wave.machines) {
    std::map<std::string, machine>::const_iterator found_machine =
        maintenance.machines.find(id);
    if (found_machine == maintenance.machines.end()) continue;
    if (progress.begun.count(id) > 0 || progress.ordered.count(id) > 0)
      continue;
    if (found_machine->second.state != machine_state::up) continue;
    const worker* target_worker = worker_of(pool, found_machine->second);
    found.push_back(
        {&found_machine->second,
         target_worker == nullptr ? 0 : target_worker->used.cpu_milli});
  }
  std::sort(found.begin(), found.end(),
            [](const candidate& a, const candidate& b) {
              if (a.cpu_in_use != b.cpu_in_use) {
                return a.cpu_in_use < b.cpu_in_use;
              }
              return a.target->id < b.target->id;
            });
  return found;
}

// Whether the wave would miss its deadline if it waited for idle machines.
bool is_urgent(const wave_progress& progress, std::size_t remaining_machines,
               milliseconds maintenance_time, steady_time now) {
  std::uint32_t at_once = std::max<std::uint32_t>(1, progress.wave.max_down);
  std::size_t rounds = (remaining_machines + at_once - 1) / at_once;
  milliseconds needed =
      maintenance_time * static_cast<std::int64_t>(kPlannedTimeFactor * rounds);
  return now + needed >= progress.due;
}

void avoid(worker* worker, steady_time now) {
  worker->avoid_until = std::max(worker->avoid_until, now + kAvoidTime);
}

// Repeats orders that may not have been applied, and keeps the workers of all
// ordered machines idle.
void repeat_orders(const maintenance_state& maintenance, pool_state* pool,
                   wave_progress* progress, steady_time now,
                   std::vector<maintenance_order>* out) {
  for (std::pair<const std::string, pending_order>& each : progress->ordered) {
    std::map<std::string, machine>::const_iterator target =
        maintenance.machines.find(each.first);
    worker* target_worker = target == maintenance.machines.end()
                                ? nullptr
                                : find_worker(pool, target->second.worker);
    if (target_worker != nullptr) avoid(target_worker, now);
    if (each.second.awaiting_reply) continue;
    each.second.awaiting_reply = true;
    out->push_back({each.first, progress->wave.number});
  }
}

void advance_wave(maintenance_state* maintenance, pool_state* pool,
                  wave_progress* progress, milliseconds maintenance_time,
                  steady_time now, std::vector<maintenance_order>* out) {
  repeat_orders(*maintenance, pool, progress, now, out);
  std::vector<candidate> next = candidates(*maintenance, *pool, *progress);
  bool urgent = is_urgent(*progress, next.size(), maintenance_time, now);
  std::size_t down = progress->in_maintenance.size() + progress->ordered.size();
  std::size_t remaining =
      progress->wave.max_down > down ? progress->wave.max_down - down : 0;
  std::size_t avoided_workers = 0;
  for (const candidate& each : next) {
    if (avoided_workers >= progress->wave.max_down) return;
    worker* target_worker = find_worker(pool, each.target->worker);
    if (target_worker != nullptr) {
      if (would_exceed_may_miss(pool, *target_worker)) continue;
      avoid(target_worker, now);
    }
    ++avoided_workers;
    bool empty = target_worker == nullptr || target_worker->placements.empty();
    if (remaining == 0 || (!empty && !urgent)) continue;
    --remaining;
    progress->ordered[each.target->id] = {true, false};
    out->push_back({each.target->id, progress->wave.number});
  }
}

void update_complete(const maintenance_state& maintenance,
                     wave_progress* progress) {
  if (progress->complete || !maintenance.listed) return;
  // An older list lacks machines that have joined since.
  if (maintenance.listed_at < progress->read_at) return;
  bool all =
      std::all_of(progress->wave.machines.begin(),
                  progress->wave.machines.end(), [&](const std::string& id) {
                    bool stays = maintenance.machines.count(id) > 0;
                    return !stays || progress->begun.count(id) > 0;
                  });
  if (!all) return;
  progress->complete = true;
}

}  // namespace

std::vector<maintenance_order> observe_wave(maintenance_state* maintenance,
                                            const maintenance_wave& wave,
                                            const wire::wave_record& record,
                                            steady_time now) {
  std::vector<maintenance_order> again;
  wave_progress& progress = maintenance->waves[wave.number];
  bool is_new = progress.wave.number == 0;
  progress.wave = wave;
  if (!is_new) return again;
  progress.read_at = now;
  progress.due = now + wave.deadline;
  progress.complete = record.complete();
  for (const std::string& id : record.begun()) {
    progress.begun.insert(id);
    // The machine may still be down.
    progress.in_maintenance[id] = now;
  }
  for (const std::string& id : record.ordered()) {
    if (progress.begun.count(id) > 0 || progress.complete) continue;
    progress.ordered[id] = {true, true};
    again.push_back({id, wave.number});
  }
  return again;
}

wire::wave_record record_of(const wave_progress& progress) {
  wire::wave_record record;
  for (const std::string& id : progress.begun) record.add_begun(id);
  for (const std::string& id : progress.begun) record.add_ordered(id);
  for (const std::pair<const std::string, pending_order>& each :
       progress.ordered) {
    record.add_ordered(each.first);
  }
  record.set_complete(progress.complete);
  return record;
}

void observe_machines(maintenance_state* maintenance,
                      const std::vector<machine>& machines, steady_time asked) {
  maintenance->machines.clear();
  maintenance->listed = true;
  maintenance->listed_at = asked;
  for (const machine& each : machines) maintenance->machines[each.id] = each;
  for (std::pair<const std::uint64_t, wave_progress>& each :
       maintenance->waves) {
    std::erase_if(
        each.second.in_maintenance,
        [&](const std::pair<const std::string, steady_time>& down) {
          if (asked < down.second) return false;
          std::map<std::string, machine>::const_iterator found_machine =
              maintenance->machines.find(down.first);
          // The machine has left, or is up again with a worker.
          return found_machine == maintenance->machines.end() ||
                 (found_machine->second.state == machine_state::up &&
                  !found_machine->second.worker.empty());
        });
  }
}

void observe_maintenance(maintenance_state* maintenance,
                         const maintenance_order& order,
                         maintenance_outcome outcome, steady_time now) {
  std::map<std::uint64_t, wave_progress>::iterator found =
      maintenance->waves.find(order.wave);
  if (found == maintenance->waves.end()) return;
  wave_progress& progress = found->second;
  switch (outcome) {
    case maintenance_outcome::begun:
      progress.ordered.erase(order.machine);
      progress.begun.insert(order.machine);
      progress.in_maintenance[order.machine] = now;
      // The entry in the list is older than the outcome.
      if (maintenance->machines.count(order.machine) > 0) {
        maintenance->machines[order.machine].state = machine_state::maintenance;
      }
      return;
    case maintenance_outcome::unknown:
      progress.ordered[order.machine] = {false, true};
      return;
    case maintenance_outcome::busy:
    case maintenance_outcome::fenced: {
      // Says nothing about earlier copies of the order.
      pending_order& pending = progress.ordered[order.machine];
      pending.awaiting_reply = false;
      if (!pending.maybe_applied) progress.ordered.erase(order.machine);
      return;
    }
    case maintenance_outcome::refused:
      progress.ordered.erase(order.machine);
      return;
  }
}

std::vector<maintenance_order> decide_maintenance(
    maintenance_state* maintenance, pool_state* pool,
    milliseconds maintenance_time, steady_time now) {
  std::vector<maintenance_order> orders;
  if (!maintenance->listed) return orders;
  for (std::pair<const std::uint64_t, wave_progress>& each :
       maintenance->waves) {
    update_complete(*maintenance, &each.second);
    if (each.second.complete) continue;
    advance_wave(maintenance, pool, &each.second, maintenance_time, now,
                 &orders);
  }
  return orders;
}

bool has_incomplete_wave(const maintenance_state& maintenance) {
  return std::any_of(
      maintenance.waves.begin(), maintenance.waves.end(),
      [](const std::pair<const std::uint64_t, wave_progress>& each) {
        return !each.second.complete;
      });
}

}  // namespace ebonygrade::pool
