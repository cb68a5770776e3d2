// Parses the daemons' metrics in the text exposition format and aggregates them
// over the cell.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "error/error.h"
#include "metrics/quantile.h"

namespace ebonygrade::tool {

struct label {
  std::string name;
  std::string value;
};

// One line of the exposition.
struct sample {
  std::string name;
  std::vector<label> labels;
  double value = 0;
};

// Value of the label `name`; empty if the sample has no such label.
std::string label_value(const sample& from, std::string_view name);

// Parses an exposition. On failure `detail` is "line N".
error::result<std::vector<sample>> parse_exposition(std::string_view text);

struct team_and_class {
  std::string team;
  std::string job_class;

  friend auto operator<=>(const team_and_class&,
                          const team_and_class&) = default;
};

// Waiting times of a team and class.
struct wait_summary {
  std::vector<metrics::bucket> buckets;
  std::uint64_t count = 0;
  double sum_seconds = 0;
};

struct outcome_counts {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};

// Labels of the bytes that daemons exchange.
struct traffic_key {
  std::string kind;  // Of the message.
  std::string link;  // Distance of the daemons, such as "zone".

  friend auto operator<=>(const traffic_key&, const traffic_key&) = default;
};
struct traffic_bytes {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// Metrics of the daemons, aggregated over the cell.
struct cell_metrics {
  std::map<team_and_class, wait_summary> waits;
  std::map<team_and_class, outcome_counts> outcomes;
  std::map<traffic_key, traffic_bytes> traffic;
  // Counters and gauges by name, summed; of the bundle's version and roll, the
  // largest.
  std::map<std::string, double> scalars;
};

// Adds the samples of one daemon.
void add_samples(const std::vector<sample>& samples, cell_metrics* total);

std::string metrics_text(const cell_metrics& total);
std::string metrics_json(const cell_metrics& total);

}  // namespace ebonygrade::tool
