#include "peer/silence.h"

#include <algorithm>

namespace ebonygrade::peer {

namespace {

// Replacements of links that went silent together are spread over this part
// of the limit.
constexpr double kJitter = 0.5;

}  // namespace

void heartbeat_sent(silence_state& state, std::uint64_t sequence,
                    steady_time now) {
  state.last_sequence = sequence;
  if (!state.since) state.since = now;
}

void reply_received(silence_state& state, std::uint64_t sequence,
                    steady_time now) {
  state.limit = milliseconds(0);
  if (sequence == state.last_sequence) {
    state.since.reset();
  } else {
    state.since = now;
  }
}

milliseconds silent_for(const silence_state& state, steady_time now) {
  if (!state.since) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - *state.since);
}

bool should_replace(const silence_state& state, const silence_options& options,
                    steady_time now) {
  if (!state.since) return false;
  return silent_for(state, now) >= std::max(options.limit, state.limit);
}

void replaced(silence_state& state, const silence_options& options,
              std::mt19937_64& random) {
  state.since.reset();
  milliseconds present = std::max(options.limit, state.limit);
  milliseconds doubled = std::min(2 * present, options.max_limit);
  std::uniform_real_distribution<double> spread(1.0 - kJitter, 1.0);
  double jittered = static_cast<double>(doubled.count()) * spread(random);
  state.limit = std::max(present, milliseconds(static_cast<int>(jittered)));
  state.limit = std::min(state.limit, options.max_limit);
}

}  // namespace ebonygrade::peer
