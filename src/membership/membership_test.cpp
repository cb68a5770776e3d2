#include "membership/membership.h"

#include <catch2/catch.hpp>

#include "membership/mesh_test.h"

namespace membership = ebonygrade::membership;
using ebonygrade::clock::milliseconds;
using membership::mesh;

namespace {

const std::vector<membership::zone_location>& zones() {
  static const std::vector<membership::zone_location> value{
      {"sofia-a", "sofia"}, {"sofia-b", "sofia"}, {"plovdiv-a", "plovdiv"}};
  return value;
}

// Starts and lists daemons s0, s1, ... in sofia and p0, p1, ... in plovdiv.
mesh make_cell(int sofia_daemons, int plovdiv_daemons) {
  mesh cell(zones());
  for (int i = 0; i < sofia_daemons; ++i) {
    std::string id = "s" + std::to_string(i);
    cell.start(id, "sofia");
    cell.list(id, i % 2 == 0 ? "sofia-a" : "sofia-b");
  }
  for (int i = 0; i < plovdiv_daemons; ++i) {
    std::string id = "p" + std::to_string(i);
    cell.start(id, "plovdiv");
    cell.list(id, "plovdiv-a");
  }
  cell.publish();
  return cell;
}

bool all_others_see(
    mesh& cell, const std::string& id,
    const std::function<bool(const ebonygrade::ownership::member&)>&
        predicate) {
  bool all = true;
  for (auto& [observer, node] : cell.nodes()) {
    if (observer == id || !node.running) continue;
    all = all && predicate(cell.observed_member(observer, id));
  }
  return all;
}

bool is_alive(const ebonygrade::ownership::member& member) {
  return member.unresponsive_for == milliseconds(0) &&
         member.alive_for > milliseconds(0);
}

bool is_unresponsive(const ebonygrade::ownership::member& member) {
  return member.unresponsive_for >= milliseconds(2000);
}

}  // namespace

TEST_CASE("running daemons are alive for each other, also across regions") {
  for (int size : {3, 9, 40}) {
    mesh cell = make_cell(size, 3);
    cell.run(milliseconds(60000));
    for (auto& [id, node] : cell.nodes()) {
      CHECK(membership::members(node.membership).size() == cell.nodes().size());
      CHECK(all_others_see(cell, id, is_alive));
    }
  }
}

TEST_CASE(
    "a failed daemon is unresponsive for all others soon after the limit") {
  for (int size : {3, 9, 40}) {
    mesh cell = make_cell(size, 3);
    cell.run(milliseconds(60000));
    cell.at("s1").running = false;
    cell.run(milliseconds(5000));
    CHECK(all_others_see(cell, "s1", is_unresponsive));
    CHECK(cell.observed_member("s0", "s1").alive_for == milliseconds(0));
    CHECK(all_others_see(cell, "s2", is_alive));
  }
}

TEST_CASE("the only daemon of a region is judged by other regions, but later") {
  mesh cell = make_cell(9, 1);
  cell.run(milliseconds(20000));
  CHECK(all_others_see(cell, "p0", is_alive));
  cell.at("p0").running = false;
  cell.run(milliseconds(8000));
  CHECK(all_others_see(cell, "p0", is_alive));
  cell.run(milliseconds(5000));
  CHECK(all_others_see(cell, "p0", is_unresponsive));
}

TEST_CASE("a listed daemon that never ran becomes unresponsive") {
  mesh cell = make_cell(9, 3);
  cell.list("ghost", "sofia-a");
  cell.publish();
  cell.run(milliseconds(1000));
  CHECK(cell.observed_member("s0", "ghost").alive_for == milliseconds(0));
  cell.run(milliseconds(4000));
  CHECK(all_others_see(cell, "ghost", is_unresponsive));
}

TEST_CASE(
    "a daemon removed from the list is leaving while it sends heartbeats") {
  mesh cell = make_cell(3, 0);
  cell.run(milliseconds(5000));
  cell.unlist("s1");
  cell.publish();
  cell.run(milliseconds(5000));
  CHECK(cell.observed_member("s0", "s1").id == "s1");
  CHECK(cell.observed_member("s0", "s1").leaving);
  CHECK(cell.observed_member("s1", "s1").leaving);
  cell.at("s1").running = false;
  cell.run(milliseconds(5000));
  CHECK(cell.observed_member("s0", "s1").id.empty());
}

TEST_CASE("a daemon that sends heartbeats but isn't listed yet is no member") {
  mesh cell = make_cell(3, 0);
  cell.start("s9", "sofia");
  cell.list("s9", "sofia-a");
  cell.publish("s9");  // The lists of the others are outdated.
  cell.run(milliseconds(3000));
  CHECK(cell.observed_member("s0", "s9").id.empty());
  cell.publish();
  cell.run(milliseconds(3000));
  CHECK(is_alive(cell.observed_member("s0", "s9")));
}

TEST_CASE("a new incarnation of a known id is alive only since its start") {
  mesh cell = make_cell(9, 0);
  cell.run(milliseconds(60000));
  CHECK(cell.observed_member("s0", "s1").alive_for > milliseconds(50000));
  cell.start("s1", "sofia");
  cell.publish("s1");
  cell.run(milliseconds(3000));
  CHECK(all_others_see(cell, "s1", [](const auto& member) {
    return is_alive(member) && member.alive_for < milliseconds(3001);
  }));
}

TEST_CASE("daemons that aren't neighbours learn that a daemon is leaving") {
  mesh cell = make_cell(40, 3);
  cell.run(milliseconds(5000));
  membership::local_status status;
  status.leaving = true;
  membership::set_local(cell.at("s1").membership, status);
  cell.run(milliseconds(4000));
  CHECK(all_others_see(cell, "s1",
                       [](const auto& member) { return member.leaving; }));
}

TEST_CASE("an older list and an empty list are ignored") {
  mesh cell = make_cell(3, 0);
  ebonygrade::wire::vm_list empty;
  empty.set_version(1000);
  membership::apply_list(cell.at("s0").membership, empty);
  CHECK(membership::members(cell.at("s0").membership).size() == 3);
  ebonygrade::wire::vm_list old;
  old.set_version(0);
  old.add_daemons()->set_id("s7");
  membership::apply_list(cell.at("s0").membership, old);
  CHECK(membership::members(cell.at("s0").membership).size() == 3);
}

TEST_CASE("the neighbour with the latest bundle roll is found") {
  mesh cell = make_cell(3, 0);
  membership::local_status status;
  status.bundle_roll = 7;
  membership::set_local(cell.at("s1").membership, status);
  cell.run(milliseconds(3000));
  CHECK(membership::newer_bundle_source(cell.at("s0").membership) == "s1");
  CHECK_FALSE(membership::newer_bundle_source(cell.at("s1").membership));
}

TEST_CASE("capacity views have an age, those of other regions are estimates") {
  mesh cell = make_cell(3, 3);
  membership::local_status status;
  status.capacity.mutable_free()->set_slots(10);
  for (auto& [id, node] : cell.nodes()) {
    membership::set_local(node.membership, status);
  }
  cell.run(milliseconds(10000));
  int whole_regions = 0;
  for (auto& [id, node] : cell.nodes()) {
    for (const membership::capacity_view& view :
         membership::capacity_views(node.membership)) {
      CHECK(view.age <= milliseconds(2000));
      CHECK(view.capacity.free().slots() == (view.whole_region ? 30 : 10));
      whole_regions += view.whole_region ? 1 : 0;
    }
  }
  CHECK(whole_regions ==
        8);  // In both regions, two border daemons have contact with two.
}
