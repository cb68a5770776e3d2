// Functions shared by the sources of src/membership; not for other folders.
#pragma once

#include <vector>

#include "membership/membership.h"

namespace ebonygrade::membership {

// Schedules the rumour about `daemon` for the next rounds of heartbeats, and
// an early heartbeat.
void queue_rumour(state& state, daemon_state& daemon);

// Records a sign of life of `daemon`, from a heartbeat or a rumour, that is
// later than the latest one known.
void record_alive(state& state, daemon_state& daemon, std::uint64_t incarnation,
                  std::uint64_t sequence);

// Applies what a neighbour reports about another daemon.
void apply_rumour(state& state, const wire::rumour& rumour);

// Returns the rumours for the next round of heartbeats and counts them as sent.
std::vector<wire::rumour> take_rumours(state& state);

// Recomputes the neighbours of this daemon.
void refresh_neighbours(state& state);

// Free capacity of the whole region, extrapolated from the daemons whose
// capacity is known.
wire::room_summary estimate_region_capacity(const state& state);

}  // namespace ebonygrade::membership
