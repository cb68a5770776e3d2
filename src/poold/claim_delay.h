// How long a daemon waits with a claim, so that daemons that would do better as
// owner claim first.
#pragma once

#include <optional>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;

// `distance` is the time that the store's answer takes, if it is known;
// `cpu_share` the part of a core that the VM gives the daemon.
milliseconds claim_delay(std::optional<milliseconds> min_round_trip,
                         double cpu_share);

}  // namespace ebonygrade::poold
