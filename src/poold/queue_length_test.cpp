#include "poold/queue_length.h"

#include <catch2/catch.hpp>

namespace ebonygrade::poold {

namespace {

constexpr steady_time kNow{std::chrono::seconds(100)};

queue_length length_of(std::int64_t not_started, milliseconds age,
                       length_source source) {
  return {not_started, age, source};
}

TEST_CASE("the more recent source decides a queue's length") {
  queue_length old_copy = length_of(1, milliseconds(900), length_source::copy);
  queue_length report = length_of(6, milliseconds(800), length_source::owner);
  CHECK(choose_queue_length(old_copy, report)->not_started == 6);
  queue_length copy = length_of(5, milliseconds(700), length_source::copy);
  CHECK(choose_queue_length(copy, report)->not_started == 5);
  CHECK(choose_queue_length(copy, std::nullopt)->not_started == 5);
  CHECK(choose_queue_length(std::nullopt, report)->not_started == 6);
}

TEST_CASE("a queue's length is not told from sources that are too old") {
  milliseconds too_old = kMaxQueueLengthAge + milliseconds(1);
  queue_length copy = length_of(1, too_old, length_source::copy);
  queue_length report = length_of(1, too_old, length_source::owner);
  CHECK_FALSE(choose_queue_length(copy, report));
  CHECK_FALSE(choose_queue_length(copy, std::nullopt));
  CHECK_FALSE(choose_queue_length(std::nullopt, report));
  CHECK_FALSE(choose_queue_length(std::nullopt, std::nullopt));
  copy.age = kMaxQueueLengthAge;
  CHECK(choose_queue_length(copy, report));
}

TEST_CASE("a report's age includes that of the owner's copy") {
  queue_report report;
  CHECK_FALSE(find_length(report, "r", kNow));
  wire::owner_status status;
  add_queue_lengths({{"r", 6}}, milliseconds(400), &status);
  observe_queue_lengths(status, kNow, &report);
  std::optional<queue_length> known =
      find_length(report, "r", kNow + milliseconds(1000));
  REQUIRE(known);
  CHECK(known->not_started == 6);
  CHECK(known->age == milliseconds(1400));
  CHECK(known->source == length_source::owner);
}

TEST_CASE("an empty report differs from none") {
  queue_report report;
  wire::owner_status empty;
  add_queue_lengths({}, milliseconds(0), &empty);
  observe_queue_lengths(empty, kNow, &report);
  CHECK(find_length(report, "r", kNow)->not_started == 0);
  wire::owner_status without;
  add_queue_lengths({{"r", 6}}, kMaxQueueLengthAge + milliseconds(1), &without);
  CHECK(without.queues().empty());
  observe_queue_lengths(without, kNow + milliseconds(500), &report);
  CHECK(find_length(report, "r", kNow + milliseconds(500))->age ==
        milliseconds(500));
}

// Guards against a new owner whose copy is older than its predecessor's.
TEST_CASE("an older report doesn't replace a newer one") {
  queue_report report;
  wire::owner_status recent;
  add_queue_lengths({{"r", 6}}, milliseconds(0), &recent);
  observe_queue_lengths(recent, kNow, &report);
  wire::owner_status old;
  add_queue_lengths({{"r", 1}}, milliseconds(1500), &old);
  observe_queue_lengths(old, kNow + milliseconds(1000), &report);
  CHECK(find_length(report, "r", kNow)->not_started == 6);
}

}  // namespace

}  // namespace ebonygrade::poold
