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
                     {machine_with("m1", "w1"), machine_with("m2", "w2")});
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
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun);
  CHECK(f.decide().empty());
  // Still down, then up without a worker, then back.
  observe_machines(&f.maintenance,
                   {machine_with("m1", "", machine_state::maintenance),
                    machine_with("m2", "w2")});
  CHECK(f.decide().empty());
  observe_machines(&f.maintenance,
                   {machine_with("m1", ""), machine_with("m2", "w2")});
  CHECK(f.decide().empty());
  observe_machines(&f.maintenance,
                   {machine_with("m1", "w3"), machine_with("m2", "w2")});
  orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m2");
  CHECK_FALSE(f.maintenance.waves[7].complete);
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun);
  f.decide();
  CHECK(f.maintenance.waves[7].complete);
  CHECK_FALSE(has_incomplete_wave(f.maintenance));
}

TEST_CASE("an order without an answer is given again") {
  fixture f;
  std::vector<maintenance_order> orders = f.decide();
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::unknown);
  orders = f.decide();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].machine == "m1");
}

TEST_CASE("a machine empties first while there is time") {
  fixture f;
  f.pool.submit("00000000000000aa",
                {test_pool::step(1, 4000), test_pool::step(1, 4000)});
  std::vector<start_order> starts = f.pool.round();
  REQUIRE(starts.size() == 2);
  f.pool.confirm(starts);
  CHECK(f.decide().empty());
  // The next one gets no starts meanwhile.
  CHECK(f.pool.state.workers["w1"].avoid_until > f.pool.now);
  f.pool.advance(milliseconds(13000));
  CHECK(f.decide().size() == 1);
}

TEST_CASE("a step that lasts keeps the tasks that it may not miss") {
  fixture f;
  wire::step_definition lasts = test_pool::step(2, 3000);
  lasts.set_long_running(true);
  lasts.set_may_miss(1);
  f.pool.submit("00000000000000aa", {lasts});
  std::vector<start_order> starts = f.pool.round();
  REQUIRE(starts.size() == 2);
  f.pool.confirm(starts);
  f.pool.advance(milliseconds(19000));
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun);
  f.maintenance.waves[7].wave.max_down = 2;
  // One task is away now; the other must stay.
  f.pool.report(
      "w1", {{}, 1, {}, {reported_end_of(1, starts[0], end_kind::stopped)}});
  CHECK(f.decide().empty());
}

TEST_CASE("a machine that has left doesn't keep a wave open") {
  fixture f;
  observe_machines(&f.maintenance, {machine_with("m2", "w2")});
  std::vector<maintenance_order> orders = f.decide();
  REQUIRE(orders.size() == 1);
  observe_maintenance(&f.maintenance, orders[0], maintenance_outcome::begun);
  f.decide();
  CHECK(f.maintenance.waves[7].complete);
}

TEST_CASE("a later owner counts what the journal says has begun as down") {
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
  observe_machines(&later, {machine_with("m1", "", machine_state::maintenance),
                            machine_with("m2", "w2")});
  CHECK(decide_maintenance(&later, &f.pool.state, kMaintenanceTime, f.pool.now)
            .empty());
}

TEST_CASE("a later owner repeats orders without a known answer") {
  fixture f;
  f.decide();
  wire::wave_record record = record_of(f.maintenance.waves[7]);
  maintenance_state later;
  observe_machines(&later,
                   {machine_with("m1", "w1"), machine_with("m2", "w2")});
  std::vector<maintenance_order> again = observe_wave(
      &later, {7, {"m1", "m2"}, milliseconds(20000), 1}, record, f.pool.now);
  REQUIRE(again.size() == 1);
  CHECK(again[0].machine == "m1");
  // It counts as down until its fate is known.
  CHECK(decide_maintenance(&later, &f.pool.state, kMaintenanceTime, f.pool.now)
            .empty());
}

}  // namespace

}  // namespace ebonygrade::pool
