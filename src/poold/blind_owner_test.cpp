// An owner whose appends work while its reads of the store get no reply.
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

// The platform's shortest limits for starts after a cancellation, and after a
// worker's notice that it leaves, was acknowledged.
constexpr milliseconds kCancelTime{3000};
constexpr milliseconds kDrainTime{2500};
constexpr milliseconds kTaskTime{150};
// One task fills the worker, so that starts go on for half a minute.
constexpr std::uint32_t kTasks = 200;
constexpr std::uint32_t kTaskCpu = 3000;

struct blind_cell : cell {
  // The owner has begun a job of many tasks and can't read the topic any more.
  explicit blind_cell(const std::string& topic) {
    store.put("keyed.op", "config", kManifest);
    add_worker("w1", kTaskTime);
    add_node("n1");
    REQUIRE(wait_until([&] { return nodes[0]->owns_pool(); }));
    submit(kJob, kTasks, kTaskCpu);
    REQUIRE(wait_until([&] { return ledger.starts() > 0; }));
    store.block_reads(topic);
  }
  void pass(milliseconds time) {
    steady_time end = clock.now() + time;
    wait_until([&] { return clock.now() >= end; });
  }
  // Writes a record that changes nothing for the pool's job.
  void write_to(const std::string& topic) {
    if (topic == "keyed.servers") return workers[0]->announce("ready");
    wire::job_cancellation other;
    other.set_accepted_ms(1);
    store.put(topic, jobs::cancellation_key("00000000000000ff"),
              other.SerializeAsString());
  }
  // Starts later than `limit` from now on, within half of it.
  std::uint64_t starts_after(milliseconds limit) {
    pass(limit);
    std::uint64_t before = ledger.starts();
    REQUIRE(before < kTasks);
    pass(limit / 2);
    return ledger.starts() - before;
  }
};

// Guards against lost cancellations: other daemons acknowledge one once they
// have appended it, and an owner whose copy was 10 s old went on with the job.
TEST_CASE("no task of a cancelled job starts while the owner can't read") {
  blind_cell cell("keyed.journal");
  wire::job_cancellation cancellation;
  cancellation.set_accepted_ms(1);
  cell.store.put("keyed.journal", jobs::cancellation_key(kJob),
                 cancellation.SerializeAsString());
  CHECK(cell.starts_after(kCancelTime) == 0);
  cell.store.block_reads("");
  CHECK(cell.reaches_state(0, "cancelled"));
}

// Guards against the same for the notice of a worker.
TEST_CASE("no task starts on a worker that leaves while the owner can't read") {
  blind_cell cell("keyed.servers");
  cell.workers[0]->announce("draining");
  CHECK(cell.starts_after(kDrainTime) == 0);
}

// Leaves the daemons that read the topic behind its next record.
void leave_behind(blind_cell* cell, const std::string& topic) {
  cell->store.block_readers_behind(topic);
  cell->write_to(topic);
}

// Guards against a pool that starts nothing for good: standbys took an owner
// that could append as sound.
TEST_CASE("an owner that can't read hands over to a standby that can") {
  std::string topic = GENERATE("keyed.journal", "keyed.servers");
  CAPTURE(topic);
  blind_cell cell("");
  leave_behind(&cell, topic);
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.has_copy(1); }));
  steady_time ready = cell.clock.now();
  REQUIRE(cell.wait_until([&] { return cell.nodes[1]->owns_pool(); }));
  std::uint64_t before = cell.ledger.starts();
  REQUIRE(before < kTasks);
  CHECK(cell.wait_until([&] { return cell.ledger.starts() > before; }));
  CHECK(cell.clock.now() - ready < kCancelTime + kDrainTime);
  CHECK(cell.has_metric(0, "ebonygrade_pool_outdated_handovers_total 1"));
  CHECK(cell.ledger.violations().empty());
  // It leaves the pool to the new owner, also once it may claim again.
  cell.pass(kCancelTime + kDrainTime);
  CHECK(cell.nodes[1]->owns_pool());
  CHECK_FALSE(cell.nodes[0]->owns_pool());
}

// Guards against a pool that changes hands while no daemon can read.
TEST_CASE("a store that no daemon can read hands nothing over") {
  std::string topic = GENERATE("keyed.journal", "keyed.servers");
  CAPTURE(topic);
  blind_cell cell("");
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.has_copy(1); }));
  // The standby has announced its copy.
  cell.pass(milliseconds(1500));
  cell.store.block_reads(topic);
  cell.write_to(topic);
  cell.pass(kCancelTime + kDrainTime);
  CHECK(cell.nodes[0]->owns_pool());
  CHECK(cell.has_metric(0, "ebonygrade_pool_handovers_total 0"));
}

}  // namespace

}  // namespace ebonygrade::poold
