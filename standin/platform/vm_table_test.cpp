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

TEST_CASE("a change is shown after the lag") {
  platform::vm_table table;
  table.lag = milliseconds(500);
  platform::change(table, worker("w1"), kNow);
  CHECK(show(table, 0, kNow + milliseconds(499)).workers_size() == 0);
  CHECK(show(table, 0, kNow + milliseconds(500)).workers_size() == 1);
}

TEST_CASE("a reader gets what changed since its version") {
  platform::vm_table table;
  platform::change(table, worker("w1"), kNow);
  platform::change(table, worker("w2"), kNow);
  std::uint64_t version = show(table, 0, kNow).version();
  CHECK(show(table, version, kNow).workers_size() == 0);
  platform::change(table, platform::vm_removal{"w1"}, kNow);
  wire::worker_vm changed = worker("w2");
  changed.set_state(wire::leaving);
  platform::change(table, changed, kNow);
  wire::vm_list delta = show(table, version, kNow);
  CHECK(delta.delta());
  REQUIRE(delta.workers_size() == 1);
  CHECK(delta.workers(0).state() == wire::leaving);
  REQUIRE(delta.removed_size() == 1);
  CHECK(delta.removed(0) == "w1");
}

TEST_CASE("an unknown version gets the whole list") {
  platform::vm_table table;
  table.version = 50;
  table.oldest_delta = 50;
  platform::change(table, worker("w1"), kNow);
  CHECK_FALSE(show(table, 49, kNow).delta());
  CHECK_FALSE(show(table, 1000, kNow).delta());
  CHECK(show(table, 49, kNow).workers_size() == 1);
}
