#include "metrics/registry.h"

#include <algorithm>
#include <limits>

namespace ebonygrade::metrics {

namespace {

using seconds = std::chrono::duration<double>;

constexpr int kBinsPerDecade = 12;
constexpr double kMinWaitSeconds = 1e-4;
constexpr double kMaxWaitSeconds = 1e4;
constexpr int kWaitDecades = 8;
constexpr double kMinDecisionSeconds = 1e-8;
constexpr double kMaxDecisionSeconds = 1;
constexpr int kDecisionDecades = 8;
constexpr int kOutcomeCount = 4;

seconds infinity() { return seconds(std::numeric_limits<double>::infinity()); }

// Returns the cumulative buckets of a time axis, including its underflow and
// overflow bins. `count` returns the number of values in a bin.
template <typename Axis, typename Count>
std::vector<bucket> to_buckets(const Axis& axis, Count count) {
  std::vector<bucket> buckets;
  std::uint64_t total = 0;
  for (int bin = -1; bin <= axis.size(); ++bin) {
    total += count(bin);
    seconds upper =
        bin == axis.size() ? infinity() : seconds(axis.value(bin + 1));
    buckets.push_back({upper, total});
  }
  return buckets;
}

template <typename Integer>
bool contains(const Integer& axis, int value) {
  int index = axis.index(value);
  return index >= 0 && index < axis.size();
}

}  // namespace

std::string_view to_string(link_distance value) {
  switch (value) {
    case link_distance::same_zone:
      return "zone";
    case link_distance::same_region:
      return "region";
    case link_distance::cross_region:
      return "cross_region";
  }
  return "";
}

std::string_view to_string(direction value) {
  return value == direction::sent ? "sent" : "received";
}

int name_table::index(std::string_view name) {
  std::optional<int> known = find(name);
  if (known) return *known;
  if (names_.size() > max_names_) return 0;
  int new_index = static_cast<int>(names_.size());
  names_.emplace_back(name);
  indexes_.emplace(name, new_index);
  return new_index;
}

std::optional<int> name_table::find(std::string_view name) const {
  if (name == kOtherLabel) return 0;
  auto found = indexes_.find(name);
  if (found == indexes_.end()) return std::nullopt;
  return found->second;
}

registry::registry()
    : teams_(kMaxTeams),
      message_kinds_(kMaxMessageKinds),
      waits_(boost::histogram::make_histogram_with(
          count_storage(), growing_axis(0, 1),
          growing_axis(0, job::kJobClassCount),
          time_axis(kBinsPerDecade * kWaitDecades, kMinWaitSeconds,
                    kMaxWaitSeconds))),
      wait_sums_(boost::histogram::make_histogram_with(
          sum_storage(), growing_axis(0, 1),
          growing_axis(0, job::kJobClassCount))),
      outcomes_(boost::histogram::make_histogram_with(
          count_storage(), growing_axis(0, 1),
          growing_axis(0, job::kJobClassCount),
          growing_axis(0, kOutcomeCount))),
      decisions_(boost::histogram::make_histogram_with(
          count_storage(),
          time_axis(kBinsPerDecade * kDecisionDecades, kMinDecisionSeconds,
                    kMaxDecisionSeconds))) {}

void registry::record_wait(team_class labels, std::chrono::nanoseconds wait) {
  int team = teams_.index(labels.team);
  int kind = static_cast<int>(labels.kind);
  double value = seconds(wait).count();
  waits_(team, kind, value);
  wait_sums_(team, kind, boost::histogram::weight(value));
}

void registry::record_decision(std::chrono::nanoseconds duration) {
  double value = seconds(duration).count();
  decisions_(value);
  decision_sum_ += value;
}

void registry::record_outcome(team_class labels, wire::outcome_kind outcome) {
  outcomes_(teams_.index(labels.team), static_cast<int>(labels.kind),
            std::clamp(static_cast<int>(outcome), 0, kOutcomeCount - 1));
}

void registry::add_bytes(const traffic_label& label, std::uint64_t bytes) {
  traffic_label bounded_label = label;
  bounded_label.kind =
      message_kinds_
          .names()[static_cast<std::size_t>(message_kinds_.index(label.kind))];
  bytes_[bounded_label] += bytes;
}

void registry::add(counter metric, std::uint64_t amount) {
  counters_[static_cast<std::size_t>(metric)] += amount;
}

void registry::set(gauge metric, double value) {
  gauges_[static_cast<std::size_t>(metric)] = value;
}

std::uint64_t registry::value(counter metric) const {
  return counters_[static_cast<std::size_t>(metric)];
}

double registry::value(gauge metric) const {
  return gauges_[static_cast<std::size_t>(metric)];
}

std::uint64_t registry::bytes(const traffic_label& label) const {
  auto found = bytes_.find(label);
  return found == bytes_.end() ? 0 : found->second;
}

std::uint64_t registry::outcomes(team_class labels,
                                 wire::outcome_kind outcome) const {
  std::optional<int> team = teams_.find(labels.team);
  if (!team || !contains(outcomes_.axis<0>(), *team)) return 0;
  return outcomes_.at(*team, static_cast<int>(labels.kind),
                      static_cast<int>(outcome));
}

std::vector<bucket> registry::wait_buckets(const wait_filter& filter) const {
  int first_team = 0;
  int teams_end = waits_.axis<0>().size();
  if (filter.team) {
    std::optional<int> team = teams_.find(*filter.team);
    bool has_values = team && contains(waits_.axis<0>(), *team);
    first_team = has_values ? *team : 0;
    teams_end = has_values ? *team + 1 : 0;
  }
  return to_buckets(waits_.axis<2>(), [&](int bin) {
    std::uint64_t total = 0;
    for (int team = first_team; team < teams_end; ++team) {
      for (int kind = 0; kind < job::kJobClassCount; ++kind) {
        if (filter.kind && kind != static_cast<int>(*filter.kind)) continue;
        total += waits_.at(team, kind, bin);
      }
    }
    return total;
  });
}

std::vector<bucket> registry::decision_buckets() const {
  return to_buckets(decisions_.axis<0>(), [&](int bin) {
    return static_cast<std::uint64_t>(decisions_.at(bin));
  });
}

double registry::wait_sum(int team, int kind) const {
  if (!contains(wait_sums_.axis<0>(), team)) return 0;
  return wait_sums_.at(team, kind).value();
}

std::uint64_t registry::wait_count(const wait_filter& filter) const {
  return wait_buckets(filter).back().cumulative;
}

seconds registry::wait_quantile(const wait_filter& filter, double q) const {
  return quantile(wait_buckets(filter), q);
}

seconds registry::decision_quantile(double q) const {
  return quantile(decision_buckets(), q);
}

}  // namespace ebonygrade::metrics
