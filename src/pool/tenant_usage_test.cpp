// Quotas of tenants, on a pool without I/O.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "pool/manifest.h"
#include "pool/test_tenants.h"

namespace ebonygrade::pool {

namespace {

TEST_CASE("a tenant's runs stay within its quota and the excess") {
  tenant_pool pool({{"a", 1, {10000, 0, 0}}}, 0.1);
  pool.add_worker("w1", 32000);
  for (int i = 0; i < 20; ++i) {
    pool.submit_for("a", "j" + std::to_string(i), {pool.step(1, 1000)});
  }
  CHECK(pool.round().size() == 11);
  CHECK(pool.round().empty());
  CHECK(pool.tenant("a").used.cpu_milli == 11000);
  CHECK(pool.tenant("a").held_steps == 9);
}

TEST_CASE("each limited resource holds work back") {
  tenant_pool pool({{"a", 1, {0, 250, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "j", {pool.step(5, 1000)});  // 100 MB a task.
  CHECK(pool.round().size() == 2);
}

// Guards against a part of a gang that runs alone.
TEST_CASE("a gang starts whole within the quota or not at all") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "small", {pool.step(1, 1000)});
  pool.confirm(pool.round());
  pool.submit_for("a", "gang", {pool.gang(4, 1000)});
  CHECK(pool.round().empty());
  pool.end_all("w1");
  CHECK(pool.round().size() == 4);
}

TEST_CASE("a run counts until its worker can't run it any more") {
  tenant_pool pool({{"a", 1, {1000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "first", {pool.step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  pool.confirm(starts);
  pool.submit_for("a", "second", {pool.step(1, 1000)});
  cancel_job(&pool.state, "first", pool.wall);
  SECTION("while it is being stopped") { CHECK(pool.round().empty()); }
  SECTION("after a takeover, before its worker has replied") {
    pool.round();
    pool.take_over();
    CHECK(pool.tenant("a").used.cpu_milli == 1000);
    pool.add_worker("w2", 32000);
    CHECK(pool.round().empty());
  }
}

// Guards against a run that neither its worker nor its tenant is charged for.
TEST_CASE("a run that is left of a job that has ended counts when reported") {
  tenant_pool pool({{"a", 1, {1000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "ended", {pool.step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  pool.confirm(starts);
  pool.add_worker("w2", 32000);
  start_order late = starts.front();
  ++late.run;
  worker_report with_late;
  with_late.running.push_back(reported_run_of(late));
  pool.report("w2", with_late);
  pool.end_all("w1");
  pool.round();
  REQUIRE(pool.job_state("ended") == jobs::state::complete);
  pool.take_over();
  pool.add_worker("w1", 32000);
  pool.add_worker("w2", 32000);
  pool.report("w2", with_late);
  CHECK(pool.state.workers.at("w2").used.cpu_milli == 1000);
  CHECK(pool.tenant("a").used.cpu_milli == 1000);
  pool.submit_for("a", "next", {pool.step(1, 1000)});
  CHECK(pool.round().empty());
}

// Guards against a start that was placed under the former quota.
TEST_CASE("a quota that is lowered before the start is sent holds it back") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "gang", {pool.gang(4, 1000)});
  decide(&pool.state, pool.now, pool.wall);
  journal_batch batch = take_batch(&pool.state, pool.now);
  REQUIRE(batch.starts.size() == 4);
  pool.set({{"a", 1, {3000, 0, 0}}});
  observe_journal_write(&pool.state, pool.now);
  CHECK(observe_batch_written(&pool.state, batch, pool.now).empty());
  CHECK(pool.tenant("a").used.cpu_milli == 0);
  CHECK(pool.round().empty());
}

TEST_CASE("a quota that is lowered stops nothing that runs") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "j", {pool.step(6, 1000)});
  pool.confirm(pool.round());
  pool.set({{"a", 1, {2000, 0, 0}}});
  decisions made;
  CHECK(pool.round(&made).empty());
  CHECK(made.stops.empty());
  pool.end_all("w1");
  CHECK(pool.round().size() == 2);
}

TEST_CASE("the usage is counted anew when the manifest gets tenants") {
  tenant_pool pool({}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "j", {pool.step(3, 1000)});
  CHECK(pool.round().size() == 3);
  pool.set({{"a", 1, {4000, 0, 0}}});
  CHECK(pool.tenant("a").used.cpu_milli == 3000);
  pool.submit_for("a", "k", {pool.step(3, 1000)});
  CHECK(pool.round().size() == 1);
}

// Guards against a gang that the small work of its tenant keeps waiting.
TEST_CASE("a gang that its quota holds back accumulates headroom") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  // Behind the gang by deadline.
  pool.submit_for("a", "running", {pool.step(3, 1000)});
  pool.confirm(pool.round());
  pool.submit_for("a", "gang", {pool.gang(2, 1000)});
  pool.advance(milliseconds(10));
  pool.submit_for("a", "later", {pool.step(1, 1000)});
  CHECK(pool.round().empty());
  pool.end_one("w1");
  CHECK(pool.round().size() == 2);
  CHECK(pool.state.jobs.at("gang").placed);
}

// The load of the tenant's own urgent steps, which come before its gangs.
TEST_CASE("steps ahead of a gang leave it headroom once it has waited") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "first", {pool.step(4, 1000)});
  pool.confirm(pool.round());
  pool.submit_for("a", "gang", {pool.gang(4, 1000)}, kLowQueue);
  pool.play(milliseconds(8000), milliseconds(1000), [&](int tick) {
    if (tick % 10 == 0) {
      pool.submit_for("a", "u" + std::to_string(tick), {pool.step(1, 1000)});
    }
  });
  CHECK(pool.state.jobs.at("gang").placed);
  CHECK(pool.most_used("a").cpu_milli <= 4000);
}

// Guards against a gang of nearly the whole quota that holds everything back.
TEST_CASE("a job of a tenant under half of its quota starts within 3 s") {
  tenant_pool pool({{"a", 1, {10000, 0, 0}}}, 0.1);
  pool.add_worker("w1", 64000);
  pool.submit_for("a", "long", {pool.step(3, 1000)});
  pool.run_time["long"] = milliseconds(60000);
  pool.confirm(pool.round());
  // It can't start while the long job runs.
  pool.submit_for("a", "gang", {pool.gang(10, 1000)});
  pool.play(milliseconds(12000), milliseconds(1000), [&](int tick) {
    if (tick % 20 == 0) {
      pool.submit_for("a", "s" + std::to_string(tick), {pool.step(1, 500)},
                      tick % 40 == 0 ? kQueue : kLowQueue);
    }
  });
  CHECK(pool.longest_wait_under_half <= milliseconds(3000));
  CHECK_FALSE(pool.state.jobs.at("gang").placed);
}

// Guards against a backlog of gangs that starves the urgent work of its tenant.
TEST_CASE("urgent steps start between the gangs of a backlog") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  wire::step_definition gang = pool.gang(3, 1000);
  gang.set_estimate_ms(10000);  // They have value until the end of the test.
  for (int i = 0; i < 30; ++i) {
    pool.submit_for("a", "g" + std::to_string(i), {gang}, kLowQueue);
  }
  pool.play(milliseconds(20000), milliseconds(1000), [&](int tick) {
    if (tick % 25 == 0) {
      pool.submit_for("a", "u" + std::to_string(tick), {pool.step(1, 1000)});
    }
  });
  CHECK(pool.ended_of("g") >= 6);
  CHECK(pool.ended_of("u") >= 20);
}

// A burst of small urgent jobs beside wide ones of the same tenant and of
// another. Guards against urgent work that waits behind headroom, and against
// wide work that never gets it.
TEST_CASE("a burst of urgent jobs and wide gangs both go on under a quota") {
  tenant_pool pool({{"a", 100, {16000, 0, 0}}, {"b", 100, {16000, 0, 0}}}, 0.1);
  for (int i = 0; i < 4; ++i) pool.add_worker("w" + std::to_string(i), 10000);
  wire::step_definition wide = pool.gang(8, 1000);
  wide.set_estimate_ms(5000);
  pool.play(milliseconds(15000), milliseconds(1000), [&](int tick) {
    if (tick % 100 == 0) {
      std::string number = std::to_string(tick);
      pool.submit_for("a", "ga" + number, {wide}, kLowQueue);
      pool.submit_for("b", "gb" + number, {wide}, kLowQueue);
    }
    bool bursts = tick >= 150 && tick < 350;
    if (tick % 50 == 0 || (bursts && tick % 4 == 0)) {
      pool.submit_for("a", "u" + std::to_string(tick), {pool.step(1, 1500)});
    }
  });
  CHECK(pool.most_used("a").cpu_milli <= 17600);
  CHECK(pool.longest_wait_under_half <= milliseconds(3000));
  CHECK(pool.ended_of("ga") >= 5);
  CHECK(pool.ended_of("gb") >= 7);
  CHECK(pool.ended_of("u") >= 50);
}

TEST_CASE("a gang beyond a lowered quota doesn't hold back its tenant") {
  tenant_pool pool({{"a", 1, {4000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  pool.submit_for("a", "running", {pool.step(1, 2500)});
  pool.confirm(pool.round());
  pool.submit_for("a", "gang", {pool.gang(4, 1000)});
  pool.set({{"a", 1, {3500, 0, 0}}});
  pool.advance(milliseconds(10));
  pool.submit_for("a", "small", {pool.step(1, 1000)});
  CHECK(pool.round().size() == 1);
}

TEST_CASE("the begin and the end of holding back are told once each") {
  tenant_pool pool({{"a", 1, {2000, 0, 0}}}, 0);
  pool.add_worker("w1", 32000);
  for (int i = 0; i < 12; ++i) {
    pool.submit_for("a", "j" + std::to_string(i), {pool.step(1, 1000)});
  }
  pool.play(milliseconds(12000), milliseconds(1000), [](int) {});
  REQUIRE(pool.state.tenant_events.size() == 2);
  CHECK(pool.state.tenant_events[0].holds);
  CHECK(pool.state.tenant_events[0].held_steps == 10);
  CHECK_FALSE(pool.state.tenant_events[1].holds);
  CHECK(pool.state.tenant_events[1].held_for > milliseconds(4000));
}

}  // namespace

}  // namespace ebonygrade::pool
