#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/mesh_test.h"

namespace membership = ebonygrade::membership;
namespace ownership = ebonygrade::ownership;
using ebonygrade::clock::milliseconds;
using membership::mesh;

namespace {

// Ten daemons s0.. in sofia and four p0.. in plovdiv, running for a minute.
mesh make_cell() {
  mesh cell(std::vector<membership::zone_location>{{"sofia-a", "sofia"},
                                                   {"plovdiv-a", "plovdiv"}});
  for (int i = 0; i < 14; ++i) {
    bool sofia = i < 10;
    std::string id =
        sofia ? "s" + std::to_string(i) : "p" + std::to_string(i - 10);
    cell.start(id, sofia ? "sofia" : "plovdiv");
    cell.list(id, sofia ? "sofia-a" : "plovdiv-a");
  }
  cell.publish();
  cell.run(milliseconds(60000));
  return cell;
}

// Number of pairs in which the one holds the other for silent.
int count_silent(mesh& cell) {
  int count = 0;
  for (auto& [observer, node] : cell.nodes()) {
    for (const ownership::member& each : membership::members(node.membership)) {
      if (each.unresponsive_for > milliseconds(0)) ++count;
    }
  }
  return count;
}

milliseconds longest_silence(mesh& cell) {
  milliseconds longest{0};
  for (auto& [observer, node] : cell.nodes()) {
    for (const ownership::member& each : membership::members(node.membership)) {
      longest = std::max(longest, each.unresponsive_for);
    }
  }
  return longest;
}

bool cross_regions(const std::string& from, const std::string& to) {
  return from[0] != to[0];
}

}  // namespace

TEST_CASE("regions cut off for an hour hold nobody for dead") {
  mesh cell = make_cell();
  cell.delivers = [](const std::string& from, const std::string& to) {
    return !cross_regions(from, to);
  };
  cell.run(std::chrono::minutes(60));
  CHECK(count_silent(cell) == 0);
  cell.at("p1").running = false;  // Seen in its own region all the same.
  cell.run(milliseconds(5000));
  CHECK(cell.observed_member("p0", "p1").unresponsive_for > milliseconds(0));
  CHECK(cell.observed_member("s0", "p1").unresponsive_for == milliseconds(0));
  cell.delivers = [](const std::string&, const std::string&) { return true; };
  cell.run(milliseconds(30000));
  CHECK(cell.observed_member("s0", "p1").unresponsive_for > milliseconds(0));
}

TEST_CASE("one direction lost between two daemons makes neither silent") {
  mesh cell = make_cell();
  cell.delivers = [](const std::string& from, const std::string& to) {
    return from != "s1" || to != "s2";
  };
  milliseconds longest{0};
  for (int i = 0; i < 600; ++i) {
    cell.run(milliseconds(100));
    longest = std::max(longest, longest_silence(cell));
  }
  CHECK(longest < milliseconds(3000));  // Ownership takes over from there.
}

TEST_CASE("a daemon that nobody hears any more is silent for everyone") {
  mesh cell = make_cell();
  cell.delivers = [](const std::string& from, const std::string&) {
    return from != "s1";
  };
  cell.run(milliseconds(6000));
  for (auto& [observer, node] : cell.nodes()) {
    if (observer == "s1") continue;
    CHECK(cell.observed_member(observer, "s1").unresponsive_for >=
          milliseconds(2000));
  }
  CHECK(cell.observed_member("s1", "s2").unresponsive_for == milliseconds(0));
}

TEST_CASE("a daemon that returns from a pause judges nobody by it") {
  mesh cell = make_cell();
  cell.at("s1").paused = true;
  cell.run(std::chrono::minutes(10));
  CHECK(cell.observed_member("s2", "s1").unresponsive_for > milliseconds(0));
  cell.at("s1").paused = false;
  cell.run(milliseconds(100));
  CHECK_FALSE(membership::is_settled(cell.at("s1").membership));
  for (const ownership::member& each :
       membership::members(cell.at("s1").membership)) {
    CHECK(each.unresponsive_for == milliseconds(0));
  }
  cell.run(milliseconds(5000));
  CHECK(membership::is_settled(cell.at("s1").membership));
  CHECK(count_silent(cell) == 0);
}

TEST_CASE("lists that differ for ten seconds make nobody silent") {
  mesh cell = make_cell();
  for (int i = 10; i < 13; ++i) {
    std::string id = "s" + std::to_string(i);
    cell.start(id, "sofia");
    cell.list(id, "sofia-a");
    cell.publish(id);
    cell.publish("s0");
    cell.publish("s1");
  }
  milliseconds longest{0};
  for (int i = 0; i < 100; ++i) {
    cell.run(milliseconds(100));
    longest = std::max(longest, longest_silence(cell));
  }
  CHECK(longest < milliseconds(3000));  // Ownership takes over from there.
  CHECK(count_silent(cell) == 0);
  cell.publish();
  cell.run(milliseconds(10000));
  CHECK(count_silent(cell) == 0);
  CHECK(cell.observed_member("p0", "s12").alive_for > milliseconds(0));
}

TEST_CASE("after a wave of restarts everyone is alive for everyone") {
  mesh cell = make_cell();
  for (int i = 0; i < 10; ++i) {
    std::string id = "s" + std::to_string(i);
    cell.at(id).running = false;
    cell.run(milliseconds(5000));
    cell.start(id, "sofia");
    cell.publish(id);
    cell.run(milliseconds(1000));
  }
  cell.run(milliseconds(20000));
  CHECK(count_silent(cell) == 0);
  for (auto& [id, node] : cell.nodes()) {
    CHECK(cell.observed_member("p0", id).alive_for > milliseconds(0));
  }
}
