#include "poold/handover.h"

#include <catch2/catch.hpp>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kTick{100};

struct fixture {
  slow_machine machine;
  steady_time now{std::chrono::hours(1)};
  handover_input input{now - milliseconds(1000), true, "z1", "r1", {}};

  daemon_info& add(const std::string& id, const std::string& zone) {
    input.daemons.push_back({{id, "", zone, "r1", 0.5, true, 1.1}, now});
    return input.daemons.back().daemon;
  }
  void pass(milliseconds period, double slowdown) {
    for (steady_time end = now + period; now < end;) {
      now += kTick;
      observe_slowdown(&machine, slowdown, now);
      for (announced_daemon& each : input.daemons) each.last_contact = now;
    }
  }
  std::string successor() const {
    return choose_successor(machine, input, now).value_or(daemon_info()).id;
  }
  milliseconds claim_delay(milliseconds round_trip, double cpu_share) const {
    return claim_delay_of(machine, round_trip, cpu_share, now);
  }
};

TEST_CASE("an owner that has been slow for 0.3 s hands over to a fit standby") {
  fixture test;
  daemon_info& standby = test.add("n2", "z2");
  test.pass(milliseconds(500), 1);
  test.pass(milliseconds(300), 7);
  CHECK(test.successor().empty());
  test.pass(kTick, 7);
  CHECK(test.successor() == "n2");
  SECTION("not to a daemon that could do no better") {
    SECTION("slow") { standby.slowdown = kFitRatio; }
    SECTION("of unknown pace") { standby.slowdown = 0; }
    SECTION("with too little CPU") { standby.cpu_share = 0.1; }
    SECTION("without a copy") { standby.follows_journal = false; }
    SECTION("silent") { test.now += milliseconds(1600); }
    SECTION("while no release could be written") {
      test.input.journal_reachable = false;
    }
    SECTION("within 1 s of the takeover") { test.input.owner_since = test.now; }
    CHECK(test.successor().empty());
  }
  SECTION("the nearest one of several") {
    test.add("n3", "z1");
    CHECK(test.successor() == "n3");
  }
}

// Guards against a pool that goes to and fro between two machines whose pace
// alternates.
TEST_CASE("a daemon that has handed over leaves the pool to others for 10 s") {
  fixture test;
  for (int i = 0; i < 20; ++i) {
    test.pass(milliseconds(200), 7);
    test.pass(kTick, 2);
    CHECK_FALSE(test.machine.slow);
  }
  test.pass(milliseconds(400), 7);
  CHECK(test.machine.slow);
  record_handover(&test.machine, handover_cause::slow, test.now);
  for (int i = 0; i < 12; ++i) {
    test.pass(milliseconds(400), i % 2 == 0 ? 1 : 7);
    test.pass(milliseconds(400), 2);
    CHECK(test.machine.slow);
    // No other owner hands over to it.
    CHECK(announced_slowdown(test.machine, test.now) >= kFitRatio);
    CHECK(test.claim_delay(milliseconds(1), 0.5) == kUnclaimedLimit);
  }
  test.pass(milliseconds(500), 1.6);
  CHECK(holds_back(test.machine, test.now));
  test.pass(milliseconds(1200), 1);
  CHECK_FALSE(test.machine.slow);
  CHECK(announced_slowdown(test.machine, test.now) == 1);
  CHECK(test.claim_delay(milliseconds(1), 0.5) == milliseconds(10));
}

constexpr milliseconds kOutdatedLimit =
    max_outdated_time(milliseconds(3000), milliseconds(2500));

struct outdated_fixture : fixture {
  outdated_fixture() {
    input.outdated_limit = kOutdatedLimit;
    add("n2", "z2");
    pass(milliseconds(500), 1);
  }
  void pass_outdated(milliseconds period) {
    if (input.outdated_since == steady_time()) input.outdated_since = now;
    pass(period, 1);
  }
  void become_current() {
    input.outdated_since = {};
    pass(kTick, 1);
  }
};

// Guards against handovers that a busy owner or a slow store causes.
TEST_CASE("an owner hands over only if it is outdated without a break") {
  outdated_fixture test;
  for (int i = 0; i < 5; ++i) {
    test.pass_outdated(kOutdatedLimit - kTick);
    CHECK(test.successor().empty());
    test.become_current();
    CHECK(test.successor().empty());
  }
  test.pass_outdated(kOutdatedLimit + kTick);
  CHECK(handover_due(test.machine, test.input, test.now) ==
        handover_cause::outdated);
  CHECK(test.successor() == "n2");
  test.input.journal_reachable = false;
  CHECK(test.successor().empty());
}

// Guards against a pool that goes around while reads fail now here, now there.
TEST_CASE("an outdated owner keeps a pool that was just released to it") {
  outdated_fixture test;
  test.input.after_release = true;
  test.input.owner_since = test.now;
  test.pass_outdated(milliseconds(9900));
  CHECK(test.successor().empty());
  test.pass_outdated(milliseconds(200));
  CHECK(test.successor() == "n2");
  record_handover(&test.machine, handover_cause::outdated, test.now);
  CHECK(test.machine.handovers == 1);
  CHECK(test.machine.outdated_handovers == 1);
  // Nobody hands the pool back, and it claims after all others.
  test.pass(milliseconds(9900), 1);
  CHECK(announced_slowdown(test.machine, test.now) >= kFitRatio);
  CHECK(test.claim_delay(milliseconds(1), 0.5) == kUnclaimedLimit);
}

TEST_CASE("a slow daemon claims after all others, within 2 s") {
  fixture test;
  milliseconds others = test.claim_delay(milliseconds(30), 0.1);
  test.pass(milliseconds(400), 7);
  CHECK(test.claim_delay(milliseconds(1), 0.5) > others);
  CHECK(test.claim_delay(milliseconds(30), 0.1) <= kUnclaimedLimit);
}

}  // namespace

}  // namespace ebonygrade::poold
