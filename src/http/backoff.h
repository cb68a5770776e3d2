// Delays between attempts at a failing peer: exponential backoff with an upper
// limit and random jitter, so that many callers don't retry at once.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "clock/clock.h"

namespace ebonygrade::http {

struct backoff {
  clock::milliseconds initial_delay{200};
  std::uint32_t max_doublings = 4;
  std::uint32_t failures = 0;  // Since the last success.
};

// Counts a failure and returns the delay before the next attempt: a random
// value between half and one and a half times the exponential delay.
inline clock::milliseconds next_delay(backoff& backoff, std::mt19937& random) {
  std::uint32_t doublings = std::min(backoff.failures, backoff.max_doublings);
  ++backoff.failures;
  std::int64_t delay = backoff.initial_delay.count() << doublings;
  std::uniform_int_distribution<std::int64_t> jitter(delay / 2,
                                                     delay + delay / 2);
  return clock::milliseconds(std::max<std::int64_t>(1, jitter(random)));
}

// The next delay is the initial one again.
inline void record_success(backoff& backoff) { backoff.failures = 0; }

}  // namespace ebonygrade::http
