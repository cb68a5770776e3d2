#include "poold/handover.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kTick{100};
constexpr steady_time kStart{std::chrono::hours(1)};

struct fixture {
  slow_machine machine;
  steady_time now = kStart;
  handover_input input;

  fixture() {
    input.owner_since = kStart - milliseconds(1000);
    input.journal_reachable = true;
    input.zone = "z1";
    input.region = "r1";
    add("n2", "z2", 1.1);
  }
  daemon_info& add(const std::string& id, const std::string& zone,
                   double slowdown) {
    input.daemons.push_back(
        {{id, "127.0.0.1:1", zone, "r1", 0.5, true, slowdown}, now});
    return input.daemons.back().daemon;
  }
  // Passes ticks with this ratio; the standbys announce themselves.
  void pass(milliseconds period, double slowdown) {
    for (steady_time end = now + period; now < end;) {
      now += kTick;
      observe_slowdown(&machine, slowdown, now);
      for (announced_daemon& each : input.daemons) each.last_contact = now;
    }
  }
  std::optional<std::string> successor() const {
    std::optional<daemon_info> chosen = choose_successor(machine, input, now);
    if (!chosen) return std::nullopt;
    return chosen->id;
  }
};

TEST_CASE("an owner that has been slow for 0.3 s hands over to a fit standby") {
  fixture test;
  test.pass(milliseconds(500), 1);
  test.pass(milliseconds(300), 7);
  CHECK_FALSE(test.successor());
  test.pass(kTick, 7);
  CHECK(test.successor() == "n2");
  SECTION("the nearest one of several") {
    test.add("n3", "z1", 1.3);
    CHECK(test.successor() == "n3");
  }
  SECTION("not to a daemon that couldn't do better") {
    daemon_info& standby = test.input.daemons.front().daemon;
    SECTION("slow") { standby.slowdown = kFitRatio; }
    SECTION("of unknown pace") { standby.slowdown = 0; }
    SECTION("with too little CPU") { standby.cpu_share = 0.1; }
    SECTION("without a copy") { standby.follows_journal = false; }
    SECTION("silent") {
      test.input.daemons.front().last_contact -= milliseconds(1600);
    }
    CHECK_FALSE(test.successor());
  }
  SECTION("not while a release couldn't be written") {
    test.input.journal_reachable = false;
    CHECK_FALSE(test.successor());
  }
  SECTION("not within 1 s of its takeover") {
    test.input.owner_since = test.now - milliseconds(900);
    CHECK_FALSE(test.successor());
  }
}

TEST_CASE("the judgement of a machine needs a lasting change") {
  fixture test;
  for (int i = 0; i < 20; ++i) {
    test.pass(milliseconds(200), 7);
    test.pass(kTick, 2);
    CHECK_FALSE(test.machine.slow);
  }
  test.pass(milliseconds(400), 7);
  CHECK(test.machine.slow);
  for (int i = 0; i < 20; ++i) {
    test.pass(milliseconds(900), 1);
    test.pass(kTick, 2);
    CHECK(test.machine.slow);
  }
  test.pass(milliseconds(1100), 1);
  CHECK_FALSE(test.machine.slow);
}

// Guards against a pool that goes to and fro between two machines whose pace
// alternates.
TEST_CASE("a daemon that has handed over leaves the pool to others for 10 s") {
  fixture test;
  test.pass(milliseconds(400), 7);
  REQUIRE(test.successor());
  record_handover(&test.machine, test.now);
  for (int i = 0; i < 12; ++i) {
    test.pass(milliseconds(400), 1);
    CHECK(holds_back(test.machine, test.now));
    // No other owner hands over to it.
    CHECK(announced_slowdown(test.machine, test.now) >= kFitRatio);
    CHECK(claim_delay_of(test.machine, milliseconds(1), 0.5, test.now) ==
          kUnclaimedLimit);
    test.pass(milliseconds(400), 7);
  }
  test.pass(milliseconds(500), 1.6);
  CHECK(holds_back(test.machine, test.now));
  test.pass(milliseconds(1200), 1);
  CHECK_FALSE(holds_back(test.machine, test.now));
  CHECK(announced_slowdown(test.machine, test.now) == 1);
  CHECK(claim_delay_of(test.machine, milliseconds(1), 0.5, test.now) ==
        milliseconds(10));
}

TEST_CASE("a slow daemon claims after all others, within 2 s") {
  fixture test;
  milliseconds largest_of_others =
      claim_delay_of(test.machine, milliseconds(30), 0.1, test.now);
  test.pass(milliseconds(400), 7);
  for (double cpu_share : {0.1, 0.5}) {
    milliseconds delay =
        claim_delay_of(test.machine, milliseconds(1), cpu_share, test.now);
    CHECK(delay > largest_of_others);
    CHECK(delay <= kUnclaimedLimit);
  }
}

}  // namespace

}  // namespace ebonygrade::poold
