// How long ended jobs stay known.
#include <catch2/catch.hpp>

#include "pool/pool_pvt.h"
#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr milliseconds kSecond{1000};
// Longest time for which an ended job may stay known in these tests.
constexpr milliseconds kLatestDeletion{180000};

// A pool in which kJob has just completed.
struct pool_with_ended_job : test_pool {
  steady_time ended;

  pool_with_ended_job() {
    add_worker("w1");
    submit(kJob, {step(1, 1000)});
    std::vector<start_order> starts = round();
    confirm(starts);
    report("w1",
           {{}, 1, {}, {reported_end_of(1, starts.at(0), end_kind::done)}});
    round();
    ended = now;
    REQUIRE(job_state(kJob) == jobs::state::complete);
  }

  bool knows_job() const { return jobs::find(table, kJob) != nullptr; }

  // Runs a round every second until `age` has passed since the end, with a new
  // owner after each `owner_time`.
  void run_until(milliseconds age, milliseconds owner_time = kLatestDeletion) {
    for (int i = 1; now - ended < age; ++i) {
      advance(kSecond);
      if (i % (owner_time / kSecond) == 0) take_over();
      round();
    }
  }

  void check_retention(milliseconds owner_time = kLatestDeletion) {
    run_until(state.limits.status_time, owner_time);
    CHECK(knows_job());
    run_until(kLatestDeletion, owner_time);
    CHECK_FALSE(knows_job());
  }
};

// A jump ahead deleted every ended job at once: callers got a 410, and a
// repeated submission ran again.
TEST_CASE("an ended job stays known when the time of day jumps ahead") {
  pool_with_ended_job pool;
  pool.wall += std::chrono::minutes(10);
  pool.round();
  CHECK(pool.knows_job());
  pool.check_retention();
}

TEST_CASE("an ended job stays known to an owner whose time of day is ahead") {
  pool_with_ended_job pool;
  pool.wall += std::chrono::minutes(10);
  pool.take_over();
  pool.round();
  CHECK(pool.knows_job());
  pool.check_retention();
}

// The job stayed known for the time of the jump.
TEST_CASE("an ended job is deleted by an owner whose time of day is behind") {
  pool_with_ended_job pool;
  pool.wall -= std::chrono::minutes(10);
  pool.take_over();
  pool.check_retention();
}

TEST_CASE(
    "an ended job stays known when the time of day jumps back and ahead") {
  pool_with_ended_job pool;
  pool.wall -= std::chrono::minutes(10);
  pool.round();
  pool.wall += std::chrono::minutes(20);
  pool.check_retention();
}

// No owner lasts for status_time, so none sees the whole retention itself.
TEST_CASE("an ended job is deleted although the owner changes every minute") {
  pool_with_ended_job pool;
  pool.check_retention(std::chrono::minutes(1));
}

// The updated owner knows no pool time of the end.
TEST_CASE("an end recorded by an earlier version counts from the takeover") {
  pool_with_ended_job pool;
  wire::job_progress saved = pool.table.jobs.at(kJob).progress;
  saved.clear_ended_pool_time_ms();
  pool.apply({jobs::progress_key(kJob), saved.SerializeAsString(), 0});
  pool.advance(std::chrono::minutes(1));
  pool.take_over();
  pool.ended = pool.now;
  pool.check_retention();
}

TEST_CASE("the pool time is never ahead of the time that has passed") {
  test_pool pool;
  steady_time begun = pool.now;
  for (int i = 1; i < 300; ++i) {
    pool.advance(kSecond);
    if (i % 7 == 0) pool.take_over();
    pool.round();
    REQUIRE(pool_time(pool.state, pool.now) <= pool.now - begun);
  }
  // Each of the 42 changes of owner loses two seconds at most.
  CHECK(pool_time(pool.state, pool.now) >= std::chrono::seconds(299 - 2 * 42));
}

// Callers see the end when its record is confirmed, which an outage of the
// store puts off.
TEST_CASE("an ended job stays known from when its end was confirmed") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  cancel_job(&pool.state, kJob, pool.wall);
  journal_batch end = take_batch(&pool.state, pool.now);
  pool.advance(std::chrono::seconds(15));
  for (const jobs::record& each : end.records) pool.apply(each);
  observe_batch_written(&pool.state, end, pool.now);
  REQUIRE(pool.job_state(kJob) == jobs::state::cancelled);
  pool.advance(pool.state.limits.status_time - kSecond);
  pool.round();
  CHECK(jobs::find(pool.table, kJob) != nullptr);
}

// A repeated submission within status_time must not start the job again.
TEST_CASE(
    "a repeated submission after a jump of the time of day starts nothing") {
  pool_with_ended_job pool;
  pool.wall += std::chrono::minutes(10);
  pool.round();
  pool.submit(kJob, {test_pool::step(1, 1000)});
  CHECK(pool.round().empty());
}

// A repeated submission would start a task beside its former run.
TEST_CASE("a cancelled job stays known while a worker reports a run of it") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  pool.confirm(starts);
  cancel_job(&pool.state, kJob, pool.wall);
  worker_report report;
  report.running.push_back(reported_run_of(starts.at(0)));
  for (milliseconds age{0}; age < kLatestDeletion; age += kSecond) {
    pool.advance(kSecond);
    pool.report("w1", report);
    pool.round();
  }
  CHECK(jobs::find(pool.table, kJob) != nullptr);
  pool.report(
      "w1", {{}, 1, {}, {reported_end_of(1, starts.at(0), end_kind::stopped)}});
  pool.round();
  pool.round();
  CHECK(jobs::find(pool.table, kJob) == nullptr);
}

}  // namespace

}  // namespace ebonygrade::pool
