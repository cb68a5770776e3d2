#include "peer/window.h"

#include <catch2/catch.hpp>

namespace peer = ebonygrade::peer;

namespace {

constexpr peer::window_options kOptions{1000, 100};

}  // namespace

TEST_CASE("a new connection has a small window until its first reply") {
  peer::window_state state;
  peer::count_sent(state, 90);
  CHECK_FALSE(peer::can_send(state, kOptions, 20));
  CHECK(peer::needs_mark(state, kOptions));
  peer::record_mark(state, 1);
  CHECK_FALSE(peer::needs_mark(state, kOptions));
  peer::record_mark_reply(state, 1);
  CHECK(peer::can_send(state, kOptions, 1000));
}

TEST_CASE("a reply acknowledges what was sent before its mark") {
  peer::window_state state;
  state.confirmed = true;
  peer::count_sent(state, 600);
  peer::record_mark(state, 1);
  peer::count_sent(state, 300);
  CHECK_FALSE(peer::can_send(state, kOptions, 200));
  peer::record_mark_reply(state, 1);
  CHECK(state.sent - state.acknowledged == 300);
  CHECK(peer::can_send(state, kOptions, 700));
  CHECK_FALSE(peer::can_send(state, kOptions, 701));
}

TEST_CASE(
    "a message above the window is sent alone, unknown replies acknowledge "
    "nothing") {
  peer::window_state state;
  CHECK(peer::can_send(state, kOptions, 1000000));
  peer::count_sent(state, 1000000);
  CHECK_FALSE(peer::can_send(state, kOptions, 1));
  peer::record_mark_reply(state, 77);
  CHECK_FALSE(peer::can_send(state, kOptions, 1));
  for (std::uint64_t i = 0; i < 1000; ++i) peer::record_mark(state, i);
  CHECK(state.marks.size() <= 64);
}
