#include "poold/standby.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace ebonygrade::poold {

namespace {

// Two regions with three zones each. Every eighth daemon is large.
std::vector<daemon_info> make_daemons(int count) {
  std::vector<daemon_info> daemons;
  for (int i = 0; i < count; ++i) {
    daemon_info each;
    each.id = "d" + std::to_string(1000 + i);
    each.peer_address = each.id + ":1";
    each.region = i % 2 == 0 ? "near" : "far";
    each.zone = each.region + std::to_string(i / 2 % 3);
    each.cpu_share = i / 6 % 8 == 0 ? 0.5 : 0.12;
    daemons.push_back(each);
  }
  return daemons;
}

daemon_info& find(std::vector<daemon_info>& daemons, const std::string& id) {
  for (daemon_info& each : daemons) {
    if (each.id == id) return each;
  }
  FAIL("unknown daemon " << id);
  return daemons.front();
}

TEST_CASE("every daemon of a small cell is a standby") {
  CHECK(choose_standbys(make_daemons(5)).size() == 5);
}

// Replays the growth of the large deployment: copies must not grow with the
// number of daemons.
TEST_CASE("the number of copies doesn't grow with the number of daemons") {
  for (int count : {30, 100, 147, 300}) {
    std::vector<daemon_info> daemons = make_daemons(count);
    std::set<std::string> chosen = choose_standbys(daemons);
    CHECK(chosen.size() == 4);
    std::set<std::string> zones;
    for (const std::string& each : chosen) {
      const daemon_info& daemon = find(daemons, each);
      CHECK(daemon.cpu_share == 0.5);
      zones.insert(daemon.zone);
    }
    CHECK(zones.size() == 4);
  }
}

TEST_CASE("a standby keeps its role when other daemons come") {
  std::vector<daemon_info> daemons = make_daemons(100);
  std::set<std::string> before = choose_standbys(daemons);
  std::vector<daemon_info> more = make_daemons(147);
  for (const std::string& each : before)
    find(more, each).follows_journal = true;
  CHECK(choose_standbys(more) == before);
}

TEST_CASE("small daemons are standbys only without large ones") {
  std::vector<daemon_info> daemons = make_daemons(100);
  for (daemon_info& each : daemons) {
    if (each.region == "far") each.cpu_share = 0.12;
  }
  std::set<std::string> chosen = choose_standbys(daemons);
  CHECK(chosen.size() == 4);
  int small = 0;
  for (const std::string& each : chosen) {
    if (find(daemons, each).cpu_share < 0.2) ++small;
  }
  CHECK(small == 2);
}

// Guards against a slow owner that keeps the pool as its standbys are slow,
// too.
TEST_CASE("daemons on slow machines are standbys only without fast ones") {
  std::vector<daemon_info> daemons = make_daemons(100);
  std::set<std::string> slow = choose_standbys(daemons);
  for (const std::string& each : slow) {
    find(daemons, each).slowdown = 7;
    find(daemons, each).follows_journal = true;
  }
  for (const std::string& each : choose_standbys(daemons)) {
    CHECK(slow.count(each) == 0);
    CHECK(find(daemons, each).cpu_share == 0.5);
  }
}

TEST_CASE("daemons become standbys one after the other without an owner") {
  std::optional<milliseconds> near = milliseconds(5);
  std::optional<milliseconds> far = milliseconds(22);
  // The latest large daemon comes before the earliest small one.
  CHECK(standby_delay(false, far, 0.5, 0.99) <
        standby_delay(false, near, 0.12, 0));
  CHECK(standby_delay(false, near, 0.5, 0.5) <
        standby_delay(false, far, 0.5, 0.5));
  // Standbys replace a lost owner first.
  CHECK(standby_delay(true, near, 0.5, 0) >= milliseconds(2000));
}

// Time until a daemon without an owner becomes a standby. The directory's reads
// take 1.1 s each; every `lost_every`-th gets no reply. Empty: never.
std::optional<milliseconds> time_to_standby(int lost_every) {
  constexpr milliseconds kTick{100};
  constexpr int kTicksPerRead = 11;
  standby_wait wait;
  steady_time now{std::chrono::hours(1)};
  steady_time begun = now;
  steady_time read_sent = now;
  steady_time current_as_of = now;
  for (int tick = 1; tick < 600; ++tick) {
    now += kTick;
    if (tick % kTicksPerRead == 0) {
      bool lost = tick / kTicksPerRead % lost_every == 0;
      if (!lost) current_as_of = read_sent;
      read_sent = now;
    }
    milliseconds age =
        std::chrono::duration_cast<milliseconds>(now - current_as_of);
    if (advance_standby_wait(&wait, true, age, milliseconds(2500), now)) {
      return std::chrono::duration_cast<milliseconds>(now - begun);
    }
  }
  return std::nullopt;
}

// Guards against a region that stays without an owner because single reads of
// the directory are lost.
TEST_CASE("a lost read of the directory only delays a standby") {
  std::optional<milliseconds> undisturbed = time_to_standby(1000);
  REQUIRE(undisturbed.has_value());
  CHECK(*undisturbed <= milliseconds(2700));
  std::optional<milliseconds> disturbed = time_to_standby(2);
  REQUIRE(disturbed.has_value());
  CHECK(*disturbed <= milliseconds(6000));
}

TEST_CASE("no daemon becomes a standby while the directory is unreadable") {
  CHECK_FALSE(time_to_standby(1).has_value());
}

TEST_CASE("a new registry keeps each daemon's role") {
  steady_time start = steady_time() + std::chrono::hours(1);
  daemon_registry registry(start);
  std::vector<daemon_info> daemons = make_daemons(30);
  daemons.back().follows_journal = true;
  for (const daemon_info& each : daemons) registry.record(each, start);
  CHECK(registry.is_standby(daemons.back().id, start));
  CHECK_FALSE(registry.is_standby(daemons.front().id, start));
  steady_time later = start + std::chrono::seconds(3);
  CHECK(registry.is_standby(daemons.front().id, later));
}

TEST_CASE("silent daemons are neither standbys nor relays") {
  steady_time start = steady_time() + std::chrono::hours(1);
  daemon_registry registry(start);
  std::vector<daemon_info> daemons = make_daemons(30);
  for (const daemon_info& each : daemons) registry.record(each, start);
  steady_time later = start + std::chrono::seconds(5);
  registry.record(daemons.front(), later);
  registry.record(daemons.back(), later);
  CHECK(registry.relays_for(daemons.front().id, later) ==
        std::vector<std::string>{daemons.back().peer_address});
  CHECK(registry.is_standby(daemons.back().id, later));
  CHECK_FALSE(registry.is_standby(daemons[1].id, later));
}

TEST_CASE("the number of relays doesn't grow with the number of daemons") {
  steady_time start = steady_time() + std::chrono::hours(1);
  daemon_registry registry(start);
  std::vector<daemon_info> daemons = make_daemons(147);
  for (const daemon_info& each : daemons) registry.record(each, start);
  std::vector<std::string> relays =
      registry.relays_for(daemons.front().id, start);
  CHECK(relays.size() == 8);
  CHECK(relays == registry.relays_for(daemons.front().id, start));
}

}  // namespace

}  // namespace ebonygrade::poold
