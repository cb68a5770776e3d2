// The metrics of a daemon: histograms of wait and decision times, outcomes of
// requests, bytes exchanged between daemons, and the counters and gauges of the
// catalogue.
//
//   metrics::registry registry;
//   registry.record_wait({"forecast", job::job_class::urgent}, wait);
//   registry.add(metrics::counter::starts_sent);
//   std::string text = registry.to_text();
//
// A registry is not thread-safe: one thread owns it. A registry is copyable.
// Because formatting hundreds of series takes milliseconds, copy the registry
// on its thread and call to_text() on the copy on another one.
//
// Memory is bounded: teams beyond kMaxTeams and message kinds beyond
// kMaxMessageKinds are counted under "other".
#pragma once

#include <array>
#include <boost/histogram/accumulators/sum.hpp>
#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "job/job.h"
#include "metrics/catalogue.h"
#include "metrics/quantile.h"

namespace ebonygrade::metrics {

inline constexpr std::size_t kMaxTeams = 256;
inline constexpr std::size_t kMaxMessageKinds = 64;
inline constexpr std::string_view kOtherLabel = "other";

// Team and class of the request that a value is recorded for.
struct team_class {
  std::string_view team;
  job::job_class kind = job::job_class::batch;
};

// Network distance between two daemons.
enum class link_distance { same_zone, same_region, cross_region };
enum class direction { sent, received };

std::string_view to_string(link_distance value);
std::string_view to_string(direction value);

// Labels of the byte counter of peer traffic.
struct traffic_label {
  std::string kind;
  link_distance link = link_distance::same_zone;
  direction flow_direction = direction::sent;

  friend auto operator<=>(const traffic_label&, const traffic_label&) = default;
};

// Selects recorded wait times. A member without a value selects all.
struct wait_filter {
  std::optional<std::string> team;
  std::optional<job::job_class> kind;
};

// Assigns consecutive indexes to names in order of first use. Index 0 belongs
// to kOtherLabel. After `max_names` other names, every new name gets index 0.
class name_table {
 public:
  explicit name_table(std::size_t max_names) : max_names_(max_names) {}
  int index(std::string_view name);
  // Index of a name, or nothing if it has none.
  std::optional<int> find(std::string_view name) const;
  const std::vector<std::string>& names() const { return names_; }

 private:
  std::size_t max_names_;
  std::vector<std::string> names_{std::string(kOtherLabel)};
  std::map<std::string, int, std::less<>> indexes_;
};

class registry {
 public:
  registry();

  // Time from a request's arrival to the start of one of its tasks.
  void record_wait(team_class labels, std::chrono::nanoseconds wait);
  // Duration of one placement decision.
  void record_decision(std::chrono::nanoseconds duration);
  // Counts a request that reached its final outcome.
  void record_outcome(team_class labels, wire::outcome_kind outcome);
  void add_bytes(const traffic_label& label, std::uint64_t bytes);
  void add(counter metric, std::uint64_t amount = 1);
  void set(gauge metric, double value);

  std::uint64_t value(counter metric) const;
  double value(gauge metric) const;
  std::uint64_t bytes(const traffic_label& label) const;
  std::uint64_t outcomes(team_class labels, wire::outcome_kind outcome) const;
  std::uint64_t wait_count(const wait_filter& filter) const;
  // See quantile.h. Bucket widths limit the accuracy to about 10%.
  std::chrono::duration<double> wait_quantile(const wait_filter& filter,
                                              double q) const;
  std::chrono::duration<double> decision_quantile(double q) const;

  // All metrics in the Prometheus text exposition format, version 0.0.4. Series
  // of teams and classes without values are omitted.
  std::string to_text() const;

 private:
  using growing_axis =
      boost::histogram::axis::integer<int, boost::histogram::use_default,
                                      boost::histogram::axis::option::growth_t>;
  using time_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using count_storage = boost::histogram::dense_storage<std::uint64_t>;
  using sum_storage = boost::histogram::dense_storage<
      boost::histogram::accumulators::sum<double>>;

  // Axes: team, class, seconds.
  using wait_histogram = boost::histogram::histogram<
      std::tuple<growing_axis, growing_axis, time_axis>, count_storage>;
  // Axes: team, class.
  using sum_histogram =
      boost::histogram::histogram<std::tuple<growing_axis, growing_axis>,
                                  sum_storage>;
  // Axes: team, class, outcome.
  using outcome_histogram = boost::histogram::histogram<
      std::tuple<growing_axis, growing_axis, growing_axis>, count_storage>;
  using decision_histogram =
      boost::histogram::histogram<std::tuple<time_axis>, count_storage>;

  std::vector<bucket> wait_buckets(const wait_filter& filter) const;
  std::vector<bucket> decision_buckets() const;
  double wait_sum(int team, int kind) const;
  void append_waits(std::string* text) const;
  void append_decisions(std::string* text) const;
  void append_outcomes(std::string* text) const;
  void append_bytes(std::string* text) const;
  void append_scalars(std::string* text) const;

  name_table teams_;
  name_table message_kinds_;
  wait_histogram waits_;
  sum_histogram wait_sums_;
  outcome_histogram outcomes_;
  decision_histogram decisions_;
  double decision_sum_ = 0;
  std::map<traffic_label, std::uint64_t> bytes_;
  std::array<std::uint64_t, kCounterCount> counters_{};
  std::array<double, kGaugeCount> gauges_{};
};

}  // namespace ebonygrade::metrics
