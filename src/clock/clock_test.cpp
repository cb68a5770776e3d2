#include "clock/clock.h"

#include <catch2/catch.hpp>

#include "clock/test_suspension.h"

namespace ebonygrade::clock {

namespace {

// Guards against ages, leases and timeouts that leave out a suspension.
TEST_CASE("time during which the VM is suspended counts") {
  constexpr std::chrono::seconds kSuspension(8);
  system_clock clock;
  steady_time before = clock.now();
  suspend_vm(kSuspension);
  CHECK(clock.now() - before >= kSuspension);
}

}  // namespace

}  // namespace ebonygrade::clock
