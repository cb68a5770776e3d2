// How often the owner runs scheduling rounds.
#pragma once

#include <chrono>

#include "clock/clock.h"

namespace ebonygrade::poold {

// A round follows at the latest after this long, unless it takes longer than
// kMinIntervalFactor allows.
inline constexpr clock::milliseconds kMaxRoundInterval{100};
// Rounds take a third of the time at most, however long they are: the rest is
// for reads of the store, reports of workers and callers. An owner that decides
// without a pause decides on old reads.
inline constexpr int kMinIntervalFactor = 3;

// Time from the begin of a round that took `taken` to the next one.
std::chrono::microseconds round_interval(std::chrono::microseconds taken);

}  // namespace ebonygrade::poold
