#include "poold/claim_delay.h"

#include <algorithm>

namespace ebonygrade::poold {

namespace {

// The owner's records make every start and every answer wait for the store, so
// daemons near it claim first, by this multiple of the time of its answer, up
// to a limit that still leaves a takeover short.
constexpr int kRoundTripFactor = 10;
constexpr milliseconds kMaxRoundTripDelay{300};
// Deciding for 350 workers takes 0.15 of a core. Daemons on smaller shares
// claim last: others lose two claims to a growing journal in this time and
// still come first.
constexpr double kMinPreferredCpuShare = 0.2;
constexpr milliseconds kLowCpuDelay{1000};

}  // namespace

milliseconds claim_delay(std::optional<milliseconds> min_round_trip,
                         double cpu_share) {
  milliseconds delay =
      std::min(min_round_trip.value_or(milliseconds(0)) * kRoundTripFactor,
               kMaxRoundTripDelay);
  if (cpu_share < kMinPreferredCpuShare) delay += kLowCpuDelay;
  return delay;
}

}  // namespace ebonygrade::poold
