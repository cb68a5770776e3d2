// Crashes of workers, and which of the runs there may have caused them.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// A run that was confirmed no longer than this before its worker crashed was
// still at work then, and may be the cause. A longer one may have ended before.
constexpr milliseconds kYoungRun{300};
// The same for a start without a reply, from the decision: the journal write
// and the calls that find out about the crash are added.
constexpr milliseconds kStartTime{1500};
// A run that goes on for this long has passed its trial. The longer time is for
// tasks that have lost several runs, as some crash their workers late.
constexpr milliseconds kTrialTime{1000};
constexpr milliseconds kLongTrialTime{5000};
constexpr std::size_t kLossesForLongTrial = 3;
// A lasting task that has run for this long didn't cause earlier crashes.
constexpr milliseconds kSteadyTime{5000};
// Workers that must have crashed under a task before it is given up.
constexpr std::size_t kMinCrashes = 2;
// A task is given up without a proof after so many lost runs if these crashes
// are among them, and after so many if at most one of them is in doubt: the
// replies to its starts may all be lost in the crashes.
constexpr std::size_t kMaxLosses = 4;
constexpr std::size_t kMaxUnconfirmedLosses = 5;
constexpr std::size_t kMaxDoubts = 1;
// The limit whatever is known of the lost runs.
constexpr std::size_t kMaxLossesInDoubt = 8;

bool has_begun(const placement& placed) {
  return placed.phase == phase::running;
}

std::size_t count_losses(const task& task) {
  return task.crashed_runs.size() + task.vanished_runs.size();
}

// Whether the run may have caused the crash by its start. Without a connection
// that broke, the last reply is all that tells when the worker crashed.
bool is_young(const worker& worker, const placement& placed) {
  if (known_run_time(worker, placed) >= kYoungRun) return false;
  bool broke = worker.contact_lost_at != steady_time();
  if (!broke || placed.phase == phase::unverified) return true;
  if (has_begun(placed)) {
    return worker.contact_lost_at - placed.phase_since < kYoungRun;
  }
  return placed.placed_at < worker.contact_lost_at &&
         worker.contact_lost_at - placed.placed_at < kStartTime;
}

// Nothing ties the loss to a crash: no connection broke, and the start got no
// reply, or the run was known to go on for a while. What an earlier owner knew
// of its starts isn't in the journal.
bool is_doubtful(const worker& worker, const placement& placed) {
  if (placed.phase == phase::unverified) return false;
  if (worker.contact_lost_at != steady_time()) return false;
  return !has_begun(placed) || known_run_time(worker, placed) >= kYoungRun;
}

bool was_at_work(const worker& worker, const placement& placed) {
  return has_begun(placed) && worker.contact_lost_at != steady_time() &&
         is_young(worker, placed);
}

// Runs that may have caused the crash of their worker.
std::size_t count_possible_causes(const worker& worker) {
  return static_cast<std::size_t>(std::count_if(
      worker.placements.begin(), worker.placements.end(),
      [](const placement& each) { return each.phase != phase::recording; }));
}

// The run that is lost, and what else its worker had.
struct loss {
  placement run;
  milliseconds known_time{0};
  bool crashed = false;  // The run was at work when its worker crashed.
  bool alone = false;
  bool young = false;
  bool vanished = false;  // Nothing is known of a crash.
  bool doubtful = false;  // See is_doubtful().
};

bool is_deadly(const task& task, const loss& lost) {
  std::size_t losses = count_losses(task);
  bool likely = task.doubtful_runs.size() <= kMaxDoubts;
  if (losses >= kMaxUnconfirmedLosses && likely) return true;
  if (losses >= kMaxLossesInDoubt) return true;
  if (task.crashed_runs.size() < kMinCrashes) return false;
  bool proven = lost.crashed && lost.run.trial && lost.alone;
  return proven || losses >= kMaxLosses;
}

void record_loss(pool_state* pool, const worker& worker, const loss& lost,
                 steady_time now) {
  task_ref ref = find_task(pool, lost.run.task);
  if (ref.step == nullptr || ref.job->outcome != wire::OPEN) return;
  if (lost.run.task.index >= ref.step->tasks.size()) return;
  task& task = ref.step->tasks[lost.run.task.index];
  bool current = is_current_run(task, lost.run, worker.entry.id);
  if (task.done || !current) return;
  // The start came too late, or never arrived.
  if (!lost.vanished && !has_begun(lost.run) && !lost.young) return;
  // A run may be kept over several restarts of its worker; it counts once.
  std::uint32_t run = lost.run.run;
  if (lost.crashed) {
    task.vanished_runs.erase(run);
    task.crashed_runs.insert(run);
  } else if (task.crashed_runs.count(run) == 0) {
    task.vanished_runs.insert(run);
  }
  bool doubtful = lost.doubtful && task.vanished_runs.count(run) > 0;
  if (doubtful) {
    task.doubtful_runs.insert(run);
  } else {
    task.doubtful_runs.erase(run);
  }
  pool->changed_jobs.insert(ref.job->id);
  std::string evidence =
      describe(lost.run.task, run) +
      " crashes=" + std::to_string(task.crashed_runs.size()) +
      " vanished=" + std::to_string(task.vanished_runs.size()) +
      " doubtful=" + std::to_string(task.doubtful_runs.size()) +
      " known_ms=" + std::to_string(lost.known_time.count()) +
      " trial=" + std::to_string(static_cast<int>(lost.run.trial)) +
      " alone=" + std::to_string(static_cast<int>(lost.alone));
  if (is_deadly(task, lost)) {
    pool->deadly_tasks.push_back({lost.run.task, std::move(evidence)});
    return;
  }
  task.suspected = lost.young || count_losses(task) > 1;
  task.suspected_since = now;
  if (!task.suspected) return;
  ++pool->counters.suspicions;
  add_job_event(pool, job_event_kind::suspected, ref.job->id, worker.entry.id,
                std::move(evidence));
}

// How long ago the connection to the worker broke; "-" if it didn't.
std::string broken_for(const worker& worker, steady_time now) {
  if (worker.contact_lost_at == steady_time()) return "-";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(now - worker.contact_lost_at)
          .count());
}

}  // namespace

milliseconds known_run_time(const worker& worker, const placement& placed) {
  if (!has_begun(placed)) return milliseconds(0);
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                       worker.last_reply - placed.phase_since));
}

std::string describe_loss(const worker& worker, const placement& placed,
                          std::size_t beside) {
  return "began=" + std::to_string(static_cast<int>(has_begun(placed))) +
         " known_ms=" + std::to_string(known_run_time(worker, placed).count()) +
         " beside=" + std::to_string(beside);
}

namespace {

std::string describe_crash(const worker& worker, const std::string& reason,
                           steady_time now) {
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
                     " broken_ms=" + broken_for(worker, now) +
                     " runs=" + std::to_string(worker.placements.size()) +
                     " began=" + std::to_string(began);
  if (newest != nullptr) {
    text += " newest_ms=" +
            std::to_string(known_run_time(worker, *newest).count()) +
            " newest_job=" + newest->task.job + " " +
            describe(newest->task, newest->run);
  }
  return text;
}

}  // namespace

void record_crash(pool_state* pool, worker* crashed, const std::string& reason,
                  bool same_id, bool planned, steady_time now) {
  const worker& worker = *crashed;
  if (planned || worker.placements.empty()) return;
  ++pool->counters.worker_crashes;
  add_worker_event(pool, worker_event_kind::crashed, worker.entry.id,
                   describe_crash(worker, reason, now));
  bool alone = count_possible_causes(worker) == 1;
  for (placement& placed : crashed->placements) {
    if (placed.phase == phase::recording) continue;
    bool unsettled = same_id && has_begun(placed) && !placed.reported;
    if (unsettled) {
      placed.crash_unsettled = true;
      placed.was_at_work = was_at_work(worker, placed);
      placed.was_alone = alone;
      continue;
    }
    loss lost;
    lost.run = placed;
    lost.known_time = known_run_time(worker, placed);
    lost.crashed = was_at_work(worker, placed);
    lost.alone = alone;
    lost.young = is_young(worker, placed);
    lost.doubtful = is_doubtful(worker, placed);
    record_loss(pool, worker, lost, now);
  }
}

void settle_crash(pool_state* pool, const worker& worker,
                  const placement& placed, steady_time now) {
  if (!placed.crash_unsettled) return;
  loss lost;
  lost.run = placed;
  lost.crashed = placed.was_at_work;
  lost.alone = placed.was_alone;
  lost.young = true;
  record_loss(pool, worker, lost, now);
}

void record_vanished(pool_state* pool, const worker& worker, steady_time now) {
  if (worker.entry.draining) return;
  for (const placement& placed : worker.placements) {
    if (placed.phase == phase::recording) continue;
    loss lost;
    lost.run = placed;
    lost.known_time = known_run_time(worker, placed);
    lost.vanished = true;
    lost.doubtful = is_doubtful(worker, placed);
    record_loss(pool, worker, lost, now);
  }
}

void observe_sound_run(pool_state* pool, worker* worker, placement* placed,
                       const task_ref& ref) {
  task& task = ref.step->tasks[placed->task.index];
  placed->crash_unsettled = false;
  // The run that was taken as lost may have begun in a later incarnation.
  std::size_t withdrawn = task.crashed_runs.erase(placed->run) +
                          task.vanished_runs.erase(placed->run);
  task.doubtful_runs.erase(placed->run);
  milliseconds known = known_run_time(*worker, *placed);
  bool steady = definition(*ref.job, *ref.step).long_running() &&
                known >= kSteadyTime && count_losses(task) > 0;
  if (steady) {
    task.crashed_runs.clear();
    task.vanished_runs.clear();
    task.doubtful_runs.clear();
  }
  bool current = is_current_run(task, *placed, worker->entry.id);
  milliseconds trial_time =
      count_losses(task) >= kLossesForLongTrial ? kLongTrialTime : kTrialTime;
  bool passed = task.suspected && current && known >= trial_time;
  if (passed) {
    if (std::exchange(placed->trial, false)) --worker->trials;
    task.suspected = false;
    add_job_event(pool, job_event_kind::cleared, placed->task.job,
                  worker->entry.id,
                  describe(placed->task, placed->run) +
                      " known_ms=" + std::to_string(known.count()));
  }
  if (withdrawn > 0 || steady || passed) {
    pool->changed_jobs.insert(placed->task.job);
  }
}

void give_up_jobs(pool_state* pool, unix_time wall) {
  for (const deadly_task& each : std::exchange(pool->deadly_tasks, {})) {
    job* job = find_job(pool, each.task.job);
    if (job == nullptr || job->outcome != wire::OPEN) continue;
    ++pool->counters.given_up_jobs;
    add_job_event(pool, job_event_kind::given_up, job->id, {}, each.evidence);
    end_job(pool, job, wire::FAILED, wall);
  }
}

}  // namespace ebonygrade::pool
