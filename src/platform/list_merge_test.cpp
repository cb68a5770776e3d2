#include "platform/list_merge.h"

#include <catch2/catch.hpp>

namespace platform = ebonygrade::platform;
namespace wire = ebonygrade::wire;

TEST_CASE("a delta is applied to the list") {
  wire::vm_list list;
  list.set_version(1);
  list.add_workers()->set_id("w1");
  list.add_workers()->set_id("w2");
  wire::vm_list delta;
  delta.set_version(4);
  delta.set_delta(true);
  delta.add_workers()->set_id("w3");
  wire::worker_vm* changed = delta.add_workers();
  changed->set_id("w2");
  changed->set_state(wire::leaving);
  delta.add_removed("w1");
  platform::merge(list, delta);
  CHECK(list.version() == 4);
  CHECK_FALSE(list.delta());
  REQUIRE(list.workers_size() == 2);
  for (const wire::worker_vm& vm : list.workers()) {
    CHECK(vm.id() != "w1");
    CHECK((vm.id() != "w2" || vm.state() == wire::leaving));
  }
}

TEST_CASE("a complete list replaces the previous one") {
  wire::vm_list list;
  list.add_workers()->set_id("w1");
  wire::vm_list update;
  update.add_daemons()->set_id("d1");
  platform::merge(list, update);
  CHECK(list.workers_size() == 0);
  CHECK(list.daemons_size() == 1);
}
