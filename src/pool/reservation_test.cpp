// What gangs that wait keep of the pool.
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
    told |= each.detail.find(" reason=reserved holder=" + std::string(kGang)) !=
            std::string::npos;
  }
  CHECK(told);
}

}  // namespace

}  // namespace ebonygrade::pool
