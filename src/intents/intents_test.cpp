#include "intents/intents.h"

#include <catch2/catch.hpp>

namespace intents = ebonygrade::intents;
namespace job = ebonygrade::job;
namespace wire = ebonygrade::wire;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr job::steady_time kStart{seconds(1000)};

intents::writer make_writer() {
  intents::writer state;
  state.regions = {"sofia"};
  return state;
}

}  // namespace

TEST_CASE("intents that are added during an append go into the next batch") {
  intents::writer state = make_writer();
  wire::intent_batch first;
  intents::add(state, {"a", {0, 1}, 7});
  REQUIRE(intents::take_batch(state, kStart, &first));
  CHECK(first.intents(0).request_id() == "a");
  CHECK(first.intents(0).region() == "sofia");
  CHECK(first.intents(0).epoch() == 7);
  intents::add(state, {"b", {0, 1}, 7});
  intents::add(state, {"c", {0, 2}, 8});
  wire::intent_batch second;
  CHECK_FALSE(intents::take_batch(state, kStart + seconds(1), &second));
  intents::on_appended(state);
  CHECK_FALSE(intents::take_batch(state, kStart + seconds(1), &second));
  CHECK(intents::on_claims_read(state).size() == 1);
  REQUIRE(intents::take_batch(state, kStart + seconds(1), &second));
  CHECK(second.intents_size() == 2);
}

TEST_CASE("appends are at least one flush interval apart") {
  intents::writer state = make_writer();
  wire::intent_batch batch;
  intents::add(state, {"a", {0, 1}, 7});
  REQUIRE(intents::take_batch(state, kStart, &batch));
  intents::on_appended(state);
  intents::on_claims_read(state);
  intents::add(state, {"b", {0, 1}, 7});
  CHECK_FALSE(intents::take_batch(state, kStart + milliseconds(19), &batch));
  CHECK(intents::take_batch(state, kStart + milliseconds(20), &batch));
}

TEST_CASE("an intent is pending until its append is confirmed or has failed") {
  intents::writer state = make_writer();
  wire::intent_batch batch;
  intents::add(state, {"a", {0, 1}, 7});
  CHECK(intents::is_pending(state, {0, 1}));
  CHECK_FALSE(intents::is_pending(state, {0, 2}));
  REQUIRE(intents::take_batch(state, kStart, &batch));
  intents::on_appended(state);
  CHECK(intents::is_pending(state, {0, 1}));
  intents::on_claims_read(state);
  CHECK_FALSE(intents::is_pending(state, {0, 1}));
}

TEST_CASE("a failed append returns only the intents of its batch") {
  intents::writer state = make_writer();
  wire::intent_batch batch;
  intents::add(state, {"a", {0, 1}, 7});
  REQUIRE(intents::take_batch(state, kStart, &batch));
  intents::add(state, {"b", {0, 1}, 7});
  std::vector<intents::pending_intent> failed = intents::on_failed(state);
  REQUIRE(failed.size() == 1);
  CHECK(failed[0].id == "a");
  CHECK(state.waiting.size() == 1);
}
