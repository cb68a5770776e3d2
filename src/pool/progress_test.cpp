// Tests of runs that take long, and of runs that hang.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr char kJob[] = "00000000000000aa";

// One worker that runs a single task. It takes `length`; its job says
// `estimate`.
struct long_pool : test_pool {
  long_pool(milliseconds task_length, milliseconds estimate)
      : length(task_length) {
    add_worker("w1");
    wire::step_definition step = test_pool::step(1, 1000);
    step.set_estimate_ms(static_cast<std::uint32_t>(estimate.count()));
    submit(kJob, {step});
  }

  std::uint32_t percent() const {
    milliseconds worked = std::min(worked_for, stands_still_after);
    return static_cast<std::uint32_t>(100 * worked / length);
  }

  // Lets the worker report once, and starts, stops or ends the run.
  void report_once() {
    advance(report_interval);
    if (run) worked_for += report_interval;
    worker_report listed;
    if (run && worked_for >= length && stands_still_after > length) {
      end(end_kind::done, &listed);
    } else if (run) {
      listed.running = {reported_run_of(*run, percent())};
    }
    report("w1", listed);
    decisions orders;
    std::vector<start_order> starts = round(&orders);
    if (!orders.stops.empty()) {
      worker_report stopped;
      end(end_kind::stopped, &stopped);
      ++stops;
      report("w1", stopped);
    }
    confirm(starts);
    if (!starts.empty()) {
      run = starts.front();
      worked_for = milliseconds(0);
    }
  }

  void end(end_kind kind, worker_report* out) {
    out->ended = {reported_end_of(++ends, *run, kind)};
    run.reset();
  }

  bool completes_within(milliseconds limit) {
    for (milliseconds passed{0}; passed < limit; passed += report_interval) {
      report_once();
      if (job_state(kJob) == jobs::state::complete) return true;
    }
    return false;
  }

  milliseconds length;
  milliseconds report_interval{1000};
  milliseconds stands_still_after = milliseconds::max();
  std::optional<start_order> run;
  milliseconds worked_for{0};
  std::uint64_t ends = 0;
  int stops = 0;
};

// Guards against sound tasks that never end: a percent of more than 3.5 s
// counted as no progress.
TEST_CASE("a task of any length isn't taken as hung") {
  for (milliseconds length : std::vector<milliseconds>{seconds(20), minutes(7),
                                                       hours(1), hours(24)}) {
    for (int slowdown : {1, 8}) {
      CAPTURE(length.count(), slowdown);
      long_pool pool(length * slowdown, length);
      CHECK(pool.completes_within(length * slowdown + seconds(10)));
      CHECK(pool.stops == 0);
    }
  }
}

TEST_CASE("a task whose estimate is far too low gets through") {
  long_pool pool(minutes(7), seconds(1));
  pool.report_interval = milliseconds(200);
  CHECK(pool.completes_within(minutes(10)));
  CHECK(pool.stops == 2);
  long_pool day(hours(24), seconds(1));
  CHECK(day.completes_within(hours(26)));
}

TEST_CASE("a run that stands still is stopped after its own time") {
  struct expected {
    milliseconds length;
    milliseconds stopped_after;  // It has made no progress for so long.
  };
  for (const expected& each :
       {expected{seconds(5), seconds(4)}, expected{seconds(20), seconds(4)},
        expected{minutes(7), seconds(68)}, expected{hours(1), seconds(576)}}) {
    CAPTURE(each.length.count());
    long_pool pool(each.length, each.length);
    pool.stands_still_after = each.length / 2;
    milliseconds passed{0};
    while (pool.stops == 0 && passed < each.length * 2) {
      pool.report_once();
      passed += pool.report_interval;
    }
    CHECK(pool.stops == 1);
    // The last percent was reported up to one report after it was reached.
    milliseconds percent = each.length / 100;
    milliseconds late = each.stopped_after + pool.report_interval * 3;
    CHECK(passed >= pool.stands_still_after);
    CHECK(passed <= pool.stands_still_after + late + percent);
  }
}

// Runs on several workers that stand still are found as early as before.
TEST_CASE("the second run of a task that hangs is stopped like the first") {
  long_pool pool(seconds(5), seconds(5));
  pool.stands_still_after = milliseconds(0);
  for (int i = 0; i < 30 && pool.stops < 2; ++i) pool.report_once();
  CHECK(pool.stops == 2);
  // 4 s each, and 5 s in which the worker is avoided.
  CHECK(pool.now - steady_time(hours(1)) <= seconds(16));
}

}  // namespace

}  // namespace ebonygrade::pool
