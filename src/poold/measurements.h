// Counters and latency histograms of a pool daemon, served at /metrics in the
// Prometheus text format. docs/METRICS-POOLD.md lists the metrics. Not thread
// safe.
#pragma once

#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "clock/clock.h"
#include "pool/near_wait.h"
#include "poold/tenant_reports.h"
#include "tenants/access.h"

namespace ebonygrade::poold {

using clock::milliseconds;

// Histogram of durations, labelled by queue.
class latency_histogram {
 public:
  latency_histogram(std::string name, std::string help);

  void record(const std::string& queue, milliseconds taken);
  void append_text(std::string* text) const;

 private:
  using time_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using queue_axis = boost::histogram::axis::category<
      std::string, boost::histogram::use_default,
      boost::histogram::axis::option::growth_t>;
  using counts = boost::histogram::histogram<
      std::tuple<queue_axis, time_axis>,
      boost::histogram::dense_storage<std::uint64_t>>;

  std::string name_;
  std::string help_;
  counts counts_;
  std::map<std::string, double> sums_;  // Seconds, by queue.
};

// Refused calls of callers, by reason.
class refusal_counter {
 public:
  void add(tenants::refusal reason) { ++counts_[reason]; }
  void append_text(std::string* text) const;

 private:
  std::map<tenants::refusal, std::uint64_t> counts_;
};

struct measurements {
  refusal_counter refused_calls;
  latency_histogram reply_times{
      "ebonygrade_pool_answer_seconds",
      "Time from a caller's submission or cancellation to its answer."};
  latency_histogram first_start_times{
      "ebonygrade_pool_first_start_seconds",
      "Time from a job's acceptance to the placing of its first task."};
  latency_histogram job_times{
      "ebonygrade_pool_job_seconds",
      "Time from a job's acceptance to its final state."};
  tenant_refusals refused_by_tenant;
  // Of the same jobs.
  latency_histogram predicted_waits{
      "ebonygrade_pool_predicted_wait_seconds",
      "Wait for the first start that was predicted at admission."};
  latency_histogram actual_waits{
      "ebonygrade_pool_actual_wait_seconds",
      "Wait for the first start of jobs with a predicted wait."};
};

// Appends the header and the value of a counter or gauge.
void append_value(std::string* text, std::string_view name,
                  std::string_view kind, std::string_view help,
                  std::uint64_t value);

// Appends the metrics of waits for near places.
void append_near_waits(std::string* text, const pool::near_wait_state& state);

}  // namespace ebonygrade::poold
