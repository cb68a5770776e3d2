#include "poold/clock_watch.h"

#include <algorithm>
#include <chrono>

namespace ebonygrade::poold {

namespace {

milliseconds rounded_down(std::chrono::nanoseconds duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

}  // namespace

clock_gap compare(const clock_reading& earlier, const clock_reading& later,
                  milliseconds interval) {
  std::chrono::nanoseconds elapsed = later.elapsed - earlier.elapsed;
  clock_gap gap;
  milliseconds late = rounded_down(elapsed - interval);
  if (late >= kMinReportedPause) {
    std::chrono::nanoseconds monotonic = later.monotonic - earlier.monotonic;
    gap.paused = late;
    // The two clocks are read one after the other.
    gap.suspended = std::max(rounded_down(elapsed - monotonic), milliseconds());
  }
  milliseconds step = rounded_down(later.wall - earlier.wall - elapsed);
  if (std::chrono::abs(step) >= kMinReportedStep) gap.step = step;
  return gap;
}

clock_reading read_clocks(const clock::clock& clock) {
  // std::chrono::steady_clock is CLOCK_MONOTONIC.
  return {clock.now(), std::chrono::steady_clock::now(), clock.wall_now()};
}

}  // namespace ebonygrade::poold
