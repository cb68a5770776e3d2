// Functions shared by the sources of the membership slice; not for outside.
#pragma once

#include <vector>

#include "membership/membership.h"

namespace ebonygrade::membership {

// Marks the rumour about `daemon` to be told, and soon.
void queue_rumour(state& state, daemon_state& daemon);

// A sign of life of `daemon`, direct or told, later than the one known.
void record_alive(state& state, daemon_state& daemon, std::uint64_t incarnation,
                  std::uint64_t sequence);

// Takes in what a neighbour says of a daemon.
void apply_rumour(state& state, const wire::rumour& rumour);

// Rumours for the next round of heartbeats; counts them as told.
std::vector<wire::rumour> take_rumours(state& state);

// Chooses the neighbours anew.
void refresh_neighbours(state& state);

// Room of the whole region, estimated from the daemons known.
wire::room_summary estimate_region_capacity(const state& state);

}  // namespace ebonygrade::membership
