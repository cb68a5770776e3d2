#include "poold/machine_pace.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace ebonygrade::poold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr steady_time kNow{std::chrono::hours(1)};

// Guards against a handover because of single interrupts.
TEST_CASE("the slowdown is the median time relative to the fastest") {
  machine_pace pace;
  CHECK(slowdown_of(pace, 1, kNow) == 0);
  for (int i = 0; i < 5; ++i) observe_computation(&pace, microseconds(30));
  for (int i = 0; i < 2; ++i) observe_computation(&pace, microseconds(900));
  CHECK(slowdown_of(pace, 1, kNow) == 1);
  observe_computation(&pace, microseconds(210));
  CHECK(slowdown_of(pace, 1, kNow) == Approx(7));
}

// Guards against a slow owner that counts as fast: a machine that gives the
// daemon 0.07 of a core in slices interrupts few computations of 30
// microseconds, and rounds of 2 ms took 28.
TEST_CASE("rounds that get little processor time show a slow machine") {
  machine_pace pace;
  observe_computation(&pace, microseconds(30));
  steady_time now = kNow;
  work_time total;
  auto pass = [&](int ticks, milliseconds elapsed) {
    for (int i = 0; i < ticks; ++i) {
      total.elapsed += elapsed;
      total.processor += milliseconds(2);
      observe_rounds(&pace, total, now += milliseconds(100));
    }
    return slowdown_of(pace, 0.5, now);
  };
  CHECK(pass(5, milliseconds(2)) == 1);
  // A full load of half a core takes twice its processor time.
  CHECK(pass(5, milliseconds(4)) == 1);
  CHECK(pass(5, milliseconds(28)) == Approx(7));
  SECTION("rounds of a former ownership don't count") {
    observe_rounds(&pace, {}, now);
    CHECK(slowdown_of(pace, 0.5, now) == 1);
    total = {};
    CHECK(pass(1, milliseconds(28)) == 1);
  }
  SECTION("the rounds are fast again") { CHECK(pass(3, milliseconds(2)) == 1); }
}

}  // namespace

}  // namespace ebonygrade::poold
