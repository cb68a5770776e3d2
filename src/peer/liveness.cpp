#include "peer/liveness.h"

#include <algorithm>

namespace ebonygrade::peer {

namespace {

// Part of the limit over which replacements are spread, for connections that
// became unresponsive at the same time.
constexpr double kJitter = 0.5;

}  // namespace

void record_heartbeat(liveness_state& state, std::uint64_t sequence,
                      steady_time now) {
  state.last_sequence = sequence;
  if (!state.unanswered_since) state.unanswered_since = now;
}

void record_reply(liveness_state& state, std::uint64_t sequence,
                  steady_time now) {
  state.limit = milliseconds(0);
  if (sequence == state.last_sequence) {
    state.unanswered_since.reset();
  } else {
    state.unanswered_since = now;
  }
}

milliseconds unresponsive_for(const liveness_state& state, steady_time now) {
  if (!state.unanswered_since) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now -
                                                  *state.unanswered_since);
}

bool should_reconnect(const liveness_state& state,
                      const liveness_options& options, steady_time now) {
  if (!state.unanswered_since) return false;
  return unresponsive_for(state, now) >= std::max(options.limit, state.limit);
}

void record_reconnect(liveness_state& state, const liveness_options& options,
                      std::mt19937_64& random) {
  state.unanswered_since.reset();
  milliseconds current = std::max(options.limit, state.limit);
  milliseconds doubled = std::min(2 * current, options.max_limit);
  std::uniform_real_distribution<double> jitter(1.0 - kJitter, 1.0);
  double jittered = static_cast<double>(doubled.count()) * jitter(random);
  state.limit = std::max(current, milliseconds(static_cast<int>(jittered)));
  state.limit = std::min(state.limit, options.max_limit);
}

}  // namespace ebonygrade::peer
