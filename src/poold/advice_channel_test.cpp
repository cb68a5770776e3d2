#include "poold/advice_channel.h"

#include <catch2/catch.hpp>
#include <vector>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kShort{10};
constexpr milliseconds kLong{500};
constexpr steady_time kNow{std::chrono::hours(1)};

// Load pattern: half of the daemons are in another region, and their answers
// make urgent work late while near daemons stand idle.
TEST_CASE("of idle daemons the one whose answers come soonest is asked") {
  std::vector<channel_load> daemons(2);
  record_request(&daemons[0], kShort, kNow);
  record_reply(&daemons[0], kShort, kNow + kShort,
               kNow + kShort + milliseconds(40));
  channel_choice choice = choose_channel(daemons, kShort, kNow + kLong);
  REQUIRE(choice.found);
  CHECK(choice.index == 1);
}

TEST_CASE("a busy daemon that is near gives way to an idle one") {
  std::vector<channel_load> daemons(2);
  daemons[0].overhead = milliseconds(10);
  record_request(&daemons[1], milliseconds(18), kNow);
  CHECK(choose_channel(daemons, kShort, kNow).index == 0);
}

TEST_CASE("some daemons are kept free of long questions") {
  std::vector<channel_load> daemons(4);
  for (int i = 0; i < 2; ++i) {
    channel_choice choice = choose_channel(daemons, kLong, kNow);
    REQUIRE(choice.found);
    record_request(&daemons[choice.index], kLong, kNow);
  }
  CHECK_FALSE(choose_channel(daemons, kLong, kNow).found);
  CHECK(choose_channel(daemons, kShort, kNow).found);
}

TEST_CASE("nobody is asked who isn't there or has enough to answer") {
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
