// Tests of what the record of a release tells the next owner.
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
  }

  std::vector<start_order> round_after(milliseconds time) {
    advance(time);
    report("w2", {});
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

}  // namespace

}  // namespace ebonygrade::pool
