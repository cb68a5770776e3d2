#include "peer/liveness.h"

#include <catch2/catch.hpp>

namespace peer = ebonygrade::peer;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

namespace {

constexpr steady_time kStart{std::chrono::hours(1)};
constexpr peer::liveness_options kOptions{milliseconds(1000),
                                          milliseconds(8000)};

}  // namespace

TEST_CASE("a connection is replaced after the full limit without a reply") {
  peer::liveness_state state;
  peer::record_heartbeat(state, 1, kStart);
  peer::record_heartbeat(state, 2, kStart + milliseconds(500));
  CHECK_FALSE(
      peer::should_reconnect(state, kOptions, kStart + milliseconds(999)));
  CHECK(peer::should_reconnect(state, kOptions, kStart + milliseconds(1000)));
}

TEST_CASE("a connection without heartbeats is never replaced") {
  peer::liveness_state state;
  CHECK_FALSE(
      peer::should_reconnect(state, kOptions, kStart + std::chrono::hours(1)));
}

TEST_CASE("a late reply restarts the limit for later heartbeats") {
  peer::liveness_state state;
  peer::record_heartbeat(state, 1, kStart);
  peer::record_heartbeat(state, 2, kStart + milliseconds(500));
  peer::record_reply(state, 1, kStart + milliseconds(900));
  CHECK_FALSE(
      peer::should_reconnect(state, kOptions, kStart + milliseconds(1899)));
  CHECK(peer::should_reconnect(state, kOptions, kStart + milliseconds(1900)));
}

TEST_CASE("the limit grows to its maximum and a reply resets it") {
  peer::liveness_state state;
  std::mt19937_64 random(7);
  milliseconds earlier{0};
  for (int i = 0; i < 20; ++i) {
    peer::record_reconnect(state, kOptions, random);
    CHECK(state.limit >= earlier);
    CHECK(state.limit >= kOptions.limit);
    CHECK(state.limit <= kOptions.max_limit);
    earlier = state.limit;
  }
  CHECK(state.limit > kOptions.limit);
  peer::record_reply(state, 1, kStart);
  peer::record_heartbeat(state, 2, kStart);
  CHECK(peer::should_reconnect(state, kOptions, kStart + milliseconds(1000)));
}
