// Admission control over pools without I/O.
#include "pool/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pool/manifest.h"
#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr steady_time kNow = steady_time(std::chrono::hours(1));
constexpr unix_time kWall = unix_time(milliseconds(1'800'000'000'000));
constexpr std::int64_t kCore = 1000;

// A full pool whose runs end evenly over `runs_end`.
admission_state full_pool(std::int64_t capacity, milliseconds runs_end) {
  admission_state state;
  state.enabled = true;
  state.load.made_at = kNow;
  add_gradual_release(&state.load, runs_end, capacity);
  return state;
}

admission_request request(const std::string& id, std::uint32_t priority,
                          std::int64_t cpu, milliseconds run_time,
                          milliseconds objective) {
  admission_request made;
  made.id = id;
  made.queue = "q" + std::to_string(priority);
  made.priority = priority;
  made.objective = objective;
  made.critical_path = run_time;
  made.first_cpu_milli = cpu;
  made.width_cpu_milli = cpu;
  made.cpu_milli_ms = cpu * run_time.count();
  return made;
}

admission_request urgent(const std::string& id) {
  return request(id, 0, 15 * kCore, milliseconds(1000), milliseconds(1900));
}
admission_request gang(const std::string& id) {
  return request(id, 1, 144 * kCore, milliseconds(6200), milliseconds(14840));
}

bool offer(admission_state* state, const admission_request& made) {
  admission_verdict verdict = judge(*state, made, kNow, kWall);
  if (!verdict.accepted) CHECK(verdict.retry_after.count() >= 1);
  record_verdict(state, made, verdict, kNow, kWall);
  return verdict.accepted;
}

// Adds work that keeps the whole pool busy for `time`.
void add_backlog(admission_state* state, std::int64_t capacity,
                 milliseconds time, std::uint32_t priority) {
  waiting_work work;
  work.priority = priority;
  work.deadline = kWall;
  work.cpu_milli = capacity;
  work.run_time = milliseconds(1000);
  for (milliseconds at{0}; at < time; at += work.run_time) {
    state->load.waiting.push_back(work);
  }
}

TEST_CASE("without a known load everything is accepted") {
  admission_state state;
  CHECK(offer(&state, gang("a")));
  state = full_pool(100 * kCore, milliseconds(5000));
  add_backlog(&state, 100 * kCore, milliseconds(110000), 0);
  admission_verdict late =
      judge(state, urgent("a"), kNow + std::chrono::seconds(2), kWall);
  CHECK(late.accepted);
  CHECK_FALSE(late.predicted_wait);
}

// Guards against urgent jobs that are refused for work that they precede.
TEST_CASE(
    "a burst of urgent jobs beside wide ones in a full pool is accepted") {
  admission_state state = full_pool(3200 * kCore, milliseconds(6200));
  // Of the value's 44.5 s a gang runs for 6.2 s, and 22 gangs fill the pool.
  int accepted_wide = 0;
  for (int i = 0; i < 400; ++i) {
    if (offer(&state, gang("g" + std::to_string(i)))) ++accepted_wide;
  }
  CHECK(accepted_wide > 130);
  CHECK(accepted_wide < 290);
  for (int i = 0; i < 60; ++i) {
    CHECK(offer(&state, urgent("u" + std::to_string(i))));
  }
}

TEST_CASE("a backlog of ten seconds refuses short jobs until it has drained") {
  constexpr std::int64_t kCapacity = 1000 * kCore;
  admission_request job =
      request("a", 2, 10 * kCore, milliseconds(500), milliseconds(1000));
  int refused = 0;
  for (int left = 10; left >= 0; --left) {
    admission_state state = full_pool(kCapacity, milliseconds(1000));
    add_backlog(&state, kCapacity, std::chrono::seconds(left), 2);
    admission_verdict verdict = judge(state, job, kNow, kWall);
    CAPTURE(left);
    if (verdict.accepted) continue;
    ++refused;
    CHECK(left > 4);
    // No caller is sent away for longer than the backlog lasts, and one more.
    CHECK(verdict.retry_after <= std::chrono::seconds(2 * left + 1));
    CHECK(verdict.predicted_end > verdict.value_end);
  }
  CHECK(refused >= 4);
}

TEST_CASE("the times to come back are spread over the callers") {
  admission_state state = full_pool(1000 * kCore, milliseconds(1000));
  add_backlog(&state, 1000 * kCore, std::chrono::seconds(60), 2);
  std::set<std::int64_t> times;
  for (int i = 0; i < 100; ++i) {
    admission_request job = request("j" + std::to_string(i), 2, 10 * kCore,
                                    milliseconds(500), milliseconds(1000));
    admission_verdict verdict = judge(state, job, kNow, kWall);
    REQUIRE_FALSE(verdict.accepted);
    times.insert(verdict.retry_after.count());
  }
  CHECK(times.size() > 10);
}

TEST_CASE("jobs over their tenant's share are refused first") {
  admission_state state = full_pool(1000 * kCore, milliseconds(1000));
  add_backlog(&state, 1000 * kCore, std::chrono::seconds(6), 3);
  admission_request job =
      request("a", 2, 10 * kCore, milliseconds(500), milliseconds(1000));
  CHECK(judge(state, job, kNow, kWall).accepted);
  job.over_share = true;
  CHECK_FALSE(judge(state, job, kNow, kWall).accepted);
}

// Guards against refusals by size: the sum of CPU that a large job waits for is
// the last to come free.
TEST_CASE("the largest tenth is accepted half as often as its queue") {
  std::mt19937 random(7);
  admission_state state;
  int offered[2] = {0, 0};
  int accepted[2] = {0, 0};
  for (int i = 0; i < 3000; ++i) {
    // The backlog is just acceptable for small jobs and not for large ones.
    queue_record record = state.queues["q2"];
    state = full_pool(1000 * kCore, milliseconds(1000));
    state.queues["q2"] = record;
    add_backlog(&state, 1000 * kCore, std::chrono::seconds(4 + i % 2), 2);
    bool large = random() % 10 == 0;
    admission_request job =
        request("j" + std::to_string(i), 2, (large ? 6000 : 10) * kCore,
                milliseconds(500), milliseconds(1000));
    ++offered[large];
    if (offer(&state, job)) ++accepted[large];
  }
  double share = static_cast<double>(accepted[1]) / offered[1];
  double mean = static_cast<double>(accepted[0] + accepted[1]) /
                (offered[0] + offered[1]);
  CAPTURE(share, mean);
  CHECK(share >= mean / 2);
  CHECK(state.queues["q2"].accepted_for_size > 0);
}

// Plays predictions of which the actual wait is `ratio` times, and returns the
// longest backlog at which jobs are accepted.
int longest_accepted_backlog(double ratio) {
  admission_state known;
  for (int i = 0; i < 300; ++i) {
    std::string id = "j" + std::to_string(i);
    known.predictions[id] = {"q2", milliseconds(4000)};
    double noise = i % 2 == 0 ? 0.9 : 1.1;
    observe_first_start(&known, id,
                        milliseconds(static_cast<int>(4000 * ratio * noise)));
  }
  int longest = 0;
  for (int left = 1; left < 30; ++left) {
    admission_state state = full_pool(1000 * kCore, milliseconds(1000));
    state.queues = known.queues;
    add_backlog(&state, 1000 * kCore, std::chrono::seconds(left), 2);
    admission_request job =
        request("a", 2, 10 * kCore, milliseconds(500), milliseconds(1000));
    if (judge(state, job, kNow, kWall).accepted) longest = left;
  }
  return longest;
}

// Guards against refusals of jobs that could have been served. Of the value's
// 3 s the job runs for 0.5.
TEST_CASE("predictions that are wrong by a factor of two are corrected") {
  CHECK(longest_accepted_backlog(0.5) >= 4);
  CHECK(longest_accepted_backlog(1) >= 2);
  // Twice the predicted wait, less the deviation, is still within the value.
  CHECK(longest_accepted_backlog(2) >= 1);
  CHECK(longest_accepted_backlog(2) <= longest_accepted_backlog(1));
  CHECK(longest_accepted_backlog(1) <= longest_accepted_backlog(0.5));
}

TEST_CASE("predictions are compared once, and dropped with their job") {
  admission_state state = full_pool(1000 * kCore, milliseconds(1000));
  add_backlog(&state, 1000 * kCore, std::chrono::seconds(2), 2);
  admission_request job =
      request("a", 2, 10 * kCore, milliseconds(500), milliseconds(4000));
  REQUIRE(offer(&state, job));
  std::optional<predicted_wait> found =
      observe_first_start(&state, "a", milliseconds(2500));
  REQUIRE(found);
  CHECK(found->predicted > milliseconds(1500));
  CHECK(found->predicted < milliseconds(4000));
  CHECK_FALSE(observe_first_start(&state, "a", milliseconds(2500)));
  job.id = "b";
  REQUIRE(offer(&state, job));
  forget_prediction(&state, "b");
  CHECK(state.predictions.empty());
}

TEST_CASE("a request has the figures of all steps") {
  wire::job_submission job;
  job.set_queue("q");
  *job.add_steps() = test_pool::step(2, 1000);
  *job.add_steps() = test_pool::step(3, 4000);
  job.mutable_steps(1)->add_after(0);
  queue_policy policy;
  policy.stretch = 1.5;
  policy.target = milliseconds(400);
  admission_request made = request_of("a", job, policy);
  CHECK(made.critical_path == milliseconds(2000));
  CHECK(made.objective == milliseconds(3400));
  CHECK(made.first_cpu_milli == 2000);
  CHECK(made.width_cpu_milli == 12000);
  CHECK(made.cpu_milli_ms == 14'000'000);
  CHECK_FALSE(made.lasts);
}

// ---- With the scheduler ----------------------------------------------------

// A pool of ten workers that is full, and has as much work waiting as
// `seconds` seconds of the whole pool.
test_pool backlogged_pool(int seconds) {
  test_pool test;
  test.state.admission.enabled = true;
  test.policy.priority = 2;
  set_queues(&test.state, {{kQueue, test.policy}});
  for (int i = 0; i < 10; ++i) test.add_worker("w" + std::to_string(i));
  for (int i = 0; i <= seconds; ++i) {
    test.submit("j" + std::to_string(i), {test_pool::step(10, 4000)});
  }
  test.confirm(test.round());
  return test;
}

admission_verdict judge_small(const test_pool& test) {
  wire::job_submission job;
  job.set_queue(kQueue);
  *job.add_steps() = test_pool::step(1, 1000);
  return judge(test.state.admission, request_of("x", job, test.policy),
               test.now, test.wall);
}

void report_all(test_pool* test, int workers) {
  for (int i = 0; i < workers; ++i) {
    worker_report report;
    std::string id = "w" + std::to_string(i);
    for (const placement& each : test->state.workers.at(id).placements) {
      report.running.push_back({each.task, each.run, {}, 0});
    }
    test->report(id, report);
  }
  test->round();
}

TEST_CASE("the wait is predicted from runs and waiting steps") {
  test_pool test = backlogged_pool(4);
  admission_verdict verdict = judge_small(test);
  REQUIRE(verdict.predicted_wait);
  CHECK(*verdict.predicted_wait >= milliseconds(4500));
  CHECK(*verdict.predicted_wait <= milliseconds(5500));
  CHECK(verdict.accepted);
  // Objective 3 s, value until 9 s: after half of 30 s of work it is over.
  CHECK_FALSE(judge_small(backlogged_pool(30)).accepted);
}

// Guards against refusals while workers restart.
TEST_CASE("workers that are gone are expected back for some time") {
  test_pool test = backlogged_pool(1);
  std::vector<bool> accepted;
  for (int second = 0; second < 20; ++second) {
    test.advance(milliseconds(1000));
    test.submit("k" + std::to_string(second), {test_pool::step(10, 4000)});
    report_all(&test, 1);
    accepted.push_back(judge_small(test).accepted);
  }
  CHECK(accepted[3]);
  CHECK_FALSE(accepted[18]);
}

TEST_CASE("jobs that are being written count as waiting") {
  test_pool test = backlogged_pool(0);
  wire::job_submission job;
  job.set_queue(kQueue);
  *job.add_steps() = test_pool::step(10, 4000);
  for (int i = 0; i < 5; ++i) {
    admission_request made =
        request_of("y" + std::to_string(i), job, test.policy);
    record_verdict(&test.state.admission, made,
                   judge(test.state.admission, made, test.now, test.wall),
                   test.now, test.wall);
  }
  milliseconds before = *judge_small(test).predicted_wait;
  CHECK(before >= milliseconds(5000));
  test.advance(milliseconds(200));
  test.round();
  CHECK(*judge_small(test).predicted_wait >= milliseconds(4500));
}

}  // namespace

}  // namespace ebonygrade::pool
