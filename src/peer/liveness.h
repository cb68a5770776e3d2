// When to replace a connection that has gone silent. Pure functions over a
// small state, one state a connection; `peer::link` drives them.
//
// A heartbeat that is sent starts the silence, a reply to the latest one ends
// it. A connection is replaced once the silence has lasted for the limit.
// After each replacement the limit doubles, with jitter, until a reply comes.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "clock/clock.h"

namespace ebonygrade::peer {

using clock::milliseconds;
using clock::steady_time;

struct liveness_options {
  milliseconds limit{2000};       // First replacement after so long.
  milliseconds max_limit{16000};  // Between later replacements.
};

struct liveness_state {
  std::optional<steady_time>
      unanswered_since;             // Set while a heartbeat is unanswered.
  std::uint64_t last_sequence = 0;  // Of the latest heartbeat or probe.
  milliseconds limit{0};            // Present limit; 0: not set yet.
};

// A heartbeat or probe was sent, or could not be sent.
void record_heartbeat(liveness_state& state, std::uint64_t sequence,
                      steady_time now);

// A reply to heartbeat or probe `sequence` arrived on this connection.
void record_reply(liveness_state& state, std::uint64_t sequence,
                  steady_time now);

// How long heartbeats have gone without an answer.
milliseconds unresponsive_for(const liveness_state& state, steady_time now);

bool should_reconnect(const liveness_state& state,
                      const liveness_options& options, steady_time now);

// The connection was replaced: the silence ends and the limit grows.
void record_reconnect(liveness_state& state, const liveness_options& options,
                      std::mt19937_64& random);

}  // namespace ebonygrade::peer
