#include "poold/claim_delay.h"

#include <algorithm>

namespace ebonygrade::poold {

namespace {

// Every start and every reply to a caller waits for an append by the owner, so
// daemons near the store should claim first. The delay is this multiple of the
// round trip to the store, with a limit that keeps takeovers short.
constexpr int kRoundTripFactor = 10;
constexpr milliseconds kMaxRoundTripDelay{300};
// Daemons with a small CPU share claim last: the delay lets the others lose two
// claims to a growing journal and still be first.
constexpr milliseconds kLowCpuDelay{1000};
// Slow daemons claim after those with a small CPU share: those are slow for the
// largest pools only.
constexpr milliseconds kSlowDelay{1500};

}  // namespace

milliseconds claim_delay(std::optional<milliseconds> min_round_trip,
                         double cpu_share, bool slow) {
  milliseconds delay =
      std::min(min_round_trip.value_or(milliseconds(0)) * kRoundTripFactor,
               kMaxRoundTripDelay);
  if (cpu_share < kMinOwnerCpuShare) delay += kLowCpuDelay;
  if (slow) delay += kSlowDelay;
  return delay;
}

}  // namespace ebonygrade::poold
