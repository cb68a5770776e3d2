// Crashes of workers, and which of the runs there may have caused them.
#include <algorithm>
#include <string>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

bool has_begun(const placement& placed) {
  return placed.phase == phase::running;
}

}  // namespace

milliseconds known_run_time(const worker& worker, const placement& placed) {
  if (!has_begun(placed)) return milliseconds(0);
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                       worker.last_reply - placed.phase_since));
}

std::string describe_loss(const worker& worker, const placement& placed) {
  return "began=" + std::to_string(static_cast<int>(has_begun(placed))) +
         " known_ms=" + std::to_string(known_run_time(worker, placed).count()) +
         " beside=" + std::to_string(worker.placements.size() - 1);
}

void record_crash(pool_state* pool, const worker& worker,
                  const std::string& reason, bool planned, steady_time now) {
  if (planned || worker.placements.empty()) return;
  ++pool->counters.worker_crashes;
  std::size_t began = 0;
  const placement* newest = nullptr;
  for (const placement& placed : worker.placements) {
    if (!has_begun(placed)) continue;
    ++began;
    bool newer = newest == nullptr || newest->phase_since < placed.phase_since;
    if (newer) newest = &placed;
  }
  milliseconds silent =
      std::chrono::duration_cast<milliseconds>(now - worker.last_reply);
  std::string text = "reason=" + reason + " incarnation=" +
                     std::to_string(worker.entry.incarnation_ms) +
                     " silent_ms=" + std::to_string(silent.count()) +
                     " runs=" + std::to_string(worker.placements.size()) +
                     " began=" + std::to_string(began);
  if (newest != nullptr) {
    text += " newest_ms=" +
            std::to_string(known_run_time(worker, *newest).count()) +
            " newest_job=" + newest->task.job + " " +
            describe(newest->task, newest->run);
  }
  add_worker_event(pool, worker_event_kind::crashed, worker.entry.id, text);
}

}  // namespace ebonygrade::pool
