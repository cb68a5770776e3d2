// Tests of tasks that crash the workers that start them, and of the sound tasks
// beside them.
#include <catch2/catch.hpp>

#include "pool/pool_pvt.h"
#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr char kOtherJob[] = "00000000000000ab";
constexpr milliseconds kDownTime{3000};

struct crash_pool : test_pool {
  // The worker's connection breaks, and later another id has its address.
  void crash(const std::string& id, milliseconds after = milliseconds(10)) {
    advance(after);
    observe_contact_lost(&state, id, now);
    advance(kDownTime);
    replace(id);
  }
  void replace(const std::string& id) {
    const worker_entry& entry = state.workers.at(id).entry;
    observe_worker_replaced(&state, id, entry.incarnation_ms, entry.address,
                            now);
    observe_worker_removed(&state, id, now);
  }
  // Starts what waits and confirms it.
  std::vector<start_order> start_all() {
    std::vector<start_order> starts = round();
    confirm(starts);
    return starts;
  }
};

// Guards against tasks that take down worker after worker.
TEST_CASE("a job fails once two workers have crashed under one of its tasks") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.start_all().size() == 1);
  bool takes_over = GENERATE(false, true);
  CAPTURE(takes_over);
  pool.crash("w1");
  pool.round();
  if (takes_over) pool.take_over();
  pool.add_worker("w2");
  REQUIRE(pool.start_all().size() == 1);
  CHECK(pool.job_state(kJob) == jobs::state::running);
  pool.crash("w2");
  pool.add_worker("w3");
  CHECK(pool.round().empty());
  CHECK(pool.job_state(kJob) == jobs::state::failed);
  CHECK(pool.state.counters.given_up_jobs == 1);
}

// Guards against sound jobs that are shown as failed since a deadly task ran
// beside them.
TEST_CASE("a task that was beside a deadly one runs alone and isn't given up") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  pool.submit(kOtherJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.start_all().size() == 2);
  pool.crash("w1");
  pool.add_worker("w2");
  pool.add_worker("w3");
  std::vector<start_order> starts = pool.start_all();
  REQUIRE(starts.size() == 2);
  REQUIRE(starts[0].worker != starts[1].worker);
  const start_order& sound = starts[1];
  pool.crash(starts[0].worker);
  pool.report(sound.worker, {{}, 1, {reported_run_of(sound)}, {}});
  pool.round();
  CHECK(pool.state.jobs.at(starts[0].task.job).outcome == wire::FAILED);
  CHECK(pool.state.jobs.at(sound.task.job).outcome == wire::OPEN);
  // It has passed its trial, so others may run beside it.
  pool.submit("00000000000000ac", {test_pool::step(1, 1000)});
  std::vector<start_order> beside = pool.round();
  REQUIRE(beside.size() == 1);
  CHECK(beside[0].worker == sound.worker);
}

TEST_CASE("nothing starts beside a task on trial") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.start_all().size() == 1);
  pool.crash("w1");
  pool.add_worker("w2");
  REQUIRE(pool.start_all().size() == 1);
  pool.submit(kOtherJob, {test_pool::step(1, 1000)});
  CHECK(pool.round().empty());
}

// The worker had finished the run, and its report was lost in the crash.
TEST_CASE("a run that may have ended before the crash proves nothing") {
  crash_pool pool;
  pool.submit(kJob, {test_pool::step(1, 1000)});
  for (const char* id : {"w1", "w2", "w3"}) {
    pool.add_worker(id);
    REQUIRE(pool.start_all().size() == 1);
    pool.crash(id, milliseconds(900));
  }
  pool.add_worker("w4");
  CHECK(pool.round().size() == 1);
}

TEST_CASE("the runs of a worker that was draining aren't suspected") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.start_all().size() == 1);
  worker_entry leaving = pool.state.workers.at("w1").entry;
  leaving.draining = true;
  observe_worker_entry(&pool.state, leaving, pool.now);
  pool.crash("w1");
  CHECK(pool.state.counters.worker_crashes == 0);
  CHECK(pool.state.counters.suspicions == 0);
}

// The start may have been confirmed by the incarnation that goes on.
TEST_CASE("a run that the next incarnation has wasn't lost in the crash") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.start_all();
  REQUIRE(starts.size() == 1);
  pool.advance(milliseconds(10));
  observe_contact_lost(&pool.state, "w1", pool.now);
  pool.read_restart("w1");
  pool.advance(milliseconds(100));
  bool has_run = GENERATE(true, false);
  worker_report report;
  report.incarnation_ms = 2;
  if (has_run) report.running.push_back(reported_run_of(starts[0]));
  pool.report("w1", report);
  const task& task =
      pool.state.jobs.at(kJob).occurrences.at(0).at(0).tasks.at(0);
  CHECK(task.crashed_runs.size() == (has_run ? 0 : 1));
}

// A start without a reply may still arrive after a restart, so its run is kept.
TEST_CASE("a run that is kept over two restarts of its worker counts once") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.round().size() == 1);
  for (std::int64_t incarnation : {2, 3}) {
    pool.advance(milliseconds(10));
    pool.read_restart("w1", incarnation);
  }
  const task& task =
      pool.state.jobs.at(kJob).occurrences.at(0).at(0).tasks.at(0);
  CHECK(task.crashed_runs.size() + task.vanished_runs.size() == 1);
}

// All replies to its starts are lost in the crashes.
TEST_CASE("a task whose starts are never confirmed is given up as well") {
  constexpr int kMostStarts = 5;
  crash_pool pool;
  pool.submit(kJob, {test_pool::step(1, 1000)});
  for (int i = 1; i <= kMostStarts; ++i) {
    std::string id = "w" + std::to_string(i);
    pool.add_worker(id);
    REQUIRE(pool.round().size() == 1);
    CHECK(pool.state.jobs.at(kJob).outcome == wire::OPEN);
    pool.crash(id);
  }
  pool.add_worker("w9");
  CHECK(pool.round().empty());
  CHECK(pool.state.jobs.at(kJob).outcome == wire::FAILED);
}

// Starts without a reply may not have arrived at the workers that restart.
TEST_CASE(
    "a task isn't given up after five starts that nothing ties to a crash") {
  constexpr int kMostStarts = 8;
  crash_pool pool;
  pool.submit(kJob, {test_pool::step(1, 1000)});
  bool takes_over = GENERATE(false, true);
  CAPTURE(takes_over);
  for (int i = 1; i <= kMostStarts; ++i) {
    std::string id = "w" + std::to_string(i);
    pool.add_worker(id);
    REQUIRE(pool.round().size() == 1);
    pool.advance(milliseconds(1000));
    pool.replace(id);
    if (takes_over && i < kMostStarts) {
      pool.round();
      pool.take_over();
    }
  }
  pool.add_worker("w9");
  CHECK(pool.round().empty());
  CHECK(pool.state.jobs.at(kJob).outcome == wire::FAILED);
}

// Guards against the loss of a lasting task that has seen many crashes in its
// life.
TEST_CASE("a lasting task that has run for long starts with a clean record") {
  crash_pool pool;
  wire::step_definition lasting = test_pool::step(1, 1000);
  lasting.set_long_running(true);
  pool.submit(kJob, {lasting});
  for (int i = 1; i <= 8; ++i) {
    std::string id = "w" + std::to_string(i);
    pool.add_worker(id);
    std::vector<start_order> starts = pool.start_all();
    REQUIRE(starts.size() == 1);
    for (std::uint32_t percent = 1; percent < 8; ++percent) {
      pool.advance(milliseconds(1000));
      observe_journal_write(&pool.state, pool.now);
      pool.report(id, {{}, 1, {reported_run_of(starts[0], percent)}, {}});
    }
    pool.crash(id);
  }
  CHECK(pool.state.jobs.at(kJob).outcome == wire::OPEN);
}

// Guards against a wait for a trial after each change of owner: the runs of
// workers that have left meanwhile are freed by their leases.
TEST_CASE("a task whose worker has left without a word isn't suspected yet") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.start_all().size() == 1);
  pool.take_over();
  pool.advance(max_previous_owner_lease(pool.state.limits) + milliseconds(1));
  observe_journal_write(&pool.state, pool.now);
  pool.add_worker("w2");
  pool.submit(kOtherJob, {test_pool::step(1, 1000)});
  CHECK(pool.round().size() == 2);
  CHECK(pool.state.counters.suspicions == 0);
}

// Starts on a worker that has crashed stay without a reply until it is back.
TEST_CASE("a worker whose connection broke gets no starts and keeps its runs") {
  crash_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.start_all();
  REQUIRE(starts.size() == 1);
  observe_contact_lost(&pool.state, "w1", pool.now);
  pool.submit(kOtherJob, {test_pool::step(1, 1000)});
  CHECK(pool.round().empty());
  CHECK(pool.state.workers.at("w1").placements.size() == 1);
  pool.advance(milliseconds(200));
  pool.report("w1", {{}, 1, {reported_run_of(starts[0])}, {}});
  CHECK(pool.round().size() == 1);
}

}  // namespace

}  // namespace ebonygrade::pool
