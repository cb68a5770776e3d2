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

// Ten daemons s0, s1, ... in sofia and four daemons p0, p1, ... in plovdiv,
// after a minute of running.
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

// Number of pairs in which one daemon considers the other unresponsive.
int count_unresponsive(mesh& cell) {
  int count = 0;
  for (auto& [observer, node] : cell.nodes()) {
    for (const ownership::member& each : membership::members(node.membership)) {
      if (each.unresponsive_for > milliseconds(0)) ++count;
    }
  }
  return count;
}

milliseconds longest_unresponsive_time(mesh& cell) {
  milliseconds longest{0};
  for (auto& [observer, node] : cell.nodes()) {
    for (const ownership::member& each : membership::members(node.membership)) {
      longest = std::max(longest, each.unresponsive_for);
    }
  }
  return longest;
}

bool crosses_regions(const std::string& from, const std::string& to) {
  return from[0] != to[0];
}

}  // namespace

TEST_CASE("regions partitioned for an hour consider no daemon unresponsive") {
  mesh cell = make_cell();
  cell.delivers = [](const std::string& from, const std::string& to) {
    return !crosses_regions(from, to);
  };
  cell.run(std::chrono::minutes(60));
  CHECK(count_unresponsive(cell) == 0);
  cell.at("p1").running = false;  // Detected in its own region.
  cell.run(milliseconds(5000));
  CHECK(cell.observed_member("p0", "p1").unresponsive_for > milliseconds(0));
  CHECK(cell.observed_member("s0", "p1").unresponsive_for == milliseconds(0));
  cell.delivers = [](const std::string&, const std::string&) { return true; };
  cell.run(milliseconds(30000));
  CHECK(cell.observed_member("s0", "p1").unresponsive_for > milliseconds(0));
}

TEST_CASE(
    "a one-way loss between two daemons makes neither unresponsive for long") {
  mesh cell = make_cell();
  cell.delivers = [](const std::string& from, const std::string& to) {
    return from != "s1" || to != "s2";
  };
  milliseconds longest{0};
  for (int i = 0; i < 600; ++i) {
    cell.run(milliseconds(100));
    longest = std::max(longest, longest_unresponsive_time(cell));
  }
  CHECK(longest < milliseconds(3000));  // Ownership takes over after 3 s.
}

TEST_CASE(
    "a daemon whose heartbeats are all lost is unresponsive for all others") {
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

TEST_CASE(
    "a daemon that resumes after a suspension judges no daemon unresponsive") {
  mesh cell = make_cell();
  cell.at("s1").suspended = true;
  cell.run(std::chrono::minutes(10));
  CHECK(cell.observed_member("s2", "s1").unresponsive_for > milliseconds(0));
  cell.at("s1").suspended = false;
  cell.run(milliseconds(100));
  CHECK_FALSE(membership::is_settled(cell.at("s1").membership));
  for (const ownership::member& each :
       membership::members(cell.at("s1").membership)) {
    CHECK(each.unresponsive_for == milliseconds(0));
  }
  cell.run(milliseconds(5000));
  CHECK(membership::is_settled(cell.at("s1").membership));
  CHECK(count_unresponsive(cell) == 0);
}

TEST_CASE(
    "daemon lists that differ for ten seconds make no daemon unresponsive for "
    "long") {
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
    longest = std::max(longest, longest_unresponsive_time(cell));
  }
  CHECK(longest < milliseconds(3000));  // Ownership takes over after 3 s.
  CHECK(count_unresponsive(cell) == 0);
  cell.publish();
  cell.run(milliseconds(10000));
  CHECK(count_unresponsive(cell) == 0);
  CHECK(cell.observed_member("p0", "s12").alive_for > milliseconds(0));
}

TEST_CASE("after a rolling restart all daemons are alive for each other") {
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
  CHECK(count_unresponsive(cell) == 0);
  for (auto& [id, node] : cell.nodes()) {
    CHECK(cell.observed_member("p0", id).alive_for > milliseconds(0));
  }
}
