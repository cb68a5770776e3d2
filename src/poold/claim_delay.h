// Delay of a daemon's claim. Daemons that are better placed to own the pool
// claim earlier.
#pragma once

#include <optional>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;

// `min_round_trip` is the shortest round trip to the store, if measured;
// `cpu_share` is the fraction of a core that the VM gives to the daemon.
milliseconds claim_delay(std::optional<milliseconds> min_round_trip,
                         double cpu_share);

}  // namespace ebonygrade::poold
