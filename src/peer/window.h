// Bounds the bytes on their way to a peer that it has not been shown to have
// read. Pure functions over a small state, one state a connection.
//
// Heartbeats and probes are marks in the stream of messages: a reply to a mark
// acknowledges everything sent before it. Until the first reply on a new
// connection only a small window is open.
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
    std::uint64_t sent_before = 0;
  };
  std::uint64_t sent = 0;
  std::uint64_t acknowledged = 0;
  bool confirmed = false;  // A reply came on this connection.
  std::deque<mark> marks;  // Without a reply; bounded.
};

// True if `bytes` more may be sent. A message larger than the window may be
// sent when nothing else is on its way.
bool can_send(const window_state& state, const window_options& options,
              std::uint64_t bytes);

// True if so much is on its way that a reply should be asked for now.
bool needs_mark(const window_state& state, const window_options& options);

void count_sent(window_state& state, std::uint64_t bytes);
void record_mark(window_state& state, std::uint64_t sequence);
void record_mark_reply(window_state& state, std::uint64_t sequence);

}  // namespace ebonygrade::peer
