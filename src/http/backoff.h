// Pauses between attempts at a peer that fails: doubled with each failure up
// to a limit, and spread at random so that many callers don't return at once.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "clock/clock.h"

namespace ebonygrade::http {

struct backoff {
  clock::milliseconds first{200};
  std::uint32_t max_doublings = 4;
  std::uint32_t failures = 0;  // Since the last success.
};

// The pause before the next attempt: half to one and a half times the
// doubled one.
inline clock::milliseconds next_pause(backoff& backoff, std::mt19937& random) {
  std::uint32_t doublings = std::min(backoff.failures, backoff.max_doublings);
  ++backoff.failures;
  std::int64_t pause = backoff.first.count() << doublings;
  std::uniform_int_distribution<std::int64_t> spread(pause / 2,
                                                     pause + pause / 2);
  return clock::milliseconds(std::max<std::int64_t>(1, spread(random)));
}

inline void succeeded(backoff& backoff) { backoff.failures = 0; }

}  // namespace ebonygrade::http
