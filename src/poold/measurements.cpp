#include "poold/measurements.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "metrics/text.h"

namespace ebonygrade::poold {

namespace {

// Four buckets per decade from 1 ms to 1,000 s.
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 1000;
constexpr unsigned kBuckets = 24;
// Further queues share the label `other`.
constexpr int kMaxQueues = 64;
constexpr char kOtherQueue[] = "other";
constexpr double kMsPerSecond = 1000;

}  // namespace

latency_histogram::latency_histogram(std::string name, std::string help)
    : name_(std::move(name)),
      help_(std::move(help)),
      counts_(std::make_tuple(queue_axis(),
                              time_axis(kBuckets, kMinSeconds, kMaxSeconds))) {}

void latency_histogram::record(const std::string& queue, milliseconds taken) {
  bool known = sums_.count(queue) > 0;
  bool full = !known && counts_.axis<0>().size() >= kMaxQueues;
  const std::string& label = full ? std::string(kOtherQueue) : queue;
  double seconds = static_cast<double>(taken.count()) / kMsPerSecond;
  // The logarithmic axis has no bin for zero.
  counts_(label, std::max(seconds, kMinSeconds));
  sums_[label] += seconds;
}

void latency_histogram::append_text(std::string* text) const {
  metrics::append_header(text, name_, "histogram", help_);
  for (int row = 0; row < counts_.axis<0>().size(); ++row) {
    const std::string& label = counts_.axis<0>().value(row);
    std::uint64_t count = counts_.at(row, -1);
    for (int i = 0; i < counts_.axis<1>().size(); ++i) {
      count += counts_.at(row, i);
      text->append(fmt::format("{}_bucket{{queue=\"{}\",le=\"{:.4g}\"}} {}\n",
                               name_, label, counts_.axis<1>().bin(i).upper(),
                               count));
    }
    count += counts_.at(row, counts_.axis<1>().size());
    text->append(fmt::format(
        "{0}_bucket{{queue=\"{1}\",le=\"+Inf\"}} {2}\n"
        "{0}_sum{{queue=\"{1}\"}} {3:.9g}\n{0}_count{{queue=\"{1}\"}} {2}\n",
        name_, label, count, sums_.at(label)));
  }
}

void refusal_counter::append_text(std::string* text) const {
  constexpr char kName[] = "ebonygrade_pool_refused_calls_total";
  metrics::append_header(text, kName, "counter",
                         "Calls refused for their key, tenant or quota.");
  for (tenants::refusal reason : tenants::kRefusals) {
    std::map<tenants::refusal, std::uint64_t>::const_iterator found =
        counts_.find(reason);
    text->append(fmt::format("{}{{reason=\"{}\"}} {}\n", kName,
                             tenants::to_string(reason),
                             found == counts_.end() ? 0 : found->second));
  }
}

void append_value(std::string* text, std::string_view name,
                  std::string_view kind, std::string_view help,
                  std::uint64_t value) {
  metrics::append_header(text, name, kind, help);
  text->append(fmt::format("{} {}\n", name, value));
}

void append_near_waits(std::string* text, const pool::near_wait_state& state) {
  append_value(text, "ebonygrade_pool_near_runs_total", "counter",
               "Runs placed near the data of their task, or on one rack.",
               state.counters.near_runs);
  append_value(text, "ebonygrade_pool_far_runs_total", "counter",
               "Runs placed far from the data, or over several racks.",
               state.counters.far_runs);
  append_value(text, "ebonygrade_pool_near_waits_total", "counter",
               "Decisions to wait for a near place.", state.counters.waits);
  append_value(text, "ebonygrade_pool_near_waits_far_total", "counter",
               "Waits for a near place that ended without one.",
               state.counters.waits_ended_far);
  append_value(text, "ebonygrade_pool_near_waited_ms_total", "counter",
               "Time waited for near places.",
               static_cast<std::uint64_t>(state.counters.waited.count()));
  append_value(text, "ebonygrade_pool_near_forecast_error_ms", "gauge",
               "Smoothed error of the forecasts of near places.",
               static_cast<std::uint64_t>(state.error.error.count()));
}

}  // namespace ebonygrade::poold
