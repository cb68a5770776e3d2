// State of workers: discovery entries, leases, and the runs that they report.
#include <algorithm>
#include <utility>

#include "pool/pool_pvt.h"
#include "pool/recorded_leases.h"

namespace ebonygrade::pool {

namespace {

// A worker's clock may be 2% slow, which makes a lease last longer.
constexpr double kClockDrift = 1.03;
// Margin below the longest lease, so that the worker doesn't cut it for
// rounding.
constexpr milliseconds kLeaseMargin{50};
// Fencing tokens of an epoch. JSON readers may hold numbers as doubles, which
// leaves 43 bits for the epoch.
constexpr std::uint64_t kTokensPerEpoch = 1024;
// For a worker that replies that it is unhealthy.
constexpr milliseconds kUnhealthyAvoidTime{1000};

milliseconds with_clock_drift(milliseconds lease) {
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(lease.count()) * kClockDrift));
}

// It may have granted leases until it was isolated.
steady_time last_order_of_previous_owner(const pool_state& pool) {
  return pool.time.base_at + isolation_limit(pool.limits);
}

void record_unexpected_run(pool_state* pool, const worker& worker,
                           const reported_run& row) {
  ++pool->counters.unexpected_runs;
  task_ref ref = find_task(pool, row.task);
  std::string placed_on = "none";
  bool done = false;
  if (ref.step != nullptr && row.task.index < ref.step->tasks.size()) {
    const task& task = ref.step->tasks[row.task.index];
    if (task.placed) {
      placed_on = task.worker + "/" + std::to_string(task.placed_run);
    }
    done = task.done;
  }
  add_worker_event(
      pool, worker_event_kind::run_unexpected, worker.entry.id,
      "job=" + row.task.job + " " + describe(row.task, row.run) +
          " incarnation=" + std::to_string(worker.entry.incarnation_ms) +
          " placed_on=" + placed_on +
          " done=" + std::to_string(static_cast<int>(done)));
}

// Keeps the task of an unexpected run from being placed until the run has
// ended.
void hold_task(pool_state* pool, const worker& worker, const task_key& key,
               std::uint32_t run) {
  task_ref ref = find_task(pool, key);
  if (ref.step == nullptr || key.index >= ref.step->tasks.size()) return;
  task& task = ref.step->tasks[key.index];
  if (task.done) return;
  if (task.placed) {
    // A start that is still being recorded must not be sent.
    pool::worker* placed_on = find_worker(pool, task.worker);
    placement* current = placed_on == nullptr
                             ? nullptr
                             : find_placement(placed_on, key, task.placed_run);
    if (current != nullptr && current->phase == phase::recording) {
      current->stop_wanted = true;
    }
    return;
  }
  task.last_run = std::max(task.last_run, run);
  task.placed = true;
  task.placed_run = run;
  task.worker = worker.entry.id;
  task.incarnation_ms = worker.entry.incarnation_ms;
  pool->changed_jobs.insert(key.job);
  update_waiting(pool, *ref.job, *ref.step);
}

// Another run of a task that is no longer placed may go on.
void hold_by_unexpected_run(pool_state* pool, const job& job,
                            const task_key& key) {
  for (const std::pair<const std::string, std::size_t>& each : job.workers) {
    const worker* at = find_worker(pool, each.first);
    if (at == nullptr) continue;
    for (const placement& other : at->placements) {
      if (other.task != key) continue;
      return hold_task(pool, *at, key, other.run);
    }
  }
}

// What a run of the task uses, also if its occurrence has ended. Nothing if the
// job is unknown.
resources need_of(pool_state* pool, const task_key& task) {
  const job* job = find_job(pool, task.job);
  if (job == nullptr) return {};
  int step = static_cast<int>(task.step);
  if (step >= job->submission->steps_size()) return {};
  return resources_needed(job->submission->steps(step));
}

void apply_running(pool_state* pool, worker* worker, const reported_run& row,
                   steady_time now) {
  mark_started(pool, row.task.job);
  placement* placed = find_placement(worker, row.task, row.run);
  if (placed == nullptr) {
    // The run has no valid order of this owner, so it is stopped.
    placement unexpected;
    unexpected.task = row.task;
    unexpected.run = row.run;
    unexpected.need = need_of(pool, row.task);
    unexpected.phase = phase::running;
    unexpected.phase_since = now;
    unexpected.last_progress = worker->clock;
    unexpected.reported = true;
    unexpected.unexpected = true;
    ++pool->unexpected_placements;
    unexpected.stop_wanted = true;
    record_unexpected_run(pool, *worker, row);
    add_placement(pool, worker, std::move(unexpected));
    hold_task(pool, *worker, row.task, row.run);
    return;
  }
  if (placed->phase == phase::recording) return;
  if (placed->phase != phase::running) {
    placed->phase = phase::running;
    placed->phase_since = now;
  }
  task_ref ref = find_task(pool, row.task);
  job* job = ref.job;
  step_state* step = ref.step;
  bool known = step != nullptr && row.task.index < step->tasks.size();
  if (known) observe_sound_run(pool, worker, placed, ref);
  observe_progress(*worker, row.percent, placed);
  placed->reported = true;
  if (!known || row.checkpoint.empty()) return;
  if (definition(*job, *step).gang()) {
    for (task& member : step->tasks) member.checkpoint = row.checkpoint;
  } else {
    step->tasks[row.task.index].checkpoint = row.checkpoint;
  }
}

bool reports_run(const worker_report& report, const placement& placed) {
  return std::any_of(report.running.begin(), report.running.end(),
                     [&](const reported_run& row) {
                       return row.run == placed.run && row.task == placed.task;
                     });
}

// Drops runs that the worker would report if it had them.
void drop_unreported(pool_state* pool, worker* worker,
                     const worker_report& report, steady_time sent) {
  // Their ends may be among those that aren't listed yet.
  if (!report.has_all_ends) return;
  std::vector<std::pair<task_key, std::uint32_t>> to_drop;
  for (const placement& placed : worker->placements) {
    if (reports_run(report, placed)) continue;
    bool was_reported =
        placed.phase == phase::running && placed.phase_since < sent;
    // The poll's fencing token keeps out later starts of earlier owners.
    bool never_started = placed.phase == phase::unverified;
    bool stopped_before =
        placed.stop_confirmed && placed.stop_confirmed_at < sent;
    if (was_reported || never_started || stopped_before) {
      to_drop.emplace_back(placed.task, placed.run);
      settle_crash(pool, *worker, placed, worker->last_reply);
    }
  }
  for (const std::pair<task_key, std::uint32_t>& each : to_drop) {
    drop_placement(pool, worker, each.first, each.second);
  }
}

// A crash ends all runs that the worker has reported. Unconfirmed starts may
// still arrive at the new incarnation and must be stopped there. A confirmed
// start may have been confirmed by either incarnation, and starts of an earlier
// owner are fenced only after the new incarnation has replied to this owner's
// fencing token, so these runs are kept until the next report.
void begin_incarnation(pool_state* pool, worker* worker,
                       std::int64_t incarnation_ms, const std::string& source,
                       bool planned, steady_time now) {
  delete_recorded_lease(pool, worker);
  record_crash(pool, worker, "new_incarnation", true, planned, now);
  worker->contact_lost_at = {};
  std::int64_t previous = worker->entry.incarnation_ms;
  std::uint64_t last_end = worker->last_end;
  worker->entry.incarnation_ms = incarnation_ms;
  raise_token(pool, worker);
  worker->fenced = false;
  worker->withdrawn_at = {};
  worker->last_end = 0;
  worker->acked_end = 0;
  worker->consecutive_failures = 0;
  std::vector<placement> to_drop;
  std::size_t beside = worker->placements.size() - 1;
  for (placement& placed : worker->placements) {
    // Repeated starts without a reply may still reach the new incarnation.
    if (start_may_arrive(placed)) {
      placed.phase = phase::sent;
      placed.stop_wanted = true;
      placed.stop_confirmed = false;
      placed.stop_sent_at = {};
    } else if (placed.phase == phase::running && placed.reported) {
      to_drop.push_back(placed);
    }
    placed.reported = false;
  }
  for (const placement& lost : to_drop) {
    ++pool->counters.lost_runs;
    add_job_event(pool, job_event_kind::run_lost, lost.task.job,
                  worker->entry.id,
                  describe(lost.task, lost.run) + " reason=new_incarnation " +
                      describe_loss(*worker, lost, beside));
    drop_placement(pool, worker, lost.task, lost.run);
  }
  if (!worker->placements.empty()) {
    // The clock of the new incarnation starts anew, so an order to the former
    // one gives it the longest lease from when it is carried out.
    steady_time last_sent =
        std::max(worker->last_lease_sent, last_order_of_previous_owner(*pool));
    extend_lease(worker,
                 std::max(now, last_sent + kMaxOrderDelay) +
                     with_clock_drift(pool->limits.lease),
                 false);
  }
  ++pool->counters.worker_restarts;
  add_worker_event(pool, worker_event_kind::restarted, worker->entry.id,
                   "source=" + source +
                       " incarnation=" + std::to_string(incarnation_ms) +
                       " previous=" + std::to_string(previous) +
                       " last_end=" + std::to_string(last_end) +
                       " dropped=" + std::to_string(to_drop.size()) +
                       " kept=" + std::to_string(worker->placements.size()));
}

}  // namespace

bool is_current_run(const task& task, const placement& placed,
                    const std::string& worker) {
  return task.placed && task.worker == worker && task.placed_run == placed.run;
}

void mark_started(pool_state* pool, const std::string& id) {
  job* job = find_job(pool, id);
  if (job == nullptr || job->started) return;
  job->started = true;
  pool->changed_jobs.insert(id);
}

void raise_token(pool_state* pool, worker* worker) {
  ++pool->raised_tokens[worker->entry.id];
  worker->knows_token = false;
  worker->token_in_start = false;
}

void extend_lease(worker* worker, steady_time end, bool granted) {
  if (end <= worker->lease_end) return;
  worker->lease_end = end;
  worker->lease_granted = granted;
}

worker* find_worker(pool_state* pool, const std::string& id) {
  std::unordered_map<std::string, worker>::iterator found =
      pool->workers.find(id);
  return found == pool->workers.end() ? nullptr : &found->second;
}

placement* find_placement(worker* worker, const task_key& task,
                          std::uint32_t run) {
  for (placement& each : worker->placements) {
    if (each.run == run && each.task == task) return &each;
  }
  return nullptr;
}

void add_placement(pool_state* pool, worker* worker, placement placed) {
  worker->used = worker->used + placed.need;
  add_usage(pool, &placed);
  job* job = find_job(pool, placed.task.job);
  if (job != nullptr) {
    ++job->workers[worker->entry.id];
    const step_state* step =
        find_step(job, placed.task.occurrence, placed.task.step);
    placed.lasts = step != nullptr && definition(*job, *step).long_running();
  }
  if (placed.lasts) worker->lasting = worker->lasting + placed.need;
  if (placed.trial) ++worker->trials;
  worker->placements.push_back(std::move(placed));
}

namespace {

// Decrements the number of placements of the job on the worker.
void decrement_job_worker(pool_state* pool, const std::string& id,
                          const std::string& worker) {
  job* job = find_job(pool, id);
  if (job == nullptr) return;
  std::unordered_map<std::string, std::size_t>::iterator found =
      job->workers.find(worker);
  if (found == job->workers.end()) return;
  if (--found->second > 0) return;
  job->workers.erase(found);
  // The submission can now be deleted from the journal.
  bool may_drop_submission = job->outcome != wire::OPEN && job->workers.empty();
  if (may_drop_submission) pool->changed_jobs.insert(id);
}

}  // namespace

void drop_placement(pool_state* pool, worker* worker, const task_key& task,
                    std::uint32_t run) {
  placement* placed = find_placement(worker, task, run);
  if (placed == nullptr) return;
  placement dropped = std::move(*placed);
  worker->placements.erase(worker->placements.begin() +
                           (placed - worker->placements.data()));
  worker->used = worker->used - dropped.need;
  if (dropped.lasts) worker->lasting = worker->lasting - dropped.need;
  if (dropped.backfilled) {
    worker->backfilled = worker->backfilled - dropped.need;
  }
  drop_usage(pool, dropped);
  if (dropped.unexpected) --pool->unexpected_placements;
  if (dropped.trial) --worker->trials;
  pool->cpu_release_rate.freed_cpu_milli += dropped.need.cpu_milli;
  decrement_job_worker(pool, dropped.task.job, worker->entry.id);
  task_ref ref = find_task(pool, dropped.task);
  job* job = ref.job;
  step_state* step = ref.step;
  if (step == nullptr || dropped.task.index >= step->tasks.size()) return;
  struct task& placed_task = step->tasks[dropped.task.index];
  if (!is_current_run(placed_task, dropped, worker->entry.id)) return;
  placed_task.placed = false;
  placed_task.worker.clear();
  pool->changed_jobs.insert(job->id);
  if (job->outcome != wire::OPEN) return;
  // A gang can't complete without all members.
  if (definition(*job, *step).gang()) stop_runs(pool, job->id, step);
  if (pool->unexpected_placements > 0) {
    hold_by_unexpected_run(pool, *job, dropped.task);
  }
  update_waiting(pool, *job, *step);
}

void drop_all(pool_state* pool, worker* worker, const std::string& reason) {
  std::size_t beside = worker->placements.size() - 1;
  while (!worker->placements.empty()) {
    placement last = worker->placements.back();
    ++pool->counters.lost_runs;
    add_job_event(pool, job_event_kind::run_lost, last.task.job,
                  worker->entry.id,
                  describe(last.task, last.run) + " reason=" + reason + " " +
                      describe_loss(*worker, last, beside));
    drop_placement(pool, worker, last.task, last.run);
  }
}

void stop_runs(pool_state* pool, const std::string& id,
               const step_state* only) {
  job* job = find_job(pool, id);
  if (job == nullptr) return;
  for_each_placement(pool, *job, [&](placement* placed) {
    bool other_step =
        only != nullptr && (placed->task.step != only->step ||
                            placed->task.occurrence != only->occurrence);
    if (!other_step) placed->stop_wanted = true;
  });
}

bool observe_worker_entry(pool_state* pool, const worker_entry& entry,
                          steady_time now, steady_time written_after) {
  worker& worker = pool->workers[entry.id];
  bool is_new = worker.entry.id.empty();
  std::int64_t incarnation = worker.entry.incarnation_ms;
  bool same_incarnation =
      !is_new && entry.incarnation_ms == worker.described_incarnation_ms;
  bool older = same_incarnation && entry.revision < worker.entry.revision;
  if (older || (!is_new && entry.incarnation_ms < incarnation)) {
    add_worker_event(pool, worker_event_kind::entry_outdated, entry.id,
                     "incarnation=" + std::to_string(entry.incarnation_ms) +
                         " known=" + std::to_string(incarnation) +
                         " older=" + std::to_string(static_cast<int>(older)) +
                         " address=" + entry.address);
    return false;
  }
  bool was_draining = worker.entry.draining;
  worker.entry = entry;
  worker.described_incarnation_ms = entry.incarnation_ms;
  worker.entry_written_after = written_after;
  worker.withdrawn_at = {};
  if (!worker.listed) worker.last_reply = now;
  worker.listed = true;
  if (!is_new && entry.incarnation_ms > incarnation) {
    worker.replied_at.clear();
    // It takes the former incarnation from the entry.
    worker.entry.incarnation_ms = incarnation;
    begin_incarnation(pool, &worker, entry.incarnation_ms, "entry",
                      was_draining, now);
  }
  return true;
}

void observe_worker_unlisted(pool_state* pool, const std::string& id) {
  worker* worker = find_worker(pool, id);
  if (worker != nullptr) worker->listed = false;
}

void observe_worker_removed(pool_state* pool, const std::string& id,
                            steady_time now) {
  worker* worker = find_worker(pool, id);
  if (worker == nullptr || !worker->listed) return;
  worker->listed = false;
  bool withdrawn =
      worker->entry.draining && worker->entry_written_after != steady_time() &&
      now - worker->entry_written_after < earliest_entry_expiry(pool->limits);
  if (withdrawn) worker->withdrawn_at = now;
  if (worker->placements.empty()) return;
  std::string text =
      "incarnation=" + std::to_string(worker->entry.incarnation_ms) +
      " draining=" + (worker->entry.draining ? "1" : "0") +
      " withdrawn=" + (withdrawn ? "1" : "0") +
      " runs=" + std::to_string(worker->placements.size());
  // No more than this has passed since its newest entry was written.
  if (worker->entry_written_after != steady_time()) {
    text +=
        " entry_ms=" + milliseconds_between(worker->entry_written_after, now);
  }
  if (worker->last_reply != steady_time()) {
    text += " silent_ms=" + milliseconds_between(worker->last_reply, now);
  }
  if (worker->contact_lost_at != steady_time()) {
    text += " broken_ms=" + milliseconds_between(worker->contact_lost_at, now);
  }
  add_worker_event(pool, worker_event_kind::removed, id, std::move(text));
}

std::unordered_set<std::string> workers_to_trace(const pool_state& pool) {
  std::unordered_set<std::string> result;
  for (const std::pair<const std::string, worker>& each : pool.workers) {
    const worker& worker = each.second;
    bool may_have_left = !worker.listed || worker.entry.draining;
    bool has_unverified_runs =
        std::any_of(worker.placements.begin(), worker.placements.end(),
                    [](const placement& placed) {
                      return placed.phase == phase::unverified;
                    });
    if (may_have_left && has_unverified_runs) result.insert(each.first);
  }
  return result;
}

bool observe_departure(pool_state* pool, const departure& departure,
                       steady_time now) {
  worker* worker = find_worker(pool, departure.worker);
  if (worker == nullptr || worker->listed) return false;
  if (worker->withdrawn_at != steady_time()) return false;
  if (worker->entry.incarnation_ms != departure.incarnation_ms) return false;
  worker->entry.address = departure.address;
  worker->entry.draining = true;
  worker->withdrawn_at = now;
  ++pool->counters.traced_departures;
  add_worker_event(pool, worker_event_kind::removed, departure.worker,
                   "incarnation=" + std::to_string(departure.incarnation_ms) +
                       " draining=1 withdrawn=1 source=history runs=" +
                       std::to_string(worker->placements.size()));
  return true;
}

std::uint64_t fencing_token(const pool_state& pool, const std::string& worker) {
  std::unordered_map<std::string, std::uint64_t>::const_iterator found =
      pool.raised_tokens.find(worker);
  std::uint64_t raised = found == pool.raised_tokens.end() ? 0 : found->second;
  return pool.epoch * kTokensPerEpoch + std::min(raised, kTokensPerEpoch - 1);
}

void observe_connection_lost(pool_state* pool, const std::string& id) {
  worker* worker = find_worker(pool, id);
  if (worker == nullptr) return;
  // Polls before the first reply to a token carry neither lease nor end number,
  // so without a start nothing harmful has carried the current one.
  if (!worker->knows_token && !worker->token_in_start) return;
  raise_token(pool, worker);
}

void observe_contact_lost(pool_state* pool, const std::string& id,
                          steady_time now) {
  worker* worker = find_worker(pool, id);
  if (worker == nullptr || worker->contact_lost_at != steady_time()) return;
  worker->contact_lost_at = now;
}

bool may_get_lease(const pool_state& pool, const worker& worker,
                   steady_time now) {
  return worker.fenced && !pool.releasing && !is_isolated(pool, now) &&
         is_responsive(worker, now) && !awaits_lease_deletion(pool, worker);
}

worker_time grant_lease(pool_state* pool, const std::string& id,
                        steady_time now) {
  worker* worker = find_worker(pool, id);
  if (worker == nullptr || !may_get_lease(*pool, *worker, now)) {
    return worker_time(0);
  }
  milliseconds since_read =
      std::chrono::duration_cast<milliseconds>(now - worker->clock_read_at);
  worker_time until =
      worker->clock + since_read + pool->limits.lease - kLeaseMargin;
  extend_lease(worker,
               worker->clock_read_at + with_clock_drift(until - worker->clock),
               true);
  worker->last_lease_sent = now;
  return until;
}

void observe_worker_report(pool_state* pool, const std::string& id,
                           const worker_report& report, std::uint64_t token,
                           steady_time sent, steady_time now, unix_time wall) {
  worker* worker = find_worker(pool, id);
  if (worker == nullptr) return;
  if (report.incarnation_ms < worker->entry.incarnation_ms) return;
  delete_recorded_lease(pool, worker);
  if (report.incarnation_ms > worker->entry.incarnation_ms) {
    begin_incarnation(pool, worker, report.incarnation_ms, "report",
                      worker->entry.draining, now);
  }
  if (token == fencing_token(*pool, id)) {
    worker->knows_token = true;
    if (!worker->fenced) {
      worker->fenced = true;
      // A late order may have renewed the lease until this reply, and none can
      // from now on.
      worker->lease_end = now + with_clock_drift(pool->limits.lease);
      worker->lease_granted = false;
    }
  }
  // It hasn't left: a worker removes its entry when it has exited.
  if (sent >= worker->withdrawn_at) worker->withdrawn_at = {};
  worker->replied_at = worker->entry.address;
  worker->last_reply = now;
  worker->contact_lost_at = {};
  worker->clock = report.clock;
  worker->clock_read_at = now;
  worker->has_all_ends = report.has_all_ends;
  for (const reported_end& end : report.ended) {
    if (end.number <= worker->last_end) continue;
    worker->last_end = end.number;
    apply_end(pool, worker, end, now, wall);
  }
  drop_unreported(pool, worker, report, sent);
  for (const reported_run& row : report.running) {
    apply_running(pool, worker, row, now);
  }
}

void observe_poll_fenced(pool_state* pool, const std::string& id,
                         std::uint64_t token) {
  // The owner's own higher token may have overtaken the poll.
  if (token == fencing_token(*pool, id)) pool->superseded = true;
}

bool observe_worker_replaced(pool_state* pool, const std::string& id,
                             std::int64_t incarnation_ms,
                             const std::string& address, steady_time now) {
  worker* worker = find_worker(pool, id);
  if (worker == nullptr) return true;
  // Runs of a later incarnation are not affected.
  if (worker->entry.incarnation_ms != incarnation_ms) return false;
  if (worker->entry.address != address) return false;
  // No starts and no leases until it replies. It stays listed, as each new
  // listing would put off the time when it counts as unresponsive.
  worker->fenced = false;
  bool had_address =
      worker->replied_at.empty() || worker->replied_at == address;
  if (!had_address) return true;
  worker->listed = false;
  record_crash(pool, worker, "address_reused", false, worker->entry.draining,
               now);
  drop_all(pool, worker, "address_reused");
  return true;
}

void observe_start(pool_state* pool, const start_order& order,
                   start_outcome outcome, steady_time now) {
  worker* worker = find_worker(pool, order.worker);
  if (worker == nullptr) return;
  placement* placed = find_placement(worker, order.task, order.run);
  if (placed == nullptr || placed->phase != phase::sent) return;
  bool sent_once = placed->starts_sent == 1;
  switch (outcome) {
    case start_outcome::running:
      mark_started(pool, order.task.job);
      // Another copy of the start may still reach the current incarnation.
      if (order.incarnation_ms != worker->entry.incarnation_ms) return;
      placed->phase = phase::running;
      placed->phase_since = now;
      // An incarnation that isn't known yet has a whole lease from the start.
      extend_lease(worker, now + with_clock_drift(pool->limits.lease),
                   worker->lease_granted);
      return;
    case start_outcome::fenced:
      if (order.fencing_token == fencing_token(*pool, order.worker)) {
        pool->superseded = true;
        return;
      }
      break;
    case start_outcome::other_incarnation:
      // Not begun, so it isn't lost with the other runs.
      if (sent_once) {
        drop_placement(pool, worker, order.task, order.run);
        placed = nullptr;
      }
      if (worker->entry.incarnation_ms == order.incarnation_ms) {
        observe_worker_replaced(pool, order.worker, order.incarnation_ms,
                                order.address, now);
        placed = find_placement(worker, order.task, order.run);
      }
      if (placed == nullptr) return;
      break;
    case start_outcome::unknown:
      // decide() repeats the start or sends a stop.
      placed->phase_since = now;
      return;
    case start_outcome::unhealthy:
      worker->avoid_until = now + kUnhealthyAvoidTime;
      break;
    case start_outcome::bad_ticket:
    case start_outcome::lease_expired:
    case start_outcome::no_capacity:
    case start_outcome::refused:
    case start_outcome::ended:
      break;
  }
  ++pool->counters.refused_starts;
  if (outcome == start_outcome::bad_ticket) {
    task_ref ref = find_task(pool, order.task);
    step_state* step = ref.step;
    if (step != nullptr) step->tickets.erase(order.worker);
  }
  // If the start was sent more than once, another copy may still be applied,
  // and `ended` means that one was. Only a confirmed stop makes the outcome
  // known.
  if (sent_once && outcome != start_outcome::ended) {
    drop_placement(pool, worker, order.task, order.run);
  } else {
    placed->stop_wanted = true;
  }
}

void observe_stop(pool_state* pool, const stop_order& order, bool confirmed,
                  steady_time now) {
  worker* worker = find_worker(pool, order.worker);
  if (worker == nullptr || !confirmed) return;
  // An earlier incarnation keeps no start away from the current one.
  if (order.incarnation_ms != worker->entry.incarnation_ms) return;
  placement* placed = find_placement(worker, order.task, order.run);
  if (placed == nullptr) return;
  placed->stop_confirmed = true;
  placed->stop_confirmed_at = now;
}

}  // namespace ebonygrade::pool
