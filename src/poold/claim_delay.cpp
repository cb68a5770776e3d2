#include "poold/claim_delay.h"

#include <algorithm>

namespace ebonygrade::poold {

namespace {

// The owner's records make every start and every answer wait for the store, so
// daemons near it claim first, by this multiple of the time of its answer, up
// to a limit that still leaves a takeover short.
constexpr int kDistanceFactor = 10;
constexpr milliseconds kMaxDistanceDelay{300};
// Deciding for 350 workers takes 0.15 of a core. Daemons on smaller shares
// claim last: others lose two claims to a growing journal in this time and
// still come first.
constexpr double kEnoughProcessor = 0.2;
constexpr milliseconds kSmallDaemonDelay{1000};

}  // namespace

milliseconds claim_delay(std::optional<milliseconds> distance,
                         double cpu_share) {
  milliseconds delay = std::min(
      distance.value_or(milliseconds(0)) * kDistanceFactor, kMaxDistanceDelay);
  if (cpu_share < kEnoughProcessor) delay += kSmallDaemonDelay;
  return delay;
}

}  // namespace ebonygrade::poold
