// Tests with workers that have more ends to report than one report holds.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr std::uint32_t kTasks = 2;

// A worker that runs two tasks, and returns one end at a time.
struct unlisted_pool : test_pool {
  unlisted_pool() {
    add_worker("w1");
    submit(kJob, {step(kTasks, 1000)});
    starts = round();
    REQUIRE(starts.size() == kTasks);
    confirm(starts);
    report_running(10);
  }

  void report_running(std::uint32_t percent) {
    worker_report running;
    for (const start_order& each : starts) {
      running.running.push_back(reported_run_of(each, percent));
    }
    report("w1", std::move(running));
  }

  // Both tasks have ended; the report has room for the end of one.
  void report_end(std::size_t which) {
    worker_report ended;
    ended.ended = {reported_end_of(which + 1, starts[which], end_kind::done)};
    ended.has_all_ends = false;
    report("w1", std::move(ended));
  }

  void check_complete() {
    report_end(1);
    CHECK(round().empty());
    CHECK(job_state(kJob) == jobs::state::complete);
  }

  std::vector<start_order> starts;
};

// Guards against a second run of a task that had ended `done`: its end was
// behind those that the worker returned while the store was down.
TEST_CASE("a run whose end isn't listed yet isn't lost") {
  unlisted_pool pool;
  pool.advance(milliseconds(1000));
  pool.report_end(0);
  CHECK(pool.round().empty());
  pool.check_complete();
}

TEST_CASE("a run of an earlier owner whose end isn't listed yet isn't lost") {
  unlisted_pool pool;
  worker_entry entry = pool.state.workers.at("w1").entry;
  pool.take_over();
  observe_worker_entry(&pool.state, entry, pool.now);
  pool.report_end(0);
  CHECK(pool.round().empty());
  pool.check_complete();
}

TEST_CASE("a stopped run whose end isn't listed yet isn't lost") {
  unlisted_pool pool;
  for (placement& each : pool.state.workers.at("w1").placements) {
    each.stop_wanted = true;
  }
  decisions orders;
  pool.round(&orders);
  REQUIRE(orders.stops.size() == kTasks);
  for (const stop_order& each : orders.stops) {
    observe_stop(&pool.state, each, true, pool.now);
  }
  pool.advance(milliseconds(100));
  pool.report_end(0);
  CHECK(pool.round().empty());
  pool.check_complete();
}

// Guards against stops of ended runs, and against avoiding their workers.
TEST_CASE("a run whose end isn't listed yet isn't taken as hung") {
  unlisted_pool pool;
  decisions orders;
  for (int i = 0; i < 6; ++i) {
    pool.advance(milliseconds(1000));
    pool.report_end(0);
    pool.round(&orders);
    CHECK(orders.stops.empty());
  }
  CHECK(pool.state.workers.at("w1").avoid_until <= pool.now);
  pool.check_complete();
}

}  // namespace

}  // namespace ebonygrade::pool
