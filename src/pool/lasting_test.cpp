// Tests of tasks and gangs that last: they run until their job is cancelled,
// and start again however a run ends.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr std::uint32_t kMembers = 2;
// More of each than a task has attempts.
constexpr int kRunsOfAKind = 3;

// A lasting gang, with room for one member on each worker.
struct gang_pool : test_pool {
  gang_pool() {
    for (const char* id : {"w1", "w2"}) add_worker(id, 1000);
    wire::step_definition gang = step(kMembers, 1000);
    gang.set_gang(true);
    gang.set_long_running(true);
    submit(kJob, {gang});
  }

  // Starts the gang again, and lets it run for a while.
  std::vector<start_order> run() {
    // A worker may be avoided after several failed runs.
    for (int i = 0; i < 10; ++i) {
      advance(milliseconds(1000));
      for (const char* id : {"w1", "w2"}) report(id, {});
      std::vector<start_order> starts = round();
      if (starts.empty()) continue;
      REQUIRE(starts.size() == kMembers);
      confirm(starts);
      advance(milliseconds(1000));
      for (const start_order& each : starts) {
        report(each.worker, {{}, 1, {reported_run_of(each)}, {}});
      }
      return starts;
    }
    return {};
  }

  // Ends the run; the first member ends before the other.
  void end(const std::vector<start_order>& starts, end_kind first,
           end_kind other) {
    ++ends;
    report(starts[0].worker,
           {{}, 1, {}, {reported_end_of(ends, starts[0], first)}});
    report(starts[1].worker,
           {{}, 1, {}, {reported_end_of(ends, starts[1], other)}});
  }

  std::uint64_t ends = 0;  // Of each worker.
};

// Guards against lasting gangs that are shown as failed after some failed runs,
// or as complete after one that ended `done`.
TEST_CASE("a lasting gang restarts after any end") {
  gang_pool pool;
  for (std::pair<end_kind, end_kind> kinds :
       {std::pair{end_kind::failed, end_kind::broken},
        std::pair{end_kind::done, end_kind::done},
        std::pair{end_kind::lapsed, end_kind::broken},
        std::pair{end_kind::alone, end_kind::alone},
        std::pair{end_kind::stopped, end_kind::broken}}) {
    for (int i = 0; i < kRunsOfAKind; ++i) {
      std::vector<start_order> starts = pool.run();
      CAPTURE(static_cast<int>(kinds.first), i);
      REQUIRE(starts.size() == kMembers);
      pool.end(starts, kinds.first, kinds.second);
    }
  }
  CHECK(pool.run().size() == kMembers);
  CHECK(pool.job_state(kJob) == jobs::state::running);
}

TEST_CASE("failed runs of a lasting gang under several owners don't count") {
  gang_pool pool;
  for (int i = 0; i < kRunsOfAKind; ++i) {
    std::vector<start_order> starts = pool.run();
    REQUIRE(starts.size() == kMembers);
    pool.end(starts, end_kind::failed, end_kind::broken);
    pool.round();
    std::vector<worker_entry> entries = {pool.state.workers.at("w1").entry,
                                         pool.state.workers.at("w2").entry};
    pool.take_over();
    for (const worker_entry& each : entries) {
      observe_worker_entry(&pool.state, each, pool.now);
    }
  }
  CHECK(pool.run().size() == kMembers);
  CHECK(pool.job_state(kJob) == jobs::state::running);
}

TEST_CASE("a cancelled lasting gang is stopped and doesn't restart") {
  gang_pool pool;
  std::vector<start_order> starts = pool.run();
  REQUIRE(starts.size() == kMembers);
  cancel_job(&pool.state, kJob, pool.wall);
  decisions orders;
  CHECK(pool.round(&orders).empty());
  CHECK(orders.stops.size() == kMembers);
  pool.end(starts, end_kind::stopped, end_kind::broken);
  CHECK(pool.run().empty());
  CHECK(pool.job_state(kJob) == jobs::state::cancelled);
}

// Guards against lasting tasks that wait behind all other work, since their job
// was accepted many objectives ago.
TEST_CASE("a lasting task restarts before work that was accepted later") {
  test_pool pool;
  pool.add_worker("w1", 1000);
  wire::step_definition lasting = test_pool::step(1, 1000);
  lasting.set_long_running(true);
  pool.submit(kJob, {lasting});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  pool.confirm(starts);
  for (int i = 0; i < 60; ++i) {
    pool.advance(milliseconds(1000));
    pool.report("w1", {{}, 1, {reported_run_of(starts[0])}, {}});
  }
  pool.submit("00000000000000ab", {test_pool::step(1, 1000)});
  pool.report("w1",
              {{}, 1, {}, {reported_end_of(1, starts[0], end_kind::failed)}});
  starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == kJob);
}

// Its members end `done` together, and one such end stands for all.
TEST_CASE("a gang that doesn't last completes and uses up its attempts") {
  for (end_kind kind : {end_kind::done, end_kind::failed}) {
    test_pool pool;
    pool.add_worker("w1");
    wire::step_definition gang = test_pool::step(kMembers, 1000);
    gang.set_gang(true);
    pool.submit(kJob, {gang});
    std::uint32_t runs = kind == end_kind::done ? 1 : pool.policy.attempts;
    std::vector<start_order> starts = pool.round();
    for (std::uint32_t run = 1; run <= runs; ++run) {
      REQUIRE(starts.size() == kMembers);
      CHECK(pool.job_state(kJob) != jobs::state::failed);
      pool.confirm(starts);
      pool.advance(milliseconds(100));
      pool.report("w1", {{}, 1, {}, {reported_end_of(run, starts[0], kind)}});
      pool.report("w1", {});
      starts = pool.round();
    }
    CHECK(starts.empty());
    CHECK(
        pool.job_state(kJob) ==
        (kind == end_kind::done ? jobs::state::complete : jobs::state::failed));
  }
}

}  // namespace

}  // namespace ebonygrade::pool
