// What gangs that wait keep of the pool, and what other steps may use of it.
// Both sides: other work goes on, and the gangs start.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr int kWorkers = 8;
constexpr std::int64_t kWorkerCpu = 16000;
constexpr milliseconds kStep{100};
constexpr char kBlocker[] = "00000000000000b0";
constexpr char kGang[] = "00000000000000aa";
constexpr char kLowerQueue[] = "queue-lower";

// A pool with a running task on one worker. Workers carry out what they are
// told; a run takes its estimate times the factor that its job was given.
struct busy_pool : test_pool {
  struct run {
    start_order order;
    steady_time begun;
    milliseconds takes{0};
  };

  std::map<std::string, std::vector<run>> running;  // By worker.
  std::map<std::string, std::vector<reported_end>> ended;
  std::map<std::string, std::uint64_t> ends;  // Number of ends, by worker.
  std::map<std::string, double> factors;      // By job; 1 by default.
  std::map<std::string, steady_time> submitted;
  std::map<std::string, steady_time> started;  // First start, by job.
  std::size_t next_job = 0x1000;

  busy_pool() {
    policy.priority = 1;
    policy.stretch = 100;
    queue_policy lower = policy;
    lower.priority = 2;
    set_queues(&state, {{kQueue, policy}, {kLowerQueue, lower}});
    for (int i = 0; i < kWorkers; ++i) add_worker(name(i), kWorkerCpu);
  }

  static std::string name(int worker) { return "w" + std::to_string(worker); }

  static wire::step_definition step_of(std::uint32_t count,
                                       std::uint32_t cpu_milli,
                                       milliseconds estimate) {
    wire::step_definition out = step(count, cpu_milli);
    out.set_estimate_ms(static_cast<std::uint32_t>(estimate.count()));
    return out;
  }

  void submit_job(const std::string& id, const wire::step_definition& step,
                  double factor = 1, const char* queue = kQueue) {
    factors[id] = factor;
    submitted[id] = now;
    submit(id, {step}, queue);
  }

  std::string submit_small(const wire::step_definition& step,
                           double factor = 1) {
    std::string id = "000000000000" + std::to_string(next_job++);
    submit_job(id, step, factor, kLowerQueue);
    return id;
  }

  // A task that takes three times its estimate, on one worker, and later a gang
  // that needs every worker.
  void submit_blocked_gang(std::uint32_t gang_cpu, milliseconds blocked_for) {
    submit_job(kBlocker, step_of(1, kWorkerCpu, blocked_for / 3), 3);
    play(milliseconds(500));
    wire::step_definition gang =
        step_of(kWorkers, gang_cpu, milliseconds(1000));
    gang.set_gang(true);
    gang.set_max_per_worker(1);
    submit_job(kGang, gang);
    play(kStep);
  }

  // Reports all workers, and runs a scheduling round.
  void play_round() {
    advance(kStep);
    for (int i = 0; i < kWorkers; ++i) report_runs(name(i));
    for (const start_order& each : round()) {
      observe_start(&state, each, start_outcome::running, now);
      const wire::step_definition& step =
          each.job->steps(static_cast<int>(each.task.step));
      milliseconds takes = milliseconds::max();
      if (!step.long_running()) {
        takes = milliseconds(static_cast<std::int64_t>(
            step.estimate_ms() * factors.at(each.task.job)));
      }
      running[each.worker].push_back({each, now, takes});
      started.try_emplace(each.task.job, now);
    }
  }

  void play(milliseconds time) {
    for (steady_time end = now + time; now < end;) play_round();
  }

  std::optional<milliseconds> wait_of(const std::string& id) const {
    std::map<std::string, steady_time>::const_iterator found = started.find(id);
    if (found == started.end()) return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(found->second -
                                                    submitted.at(id));
  }

  std::size_t running_of(const std::string& id) const {
    std::size_t count = 0;
    for (const std::pair<const std::string, std::vector<run>>& each : running) {
      count += static_cast<std::size_t>(std::count_if(
          each.second.begin(), each.second.end(),
          [&](const run& run) { return run.order.task.job == id; }));
    }
    return count;
  }

 private:
  void report_runs(const std::string& id) {
    worker_report out;
    std::vector<run>& runs = running[id];
    for (const run& each : runs) {
      milliseconds worked =
          std::chrono::duration_cast<milliseconds>(now - each.begun);
      if (worked >= each.takes) {
        ended[id].push_back(
            reported_end_of(++ends[id], each.order, end_kind::done));
      } else {
        std::int64_t percent =
            each.takes == milliseconds::max() ? 100 : 100 * worked / each.takes;
        out.running.push_back(
            reported_run_of(each.order, static_cast<std::uint32_t>(percent)));
      }
    }
    std::erase_if(
        runs, [&](const run& each) { return now - each.begun >= each.takes; });
    out.ended = ended[id];
    report(id, out);
  }
};

// review/8: jobs behind a gang had nothing running while a task that took three
// times its estimate kept the gang waiting and 47 of 48 workers idle.
TEST_CASE("work ends on idle workers while a gang waits for one long run") {
  busy_pool pool;
  pool.submit_blocked_gang(kWorkerCpu, milliseconds(36000));
  std::vector<std::string> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(
        pool.submit_small(busy_pool::step_of(2, 2000, milliseconds(3400))));
    pool.play(milliseconds(400));
  }
  for (const std::string& each : jobs) {
    REQUIRE(pool.wait_of(each));
    CHECK(*pool.wait_of(each) <= milliseconds(500));
  }
  CHECK(pool.state.counters.backfilled_runs == 24);
  CHECK_FALSE(pool.wait_of(kGang));
}

TEST_CASE("a task that outlasts a gang's wait fits beside its members") {
  for (std::uint32_t gang_cpu : {8000, 15000}) {
    busy_pool pool;
    pool.submit_blocked_gang(gang_cpu, milliseconds(9000));
    std::string job =
        pool.submit_small(busy_pool::step_of(1, 4000, milliseconds(60000)));
    pool.play(milliseconds(500));
    INFO("of the gang's members: " << gang_cpu);
    CHECK(pool.wait_of(job).has_value() == (gang_cpu == 8000));
  }
}

// The other side: small jobs that keep coming, and that take up to three times
// their estimates, don't keep the gang waiting once its blocker has ended. A
// thin stream is the worse one, as its runs don't end together.
TEST_CASE("a gang starts soon after the run that blocks it") {
  for (double factor : {0.5, 1.0, 1.3, 3.0}) {
    for (milliseconds estimate : {milliseconds(300), milliseconds(2000)}) {
      for (milliseconds interval : {milliseconds(100), milliseconds(1100)}) {
        busy_pool pool;
        constexpr milliseconds kBlockedFor{9000};
        pool.submit_blocked_gang(kWorkerCpu, kBlockedFor);
        steady_time give_up = pool.now + std::chrono::seconds(60);
        while (!pool.wait_of(kGang) && pool.now < give_up) {
          pool.submit_small(busy_pool::step_of(1, 4000, estimate), factor);
          pool.play(interval);
        }
        INFO("a job each " << interval.count() << " ms of " << factor
                           << " times its estimate of " << estimate.count()
                           << " ms");
        REQUIRE(pool.wait_of(kGang));
        milliseconds run_time(static_cast<std::int64_t>(
            static_cast<double>(estimate.count()) * factor));
        CHECK(*pool.wait_of(kGang) <= kBlockedFor + run_time + 4 * kStep);
        CHECK(pool.state.counters.backfilled_runs > 0);
      }
    }
  }
}

// Runs that last never make room, whatever share of the others is about to end.
TEST_CASE("a gang reserves nothing that lasting runs keep from it") {
  busy_pool pool;
  wire::step_definition lasting =
      busy_pool::step_of(1, 12000, milliseconds(320));
  lasting.set_long_running(true);
  pool.submit_job(kBlocker, lasting);
  pool.play(milliseconds(500));
  wire::step_definition gang =
      busy_pool::step_of(kWorkers, 9000, milliseconds(1000));
  gang.set_gang(true);
  pool.submit_job(kGang, gang);
  pool.play(kStep);
  std::string job = pool.submit_small(
      busy_pool::step_of(kWorkers - 1, kWorkerCpu, milliseconds(60000)));
  pool.play(kStep);
  CHECK(pool.state.load.reserved_workers == 0);
  CHECK(pool.running_of(job) == kWorkers - 1);
}

// A job with nothing running starts within 3 s if most of the pool is unused,
// also if its tasks outlast the wait of the gang.
TEST_CASE("a gang gives way to jobs with nothing running") {
  busy_pool pool;
  pool.submit_blocked_gang(kWorkerCpu, milliseconds(36000));
  std::string first =
      pool.submit_small(busy_pool::step_of(2, 4000, milliseconds(60000)));
  std::string second =
      pool.submit_small(busy_pool::step_of(2, 4000, milliseconds(60000)));
  pool.play(milliseconds(1500));
  CHECK_FALSE(pool.wait_of(first));
  pool.play(milliseconds(1500));
  REQUIRE(pool.wait_of(first));
  REQUIRE(pool.wait_of(second));
  CHECK(pool.state.counters.reservation_yields == 1);
}

// The other side: it gives way ever more seldom, so a stream of such jobs
// doesn't keep it waiting for good.
TEST_CASE("a gang that gives way starts in the end") {
  busy_pool pool;
  constexpr milliseconds kRunTime{6000};
  pool.submit_blocked_gang(kWorkerCpu, milliseconds(9000));
  while (!pool.wait_of(kGang) &&
         pool.now < pool.submitted[kGang] + std::chrono::seconds(120)) {
    pool.submit_small(busy_pool::step_of(1, 4000, kRunTime));
    pool.play(milliseconds(1500));
  }
  REQUIRE(pool.wait_of(kGang));
  CHECK(pool.state.counters.reservation_yields >= 1);
  // Holds of 2, 4 and 8 s; the last one is longer than the runs.
  CHECK(*pool.wait_of(kGang) <= milliseconds(9000) + 4 * kRunTime);
}

TEST_CASE("a step that reservations keep waiting says which gang holds them") {
  busy_pool pool;
  pool.submit_blocked_gang(kWorkerCpu, milliseconds(36000));
  std::string job =
      pool.submit_small(busy_pool::step_of(2, 4000, milliseconds(60000)));
  // Busy enough that the gang doesn't give way.
  pool.submit_small(busy_pool::step_of(5, 12000, milliseconds(5000)));
  pool.play(milliseconds(4500));
  bool told = false;
  for (const job_event& each : pool.state.job_events) {
    if (each.kind != job_event_kind::step_waits || each.job != job) continue;
    told |= each.detail.find(" reason=reserved holder=" + std::string(kGang) +
                             " starts_in_ms=") != std::string::npos;
  }
  CHECK(told);
}

}  // namespace

}  // namespace ebonygrade::pool
