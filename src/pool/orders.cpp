// Outstanding orders: starts that are sent after their journal record, retries
// of starts without a reply, stops, and the removal of runs on lost workers.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "pool/pool_pvt.h"
#include "pool/recorded_leases.h"

namespace ebonygrade::pool {

namespace {

// A start without a reply is sent to the same worker at most this often; then
// the run is stopped. Starts and stops are idempotent.
constexpr std::uint32_t kMaxStartSends = 3;
constexpr milliseconds kStopRetryInterval{500};
// A confirmed stop is repeated if the run is still reported after this time.
constexpr milliseconds kConfirmedStopTimeout{2000};
constexpr milliseconds kAvoidAfterHang{5000};
// In which a worker that lives has replied on a new connection: two attempts.
constexpr milliseconds kReconnectTime{500};

start_order make_start(pool_state* pool, worker* worker, placement* placed,
                       steady_time now) {
  start_order order;
  order.worker = worker->entry.id;
  order.address = worker->entry.address;
  order.incarnation_ms = worker->entry.incarnation_ms;
  order.fencing_token = fencing_token(*pool, order.worker);
  order.task = placed->task;
  order.run = placed->run;
  task_ref ref = find_task(pool, placed->task);
  job* job = ref.job;
  step_state* step = ref.step;
  if (step == nullptr || job->outcome != wire::OPEN) return order;
  order.until = grant_lease(pool, order.worker, now);
  order.job = job->submission;
  order.checkpoint = step->tasks[placed->task.index].checkpoint;
  placed->resumed = !order.checkpoint.empty();
  order.ticket = placed->ticket;
  worker->token_in_start = true;
  ++placed->starts_sent;
  ++pool->counters.starts;
  return order;
}

// Its capacity has shrunk since the runs were placed.
bool is_over_capacity(const worker& worker) {
  return !fits(worker.used, worker.entry.capacity);
}

void retry_start(pool_state* pool, worker* worker, placement* placed,
                 decisions* out, steady_time now) {
  bool responsive = is_responsive(*worker, now);
  // The next reply tells whether another incarnation would get the copy.
  if (responsive && !worker->knows_token) return;
  if (is_outdated(*pool, now)) return;
  bool may_repeat = placed->starts_sent < kMaxStartSends &&
                    !placed->stop_wanted && !worker->entry.draining &&
                    responsive && !is_over_capacity(*worker);
  if (!may_repeat) {
    placed->stop_wanted = true;
    return;
  }
  start_order order = make_start(pool, worker, placed, now);
  if (order.job == nullptr || order.until == worker_time(0)) {
    placed->stop_wanted = true;
    return;
  }
  placed->phase_since = steady_time::max();  // Until the outcome is known.
  out->repeated_starts.push_back(std::move(order));
}

void send_stop_if_due(const pool_state& pool, worker* worker, placement* placed,
                      decisions* out, steady_time now) {
  if (placed->phase == phase::recording) return;
  bool unheeded = placed->stop_confirmed &&
                  now - placed->stop_confirmed_at > kConfirmedStopTimeout;
  if (placed->stop_confirmed && !unheeded) return;
  bool waits = placed->stop_sent_at != steady_time() &&
               now - placed->stop_sent_at < kStopRetryInterval;
  if (waits) return;
  placed->stop_sent_at = now;
  out->stops.push_back({worker->entry.id, worker->entry.incarnation_ms,
                        fencing_token(pool, worker->entry.id), placed->task,
                        placed->run});
}

// Reason of a run that is freed without its worker's word, and the evidence.
std::string lease_passed(const worker& worker, steady_time now) {
  std::string text = "lease_passed";
  // Without a reply, from when its entry was read; a worker that is known from
  // the journal alone has neither.
  if (worker.last_reply != steady_time()) {
    text += " silent_ms=" + milliseconds_between(worker.last_reply, now);
  }
  return text + " replied=" + (worker.replied_at.empty() ? "0" : "1") +
         " lease=" + (worker.lease_granted ? "granted" : "assumed") +
         " lease_ended_ms=" + milliseconds_between(worker.lease_end, now);
}

// Whether the worker has exited with what it ran. One whose connection was
// reset for another reason has replied on a new one by then.
bool has_left(const worker& worker, steady_time now) {
  return worker.withdrawn_at != steady_time() &&
         worker.contact_lost_at != steady_time() &&
         now - worker.contact_lost_at >= kReconnectTime;
}

// A start without a reply may be carried out late, by a worker that returns
// under the same id, so its placement is kept.
void drop_departed_runs(pool_state* pool, worker* worker, steady_time now) {
  std::vector<std::pair<task_key, std::uint32_t>> over;
  for (const placement& each : worker->placements) {
    if (!start_may_arrive(each)) over.emplace_back(each.task, each.run);
  }
  std::string reason = "reason=departed broken_ms=" +
                       milliseconds_between(worker->contact_lost_at, now);
  pool->counters.lost_runs += over.size();
  pool->counters.departed_runs += over.size();
  for (const std::pair<task_key, std::uint32_t>& each : over) {
    add_job_event(pool, job_event_kind::run_lost, each.first.job,
                  worker->entry.id,
                  describe(each.first, each.second) + " " + reason);
    drop_placement(pool, worker, each.first, each.second);
  }
}

void process_worker_orders(pool_state* pool, worker* worker, decisions* out,
                           steady_time now) {
  if (has_left(*worker, now)) drop_departed_runs(pool, worker, now);
  bool unresponsive =
      !is_responsive(*worker, now) && may_count_lease(*pool, *worker, now);
  if (unresponsive && now > worker->lease_end && !worker->placements.empty()) {
    pool->counters.lease_passed_runs += worker->placements.size();
    if (!worker->listed) record_vanished(pool, *worker, now);
    drop_all(pool, worker, lease_passed(*worker, now));
    return;
  }
  for (placement& placed : worker->placements) {
    if (placed.phase == phase::sent &&
        placed.phase_since != steady_time::max() && placed.starts_sent > 0 &&
        !placed.stop_wanted && placed.phase_since + milliseconds(1) < now) {
      retry_start(pool, worker, &placed, out, now);
    }
    if (worker->has_all_ends) {
      update_speed_if_overdue(pool, worker, &placed, now);
    }
    if (is_hung(pool, *worker, placed, now)) {
      worker->avoid_until = now + kAvoidAfterHang;
      stop_hung_run(pool, *worker, &placed);
    }
    if (placed.stop_wanted) send_stop_if_due(*pool, worker, &placed, out, now);
  }
}

void remove_departed_workers(pool_state* pool, decisions* out,
                             steady_time now) {
  for (std::unordered_map<std::string, worker>::iterator each =
           pool->workers.begin();
       each != pool->workers.end();) {
    worker& worker = each->second;
    bool removable = !worker.listed && worker.placements.empty() &&
                     !is_responsive(worker, now);
    if (removable) {
      out->departed.push_back(each->first);
      // It may return and get a late order from before.
      raise_token(pool, &worker);
    }
    each = removable ? pool->workers.erase(each) : std::next(each);
  }
}

// Null if the placement is no longer that of a start that wasn't sent.
placement* find_recorded_start(worker* worker, const placement_key& key) {
  if (worker == nullptr) return nullptr;
  placement* placed = find_placement(worker, key.task, key.run);
  bool unsent = placed != nullptr && placed->phase == phase::recording;
  return unsent ? placed : nullptr;
}

// Drops the starts that can't be sent any more. A member of a gang that is
// dropped stops the others, so that none of them is sent.
void drop_unwanted_starts(pool_state* pool,
                          const std::vector<placement_key>& starts,
                          steady_time now) {
  for (const placement_key& key : starts) {
    worker* worker = find_worker(pool, key.worker);
    placement* placed = find_recorded_start(worker, key);
    if (placed == nullptr) continue;
    bool restarted = worker->entry.incarnation_ms != key.incarnation_ms;
    bool wanted = !placed->stop_wanted && !restarted &&
                  !worker->entry.draining && !is_over_capacity(*worker) &&
                  !is_over_quota(*pool, *placed) && !is_outdated(*pool, now) &&
                  may_get_lease(*pool, *worker, now);
    if (!wanted) drop_placement(pool, worker, key.task, key.run);
  }
}

}  // namespace

void process_outstanding_orders(pool_state* pool, decisions* out,
                                steady_time now) {
  end_restoring_leases(pool);
  for (std::pair<const std::string, worker>& each : pool->workers) {
    process_worker_orders(pool, &each.second, out, now);
    update_recorded_lease(pool, &each.second, now);
  }
  remove_departed_workers(pool, out, now);
}

std::vector<start_order> observe_batch_written(pool_state* pool,
                                               const journal_batch& batch,
                                               steady_time now) {
  std::vector<start_order> orders;
  for (const std::string& id : batch.ended_jobs) {
    std::unordered_map<std::string, milliseconds>::iterator ended =
        pool->ended_jobs.find(id);
    if (ended != pool->ended_jobs.end()) ended->second = pool_time(*pool, now);
  }
  observe_leases_deleted(pool, batch);
  for (const applied_end& end : batch.ends_to_acknowledge) {
    worker* worker = find_worker(pool, end.worker);
    if (worker == nullptr) continue;
    if (worker->entry.incarnation_ms != end.incarnation_ms) continue;
    worker->acked_end = std::max(worker->acked_end, end.number);
  }
  drop_unwanted_starts(pool, batch.starts, now);
  for (const placement_key& key : batch.starts) {
    worker* worker = find_worker(pool, key.worker);
    placement* placed = find_recorded_start(worker, key);
    if (placed == nullptr) continue;
    start_order order;
    if (!placed->stop_wanted) order = make_start(pool, worker, placed, now);
    if (order.job == nullptr || order.until == worker_time(0)) {
      // The start was never sent, so no stop is needed.
      drop_placement(pool, worker, key.task, key.run);
      continue;
    }
    placed->phase = phase::sent;
    placed->phase_since = steady_time::max();
    orders.push_back(std::move(order));
  }
  return orders;
}

}  // namespace ebonygrade::pool
