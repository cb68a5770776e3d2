// How fast workers are, learned from the runs of tasks. Workers of one pool
// differ, and some turn slow for a time.
#include <algorithm>
#include <chrono>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// A worker is taken for an average one until this many runs say otherwise.
constexpr std::uint32_t kPriorSamples = 2;
// The newest run counts at least this much: a worker that turns slow is known
// after a few runs.
constexpr double kMinSampleWeight = 0.1;
// Single runs are uneven; what lies beyond says no more.
constexpr double kMinSlowdownSample = 0.3;
constexpr double kMaxSlowdownSample = 8;
// A run that has taken so many times its estimate tells of a slow worker
// before it ends.
constexpr int kOverdueFactor = 2;
// Without runs, a worker counts as average again after this.
constexpr std::chrono::duration<double> kSpeedExpiry{15};

// Estimate of a run whose time depends on its worker alone; zero for others:
// gangs wait for their slowest member, resumed runs do only a part, and away
// from its data a task takes longer.
milliseconds usable_estimate(pool_state* pool, const worker& worker,
                             const placement& placed) {
  task_ref ref = find_task(pool, placed.task);
  if (ref.step == nullptr || placed.resumed) return milliseconds(0);
  const wire::step_definition& step = definition(*ref.job, *ref.step);
  bool far = !step.data_rack().empty() && step.data_rack() != worker.entry.rack;
  if (step.gang() || step.long_running() || step.fills() || far) {
    return milliseconds(0);
  }
  return milliseconds(step.estimate_ms());
}

void add_sample(speed* speed, double slowdown, steady_time now) {
  double weight =
      std::max(kMinSampleWeight,
               1.0 / static_cast<double>(speed->samples + kPriorSamples + 1));
  double sample = std::clamp(slowdown, kMinSlowdownSample, kMaxSlowdownSample);
  speed->slowdown += (sample - speed->slowdown) * weight;
  ++speed->samples;
  speed->last_sample = now;
}

double ratio(milliseconds taken, milliseconds estimate) {
  return static_cast<double>(taken.count()) /
         static_cast<double>(estimate.count());
}

}  // namespace

void update_speed_after_end(pool_state* pool, worker* worker,
                            const placement& placed, steady_time now) {
  if (placed.phase != phase::running) return;
  milliseconds estimate = usable_estimate(pool, *worker, placed);
  if (estimate <= milliseconds(0)) return;
  milliseconds taken =
      std::chrono::duration_cast<milliseconds>(now - placed.phase_since);
  add_sample(&worker->speed, ratio(taken, estimate), now);
}

void update_speed_if_overdue(pool_state* pool, worker* worker,
                             placement* placed, steady_time now) {
  if (placed->overdue || placed->phase != phase::running) return;
  milliseconds taken =
      std::chrono::duration_cast<milliseconds>(now - placed->phase_since);
  milliseconds estimate = usable_estimate(pool, *worker, *placed);
  if (estimate <= milliseconds(0) || taken < kOverdueFactor * estimate) return;
  placed->overdue = true;
  constexpr double kFullProgressPercent = 100;
  double part = std::max<double>(1, placed->percent) / kFullProgressPercent;
  add_sample(&worker->speed, ratio(taken, estimate) / part, now);
}

double slowdown_of(const worker& worker, steady_time now) {
  std::chrono::duration<double> age = now - worker.speed.last_sample;
  double weight = std::max(0.0, 1 - age / kSpeedExpiry);
  return 1 + (worker.speed.slowdown - 1) * weight;
}

}  // namespace ebonygrade::pool
