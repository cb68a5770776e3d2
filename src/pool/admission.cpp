#include "pool/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace ebonygrade::pool {

namespace {

// An older forecast of the load is not used.
constexpr milliseconds kMaxForecastAge{1000};
// Bounds of the factor by which a predicted wait is held to be certain. Waits
// were two to four times as long as predicted where gangs fragment the pool.
constexpr double kMinWaitFactor = 0.25;
constexpr double kMaxWaitFactor = 3;
// Urgent jobs are placed first and soon make room for each other, so even
// clearly predicted waits of them are doubted.
constexpr double kUrgentWaitFactor = 0.5;
// Shorter predicted waits tell nothing about longer ones.
constexpr milliseconds kMinComparedWait{500};
// Added to both waits before they are compared: rounds, appends and polls.
constexpr milliseconds kWaitOffset{200};
constexpr double kMinWaitRatio = 0.1;
constexpr double kMaxWaitRatio = 4;
// Weight of the initial values, in samples, and of the newest sample at least.
constexpr double kPriorSamples = 10;
constexpr double kMinSampleWeight = 0.05;
// Submissions from which the largest tenth of a queue is told.
constexpr std::size_t kSizeSamples = 200;
constexpr std::size_t kMinSizeSamples = 20;
constexpr double kLargestQuantile = 0.9;
// The classes of large jobs are accepted at least this often relative to their
// queue; half is required.
constexpr double kMinClassAcceptance = 0.6;
// Factor per submission by which earlier ones count less.
constexpr double kAcceptanceDecay = 0.998;
constexpr std::chrono::seconds kMaxRetryAfter{60};
constexpr std::size_t kMaxAdmitted = 4096;
constexpr char kOtherQueues[] = "";

std::size_t step_at(milliseconds time) {
  return static_cast<std::size_t>(std::max<std::int64_t>(
      0, (time + kForecastStep - milliseconds(1)) / kForecastStep));
}

// Hands out the free CPU of a forecast in the order of placement.
struct cpu_cursor {
  std::vector<std::int64_t> released;
  std::size_t step = 0;
  std::int64_t free = 0;

  // Returns false at the end of the range.
  bool advance() {
    if (step + 1 >= released.size()) return false;
    free += released[++step];
    return true;
  }
};

milliseconds time_of(const cpu_cursor& cursor) {
  return kForecastStep * static_cast<std::int64_t>(cursor.step);
}

// Returns when the work starts. The tasks of the work take free CPU one by one,
// also those of a gang: while it collects room, others use what it leaves.
start_forecast take_cpu(cpu_cursor* cursor, const waiting_work& work) {
  start_forecast result;
  std::size_t run_steps = std::max<std::size_t>(1, step_at(work.run_time));
  std::int64_t missing = work.cpu_milli;
  for (;;) {
    std::int64_t taken = std::clamp<std::int64_t>(
        cursor->free, 0, std::max<std::int64_t>(0, missing));
    if (taken > 0 || missing <= 0) {
      if (!result.first) result.first = time_of(*cursor);
      cursor->free -= taken;
      missing -= taken;
      std::size_t end = cursor->step + run_steps;
      if (end < cursor->released.size()) cursor->released[end] += taken;
    }
    if (missing <= 0) break;
    if (!cursor->advance()) return result;
  }
  result.all = time_of(*cursor);
  return result;
}

std::int64_t quantile(const std::deque<std::int64_t>& values, double share) {
  std::vector<std::int64_t> sorted(values.begin(), values.end());
  std::vector<std::int64_t>::iterator at =
      sorted.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

// Whether the value is in the largest tenth. Among equal values none is.
bool is_large(std::int64_t value, const std::deque<std::int64_t>& values) {
  if (values.size() < kMinSizeSamples) return false;
  constexpr double kMedian = 0.5;
  return value >= quantile(values, kLargestQuantile) &&
         value > quantile(values, kMedian);
}

double rate_of(const acceptance& counted) {
  return counted.offered > 0 ? counted.accepted / counted.offered : 1;
}

// Whether one more refusal would leave the class too far below its queue.
bool needs_acceptance(const acceptance& of_class, const acceptance& all) {
  return of_class.accepted <
         kMinClassAcceptance * rate_of(all) * (of_class.offered + 1);
}

void count(acceptance* counted, bool accepted) {
  counted->offered = counted->offered * kAcceptanceDecay + 1;
  counted->accepted = counted->accepted * kAcceptanceDecay + (accepted ? 1 : 0);
}

void add_value(std::deque<std::int64_t>* values, std::int64_t value) {
  values->push_back(value);
  if (values->size() > kSizeSamples) values->pop_front();
}

const std::string& record_name(const admission_state& state,
                               const std::string& queue) {
  static const std::string other = kOtherQueues;
  bool full = state.queues.size() >= kMaxQueueRecords;
  return full && state.queues.count(queue) == 0 ? other : queue;
}

const queue_record& record_of(const admission_state& state,
                              const std::string& queue) {
  static const queue_record none;
  std::unordered_map<std::string, queue_record>::const_iterator found =
      state.queues.find(record_name(state, queue));
  return found == state.queues.end() ? none : found->second;
}

// The part of a predicted wait that counts.
double wait_factor(const admission_request& request,
                   const queue_record& record) {
  double doubt = request.over_share ? 0 : record.wait_deviation;
  double factor =
      std::clamp(record.wait_ratio - doubt, kMinWaitFactor, kMaxWaitFactor);
  return request.priority == 0 ? factor * kUrgentWaitFactor : factor;
}

// From when the end would come early enough, spread over as long again, so that
// the callers don't return at the same time.
std::chrono::seconds retry_after(std::string_view id, milliseconds excess) {
  constexpr std::size_t kParts = 1024;
  double part =
      static_cast<double>(std::hash<std::string_view>()(id) % kParts) /
      static_cast<double>(kParts);
  milliseconds spread(static_cast<std::int64_t>(
      part * static_cast<double>((excess + std::chrono::seconds(1)).count())));
  return std::clamp<std::chrono::seconds>(
      std::chrono::ceil<std::chrono::seconds>(excess + spread),
      std::chrono::seconds(1), kMaxRetryAfter);
}

waiting_work work_of(const admission_request& request, unix_time wall) {
  waiting_work work;
  work.over_share = request.over_share;
  work.priority = request.priority;
  work.deadline = wall + request.objective;
  work.cpu_milli = request.first_cpu_milli;
  work.run_time = request.critical_path;
  return work;
}

milliseconds scaled(milliseconds time, double factor) {
  return milliseconds(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace

bool is_placed_before(const waiting_work& a, const waiting_work& b) {
  if (a.over_share != b.over_share) return b.over_share;
  if (a.priority != b.priority) return a.priority < b.priority;
  if (a.late != b.late) return b.late;
  return a.deadline < b.deadline;
}

void add_release(load_forecast* load, milliseconds after, std::int64_t cpu) {
  std::size_t step = std::max<std::size_t>(1, step_at(after));
  if (step < load->released_cpu_milli.size()) {
    load->released_cpu_milli[step] += cpu;
  }
}

void add_gradual_release(load_forecast* load, milliseconds until,
                         std::int64_t cpu) {
  std::size_t last = std::clamp<std::size_t>(
      step_at(until), 1, load->released_cpu_milli.size() - 1);
  std::int64_t given = 0;
  for (std::size_t i = 1; i <= last; ++i) {
    std::int64_t due =
        cpu * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(last);
    load->released_cpu_milli[i] += due - given;
    given = due;
  }
}

start_forecast forecast_start(const load_forecast& load,
                              const waiting_work& work) {
  cpu_cursor cursor{load.released_cpu_milli, 0, load.free_cpu_milli};
  for (const waiting_work& each : load.waiting) {
    if (is_placed_before(work, each)) break;
    if (!take_cpu(&cursor, each).all) return {};
  }
  return take_cpu(&cursor, work);
}

admission_request request_of(const std::string& id,
                             const wire::job_submission& submission,
                             const queue_policy& policy) {
  admission_request request;
  request.id = id;
  request.queue = submission.queue();
  request.priority = policy.priority;
  request.lasts = submission.repeats() > 0;
  std::vector<milliseconds> ends;  // Of each step, without waits.
  for (const wire::step_definition& step : submission.steps()) {
    milliseconds begin{0};
    for (std::uint32_t earlier : step.after()) {
      if (earlier < ends.size()) begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + milliseconds(step.estimate_ms()));
    request.critical_path = std::max(request.critical_path, ends.back());
    request.lasts |= step.long_running();
    std::int64_t cpu = step.fills() ? 0
                                    : static_cast<std::int64_t>(step.count()) *
                                          step.cpu_milli();
    if (step.after().empty()) request.first_cpu_milli += cpu;
    request.cpu_milli_ms += cpu * step.estimate_ms();
    request.width_cpu_milli = std::max(request.width_cpu_milli, cpu);
  }
  request.objective =
      policy.target + scaled(request.critical_path, policy.stretch);
  return request;
}

admission_verdict judge(const admission_state& state,
                        const admission_request& request, steady_time now,
                        unix_time wall) {
  admission_verdict verdict;
  verdict.value_end = kValueEndFactor * request.objective;
  const load_forecast& load = state.load;
  bool known =
      load.made_at != steady_time() && now - load.made_at <= kMaxForecastAge;
  if (!known) return verdict;
  start_forecast start = forecast_start(load, work_of(request, wall));
  milliseconds age =
      std::chrono::duration_cast<milliseconds>(now - load.made_at);
  milliseconds range =
      kForecastStep * static_cast<std::int64_t>(kForecastSteps);
  verdict.predicted_wait =
      std::max(milliseconds(0), start.first.value_or(range) - age);
  milliseconds wait =
      std::max(milliseconds(0), start.all.value_or(range) - age);
  const queue_record& record = record_of(state, request.queue);
  verdict.predicted_end =
      scaled(wait, wait_factor(request, record)) + request.critical_path;
  if (request.lasts || verdict.predicted_end <= verdict.value_end) {
    return verdict;
  }
  bool kept = (is_large(request.cpu_milli_ms, record.sizes) &&
               needs_acceptance(record.largest, record.all)) ||
              (is_large(request.width_cpu_milli, record.widths) &&
               needs_acceptance(record.widest, record.all));
  if (kept && !request.over_share) {
    verdict.for_size = true;
    return verdict;
  }
  verdict.accepted = false;
  verdict.retry_after =
      retry_after(request.id, verdict.predicted_end - verdict.value_end);
  return verdict;
}

void record_verdict(admission_state* state, const admission_request& request,
                    const admission_verdict& verdict, steady_time now,
                    unix_time wall) {
  queue_record& record = state->queues[record_name(*state, request.queue)];
  if (is_large(request.cpu_milli_ms, record.sizes)) {
    count(&record.largest, verdict.accepted);
  }
  if (is_large(request.width_cpu_milli, record.widths)) {
    count(&record.widest, verdict.accepted);
  }
  add_value(&record.sizes, request.cpu_milli_ms);
  add_value(&record.widths, request.width_cpu_milli);
  count(&record.all, verdict.accepted);
  if (!verdict.accepted) {
    ++record.refused;
    return;
  }
  if (verdict.for_size) ++record.accepted_for_size;
  waiting_work work = work_of(request, wall);
  std::vector<waiting_work>& waiting = state->load.waiting;
  waiting.insert(
      std::upper_bound(waiting.begin(), waiting.end(), work, is_placed_before),
      work);
  state->admitted.push_back({request.id, now, work});
  if (state->admitted.size() > kMaxAdmitted) state->admitted.pop_front();
  bool compared = verdict.predicted_wait && !request.lasts &&
                  state->predictions.size() < kMaxPredictions;
  if (compared) {
    state->predictions[request.id] = {request.queue, *verdict.predicted_wait};
  }
}

std::optional<predicted_wait> observe_first_start(admission_state* state,
                                                  const std::string& job,
                                                  milliseconds waited) {
  std::unordered_map<std::string, predicted_wait>::iterator found =
      state->predictions.find(job);
  if (found == state->predictions.end()) return std::nullopt;
  predicted_wait prediction = std::move(found->second);
  state->predictions.erase(found);
  if (prediction.predicted < kMinComparedWait) return prediction;
  queue_record& record = state->queues[record_name(*state, prediction.queue)];
  double ratio = std::clamp(
      static_cast<double>((waited + kWaitOffset).count()) /
          static_cast<double>((prediction.predicted + kWaitOffset).count()),
      kMinWaitRatio, kMaxWaitRatio);
  double weight =
      std::max(kMinSampleWeight,
               1 / (static_cast<double>(record.wait_samples) + kPriorSamples));
  ++record.wait_samples;
  record.wait_ratio += weight * (ratio - record.wait_ratio);
  record.wait_deviation +=
      weight * (std::abs(ratio - record.wait_ratio) - record.wait_deviation);
  return prediction;
}

void forget_prediction(admission_state* state, const std::string& job) {
  state->predictions.erase(job);
}

}  // namespace ebonygrade::pool
