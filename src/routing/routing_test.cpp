#include "routing/routing.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace routing = ebonygrade::routing;
namespace job = ebonygrade::job;
namespace membership = ebonygrade::membership;
namespace ownership = ebonygrade::ownership;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

namespace {

constexpr steady_time kNow{std::chrono::hours(1)};
constexpr milliseconds kUnresponsiveLimit{2000};

// Two regions of four shards each. Daemon "a" owns shards 0 to 2 of sofia; all
// other shards have no owner.
ownership::claim_table make_claims() {
  ownership::claim_table claims;
  claims.regions = {"sofia", "plovdiv"};
  claims.shards.assign(2, std::vector<ownership::claim_state>(4));
  for (int shard = 0; shard < 3; ++shard) {
    claims.shards[0][shard].epoch = 10 + shard;
    claims.shards[0][shard].owner = "a";
  }
  return claims;
}

std::vector<ownership::member> make_members(milliseconds a_unresponsive_for) {
  std::vector<ownership::member> members(2);
  members[0].id = "a";
  members[0].unresponsive_for = a_unresponsive_for;
  members[1].id = "b";
  return members;
}

routing::decision route(const std::string& self, job::shard_id home,
                        std::uint32_t hops,
                        milliseconds unresponsive_for = milliseconds(0)) {
  return routing::route_to_owner(make_claims(), home, self, hops,
                                 make_members(unresponsive_for),
                                 kUnresponsiveLimit);
}

membership::capacity_view make_view(const std::string& id,
                                    const std::string& zone,
                                    const std::string& region, int slots) {
  membership::capacity_view view;
  view.id = id;
  view.zone = zone;
  view.region = region;
  view.capacity.mutable_free()->set_slots(slots);
  view.capacity.mutable_largest_free()->set_slots(std::min(slots, 8));
  return view;
}

routing::overflow_options make_options() {
  routing::overflow_options options;
  options.self = "a";
  options.zone = "sofia-a";
  options.region = "sofia";
  return options;
}

routing::resource_demand slots_needed(std::uint32_t tasks) {
  routing::resource_demand demand;
  demand.per_task.slots = 1;
  demand.task_count = tasks;
  return demand;
}

}  // namespace

TEST_CASE(
    "the home shard is in the requested region, by default the entry region") {
  ownership::claim_table claims = make_claims();
  CHECK(routing::home_shard("x", "", "sofia", claims)->region == 0);
  CHECK(routing::home_shard("x", "plovdiv", "sofia", claims)->region == 1);
  CHECK(routing::home_shard("x", "", "sofia", claims)->shard ==
        job::shard_of("x", 4));
  ebonygrade::error::result<job::shard_id> unknown =
      routing::home_shard("x", "varna", "sofia", claims);
  REQUIRE(unknown.has_error());
  CHECK(unknown.error().detail == "region: unknown: varna");
}

TEST_CASE("a request is served, forwarded once or refused by a wrong owner") {
  CHECK(route("a", {0, 0}, 0).action == routing::route_action::serve);
  CHECK(route("a", {0, 0}, 1).action == routing::route_action::serve);
  routing::decision forwarded = route("b", {0, 0}, 0);
  CHECK(forwarded.action == routing::route_action::forward);
  CHECK(forwarded.to == "a");
  CHECK(route("b", {0, 0}, 1).action ==
        routing::route_action::reply_wrong_owner);
}

TEST_CASE(
    "a request waits while its shard has no owner or an unresponsive one") {
  CHECK(route("b", {0, 3}, 0).action == routing::route_action::wait);
  CHECK(route("b", {0, 0}, 0, kUnresponsiveLimit).action ==
        routing::route_action::wait);
  CHECK(route("b", {7, 0}, 0).action == routing::route_action::wait);
  CHECK(route("b", {0, 9}, 1).action ==
        routing::route_action::reply_wrong_owner);
}

TEST_CASE(
    "no request is forwarded twice, even if the daemons' claim tables differ") {
  std::mt19937_64 random(11);
  const std::vector<std::string> ids{"a", "b", "c", "d"};
  std::vector<ownership::member> members(4);
  for (int i = 0; i < 4; ++i) members[i].id = ids[i];
  for (int round = 0; round < 10000; ++round) {
    std::size_t at = random() % 4;
    std::uint32_t hops = 0;
    while (true) {
      ownership::claim_table claims = make_claims();
      claims.shards[0][0].owner = ids[random() % 4];
      routing::decision next = routing::route_to_owner(
          claims, {0, 0}, ids[at], hops, members, kUnresponsiveLimit);
      if (next.action != routing::route_action::forward) break;
      ++hops;
      at = std::find(ids.begin(), ids.end(), next.to) - ids.begin();
    }
    REQUIRE(hops <= routing::kMaxHops);
  }
}

TEST_CASE("overflow selects the nearest daemon with free capacity") {
  routing::overflow_state state = routing::make_overflow(make_options(), 1);
  std::vector<membership::capacity_view> views{
      make_view("near", "sofia-a", "sofia", 4),
      make_view("region", "sofia-b", "sofia", 100),
      make_view("far", "plovdiv-a", "plovdiv", 1000)};
  CHECK(routing::select_overflow_target(state, slots_needed(1), views, {},
                                        kNow) == "near");
  CHECK(routing::select_overflow_target(state, slots_needed(1), views, {"near"},
                                        kNow) == "region");
  CHECK_FALSE(routing::select_overflow_target(state, slots_needed(1), views,
                                              {"near", "region"}, kNow));
  state.settings.other_regions = true;
  CHECK(routing::select_overflow_target(state, slots_needed(1), views,
                                        {"near", "region"}, kNow) == "far");
}

TEST_CASE("offers made after a summary reduce its free resources") {
  routing::overflow_state state = routing::make_overflow(make_options(), 1);
  std::vector<membership::capacity_view> views{
      make_view("near", "sofia-a", "sofia", 2)};
  CHECK(
      routing::select_overflow_target(state, slots_needed(2), views, {}, kNow));
  CHECK_FALSE(
      routing::select_overflow_target(state, slots_needed(1), views, {}, kNow));
  steady_time later = kNow + milliseconds(500);
  CHECK(routing::select_overflow_target(state, slots_needed(1), views, {},
                                        later));
}

TEST_CASE(
    "a gang is offered only where all tasks fit; old summaries are ignored") {
  routing::overflow_state state = routing::make_overflow(make_options(), 1);
  std::vector<membership::capacity_view> views{
      make_view("small", "sofia-a", "sofia", 4),
      make_view("large", "sofia-b", "sofia", 40)};
  routing::resource_demand gang = slots_needed(10);
  gang.all_at_once = true;
  CHECK(routing::select_overflow_target(state, gang, views, {}, kNow) ==
        "large");
  for (membership::capacity_view& each : views) each.age = milliseconds(6000);
  CHECK_FALSE(
      routing::select_overflow_target(state, slots_needed(1), views, {}, kNow));
}

TEST_CASE("the same seed selects the same targets") {
  std::vector<membership::capacity_view> views;
  for (int i = 0; i < 9; ++i) {
    views.push_back(
        make_view("vm-" + std::to_string(i), "sofia-a", "sofia", 50 + i));
  }
  routing::overflow_state one = routing::make_overflow(make_options(), 5);
  routing::overflow_state two = routing::make_overflow(make_options(), 5);
  for (int i = 0; i < 100; ++i) {
    CHECK(
        routing::select_overflow_target(one, slots_needed(1), views, {},
                                        kNow) ==
        routing::select_overflow_target(two, slots_needed(1), views, {}, kNow));
  }
}

TEST_CASE("retries are limited to a share of the first attempts") {
  routing::retry_options options;
  routing::retry_budget budget;
  budget.last_refill = kNow;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    routing::record_first_attempt(budget, options);
    while (routing::try_take_retry_token(budget, options, kNow)) ++retries;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
  CHECK_FALSE(routing::try_take_retry_token(budget, options, kNow));
  CHECK(routing::try_take_retry_token(budget, options,
                                      kNow + milliseconds(4000)));
}
