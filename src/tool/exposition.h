// Reads the daemons' text exposition and sums it over the cell.
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

// Value of the label of that name; empty if there is none.
std::string label_value(const sample& from, std::string_view name);

// Reads a whole exposition. On failure `detail` names the line.
error::result<std::vector<sample>> parse_exposition(std::string_view text);

struct team_and_class {
  std::string team;
  std::string job_class;

  friend auto operator<=>(const team_and_class&,
                          const team_and_class&) = default;
};

// Waiting times of one team and class.
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

// Bytes between daemons of one kind of message and distance.
struct traffic_key {
  std::string kind;
  std::string link;

  friend auto operator<=>(const traffic_key&, const traffic_key&) = default;
};
struct traffic_bytes {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// What the daemons measured, summed.
struct cell_metrics {
  std::map<team_and_class, wait_summary> waits;
  std::map<team_and_class, outcome_counts> outcomes;
  std::map<traffic_key, traffic_bytes> traffic;
  // Counters and gauges by name; of a bundle's version and roll the latest.
  std::map<std::string, double> scalars;
};

// Adds one daemon's samples.
void add_samples(const std::vector<sample>& samples, cell_metrics* total);

std::string metrics_text(const cell_metrics& total);
std::string metrics_json(const cell_metrics& total);

}  // namespace ebonygrade::tool
