// Admission control: predicts when a new job would start and end, and refuses a
// submission whose result would come after the end of its value.
//
//   admission_request request = request_of(id, submission, policy);
//   admission_verdict verdict = judge(state, request, now, wall);
//   record_verdict(&state, request, verdict, now, wall);
//   ... when the first task of an accepted job is placed ...
//   observe_first_start(&state, id, waited);
//
// The prediction treats the CPU of the available workers as one store of
// capacity. Running work returns its CPU at the expected ends, and waiting work
// takes it in the order of placement. Memory, GPUs, labels, advice and
// fragmentation are ignored, and so is work that is submitted later and placed
// first. The prediction is therefore too early rather than too late, and it is
// corrected by how earlier predictions of the queue turned out.
//
// Free functions over plain structs, without a clock and without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pool/types.h"

namespace ebonygrade::pool {

// A result has no value after this many times the objective.
inline constexpr int kValueEndFactor = 3;

// Resolution and range of a forecast. Work that would start later counts as
// never started.
inline constexpr milliseconds kForecastStep{100};
inline constexpr std::size_t kForecastSteps = 1200;

// A waiting step, or later steps of its job, which follow in the same place.
struct waiting_work {
  bool over_share = false;  // The job is over its tenant's share.
  std::uint32_t priority = 0;
  bool late = false;  // The job can't be in time any more.
  unix_time deadline;
  std::int64_t cpu_milli = 0;  // Of all its waiting tasks.
  milliseconds run_time{0};    // Expected, of one task.
};

// Whether `a` is placed before `b`, as in the order of waiting steps.
bool is_placed_before(const waiting_work& a, const waiting_work& b);

// The load of the pool at one time.
struct load_forecast {
  steady_time made_at;  // Default value: none was made.
  std::int64_t free_cpu_milli = 0;
  // CPU that becomes free in each kForecastStep after `made_at`.
  std::vector<std::int64_t> released_cpu_milli =
      std::vector<std::int64_t>(kForecastSteps);
  // In the order of placement, without work whose value has ended.
  std::vector<waiting_work> waiting;
};

// Adds CPU that becomes free after `after`. Times past the range are ignored.
void add_release(load_forecast* load, milliseconds after, std::int64_t cpu);
// Adds CPU that becomes free evenly from now until `until`.
void add_gradual_release(load_forecast* load, milliseconds until,
                         std::int64_t cpu);

// When work starts, from load_forecast::made_at. Empty: not within the range.
struct start_forecast {
  std::optional<milliseconds> first;  // Of its first tasks.
  std::optional<milliseconds> all;    // Of its last tasks.
};
start_forecast forecast_start(const load_forecast& load,
                              const waiting_work& work);

// Shares of the submissions of a class that were accepted, smoothed.
struct acceptance {
  double offered = 0;
  double accepted = 0;
};

// What is known of a queue from its submissions and their first starts.
struct queue_record {
  // Actual / predicted wait, smoothed, and its mean absolute deviation. The
  // initial values ask for half of a predicted wait to be too long already.
  double wait_ratio = 0.8;
  double wait_deviation = 0.3;
  std::uint32_t wait_samples = 0;
  // CPU-time and CPU of the latest submissions.
  std::deque<std::int64_t> sizes;
  std::deque<std::int64_t> widths;
  acceptance all;
  acceptance largest;  // Largest tenth by CPU-time.
  acceptance widest;   // Largest tenth by CPU.
  std::uint64_t refused = 0;
  std::uint64_t accepted_for_size = 0;  // Else the class would be refused more.
};

struct admission_request {
  std::string id;
  std::string queue;
  bool over_share = false;  // The job is over its tenant's share.
  // Scheduled and lasting jobs have value whenever they run.
  bool lasts = false;
  std::uint32_t priority = 0;
  milliseconds objective{0};
  milliseconds critical_path{0};
  std::int64_t first_cpu_milli = 0;  // Of the steps that can start at once.
  std::int64_t cpu_milli_ms = 0;     // CPU-time of the whole job.
  std::int64_t width_cpu_milli = 0;  // CPU of its widest step.
};

admission_request request_of(const std::string& id,
                             const wire::job_submission& submission,
                             const queue_policy& policy);

struct admission_verdict {
  bool accepted = true;
  // Without a prediction, the pool's load isn't known.
  std::optional<milliseconds> predicted_wait;  // Until the first start.
  milliseconds predicted_end{0};  // With the optimistic margin; if refused.
  milliseconds value_end{0};
  bool for_size =
      false;  // Accepted so that its class isn't refused more often.
  std::chrono::seconds retry_after{0};  // At least 1 if refused.
};

struct admitted_job {
  std::string id;
  steady_time at;
  waiting_work work;
};

struct predicted_wait {
  std::string queue;
  milliseconds predicted{0};
};

struct admission_state {
  bool enabled = false;
  load_forecast load;
  // Highest capacity of the available workers, until a loss has lasted.
  std::int64_t known_capacity_milli = 0;
  steady_time capacity_seen_at;
  // Free CPU that waiting work could not use, smoothed: room that gangs
  // collect, and rests on workers that are too small for a task.
  double idle_cpu_milli = 0;
  // Accepted lately, and maybe not among the pool's jobs yet.
  std::deque<admitted_job> admitted;
  // At most kMaxQueueRecords; further queues share the last one.
  std::unordered_map<std::string, queue_record> queues;
  // Accepted jobs that have not started. Bounded by kMaxPredictions; further
  // predictions are not compared.
  std::unordered_map<std::string, predicted_wait> predictions;
};

inline constexpr std::size_t kMaxQueueRecords = 256;
inline constexpr std::size_t kMaxPredictions = 20000;

// Decides about a submission that was accepted by its entry daemon just now.
// Accepts if the load isn't known.
admission_verdict judge(const admission_state& state,
                        const admission_request& request, steady_time now,
                        unix_time wall);
// Counts the verdict, and the work of an accepted job as waiting.
void record_verdict(admission_state* state, const admission_request& request,
                    const admission_verdict& verdict, steady_time now,
                    unix_time wall);
// The job's first task was placed `waited` after its acceptance. Returns what
// had been predicted, if anything.
std::optional<predicted_wait> observe_first_start(admission_state* state,
                                                  const std::string& job,
                                                  milliseconds waited);
// The job has ended, maybe without a start.
void forget_prediction(admission_state* state, const std::string& job);

}  // namespace ebonygrade::pool
