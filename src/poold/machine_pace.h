// How slow this daemon's machine is at present, relative to what it can do.
//
// Two measurements, one sample each at a tick of the daemon:
// - The time of a short fixed computation, relative to the fastest one seen:
//   shows a processor that works more slowly.
// - The elapsed time of scheduling rounds, relative to their processor time:
//   shows a machine that gives the daemon less time. The computation is too
//   short for this: it mostly ends before the machine takes the processor away.
//
// Everything but the last two functions is pure. Not thread-safe.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::steady_time;
using std::chrono::nanoseconds;

// A single sample may be long because of an interrupt or a busy neighbour.
inline constexpr std::size_t kPaceSamples = 5;

// The last samples of a ratio.
struct pace_samples {
  std::array<double, kPaceSamples> ratios{};
  std::size_t count = 0;  // Valid samples.
  std::size_t next = 0;   // Position of the next sample.
};

// Elapsed time and processor time spent on some work.
struct work_time {
  nanoseconds elapsed{0};
  nanoseconds processor{0};
};

struct machine_pace {
  nanoseconds fastest = nanoseconds::max();
  // Times of the computation in nanoseconds.
  pace_samples computations;
  // Elapsed by processor time.
  pace_samples rounds;
  work_time unsampled;     // Rounds since the last sample.
  work_time total;         // As of the last observe_rounds().
  steady_time sampled_at;  // Time of the last sample of rounds.
};

// Adds the time of one computation.
void observe_computation(machine_pace* pace, nanoseconds taken);

// Adds the rounds since the last call. `total` counts from the daemon's
// takeover; zero while it doesn't own the pool.
void observe_rounds(machine_pace* pace, const work_time& total,
                    steady_time now);

// The larger one of the two median ratios, at least 1; 0 if nothing is
// measured. `cpu_share` is the fraction of a core that the VM provides: at full
// load it makes the elapsed time of rounds longer by its inverse, which is no
// fault of the machine.
double slowdown_of(const machine_pace& pace, double cpu_share, steady_time now);

// Runs the computation, 20 to 50 microseconds on machines of our sites, and
// returns the time that it took.
nanoseconds time_computation(const clock::clock& clock);

// Processor time of the calling thread.
nanoseconds thread_processor_time();

}  // namespace ebonygrade::poold
