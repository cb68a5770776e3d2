#include "bench/speed.h"

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "place/place.h"

namespace ebonygrade::bench {

namespace {

using clock::milliseconds;
using clock::steady_time;
using timer = std::chrono::steady_clock;

constexpr steady_time kNow = steady_time(std::chrono::hours(1));
constexpr std::size_t kTasksPerRound = 64;

bundle::policy make_policy() {
  bundle::policy policy;
  policy.name = "speed";
  for (int i = 0; i < 85; ++i) {
    std::string name = fmt::format("t{}", i);
    policy.teams[name].name = name;
    policy.teams[name].weight = 1 + i % 4;
    policy.teams[name].queue_limit = 1000000;
  }
  for (bundle::class_policy& each : policy.classes) {
    each.queue_limit = 1000000;
    each.spread = false;
  }
  return policy;
}

// An engine under steady load: as many tasks end as start.
class loaded_engine {
 public:
  loaded_engine(int workers, std::size_t queued) : random_(3) {
    place::apply_policy(*engine_, make_policy());
    for (int i = 0; i < workers; ++i) add_worker(i);
    fill_workers(workers);
    for (std::size_t i = 0; i < queued; ++i) enqueue_one();
  }

  // One round of task ends, arrivals and decisions. Returns the number of
  // starts.
  std::size_t round() {
    now_ += milliseconds(1);
    end_some();
    for (std::size_t i = 0; i < kTasksPerRound; ++i) enqueue_one();
    timer::time_point before = timer::now();
    place::decisions made = place::decide(*engine_, now_, kTasksPerRound);
    decision_time_ += timer::now() - before;
    record_starts(made);
    return made.starts.size();
  }

  std::chrono::duration<double> decision_time() const { return decision_time_; }

 private:
  void add_worker(int i) {
    place::worker_spec spec;
    spec.id = fmt::format("w{}", i);
    spec.rack = fmt::format("r{}", i / 8);
    spec.zone = fmt::format("z{}", i % 14);
    spec.capacity = {32000, 131072, i % 5 == 0 ? 4 : 0, 8};
    place::add_worker(*engine_, spec);
  }

  void enqueue_one() {
    std::uint32_t draw = static_cast<std::uint32_t>(random_());
    place::task_group group;
    group.id = fmt::format("j{}", next_id_++);
    group.team = fmt::format("t{}", draw % 85);
    group.kind = job::job_class::batch;
    draw /= 85;
    group.per_task.millicores = static_cast<std::int32_t>(500 + draw % 8 * 500);
    draw /= 8;
    group.per_task.memory_mb =
        static_cast<std::int32_t>(1024 + draw % 4 * 2048);
    group.tasks = {0};
    group.submitted = now_;
    place::enqueue(*engine_, group, now_);
  }

  // Uses about four fifths of the capacity, so that some workers have free
  // resources for a task and others don't.
  void fill_workers(int workers) {
    const int tasks = workers * 11;
    for (int i = 0; i < tasks; ++i) enqueue_one();
    record_starts(
        place::decide(*engine_, now_, static_cast<std::size_t>(tasks)));
  }

  void end_some() {
    for (std::size_t i = 0; i < kTasksPerRound && !running_.empty(); ++i) {
      std::size_t at = random_() % running_.size();
      std::swap(running_[at], running_.back());
      place::task_ended(*engine_, running_.back(), 0, wire::completed, now_);
      running_.pop_back();
    }
  }

  void record_starts(const place::decisions& made) {
    for (const place::placement& p : made.starts) running_.push_back(p.id);
  }

  place::engine_ptr engine_ = place::make_engine({.seed = 5});
  std::mt19937_64 random_;
  steady_time now_ = kNow;
  std::vector<std::string> running_;
  int next_id_ = 0;
  std::chrono::duration<double> decision_time_{0};
};

void measure_case(const std::string& name, int workers, std::size_t queued,
                  int rounds) {
  loaded_engine engine(workers, queued);
  std::size_t starts = 0;
  timer::time_point before = timer::now();
  for (int i = 0; i < rounds; ++i) starts += engine.round();
  std::chrono::duration<double> elapsed = timer::now() - before;
  const double count = static_cast<double>(starts);
  fmt::print("speed.{}.decisions {:.0f} 1/s\n", name,
             count / engine.decision_time().count());
  fmt::print("speed.{}.cycles {:.0f} 1/s\n", name, count / elapsed.count());
}

// Bytes in the heap and in separately mapped large blocks.
std::size_t bytes_in_use() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

place::engine_ptr small_engine(int workers) {
  place::engine_ptr engine = place::make_engine({.seed = 5});
  place::apply_policy(*engine, make_policy());
  for (int i = 0; i < workers; ++i) {
    place::worker_spec spec;
    spec.id = fmt::format("worker-{:08d}", i);
    spec.rack = fmt::format("rack-{}", i / 8);
    spec.zone = "zone";
    spec.capacity = {32000, 65536, 0, 8};
    place::add_worker(*engine, spec);
  }
  return engine;
}

void enqueue_jobs(place::engine* engine, int count, const char* prefix) {
  for (int i = 0; i < count; ++i) {
    place::task_group group;
    group.id = fmt::format("{}-request-{:08d}", prefix, i);
    group.team = fmt::format("t{}", i % 85);
    group.per_task = {1000, 1024, 0, 0};
    group.tasks = {0};
    group.submitted = kNow;
    group.deadline = kNow + std::chrono::hours(1);
    place::enqueue(*engine, group, kNow);
  }
}

}  // namespace

void measure_speed() {
  measure_case("48_workers", 48, 0, 20000);
  measure_case("1000_workers", 1000, 0, 20000);
  measure_case("10000_workers", 10000, 0, 20000);
  measure_case("48_workers_100000_queued", 48, 100000, 20000);
  measure_case("10000_workers_100000_queued", 10000, 100000, 20000);
}

void measure_memory() {
  constexpr int kWorkers = 10000;
  constexpr int kJobs = 100000;
  constexpr int kRunning = 46000;
  const std::size_t empty = bytes_in_use();
  place::engine_ptr engine = small_engine(kWorkers);
  const std::size_t with_workers = bytes_in_use();
  enqueue_jobs(engine.get(), kRunning, "run");
  place::decide(*engine, kNow, kRunning);
  const std::size_t with_running = bytes_in_use();
  enqueue_jobs(engine.get(), kJobs, "wait");
  const std::size_t with_jobs = bytes_in_use();
  fmt::print("memory.worker {} B\n", (with_workers - empty) / kWorkers);
  fmt::print("memory.running_task {} B\n",
             (with_running - with_workers) / kRunning);
  fmt::print("memory.queued_job {} B\n", (with_jobs - with_running) / kJobs);
  fmt::print("memory.whole {:.1f} MB\n",
             static_cast<double>(with_jobs - empty) / 1e6);
}

void measure_cancellations() {
  constexpr int kCancelled = 50000;
  for (int others : {0, 200000}) {
    place::engine_ptr engine = small_engine(1);
    enqueue_jobs(engine.get(), others, "stay");
    enqueue_jobs(engine.get(), kCancelled, "go");
    timer::time_point before = timer::now();
    for (int i = 0; i < kCancelled; ++i) {
      place::withdraw(*engine, fmt::format("go-request-{:08d}", i));
    }
    std::chrono::duration<double, std::micro> took = timer::now() - before;
    fmt::print("cancel.{}_others {:.3f} us/job\n", others,
               took.count() / kCancelled);
  }
}

}  // namespace ebonygrade::bench
