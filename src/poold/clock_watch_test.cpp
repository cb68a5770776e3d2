#include "poold/clock_watch.h"

#include <catch2/catch.hpp>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kInterval{100};

// What is seen if the clocks have advanced by this much.
clock_gap gap_of(milliseconds elapsed, milliseconds monotonic,
                 milliseconds wall) {
  clock_reading earlier{
      steady_time(std::chrono::hours(2)),
      std::chrono::steady_clock::time_point(std::chrono::hours(1)),
      clock::wall_time(std::chrono::hours(500'000))};
  return compare(earlier,
                 {earlier.elapsed + elapsed, earlier.monotonic + monotonic,
                  earlier.wall + wall},
                 kInterval);
}

}  // namespace

TEST_CASE("a tick in time is neither a pause nor a step") {
  clock_gap gap = gap_of(milliseconds(1099), milliseconds(1099),
                         milliseconds(1099) + milliseconds(499));
  CHECK(gap.paused == milliseconds(0));
  CHECK(gap.suspended == milliseconds(0));
  CHECK(gap.step == milliseconds(0));
}

TEST_CASE("a frozen daemon is told from a suspended machine") {
  clock_gap frozen =
      gap_of(milliseconds(8100), milliseconds(8100), milliseconds(8100));
  CHECK(frozen.paused == milliseconds(8000));
  CHECK(frozen.suspended == milliseconds(0));
  clock_gap suspended =
      gap_of(milliseconds(8100), milliseconds(600), milliseconds(8100));
  CHECK(suspended.paused == milliseconds(8000));
  CHECK(suspended.suspended == milliseconds(7500));
  CHECK(suspended.step == milliseconds(0));
}

TEST_CASE("a step of the time of day is no pause") {
  clock_gap ahead = gap_of(kInterval, kInterval, kInterval + milliseconds(500));
  CHECK(ahead.step == milliseconds(500));
  CHECK(ahead.paused == milliseconds(0));
  clock_gap back =
      gap_of(kInterval, kInterval, kInterval - std::chrono::minutes(10));
  CHECK(back.step == -std::chrono::minutes(10));
  CHECK(back.paused == milliseconds(0));
}

// Each clock is read through the right call.
TEST_CASE("the clocks of this machine agree over a moment") {
  clock::system_clock clock;
  clock_reading earlier = read_clocks(clock);
  clock_reading later = read_clocks(clock);
  CHECK(later.elapsed >= earlier.elapsed);
  CHECK(later.monotonic >= earlier.monotonic);
  CHECK(later.elapsed.time_since_epoch() > std::chrono::seconds(0));
}

}  // namespace ebonygrade::poold
