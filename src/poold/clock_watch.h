// Tells from two readings of the machine's clocks, one a tick, whether the
// daemon stood still between them, whether its machine was suspended then, and
// whether the time of day was set. Reports only; nothing is decided by it.
#pragma once

#include <chrono>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// A shorter delay of a tick is a slow round or a busy VM, not a pause.
inline constexpr milliseconds kMinReportedPause{1000};
// Smaller changes come from a time server that corrects the clock gradually.
inline constexpr milliseconds kMinReportedStep{500};

// All clocks at one moment.
struct clock_reading {
  steady_time elapsed;  // Counts the time while the machine is suspended.
  std::chrono::steady_clock::time_point monotonic;  // Leaves that time out.
  clock::wall_time wall;
};

struct clock_gap {
  milliseconds paused{0};     // Beyond the interval of the tick; 0 if short.
  milliseconds suspended{0};  // Of the pause; by `monotonic`.
  milliseconds step{0};       // Of the time of day, back if negative.
};

// Compares two readings of which the later one was due after `interval`.
// Changes below the limits above are 0, so several small steps go unseen.
clock_gap compare(const clock_reading& earlier, const clock_reading& later,
                  milliseconds interval);

clock_reading read_clocks(const clock::clock& clock);

}  // namespace ebonygrade::poold
