// Progress of runs, which workers report in whole percent, and runs that make
// none.
//
// How long a sound run may stay at one percent depends on how long it takes. It
// is told apart from a hung run by
// - the estimate of its task, for a worker that is much slower than others,
// - its own pace so far,
// - what came before: estimates may be far too low, so each hung run of a task
//   after the first gives the next one twice the time. A sound task of any
//   length gets through in the end. The journal doesn't have this.
#include <algorithm>
#include <string>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// No run is taken as hung before this.
constexpr milliseconds kMinNoProgressTime{3500};
// Against the estimate: a slow worker far from the task's data.
constexpr int kMaxSlowdown = 16;
// Against the longest time that one percent of this run has taken.
constexpr int kPaceMargin = 3;
constexpr std::uint32_t kMaxDoublings = 16;
// Longest time between the reports of a worker without ended runs.
constexpr milliseconds kMaxReportInterval{1100};
constexpr std::uint32_t kFullProgressPercent = 100;

milliseconds max_time_per_percent(const wire::step_definition& step,
                                  const task& task, const placement& placed) {
  milliseconds estimate{step.estimate_ms()};
  milliseconds longest = std::max(
      {kMinNoProgressTime, estimate * kMaxSlowdown / kFullProgressPercent,
       placed.longest_per_percent * kPaceMargin});
  std::uint32_t doublings =
      std::min(std::max(task.hung_runs, 1U) - 1, kMaxDoublings);
  return longest * (1 << doublings);
}

}  // namespace

void observe_progress(const worker& worker, std::uint32_t percent,
                      placement* placed) {
  if (placed->reported && placed->percent == percent) return;
  if (placed->reported && percent > placed->percent) {
    milliseconds taken = worker.clock - placed->last_progress;
    placed->longest_per_percent = std::max(placed->longest_per_percent,
                                           taken / (percent - placed->percent));
  }
  placed->percent = percent;
  placed->last_progress = worker.clock;
}

bool is_hung(pool_state* pool, const worker& worker, const placement& placed,
             steady_time now) {
  if (placed.phase != phase::running || placed.stop_wanted) return false;
  if (!placed.reported || !worker.has_all_ends) return false;
  if (!is_responsive(worker, now)) return false;
  // The worker's clock, as this owner may have been paused between two reports.
  milliseconds since_report = std::min(
      std::chrono::duration_cast<milliseconds>(now - worker.clock_read_at),
      kMaxReportInterval);
  milliseconds without_progress =
      worker.clock + since_report - placed.last_progress;
  if (without_progress < kMinNoProgressTime) return false;
  task_ref ref = find_task(pool, placed.task);
  if (ref.step == nullptr) return false;
  const wire::step_definition& step = definition(*ref.job, *ref.step);
  if (step.long_running()) return false;
  // A gang member with all its work done waits for the others.
  if (step.gang() && placed.percent >= kFullProgressPercent) return false;
  const task& task = ref.step->tasks[placed.task.index];
  return without_progress >= max_time_per_percent(step, task, placed);
}

void stop_hung_run(pool_state* pool, const worker& worker, placement* placed) {
  placed->stop_wanted = true;
  task_ref ref = find_task(pool, placed->task);
  task& task = ref.step->tasks[placed->task.index];
  ++task.hung_runs;
  add_job_event(
      pool, job_event_kind::worker_avoided, placed->task.job, worker.entry.id,
      describe(placed->task, placed->run) +
          " reason=no_progress at=" + std::to_string(placed->percent) +
          " hung_runs=" + std::to_string(task.hung_runs));
}

}  // namespace ebonygrade::pool
