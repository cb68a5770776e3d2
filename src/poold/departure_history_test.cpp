// A worker leaves while the pool has no owner, over loopback.
#include "poold/departure_history.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

constexpr char kEntries[] = "keyed.servers";
constexpr char kGang[] =
    R"({"spec":"s","steps":[{"count":2,"cpu":3000,"memMb":1,"estMs":100,)"
    R"("gang":true}]})";
constexpr std::uint64_t kMembers = 2;
constexpr milliseconds kEndless{600000};
// The lease of an earlier owner may last for 9.3 s after a takeover.
constexpr milliseconds kRestartTime{5000};

// A gang of two fills two of three workers. Its owner has ended.
struct ownerless_cell : cell {
  ownerless_cell() {
    store.put("keyed.op", "config", kManifest);
    for (const char* id : {"w1", "w2", "w3"}) add_worker(id, kEndless);
    add_node("n1");
    REQUIRE(wait_until([&] { return nodes[0]->owns_pool(); }));
    wire::job_submission job;
    wire::step_definition* step = job.add_steps();
    step->set_count(kMembers);
    ledger.add_job(kJob, job, 2);
    REQUIRE(call(0, http::verb::post, "/q/" + std::string(kJob), kGang).first ==
            200);
    REQUIRE(wait_until([&] { return ledger.starts() == kMembers; }));
    // The owner's record of the confirmed starts.
    REQUIRE(wait_until([&] {
      return call(0, http::verb::get, "/q/" + std::string(kJob)).second ==
             R"({"state":"running"})";
    }));
    nodes[0].reset();
    left = workers[0]->replies(standin::worker_host::kStart) > 0 ? 0 : 1;
  }

  std::string left_id() const { return "w" + std::to_string(left + 1); }

  void beat() {
    for (std::size_t i = 0; i < workers.size(); ++i) {
      if (i != left) workers[i]->announce("ready");
    }
  }

  // The worker drains and exits; its entry is removed after `beats` heartbeats
  // of the others.
  void leave(int beats) {
    beat();
    workers[left]->announce("draining");
    workers[left]->crash();
    for (int i = 0; i < beats; ++i) beat();
    store.put(kEntries, left_id(), "");
    beat();
  }

  // Adds another daemon, which takes over.
  void add_owner() {
    add_node("n2");
    REQUIRE(wait_until([&] { return nodes[1]->owns_pool(); }));
  }

  // Whether the gang starts again in time.
  bool restarts() {
    clock::steady_time end = clock.now() + kRestartTime;
    while (ledger.starts() < 2 * kMembers && clock.now() < end) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
    for (const std::string& each : ledger.violations()) UNSCOPED_INFO(each);
    CHECK(ledger.violations().empty());
    return ledger.starts() >= 2 * kMembers;
  }

  std::size_t left = 0;  // Index of the worker that leaves.
};

// Guards against a gang that waits for the longest lease of an earlier owner,
// as a member's worker left before the owner read the directory.
TEST_CASE("a gang doesn't wait for a worker that left between two owners") {
  ownerless_cell cell;
  cell.leave(0);
  cell.add_owner();
  CHECK(cell.restarts());
  CHECK(cell.has_metric(1, "ebonygrade_pool_departures_traced_total 1"));
  CHECK(cell.has_metric(1, "ebonygrade_pool_runs_departed_total 1"));
}

// Its entry is in the directory when the new owner loads it.
TEST_CASE("a gang doesn't wait for a worker that leaves during a takeover") {
  ownerless_cell cell;
  cell.beat();
  cell.workers[cell.left]->announce("draining");
  cell.workers[cell.left]->crash();
  cell.add_owner();
  REQUIRE(cell.wait_until(
      [&] { return cell.has_metric(1, "ebonygrade_pool_workers 3"); }));
  cell.store.put(kEntries, cell.left_id(), "");
  cell.beat();
  CHECK(cell.restarts());
}

TEST_CASE("a worker whose entry expired between two owners keeps its runs") {
  ownerless_cell cell;
  cell.leave(3);
  cell.add_owner();
  CHECK_FALSE(cell.restarts());
}

TEST_CASE("a worker that replies keeps its runs after a removal of its entry") {
  ownerless_cell cell;
  cell.beat();
  cell.workers[cell.left]->announce("draining");
  cell.store.put(kEntries, cell.left_id(), "");
  cell.beat();
  cell.add_owner();
  REQUIRE(cell.wait_until([&] {
    return cell.has_metric(1, "ebonygrade_pool_departures_traced_total 1");
  }));
  CHECK_FALSE(cell.restarts());
  CHECK(cell.has_metric(1, "ebonygrade_pool_runs_departed_total 0"));
}

// Guards against a search that hangs where the store has dropped the history.
TEST_CASE("a history that the store has dropped tells of no departure") {
  ownerless_cell cell;
  cell.leave(0);
  cell.store.compact(kEntries);
  cell.add_owner();
  CHECK_FALSE(cell.restarts());
  CHECK(cell.has_metric(1, "ebonygrade_pool_departures_traced_total 0"));
}

TEST_CASE("the history that is read is bounded") {
  CHECK(history_begin({3, 10}) == 0);
  CHECK(history_begin({1000, 10}) == 950);
  CHECK(history_begin({100000, 3000}) == 92000);
}

}  // namespace

}  // namespace ebonygrade::poold
