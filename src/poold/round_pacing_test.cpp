#include "poold/round_pacing.h"

#include <catch2/catch.hpp>

namespace ebonygrade::poold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("short rounds leave most of the time for other work") {
  CHECK(round_interval(microseconds(100)) == milliseconds(10));
  CHECK(round_interval(milliseconds(5)) == milliseconds(40));
  CHECK(round_interval(milliseconds(20)) == milliseconds(100));
}

// Guards against old reads: rounds that took longer than the largest interval
// ran back to back, and the owner read the journal 10 s late.
TEST_CASE("long rounds leave two thirds of the time for other work") {
  for (int number : {50, 100, 150, 1000}) {
    milliseconds taken(number);
    CHECK(round_interval(taken) >= taken * 3);
  }
}

}  // namespace

}  // namespace ebonygrade::poold
