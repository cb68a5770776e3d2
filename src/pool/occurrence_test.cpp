// Tests of scheduled jobs over takeovers, and of the order in which their
// occurrences begin.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kScheduled[] = "00000000000000aa";
constexpr milliseconds kInterval{250};

using occurrences = std::vector<std::uint32_t>;

// One worker, and a scheduled job of one task an occurrence.
struct scheduled_pool : test_pool {
  scheduled_pool(std::uint32_t repeats, std::int64_t cpu_milli) {
    add_worker("w1", cpu_milli);
    wire::job_submission job;
    job.set_queue(kQueue);
    job.set_service(kService);
    job.set_accepted_ms(wall.time_since_epoch().count());
    job.set_repeats(repeats);
    job.set_first_due_ms(wall.time_since_epoch().count());
    job.set_interval_ms(kInterval.count());
    *job.add_steps() = step(1, 1000);
    apply({jobs::submission_key(kScheduled), job.SerializeAsString(), 0});
    add_job(&state, kScheduled, table.jobs[kScheduled], now);
  }

  void advance_intervals(int count) {
    advance(kInterval * count);
    report_running();
  }

  void report_running() {
    worker_report listed;
    for (const start_order& each : running) {
      listed.running.push_back(reported_run_of(each));
    }
    report("w1", std::move(listed));
  }

  // Starts what there is room for.
  void start() {
    std::vector<start_order> starts = round();
    confirm(starts);
    for (start_order& each : starts) {
      begun.push_back(each.task.occurrence);
      running.push_back(std::move(each));
    }
  }

  void end_all() {
    worker_report listed;
    for (const start_order& each : running) {
      listed.ended.push_back(reported_end_of(++ends, each, end_kind::done));
    }
    running.clear();
    report("w1", std::move(listed));
  }

  void replace_owner() {
    worker_entry entry = state.workers.at("w1").entry;
    take_over();
    observe_worker_entry(&state, entry, now);
    report_running();
  }

  std::vector<start_order> running;
  occurrences begun;  // Occurrences, by start.
  std::uint64_t ends = 0;
};

// A job whose steps need tickets: the occurrence that is granted one begins.
struct ticketed_pool : scheduled_pool {
  explicit ticketed_pool(std::uint32_t repeats)
      : scheduled_pool(repeats, 100000) {
    policy.needs_advice = true;
    policy.advice_validity = milliseconds(2000);
    set_queues(&state, {{kQueue, policy}});
  }

  void grant(std::uint32_t occurrence) {
    decisions asked;
    round(&asked);
    for (const advice_request& each : asked.advice) {
      std::vector<ticket> tickets;
      if (each.occurrence == occurrence) tickets.push_back({"w1", "t"});
      observe_advice(&state, each, true, tickets, now + milliseconds(2000),
                     now);
    }
  }
};

// Guards against scheduled jobs that never end after a change of owner: their
// due occurrences that hadn't begun were left out if a later one had.
TEST_CASE("a takeover loses no occurrence that waits behind a later one") {
  constexpr std::uint32_t kRepeats = 6;
  ticketed_pool pool(kRepeats);
  pool.advance_intervals(4);
  pool.grant(3);
  pool.start();
  REQUIRE(pool.begun == occurrences{3});
  pool.policy.needs_advice = false;
  pool.replace_owner();
  for (int i = 0; i < 4; ++i) {
    pool.start();
    pool.advance_intervals(1);
    pool.end_all();
  }
  pool.round();
  std::sort(pool.begun.begin(), pool.begun.end());
  CHECK(pool.begun == occurrences{0, 1, 2, 3, 4, 5});
  CHECK(pool.job_state(kScheduled) == jobs::state::complete);
}

// Guards against a start before the due time: an earlier owner's time of day,
// which was ahead, had begun a later occurrence.
TEST_CASE("a later owner opens no occurrence before it is due") {
  ticketed_pool pool(4);
  constexpr milliseconds kAhead{10000};
  pool.wall += kAhead;
  pool.grant(3);
  pool.start();
  REQUIRE(pool.begun == occurrences{3});
  pool.wall -= kAhead;
  pool.policy.needs_advice = false;
  pool.replace_owner();
  pool.start();
  CHECK(pool.begun == occurrences{3, 0});
  pool.advance_intervals(1);
  pool.start();
  CHECK(pool.begun == occurrences{3, 0, 1});
}

// Guards against occurrences that wait while later ones begin.
TEST_CASE("occurrences that wait begin in the order of their due times") {
  constexpr int kRepeats = 24;
  scheduled_pool pool(kRepeats, 4000);
  pool.policy.target = milliseconds(60000);
  set_queues(&pool.state, {{kQueue, pool.policy}});
  pool.advance_intervals(kRepeats);
  pool.start();
  CHECK(pool.begun == occurrences{0, 1, 2, 3});
}

// Guards against occurrences that rank as without value since their job was
// accepted long ago.
TEST_CASE("an occurrence is late by its own due time") {
  constexpr int kRepeats = 100;
  constexpr char kBatch[] = "00000000000000ab";
  scheduled_pool pool(kRepeats, 1000);
  for (int i = 1; i < kRepeats; ++i) {
    pool.start();
    pool.advance_intervals(1);
    pool.end_all();
  }
  pool.submit(kBatch, {test_pool::step(1, 1000)});
  pool.start();
  CHECK(pool.begun.size() == kRepeats);
  CHECK(pool.running.front().task.job == kScheduled);
}

}  // namespace

}  // namespace ebonygrade::pool
