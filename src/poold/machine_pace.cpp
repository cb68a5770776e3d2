#include "poold/machine_pace.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <utility>

namespace ebonygrade::poold {

namespace {

// Rounds with less processor time are summed up for one sample: the clocks'
// resolution and single interrupts would dominate it.
constexpr nanoseconds kMinSampledWork = std::chrono::microseconds(1000);
// Samples of rounds count no longer than this.
constexpr std::chrono::milliseconds kMaxSampleAge{1000};
// Fewer samples of rounds tell nothing.
constexpr std::size_t kMinRoundSamples = 3;
constexpr int kIterations = 12000;

void add_sample(pace_samples* samples, double ratio) {
  samples->ratios[samples->next] = ratio;
  samples->next = (samples->next + 1) % kPaceSamples;
  samples->count = std::min(samples->count + 1, kPaceSamples);
}

double median(const pace_samples& samples) {
  std::array<double, kPaceSamples> sorted = samples.ratios;
  std::array<double, kPaceSamples>::iterator end =
      sorted.begin() + static_cast<std::ptrdiff_t>(samples.count);
  std::sort(sorted.begin(), end);
  // The lower one of the middle two: one long sample is no slow machine.
  return sorted[(samples.count - 1) / 2];
}

}  // namespace

void observe_computation(machine_pace* pace, nanoseconds taken) {
  taken = std::max(taken, nanoseconds(1));
  pace->fastest = std::min(pace->fastest, taken);
  add_sample(&pace->computations, static_cast<double>(taken.count()));
}

void observe_rounds(machine_pace* pace, const work_time& total,
                    steady_time now) {
  work_time earlier = std::exchange(pace->total, total);
  // Another ownership counts anew.
  if (total.elapsed < earlier.elapsed) earlier = {};
  if (total.elapsed == nanoseconds(0) || now - pace->sampled_at > kMaxSampleAge)
    pace->rounds = {};
  pace->unsampled.elapsed += total.elapsed - earlier.elapsed;
  pace->unsampled.processor += total.processor - earlier.processor;
  if (pace->unsampled.processor < kMinSampledWork) return;
  work_time work = std::exchange(pace->unsampled, {});
  add_sample(&pace->rounds, static_cast<double>(work.elapsed.count()) /
                                static_cast<double>(work.processor.count()));
  pace->sampled_at = now;
}

double slowdown_of(const machine_pace& pace, double cpu_share,
                   steady_time now) {
  if (pace.computations.count == 0) return 0;
  double slowdown =
      median(pace.computations) / static_cast<double>(pace.fastest.count());
  if (pace.rounds.count >= kMinRoundSamples &&
      now - pace.sampled_at <= kMaxSampleAge) {
    slowdown =
        std::max(slowdown, median(pace.rounds) * std::min(1.0, cpu_share));
  }
  return std::max(1.0, slowdown);
}

nanoseconds time_computation(const clock::clock& clock) {
  // Every step needs the result of the one before, so that a neighbour on the
  // same core delays the computation little.
  static volatile std::uint64_t sink = 0;
  std::uint64_t value = sink | 1;
  steady_time begun = clock.now();
  for (int i = 0; i < kIterations; ++i) {
    value ^= value >> 29;
    value *= 0x9e3779b97f4a7c15U;
  }
  sink = value;
  return clock.now() - begun;
}

nanoseconds thread_processor_time() {
  std::timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

}  // namespace ebonygrade::poold
