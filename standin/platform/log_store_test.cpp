#include "standin/platform/log_store.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

namespace platform = ebonygrade::standin::platform;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

namespace {

constexpr steady_time kNow{std::chrono::seconds(100)};

std::uint64_t append_text(platform::log_store& store, std::string_view stream,
                          std::string data, steady_time now = kNow) {
  return platform::append(store, stream, std::move(data), now).value();
}

}  // namespace

TEST_CASE("each stream has its own offsets") {
  platform::log_store store = platform::make_log_store({}, kNow);
  CHECK(append_text(store, "a", "one") == 0);
  CHECK(append_text(store, "a", "two") == 1);
  CHECK(append_text(store, "b", "three") == 0);
  ebonygrade::wire::log_read_reply reply =
      platform::read(store, "a", 1, 10, kNow);
  REQUIRE(reply.records_size() == 1);
  CHECK(reply.records(0).data() == "two");
  CHECK(reply.next() == 2);
  CHECK(platform::read(store, "a", 0, 1, kNow).records_size() == 1);
}

TEST_CASE("records expire by age and number, and offsets continue") {
  platform::log_options options;
  options.max_records = 2;
  options.retention = milliseconds(1000);
  platform::log_store store = platform::make_log_store(options, kNow);
  for (const char* data : {"0", "1", "2"}) append_text(store, "a", data);
  CHECK(platform::read(store, "a", 0, 10, kNow).first() == 1);
  steady_time later = kNow + milliseconds(1000);
  ebonygrade::wire::log_read_reply reply =
      platform::read(store, "a", 0, 10, later);
  CHECK(reply.first() == 3);
  CHECK(reply.next() == 3);
  CHECK(append_text(store, "a", "3", later) == 3);
}

TEST_CASE("the append rate is limited") {
  platform::log_options options;
  options.appends_per_second = 8;
  platform::log_store store = platform::make_log_store(options, kNow);
  CHECK(platform::take_append_token(store, kNow));
  CHECK(platform::take_append_token(store, kNow));
  CHECK_FALSE(platform::take_append_token(store, kNow));
  CHECK(platform::take_append_token(store, kNow + milliseconds(125)));
  CHECK_FALSE(platform::take_append_token(store, kNow + milliseconds(125)));
}

TEST_CASE("the number of streams is limited") {
  platform::log_options options;
  options.max_streams = 1;
  platform::log_store store = platform::make_log_store(options, kNow);
  append_text(store, "a", "x");
  CHECK(platform::append(store, "b", "x", kNow).has_error());
}
