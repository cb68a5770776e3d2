// Limits the bytes sent to a peer that it hasn't acknowledged as read. Pure
// functions on a small state, one per connection.
//
// Heartbeats and probes are marks in the stream of messages: the reply to a
// mark acknowledges everything sent before it. A new connection has a small
// window until its first reply.
#pragma once

#include <cstdint>
#include <deque>

namespace ebonygrade::peer {

struct window_options {
  std::uint64_t bytes = 1 << 20;
  std::uint64_t initial_bytes = 64 << 10;  // Before the first reply.
};

struct window_state {
  struct mark {
    std::uint64_t sequence = 0;
    std::uint64_t sent_before = 0;  // Bytes.
  };
  std::uint64_t sent = 0;          // Bytes.
  std::uint64_t acknowledged = 0;  // Bytes.
  bool confirmed = false;          // A reply has arrived on this connection.
  std::deque<mark> marks;          // Without a reply; their number is limited.
};

// True if another `bytes` bytes may be sent. A message larger than the window
// may be sent when nothing else is unacknowledged.
bool can_send(const window_state& state, const window_options& options,
              std::uint64_t bytes);

// True if so many bytes are unmarked that a probe should be sent now.
bool needs_mark(const window_state& state, const window_options& options);

void count_sent(window_state& state, std::uint64_t bytes);
void record_mark(window_state& state, std::uint64_t sequence);
void record_mark_reply(window_state& state, std::uint64_t sequence);

}  // namespace ebonygrade::peer
