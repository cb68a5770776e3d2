#include "platform/list_merge.h"

#include <catch2/catch.hpp>

namespace platform = ebonygrade::platform;
namespace wire = ebonygrade::wire;

TEST_CASE("changes are taken into the whole list") {
  wire::vm_list whole;
  whole.set_version(1);
  whole.add_workers()->set_id("w1");
  whole.add_workers()->set_id("w2");
  wire::vm_list delta;
  delta.set_version(4);
  delta.set_delta(true);
  delta.add_workers()->set_id("w3");
  wire::worker_vm* changed = delta.add_workers();
  changed->set_id("w2");
  changed->set_state(wire::leaving);
  delta.add_removed("w1");
  platform::merge(whole, delta);
  CHECK(whole.version() == 4);
  CHECK_FALSE(whole.delta());
  REQUIRE(whole.workers_size() == 2);
  for (const wire::worker_vm& vm : whole.workers()) {
    CHECK(vm.id() != "w1");
    CHECK((vm.id() != "w2" || vm.state() == wire::leaving));
  }
}

TEST_CASE("a whole list replaces the last one") {
  wire::vm_list whole;
  whole.add_workers()->set_id("w1");
  wire::vm_list read;
  read.add_daemons()->set_id("d1");
  platform::merge(whole, read);
  CHECK(whole.workers_size() == 0);
  CHECK(whole.daemons_size() == 1);
}
