#include "pool/recorded_leases.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

milliseconds lease_left(const worker& worker, steady_time now) {
  return std::max(milliseconds(0),
                  std::chrono::ceil<milliseconds>(worker.lease_end - now));
}

// Whether no lease is granted to the worker any more unless it replies.
bool is_silent(const pool_state& pool, const worker& worker, steady_time now) {
  return is_observed(pool, worker) && !is_responsive(worker, now);
}

bool may_get_start(const worker& worker) {
  return std::any_of(worker.placements.begin(), worker.placements.end(),
                     [](const placement& each) {
                       return each.phase == phase::recording ||
                              start_may_arrive(each);
                     });
}

}  // namespace

void restore_leases(pool_state* pool, const jobs::table& table) {
  for (const wire::worker_lease& each : table.released_leases) {
    pool->released_leases[each.worker()] = each;
  }
  for (const std::pair<const std::string, jobs::known_silent_worker>& each :
       table.silent_workers) {
    pool->silent_workers[each.first] = each.second.record;
  }
}

std::vector<wire::worker_lease> release_leases(pool_state* pool,
                                               steady_time now) {
  pool->releasing = true;
  std::vector<const worker*> with_runs;
  for (const std::pair<const std::string, worker>& each : pool->workers) {
    if (each.second.placements.empty()) continue;
    if (may_get_start(each.second)) continue;
    with_runs.push_back(&each.second);
  }
  std::sort(with_runs.begin(), with_runs.end(),
            [](const worker* a, const worker* b) {
              if (a->last_reply != b->last_reply) {
                return a->last_reply < b->last_reply;
              }
              return a->entry.id < b->entry.id;
            });
  if (with_runs.size() > kMaxReleasedLeases) {
    with_runs.resize(kMaxReleasedLeases);
  }
  std::vector<wire::worker_lease> leases;
  for (const worker* each : with_runs) {
    wire::worker_lease lease;
    lease.set_worker(each->entry.id);
    lease.set_incarnation_ms(each->entry.incarnation_ms);
    lease.set_remaining_ms(lease_left(*each, now).count());
    leases.push_back(std::move(lease));
  }
  return leases;
}

milliseconds restore_lease(pool_state* pool, worker* worker,
                           std::int64_t incarnation_ms, steady_time now) {
  milliseconds rest = max_previous_owner_lease(pool->limits);
  std::unordered_map<std::string, wire::worker_lease>::const_iterator released =
      pool->released_leases.find(worker->entry.id);
  if (released != pool->released_leases.end() &&
      released->second.incarnation_ms() == incarnation_ms) {
    worker->lease_told = true;
    rest = std::min(rest, milliseconds(released->second.remaining_ms()));
  }
  std::unordered_map<std::string, wire::silent_worker>::const_iterator silent =
      pool->silent_workers.find(worker->entry.id);
  if (silent != pool->silent_workers.end() &&
      silent->second.incarnation_ms() == incarnation_ms) {
    worker->lease_record = lease_record::kept;
    worker->lease_told = true;
    milliseconds left = milliseconds(silent->second.lease_ends_pool_ms()) -
                        pool_time(*pool, now);
    rest = std::min(rest, std::max(milliseconds(0), left));
  }
  return rest;
}

void end_restoring_leases(pool_state* pool) {
  for (const std::pair<const std::string, wire::silent_worker>& each :
       pool->silent_workers) {
    const worker* known = find_worker(pool, each.first);
    if (known == nullptr || known->lease_record == lease_record::none) {
      pool->leases_to_delete.insert(each.first);
    }
  }
  pool->silent_workers.clear();
  pool->released_leases.clear();
}

bool may_count_lease(const pool_state& pool, const worker& worker,
                     steady_time now) {
  return !worker.lease_told || is_observed(pool, worker) ||
         now - pool.time.base_at > max_previous_owner_lease(pool.limits);
}

void update_recorded_lease(pool_state* pool, worker* worker, steady_time now) {
  if (worker->placements.empty()) return delete_recorded_lease(pool, worker);
  if (worker->lease_record != lease_record::none ||
      !is_silent(*pool, *worker, now))
    return;
  if (may_get_start(*worker)) return;
  worker->lease_record = lease_record::kept;
  pool->leases_to_record.insert(worker->entry.id);
}

void delete_recorded_lease(pool_state* pool, worker* worker) {
  if (worker->lease_record != lease_record::kept) return;
  worker->lease_record = lease_record::deleted;
  pool->leases_to_record.erase(worker->entry.id);
  pool->leases_to_delete.insert(worker->entry.id);
}

bool awaits_lease_deletion(const pool_state& pool, const worker& worker) {
  return worker.lease_record != lease_record::none ||
         pool.leases_to_delete.count(worker.entry.id) > 0;
}

void append_leases(pool_state* pool, journal_batch* batch, steady_time now) {
  milliseconds time = pool_time(*pool, now);
  std::size_t left = kMaxLeasesInBatch;
  while (left > 0 && !pool->leases_to_delete.empty()) {
    std::string id = std::move(
        pool->leases_to_delete.extract(pool->leases_to_delete.begin()).value());
    batch->records.push_back({jobs::silent_worker_key(id), {}, 0});
    batch->deleted_leases.push_back(std::move(id));
    --left;
  }
  while (left > 0 && !pool->leases_to_record.empty()) {
    std::string id = std::move(
        pool->leases_to_record.extract(pool->leases_to_record.begin()).value());
    const worker* silent = find_worker(pool, id);
    if (silent == nullptr) continue;
    wire::silent_worker record;
    record.set_incarnation_ms(silent->entry.incarnation_ms);
    record.set_lease_ends_pool_ms((time + lease_left(*silent, now)).count());
    batch->records.push_back(
        {jobs::silent_worker_key(id), record.SerializeAsString(), 0});
    --left;
  }
}

void observe_leases_deleted(pool_state* pool, const journal_batch& batch) {
  for (const std::string& id : batch.deleted_leases) {
    worker* known = find_worker(pool, id);
    if (known != nullptr && known->lease_record == lease_record::deleted) {
      known->lease_record = lease_record::none;
    }
  }
}

}  // namespace ebonygrade::pool
