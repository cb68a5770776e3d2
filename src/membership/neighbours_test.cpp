#include "membership/neighbours.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace membership = ebonygrade::membership;

namespace {

std::vector<std::string> make_ids(int count) {
  std::vector<std::string> ids;
  for (int i = 0; i < count; ++i) ids.push_back("vm-" + std::to_string(i));
  return ids;
}

// Largest number of hops from the first daemon to any other; -1 if a daemon
// can't be reached.
int max_hops(const std::vector<std::string>& ids, std::size_t ring_count) {
  std::set<std::string> reached{ids.front()};
  std::set<std::string> frontier = reached;
  int hops = 0;
  while (!frontier.empty() && reached.size() < ids.size()) {
    std::set<std::string> next;
    for (const std::string& id : frontier) {
      for (const std::string& each :
           membership::ring_neighbours(id, ids, 6, ring_count)) {
        if (reached.insert(each).second) next.insert(each);
      }
    }
    frontier = std::move(next);
    ++hops;
  }
  return reached.size() == ids.size() ? hops : -1;
}

}  // namespace

TEST_CASE("a small region is a full mesh, a large one has few neighbours") {
  CHECK(membership::ring_neighbours("vm-0", make_ids(6), 6, 3).size() == 5);
  CHECK(membership::ring_neighbours("vm-0", make_ids(1), 6, 3).empty());
  for (const std::string& id : make_ids(200)) {
    std::size_t count =
        membership::ring_neighbours(id, make_ids(200), 6, 3).size();
    CHECK(count >= 4);
    CHECK(count <= 6);
  }
}

TEST_CASE("neighbours are mutual and any two daemons are few hops apart") {
  std::vector<std::string> ids = make_ids(200);
  for (const std::string& id : ids) {
    for (const std::string& each : membership::ring_neighbours(id, ids, 6, 3)) {
      CHECK(membership::ring_neighbours(each, ids, 6, 3).count(id) == 1);
    }
  }
  int hops = max_hops(ids, 3);
  CHECK(hops > 0);
  CHECK(hops <= 6);
}

TEST_CASE("a join changes the neighbours of a few daemons only") {
  std::vector<std::string> before = make_ids(50);
  std::vector<std::string> after = make_ids(51);
  int changed = 0;
  for (const std::string& id : before) {
    if (membership::ring_neighbours(id, before, 6, 3) !=
        membership::ring_neighbours(id, after, 6, 3)) {
      ++changed;
    }
  }
  CHECK(changed <= 6);
}

TEST_CASE("the border daemons don't depend on the order of the ids") {
  std::vector<std::string> ids = make_ids(9);
  std::vector<std::string> reversed(ids.rbegin(), ids.rend());
  CHECK(membership::border_daemons(ids, 2).size() == 2);
  CHECK(membership::border_daemons(ids, 2) ==
        membership::border_daemons(reversed, 2));
  CHECK(membership::border_daemons({"only"}, 2).size() == 1);
}
