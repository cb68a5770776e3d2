#include "poold/advice_channel.h"

#include <catch2/catch.hpp>
#include <vector>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kShort{10};
constexpr milliseconds kLong{500};
constexpr steady_time kNow{std::chrono::hours(1)};

// Guards against late urgent jobs when half of the daemons are in another
// region: requests went to daemons with slow replies while near ones were idle.
TEST_CASE("the idle channel with the earliest predicted reply is chosen") {
  std::vector<channel_load> daemons(2);
  record_request(&daemons[0], kShort, kNow);
  record_reply(&daemons[0], kShort, kNow + kShort,
               kNow + kShort + milliseconds(40));
  channel_choice choice = choose_channel(daemons, kShort, kNow + kLong);
  REQUIRE(choice.found);
  CHECK(choice.index == 1);
}

TEST_CASE("an idle channel is preferred to a busy one with less overhead") {
  std::vector<channel_load> daemons(2);
  daemons[0].overhead = milliseconds(10);
  record_request(&daemons[1], milliseconds(18), kNow);
  CHECK(choose_channel(daemons, kShort, kNow).index == 0);
}

TEST_CASE("some channels are reserved for short requests") {
  std::vector<channel_load> daemons(4);
  for (int i = 0; i < 2; ++i) {
    channel_choice choice = choose_channel(daemons, kLong, kNow);
    REQUIRE(choice.found);
    record_request(&daemons[choice.index], kLong, kNow);
  }
  CHECK_FALSE(choose_channel(daemons, kLong, kNow).found);
  CHECK(choose_channel(daemons, kShort, kNow).found);
}

TEST_CASE("unavailable and fully loaded channels are not chosen") {
  std::vector<channel_load> daemons(1);
  daemons[0].available = false;
  CHECK_FALSE(choose_channel(daemons, kShort, kNow).found);
  daemons[0].available = true;
  for (int i = 0; i < 3; ++i)
    record_request(&daemons[0], milliseconds(1), kNow);
  CHECK_FALSE(choose_channel(daemons, kShort, kNow).found);
}

}  // namespace

}  // namespace ebonygrade::poold
