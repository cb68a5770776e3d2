#include "peer/liveness.h"

#include <algorithm>

namespace ebonygrade::peer {

namespace {

// Replacements of links that went silent together are spread over this part
// of the limit.
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
  milliseconds present = std::max(options.limit, state.limit);
  milliseconds doubled = std::min(2 * present, options.max_limit);
  std::uniform_real_distribution<double> spread(1.0 - kJitter, 1.0);
  double jittered = static_cast<double>(doubled.count()) * spread(random);
  state.limit = std::max(present, milliseconds(static_cast<int>(jittered)));
  state.limit = std::min(state.limit, options.max_limit);
}

}  // namespace ebonygrade::peer
