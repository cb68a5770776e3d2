// What the journal tells a later owner of workers' leases. Without it, the
// owner assumes for each silent worker with runs that its predecessor granted
// the longest lease just before it was replaced, and anew at each change of
// owner.
//
// - A release has the leases of all workers with runs.
// - While a worker with runs doesn't reply, a record tells the pool time at
//   which its lease ends. The worker gets no lease until the record has been
//   deleted, so the record holds for any later owner. The pool time is never
//   ahead of the time that has passed, so no lease is taken as passed too soon.
//
// Nothing is told of workers that may still get a start of this owner: it may
// be carried out late by their next incarnation, with a lease of its own. Of
// runs of an earlier owner, a record tells what this owner itself waits for. A
// lease that is told isn't over before the owner has read the directory, which
// shows the next incarnation.
#pragma once

#include <cstddef>
#include <vector>

#include "pool/pool.h"

namespace ebonygrade::pool {

// Records of leases in a release, and in one batch; more wait, or are left out.
inline constexpr std::size_t kMaxReleasedLeases = 2000;
inline constexpr std::size_t kMaxLeasesInBatch = 500;

// To be called at the takeover, after continue_pool_time() and before the first
// job is added.
void restore_leases(pool_state* pool, const jobs::table& table);

// The leases of the workers with runs, for the record of a release, the silent
// workers first. The owner grants none from now on.
std::vector<wire::worker_lease> release_leases(pool_state* pool,
                                               steady_time now);

// The parts that the sources of the scheduler call.

// How long a lease that an earlier owner granted to the incarnation may last.
milliseconds restore_lease(pool_state* pool, worker* worker,
                           std::int64_t incarnation_ms, steady_time now);
// All jobs of the journal have been added.
void end_restoring_leases(pool_state* pool);
// Whether the worker's lease may be taken as over, if it was told, before the
// owner has read the directory.
bool may_count_lease(const pool_state& pool, const worker& worker,
                     steady_time now);
// Records the end of the worker's lease if it is silent, and deletes the record
// if it has no runs any more.
void update_recorded_lease(pool_state* pool, worker* worker, steady_time now);
// The worker has replied, or has begun another incarnation.
void delete_recorded_lease(pool_state* pool, worker* worker);
// Whether a record of its lease may be in the journal.
bool awaits_lease_deletion(const pool_state& pool, const worker& worker);
void append_leases(pool_state* pool, journal_batch* batch, steady_time now);
void observe_leases_deleted(pool_state* pool, const journal_batch& batch);

}  // namespace ebonygrade::pool
