// Room that gangs keep while they wait, so that smaller steps don't use all
// capacity that becomes free, and what other steps may use of it.
//
// While most of the pool's CPU is in use, a reserved worker is for the gang
// alone: gangs start with the first room that comes free, and what they collect
// fills soon. Otherwise a later step may start on it (backfilling) if one of
// these holds:
// - it is expected to end before the gang has its room;
// - it fits beside the members that the gang will have on the worker;
// - its job has nothing running, reservations have kept such jobs waiting for
//   too long while most of the pool is unused, and the gang gives way.
//
// The gang starts all the same: the runs of the first kind don't put off the
// time until which others may follow, so once the runs that block the gang have
// ended, it waits for at most one such run on each worker, and gives way
// late. Each time that it gives way it holds twice as long before the next
// time, so in the end it holds its room for longer than other runs take.
#pragma once

#include <cstddef>
#include <vector>

#include "pool/round_pvt.h"

namespace ebonygrade::pool {

// Reserves workers for a gang that waits for capacity or for new tickets.
// Reserves nothing if runs that last keep the gang from its room.
void reserve_workers(scheduling_round* round, const candidate_step& candidate);
// The same on given workers.
void reserve_room(scheduling_round* round, const candidate_step& candidate,
                  const std::vector<worker*>& workers);

// The free resources of the worker that the step may use.
resources usable_resources(const scheduling_round& round,
                           const candidate_step& candidate,
                           const worker& worker);
// To be called after an attempt to place the step. `first`: index of the first
// start of the step in pool_state::unrecorded_starts.
void observe_beside_reservations(scheduling_round* round,
                                 const candidate_step& candidate,
                                 std::size_t first);
// To be called at the end of the round: decides whether the gangs give way.
void update_yield(scheduling_round* round);

}  // namespace ebonygrade::pool
