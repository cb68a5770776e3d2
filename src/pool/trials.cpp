// Where suspected tasks run.
#include <algorithm>

#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// How long a suspected task waits for a worker to itself.
constexpr milliseconds kTrialWait{1000};
// After this time it may also run beside gangs and lasting tasks, and when many
// workers are on trial.
constexpr milliseconds kLongTrialWait{2000};
// Trials take at most one in this many of the available workers.
constexpr std::size_t kTrialWorkersDivisor = 2;

// Whether the loss of the worker's runs would cost more than their own work.
bool has_shared_runs(pool_state* pool, const worker& worker) {
  return std::any_of(worker.placements.begin(), worker.placements.end(),
                     [&](const placement& each) {
                       task_ref ref = find_task(pool, each.task);
                       if (ref.step == nullptr) return false;
                       const wire::step_definition& step =
                           definition(*ref.job, *ref.step);
                       return step.gang() || step.long_running();
                     });
}

std::size_t count_trial_workers(const pool_state& pool, steady_time now) {
  return static_cast<std::size_t>(std::count_if(
      pool.workers.begin(), pool.workers.end(),
      [now](const std::pair<const std::string, worker>& each) {
        return each.second.trials > 0 || is_emptied(each.second, now);
      }));
}

// The worker with the least work that may be disturbed; null if there is none.
placement_option* least_used(const scheduling_round& round, bool spare_shared,
                             std::vector<placement_option>* options) {
  placement_option* best = nullptr;
  for (placement_option& each : *options) {
    if (each.slots == 0 || is_emptied(*each.worker, round.now)) continue;
    if (spare_shared && has_shared_runs(round.pool, *each.worker)) continue;
    bool better = best == nullptr ||
                  each.worker->used.cpu_milli < best->worker->used.cpu_milli;
    if (better) best = &each;
  }
  return best;
}

}  // namespace

bool awaits_trial(const step_state& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [](const task& each) {
                       return each.suspected && !each.done && !each.placed;
                     });
}

placement_option* idle_option(std::vector<placement_option>* options) {
  for (placement_option& each : *options) {
    if (each.slots > 0 && each.worker->placements.empty()) return &each;
  }
  return nullptr;
}

placement_option* choose_for_trial(const scheduling_round& round,
                                   const wire::step_definition& step,
                                   task* task,
                                   std::vector<placement_option>* options) {
  placement_option* idle = idle_option(options);
  if (idle != nullptr) return idle;
  // Users of a lasting task wait for its next run.
  if (step.long_running()) return least_used(round, false, options);
  const worker* emptied = find_worker(round.pool, task->emptied_worker);
  if (emptied != nullptr && is_emptied(*emptied, round.now)) return nullptr;
  milliseconds waited = std::chrono::duration_cast<milliseconds>(
      round.now - task->suspected_since);
  bool waited_long = waited >= kLongTrialWait;
  std::size_t limit = round.available.size() / kTrialWorkersDivisor;
  if (!waited_long && count_trial_workers(*round.pool, round.now) >= limit) {
    return nullptr;
  }
  placement_option* chosen = least_used(round, !waited_long, options);
  if (chosen == nullptr || waited >= kTrialWait) return chosen;
  chosen->worker->emptied_until = task->suspected_since + kTrialWait;
  task->emptied_worker = chosen->worker->entry.id;
  return nullptr;
}

}  // namespace ebonygrade::pool
