// Tests of what the journal tells a later owner of workers' leases.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr milliseconds kSilence{5000};
// A lease lasts 6 s, and 3% longer on a slow clock.
constexpr milliseconds kRestOfLease{1200};
// Longer than the time between records of the pool time.
constexpr milliseconds kTick{2100};

// A task on w1, which has been silent for a while. Another worker has room.
struct silent_pool : test_pool {
  silent_pool() {
    add_worker("w1", 1000);
    submit(kJob, {step(1, 1000)});
    std::vector<start_order> starts = round();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    advance(milliseconds(1000));
    report("w1", {{}, 1, {reported_run_of(starts.front())}, {}});
    REQUIRE(grant_lease(&state, "w1", now) > worker_time(0));
    add_worker("w2", 1000);
    advance(kSilence);
  }

  // Replaces the owner, and reads the entry of the worker with room.
  void replace_owner() {
    take_over();
    add_worker("w2", 1000);
    observe_directory_read(&state, now);
  }

  std::vector<start_order> round_after(milliseconds time) {
    advance(time);
    report("w2", {});
    observe_directory_read(&state, now);
    return round();
  }
};

// Guards against tasks that wait for the longest lease anew with each owner, as
// when daemons restart one after another.
TEST_CASE("a later owner waits no longer than a released lease lasts") {
  silent_pool pool;
  pool.release();
  pool.replace_owner();
  CHECK(pool.round_after(milliseconds(500)).empty());
  CHECK(pool.round_after(kRestOfLease).size() == 1);
}

TEST_CASE("each of several releases tells what is left of a lease") {
  silent_pool pool;
  for (int i = 0; i < 3; ++i) {
    pool.release();
    pool.replace_owner();
    pool.advance(milliseconds(300));
  }
  CHECK(pool.round_after(kRestOfLease).size() == 1);
}

TEST_CASE("without a release a later owner waits for the longest lease") {
  silent_pool pool;
  pool.replace_owner();
  CHECK(pool.round_after(kRestOfLease).empty());
  pool.advance(max_previous_owner_lease(pool.state.limits));
  CHECK(pool.round_after(milliseconds(1)).size() == 1);
}

// The owner in between may have renewed the lease.
TEST_CASE("a release before another claim tells nothing") {
  silent_pool pool;
  pool.release();
  pool.replace_owner();
  pool.replace_owner();
  CHECK(pool.round_after(kRestOfLease).empty());
}

TEST_CASE("a lease of another incarnation tells nothing") {
  silent_pool pool;
  pool.state.workers.at("w1").entry.incarnation_ms = 2;
  pool.release();
  pool.replace_owner();
  CHECK(pool.round_after(kRestOfLease).empty());
}

TEST_CASE("an owner grants no lease after its release") {
  silent_pool pool;
  pool.report("w2", {});
  observe_journal_write(&pool.state, pool.now);
  CHECK(grant_lease(&pool.state, "w2", pool.now) > worker_time(0));
  pool.release();
  CHECK(grant_lease(&pool.state, "w2", pool.now) == worker_time(0));
}

// A task on w1, which has been silent under an owner that has noticed it.
struct recorded_pool : silent_pool {
  recorded_pool() { round(); }
};
// What is left of the lease, and the pool time that a change of owner loses.
constexpr milliseconds kRestWithLoss = kRestOfLease + milliseconds(2000);

// Guards against tasks that wait for the longest lease anew with each owner
// that is killed.
TEST_CASE("a later owner knows how long a silent worker's lease lasts") {
  recorded_pool pool;
  pool.replace_owner();
  CHECK(pool.round_after(milliseconds(500)).empty());
  CHECK(pool.round_after(kRestWithLoss).size() == 1);
}

TEST_CASE("several changes of owner don't prolong a silent worker's lease") {
  recorded_pool pool;
  for (int i = 0; i < 4; ++i) {
    pool.replace_owner();
    CHECK(pool.round_after(milliseconds(300)).empty());
  }
  CHECK(pool.round_after(kRestWithLoss).size() == 1);
}

// A worker that has never replied to an owner may have had a lease from the
// owner before, and from none after that.
TEST_CASE("an owner records the leases that it assumes") {
  silent_pool pool;
  pool.replace_owner();
  observe_directory_read(&pool.state, pool.now);
  pool.round();
  milliseconds longest = max_previous_owner_lease(pool.state.limits);
  // The pool time is written every 2 s.
  pool.advance(milliseconds(2500));
  pool.round();
  pool.advance(milliseconds(500));
  pool.replace_owner();
  CHECK(pool.round_after(longest - milliseconds(4000)).empty());
  CHECK(pool.round_after(milliseconds(3000)).size() == 1);
}

TEST_CASE("a worker gets no lease until the record of its last is deleted") {
  recorded_pool pool;
  REQUIRE(pool.table.silent_workers.count("w1") == 1);
  task_key task = {kJob, 0, 0, 0};
  pool.report("w1", {{}, 1, {{task, 1, {}, 50}}, {}});
  CHECK(grant_lease(&pool.state, "w1", pool.now) == worker_time(0));
  pool.round();
  CHECK(pool.table.silent_workers.empty());
  CHECK(grant_lease(&pool.state, "w1", pool.now) > worker_time(0));
  // The later owner knows of no end of this lease.
  pool.replace_owner();
  CHECK(pool.round_after(kRestWithLoss).empty());
}

// The deletion is on its way when the worker falls silent again.
TEST_CASE("a record isn't written while its deletion is on its way") {
  recorded_pool pool;
  task_key task = {kJob, 0, 0, 0};
  pool.report("w1", {{}, 1, {{task, 1, {}, 50}}, {}});
  journal_batch batch = take_batch(&pool.state, pool.now);
  REQUIRE(batch.deleted_leases.size() == 1);
  pool.advance(milliseconds(3000));
  decide(&pool.state, pool.now, pool.wall);
  journal_batch next = take_batch(&pool.state, pool.now);
  CHECK(next.deleted_leases.empty());
  for (const jobs::record& each : next.records) {
    CHECK(each.key != jobs::silent_worker_key("w1"));
  }
  CHECK(grant_lease(&pool.state, "w1", pool.now) == worker_time(0));
}

// The start may be carried out late, by another incarnation of the worker.
TEST_CASE("a worker that may still get a start has no record of its lease") {
  test_pool pool;
  pool.add_worker("w1", 1000);
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.round().size() == 1);
  pool.advance(milliseconds(3000));
  pool.round();
  CHECK(pool.table.silent_workers.empty());
}

// Guards against a lease that is taken as over by what the journal tells of
// another incarnation, which an owner may have recorded before its takeover.
TEST_CASE("the recorded lease of another incarnation tells nothing") {
  recorded_pool pool;
  wire::silent_worker other = pool.table.silent_workers.at("w1").record;
  other.set_incarnation_ms(2);
  pool.apply({jobs::silent_worker_key("w1"), other.SerializeAsString(), 0});
  pool.replace_owner();
  CHECK(pool.round_after(kRestWithLoss).empty());
  // The owner records what it waits for itself.
  CHECK(pool.table.silent_workers.at("w1").record.incarnation_ms() == 1);
}

// The next incarnation may have confirmed the start, with a lease of its own.
TEST_CASE("the record of a lease is deleted once the worker has restarted") {
  test_pool pool;
  pool.add_worker("w1", 1000);
  pool.submit(kJob, {test_pool::step(1, 1000)});
  pool.confirm(pool.round());
  pool.advance(kSilence);
  pool.round();
  REQUIRE(pool.table.silent_workers.count("w1") == 1);
  pool.read_restart("w1");
  pool.round();
  CHECK(pool.table.silent_workers.empty());
}

// The start may be carried out late, by another incarnation of the worker.
TEST_CASE("a release tells no lease of a worker that may still get a start") {
  test_pool pool;
  pool.add_worker("w1", 1000);
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.round().size() == 1);
  pool.advance(kSilence);
  pool.release();
  pool.take_over();
  pool.add_worker("w2", 1000);
  pool.advance(kRestOfLease);
  pool.report("w2", {});
  CHECK(pool.round().empty());
}

// The worker has restarted, which the directory tells, and its next incarnation
// may carry out the start that it got no reply to.
TEST_CASE("no recorded lease is over before the owner knows the workers") {
  test_pool pool;
  pool.add_worker("w1", 1000);
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.round().size() == 1);
  pool.take_over();
  observe_directory_read(&pool.state, pool.now);
  milliseconds longest = max_previous_owner_lease(pool.state.limits);
  for (milliseconds passed{0}; passed < longest; passed += kTick) {
    pool.advance(kTick);
    if (passed + kTick < longest) pool.round();
  }
  pool.take_over();
  pool.advance(milliseconds(1000));
  pool.round();
  pool.add_worker("w2", 1000);
  worker_entry restarted = pool.state.workers.at("w2").entry;
  restarted.id = "w1";
  restarted.incarnation_ms = 2;
  observe_worker_entry(&pool.state, restarted, pool.now);
  CHECK(pool.round().empty());
}

TEST_CASE("the record of a lease is deleted with the last run") {
  recorded_pool pool;
  pool.report("w2", {});
  pool.advance(kRestOfLease);
  pool.round();
  pool.round();
  CHECK(pool.table.silent_workers.empty());
}

TEST_CASE("a later owner deletes records of workers without runs") {
  recorded_pool pool;
  cancel_job(&pool.state, kJob, pool.wall);
  pool.report("w1", {});
  journal_batch lost = take_batch(&pool.state, pool.now);
  for (const jobs::record& each : lost.records) {
    if (each.key == jobs::progress_key(kJob)) pool.apply(each);
  }
  pool.replace_owner();
  pool.round();
  CHECK(pool.table.silent_workers.empty());
}

}  // namespace

}  // namespace ebonygrade::pool
