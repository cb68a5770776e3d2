#include "tool/exposition.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ebonygrade::tool {

namespace {

constexpr std::string_view kWaitBucket = "ebonygrade_wait_seconds_bucket";
constexpr std::string_view kWaitCount = "ebonygrade_wait_seconds_count";
constexpr std::string_view kWaitSum = "ebonygrade_wait_seconds_sum";
constexpr std::string_view kOutcomes = "ebonygrade_outcomes_total";
constexpr std::string_view kPeerBytes = "ebonygrade_peer_bytes_total";

// Parses a number, including "+Inf".
bool parse_number(std::string_view text, double* value) {
  if (text.starts_with('+')) text.remove_prefix(1);
  const char* end = text.data() + text.size();
  std::from_chars_result read = std::from_chars(text.data(), end, *value);
  return read.ec == std::errc() && read.ptr == end;
}

// Parses NAME{LABEL="VALUE",...} NUMBER.
class line_parser {
 public:
  explicit line_parser(std::string_view line) : rest_(line) {}

  bool run(sample* target) {
    std::size_t end = rest_.find_first_of("{ ");
    if (end == 0 || end == std::string_view::npos) return false;
    target->name = rest_.substr(0, end);
    rest_.remove_prefix(end);
    if (rest_.starts_with('{') && !parse_labels(target)) return false;
    if (!rest_.starts_with(' ')) return false;
    rest_.remove_prefix(1);
    return read_number(&target->value);
  }

 private:
  bool parse_labels(sample* target) {
    rest_.remove_prefix(1);
    while (!rest_.starts_with('}')) {
      std::size_t end = rest_.find("=\"");
      if (end == std::string_view::npos) return false;
      label each;
      each.name = rest_.substr(0, end);
      rest_.remove_prefix(end + 2);
      if (!parse_quoted(&each.value)) return false;
      target->labels.push_back(std::move(each));
      if (rest_.starts_with(',')) rest_.remove_prefix(1);
    }
    rest_.remove_prefix(1);
    return true;
  }

  bool parse_quoted(std::string* value) {
    while (!rest_.empty()) {
      char c = rest_.front();
      rest_.remove_prefix(1);
      if (c == '"') return true;
      if (c == '\\') {
        if (rest_.empty()) return false;
        c = rest_.front() == 'n' ? '\n' : rest_.front();
        rest_.remove_prefix(1);
      }
      value->push_back(c);
    }
    return false;
  }

  bool read_number(double* value) { return parse_number(rest_, value); }

  std::string_view rest_;
};

metrics::bucket& find_or_add_bucket(std::vector<metrics::bucket>* buckets,
                                    double upper) {
  std::chrono::duration<double> bound(upper);
  auto at = std::lower_bound(
      buckets->begin(), buckets->end(), bound,
      [](const metrics::bucket& each, std::chrono::duration<double> value) {
        return each.upper < value;
      });
  if (at == buckets->end() || at->upper != bound) {
    at = buckets->insert(at, {bound, 0});
  }
  return *at;
}

// Whether the gauge is a version number, of which the cell's value is the
// largest one, not the sum.
bool is_version_gauge(std::string_view name) {
  return name == "ebonygrade_bundle_roll" ||
         name == "ebonygrade_bundle_version";
}

void add_outcome(const sample& from, outcome_counts* counts) {
  std::string outcome = label_value(from, "outcome");
  std::uint64_t value = static_cast<std::uint64_t>(from.value);
  if (outcome == "answered") counts->answered += value;
  if (outcome == "not_run") counts->not_run += value;
  if (outcome == "unknown") counts->unknown += value;
}

void add_traffic(const sample& from, traffic_bytes* bytes) {
  std::uint64_t value = static_cast<std::uint64_t>(from.value);
  if (label_value(from, "direction") == "sent") {
    bytes->sent += value;
  } else {
    bytes->received += value;
  }
}

void add_sample(const sample& from, cell_metrics* total) {
  team_and_class who{label_value(from, "team"), label_value(from, "class")};
  std::uint64_t count = static_cast<std::uint64_t>(from.value);
  if (from.name == kWaitBucket) {
    double upper = 0;
    if (!parse_number(label_value(from, "le"), &upper)) return;
    find_or_add_bucket(&total->waits[who].buckets, upper).cumulative += count;
  } else if (from.name == kWaitCount) {
    total->waits[who].count += count;
  } else if (from.name == kWaitSum) {
    total->waits[who].sum_seconds += from.value;
  } else if (from.name == kOutcomes) {
    add_outcome(from, &total->outcomes[who]);
  } else if (from.name == kPeerBytes) {
    traffic_key key{label_value(from, "kind"), label_value(from, "link")};
    add_traffic(from, &total->traffic[key]);
  } else if (from.labels.empty()) {
    double& scalar = total->scalars[from.name];
    scalar = is_version_gauge(from.name) ? std::max(scalar, from.value)
                                         : scalar + from.value;
  }
}

}  // namespace

std::string label_value(const sample& from, std::string_view name) {
  for (const label& each : from.labels) {
    if (each.name == name) return each.value;
  }
  return {};
}

error::result<std::vector<sample>> parse_exposition(std::string_view text) {
  std::vector<sample> samples;
  int number = 0;
  while (!text.empty()) {
    ++number;
    std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.starts_with('#')) continue;
    sample each;
    if (!line_parser(line).run(&each)) {
      return error::failure{error::code::bad_reply, "read metrics", "",
                            "line " + std::to_string(number)};
    }
    samples.push_back(std::move(each));
  }
  return samples;
}

void add_samples(const std::vector<sample>& samples, cell_metrics* total) {
  for (const sample& each : samples) add_sample(each, total);
}

}  // namespace ebonygrade::tool
