// Lets a test program appear to run on a VM that was suspended: replaces the C
// library's clock_gettime for the whole program. For tests only.
#pragma once

#include <chrono>

namespace ebonygrade::clock {

// CLOCK_BOOTTIME and CLOCK_REALTIME go ahead by `time`, CLOCK_MONOTONIC
// doesn't. Safe to call from any thread.
void suspend_vm(std::chrono::nanoseconds time);

}  // namespace ebonygrade::clock
