#include "standin/platform/vm_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace platform = ebonygrade::standin::platform;
namespace wire = ebonygrade::wire;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

namespace {

constexpr steady_time kNow{std::chrono::seconds(100)};

wire::worker_vm worker(const std::string& id) {
  wire::worker_vm vm;
  vm.set_id(id);
  return vm;
}

}  // namespace

TEST_CASE("a change becomes visible after the lag") {
  platform::vm_table table;
  table.lag = milliseconds(500);
  platform::add_change(table, worker("w1"), kNow);
  CHECK(list_vms(table, 0, kNow + milliseconds(499)).workers_size() == 0);
  CHECK(list_vms(table, 0, kNow + milliseconds(500)).workers_size() == 1);
}

TEST_CASE("a reader gets the changes since its version") {
  platform::vm_table table;
  platform::add_change(table, worker("w1"), kNow);
  platform::add_change(table, worker("w2"), kNow);
  std::uint64_t version = list_vms(table, 0, kNow).version();
  CHECK(list_vms(table, version, kNow).workers_size() == 0);
  platform::add_change(table, platform::vm_removal{"w1"}, kNow);
  wire::worker_vm changed = worker("w2");
  changed.set_state(wire::leaving);
  platform::add_change(table, changed, kNow);
  wire::vm_list delta = list_vms(table, version, kNow);
  CHECK(delta.delta());
  REQUIRE(delta.workers_size() == 1);
  CHECK(delta.workers(0).state() == wire::leaving);
  REQUIRE(delta.removed_size() == 1);
  CHECK(delta.removed(0) == "w1");
}

TEST_CASE("an unknown version gets the whole list") {
  platform::vm_table table;
  table.version = 50;
  table.oldest_delta_base = 50;
  platform::add_change(table, worker("w1"), kNow);
  CHECK_FALSE(list_vms(table, 49, kNow).delta());
  CHECK_FALSE(list_vms(table, 1000, kNow).delta());
  CHECK(list_vms(table, 49, kNow).workers_size() == 1);
}
