// Speed of workers, estimated from the run times of tasks. Workers of one pool
// differ in speed, and some become slow for a time.
#include <algorithm>
#include <chrono>

#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

// Weight of the prior, an average worker, in number of runs.
constexpr std::uint32_t kPriorSamples = 2;
// Minimum weight of the newest run, so that a worker that becomes slow is
// detected after a few runs.
constexpr double kMinSampleWeight = 0.1;
// Bounds of one sample, as the times of single runs vary widely.
constexpr double kMinSlowdownSample = 0.3;
constexpr double kMaxSlowdownSample = 8;
// A run that exceeds its estimate by this factor is sampled before it ends.
constexpr int kOverdueFactor = 2;
// Without samples for this long, a worker counts as average again.
constexpr std::chrono::duration<double> kSpeedExpiry{15};

// Returns the estimate of a run whose time depends on its worker alone, and
// zero for other runs: gangs wait for their slowest member, resumed runs do
// only part of the work, and tasks take longer when they are far from their
// data.
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
  speed->last_sample_at = now;
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
  std::chrono::duration<double> age = now - worker.speed.last_sample_at;
  double weight = std::max(0.0, 1 - age / kSpeedExpiry);
  return 1 + (worker.speed.slowdown - 1) * weight;
}

}  // namespace ebonygrade::pool
