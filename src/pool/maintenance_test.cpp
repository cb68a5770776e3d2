#include "pool/maintenance.h"

#include <catch2/catch.hpp>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr milliseconds kMaintenanceTime{2000};

machine machine_with(const std::string& id, const std::string& worker,
                     machine_state state = machine_state::up) {
  return {id, kService, state, worker};
}

struct fixture {
  test_pool pool;
  maintenance_state maintenance;

  fixture() {
    pool.add_worker("w1");
    pool.add_worker("w2");
    observe_machines(&maintenance,
                     {machine_with("m1", "w1"), machine_with("m2", "w2")},
                     pool.now);
    observe_wave(&maintenance, {7, {"m1", "m2"}, milliseconds(20000), 1}, {},
                 pool.now);
  }
  std::vector<maintenance_order> decide() {
    return decide_maintenance(&maintenance, &pool.state, kMaintenanceTime,
                              pool.now);
  }
};

TEST_CASE("no more machines are down than the wave allows") {
  fixture f;
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m1");
  CHECK(f.decide().empty());
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun,
                      f.pool.now);
  CHECK(f.decide().empty());
  // The machine is down, then up without a worker, then up with a worker.
  observe_machines(&f.maintenance,
                   {machine_with("m1", "", machine_state::maintenance),
                    machine_with("m2", "w2")},
                   f.pool.now);
  CHECK(f.decide().empty());
  observe_machines(&f.maintenance,
                   {machine_with("m1", ""), machine_with("m2", "w2")},
                   f.pool.now);
  CHECK(f.decide().empty());
  observe_machines(&f.maintenance,
                   {machine_with("m1", "w3"), machine_with("m2", "w2")},
                   f.pool.now);
  orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m2");
  CHECK_FALSE(f.maintenance.waves[7].complete);
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun,
                      f.pool.now);
  f.decide();
  CHECK(f.maintenance.waves[7].complete);
  CHECK_FALSE(has_incomplete_wave(f.maintenance));
}

TEST_CASE("an order without a reply is repeated") {
  fixture f;
  std::vector<maintenance_order> orders = f.decide();
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::unknown,
                      f.pool.now);
  orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m1");
}

TEST_CASE("a busy machine is taken down only when the deadline is near") {
  fixture f;
  f.pool.submit("00000000000000aa",
                {test_pool::step(1, 4000), test_pool::step(1, 4000)});
  std::vector<start_order> starts = f.pool.round();
  REQUIRE(starts.size() == 2);
  f.pool.confirm(starts);
  CHECK(f.decide().empty());
  // The worker of the next machine gets no starts until then.
  CHECK(f.pool.state.workers["w1"].avoid_until > f.pool.now);
  f.pool.advance(milliseconds(13000));
  CHECK(f.decide().size() == 1);
}

TEST_CASE("a long-running step never misses more tasks than allowed") {
  fixture f;
  wire::step_definition long_running = test_pool::step(2, 3000);
  long_running.set_long_running(true);
  long_running.set_may_miss(1);
  f.pool.submit("00000000000000aa", {long_running});
  std::vector<start_order> starts = f.pool.round();
  REQUIRE(starts.size() == 2);
  f.pool.confirm(starts);
  f.pool.advance(milliseconds(19000));
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun,
                      f.pool.now);
  f.maintenance.waves[7].wave.max_down = 2;
  // One task is unplaced now, so the other one must stay.
  f.pool.report(
      "w1", {{}, 1, {}, {reported_end_of(1, starts[0], end_kind::stopped)}});
  CHECK(f.decide().empty());
}

TEST_CASE("a wave completes without a machine that has left") {
  fixture f;
  observe_machines(&f.maintenance, {machine_with("m2", "w2")}, f.pool.now);
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun,
                      f.pool.now);
  f.decide();
  CHECK(f.maintenance.waves[7].complete);
}

// A machine that joined in between is missing in the list, not gone.
TEST_CASE("a wave isn't complete by a list from before the wave was read") {
  fixture f;
  steady_time asked = f.pool.now;
  f.pool.advance(milliseconds(100));
  observe_wave(&f.maintenance, {8, {"m3"}, milliseconds(20000), 1}, {},
               f.pool.now);
  std::vector<machine> machines = {machine_with("m1", "w1"),
                                   machine_with("m2", "w2")};
  observe_machines(&f.maintenance, machines, asked);
  f.decide();
  CHECK_FALSE(f.maintenance.waves[8].complete);
  machines.push_back(machine_with("m3", "w3"));
  observe_machines(&f.maintenance, machines, f.pool.now);
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m3");
}

TEST_CASE("a later owner counts machines that the journal lists as begun") {
  fixture f;
  maintenance_state later;
  wire::wave_record record;
  record.add_ordered("m1");
  record.add_begun("m1");
  CHECK(observe_wave(&later, {7, {"m1", "m2"}, milliseconds(20000), 1}, record,
                     f.pool.now)
            .empty());
  CHECK(decide_maintenance(&later, &f.pool.state, kMaintenanceTime, f.pool.now)
            .empty());
  observe_machines(&later,
                   {machine_with("m1", "", machine_state::maintenance),
                    machine_with("m2", "w2")},
                   f.pool.now);
  CHECK(decide_maintenance(&later, &f.pool.state, kMaintenanceTime, f.pool.now)
            .empty());
}

TEST_CASE("a later owner repeats orders whose outcome is unknown") {
  fixture f;
  f.decide();
  wire::wave_record record = record_of(f.maintenance.waves[7]);
  maintenance_state later;
  observe_machines(&later, {machine_with("m1", "w1"), machine_with("m2", "w2")},
                   f.pool.now);
  std::vector<maintenance_order> again = observe_wave(
      &later, {7, {"m1", "m2"}, milliseconds(20000), 1}, record, f.pool.now);
  REQUIRE(again.size() == 1);
  CHECK(again[0].machine == "m1");
  // The machine counts as down until the outcome is known.
  CHECK(decide_maintenance(&later, &f.pool.state, kMaintenanceTime, f.pool.now)
            .empty());
}

// The reply to a list call can arrive after that to an order which was sent
// later and carried out in between.
TEST_CASE("a list from before an order doesn't show the machine as up again") {
  fixture f;
  steady_time asked = f.pool.now;
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  f.pool.advance(milliseconds(10));
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun,
                      f.pool.now);
  std::vector<machine> before = {machine_with("m1", "w1"),
                                 machine_with("m2", "w2")};
  f.pool.advance(milliseconds(10));
  observe_machines(&f.maintenance, before, asked);
  CHECK(f.decide().empty());
  observe_machines(&f.maintenance, before, f.pool.now);
  CHECK(f.decide().size() == 1);
}

// The platform is overloaded: the order is carried out without a reply, and its
// repetition is turned away.
TEST_CASE("a machine counts as down while its order is in doubt") {
  fixture f;
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m1");
  for (int i = 0; i < 2; ++i) {
    observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::unknown,
                        f.pool.now);
    f.pool.advance(milliseconds(500));
    observe_machines(&f.maintenance,
                     {machine_with("m1", "", machine_state::maintenance),
                      machine_with("m2", "w2")},
                     f.pool.now);
    orders = f.decide();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].machine == "m1");
    observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::busy,
                        f.pool.now);
    orders = f.decide();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].machine == "m1");
  }
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun,
                      f.pool.now);
  CHECK(f.decide().empty());
}

TEST_CASE("a worker gets no starts while its machine's order is in doubt") {
  fixture f;
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m1");
  f.pool.advance(milliseconds(2500));
  f.pool.report("w1", {});
  CHECK(f.decide().empty());
  CHECK(f.pool.state.workers["w1"].avoid_until > f.pool.now);
}

// As for this owner's orders.
TEST_CASE(
    "a machine counts as down while an earlier owner's order is in doubt") {
  fixture f;
  f.decide();
  wire::wave_record record = record_of(f.maintenance.waves[7]);
  maintenance_state later;
  std::vector<machine> machines = {
      machine_with("m1", "", machine_state::maintenance),
      machine_with("m2", "w2")};
  observe_machines(&later, machines, f.pool.now);
  std::vector<maintenance_order> again = observe_wave(
      &later, {7, {"m1", "m2"}, milliseconds(20000), 1}, record, f.pool.now);
  REQUIRE(again.size() == 1);
  observe_maintenance(&later, again[0], maintenance_outcome::busy, f.pool.now);
  std::vector<maintenance_order> orders =
      decide_maintenance(&later, &f.pool.state, kMaintenanceTime, f.pool.now);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m1");
}

}  // namespace

}  // namespace ebonygrade::pool
