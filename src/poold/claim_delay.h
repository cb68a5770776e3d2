// Delay of a daemon's claim. Daemons that are better placed to own the pool
// claim earlier.
#pragma once

#include <optional>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;

// Scheduling rounds for 350 workers take 0.15 of a core. Daemons with a smaller
// CPU share own the pool only if there is no other.
inline constexpr double kMinOwnerCpuShare = 0.2;

// `min_round_trip` is the shortest round trip to the store, if measured;
// `cpu_share` is the fraction of a core that the VM gives to the daemon; `slow`
// tells whether its machine is slow at present (src/poold/handover.h).
milliseconds claim_delay(std::optional<milliseconds> min_round_trip,
                         double cpu_share, bool slow = false);

}  // namespace ebonygrade::poold
