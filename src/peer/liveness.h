// Decides when an unresponsive connection is replaced. Pure functions on a
// small state, one per connection; `peer::link` calls them.
//
// The time without a reply starts when a heartbeat is sent and ends with the
// reply to the latest one. When that time reaches the limit, the connection is
// replaced. Each replacement doubles the limit, with jitter, until a reply
// arrives.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "clock/clock.h"

namespace ebonygrade::peer {

using clock::milliseconds;
using clock::steady_time;

struct liveness_options {
  milliseconds limit{2000};       // Before the first replacement.
  milliseconds max_limit{16000};  // Maximum between later replacements.
};

struct liveness_state {
  // Set while a heartbeat or probe is unanswered.
  std::optional<steady_time> unanswered_since;
  std::uint64_t last_sequence = 0;  // Of the latest heartbeat or probe.
  milliseconds limit{0};            // 0: `liveness_options::limit` applies.
};

// Records that a heartbeat or probe was sent or could not be sent.
void record_heartbeat(liveness_state& state, std::uint64_t sequence,
                      steady_time now);

// Records a reply on this connection to the heartbeat or probe `sequence`.
void record_reply(liveness_state& state, std::uint64_t sequence,
                  steady_time now);

// Time for which heartbeats and probes have had no reply.
milliseconds unresponsive_for(const liveness_state& state, steady_time now);

bool should_reconnect(const liveness_state& state,
                      const liveness_options& options, steady_time now);

// Records that the connection was replaced: clears the time without a reply and
// raises the limit.
void record_reconnect(liveness_state& state, const liveness_options& options,
                      std::mt19937_64& random);

}  // namespace ebonygrade::peer
