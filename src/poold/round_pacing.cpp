#include "poold/round_pacing.h"

#include <algorithm>

namespace ebonygrade::poold {

namespace {

using std::chrono::microseconds;

constexpr microseconds kMinRoundInterval{10000};
// For rounds that are short enough: reports, orders and callers get most of the
// CPU.
constexpr int kIntervalFactor = 8;

}  // namespace

microseconds round_interval(microseconds taken) {
  microseconds preferred = std::clamp<microseconds>(
      taken * kIntervalFactor, kMinRoundInterval, kMaxRoundInterval);
  return std::max(preferred, taken * kMinIntervalFactor);
}

}  // namespace ebonygrade::poold
