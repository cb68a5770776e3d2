// Formats the registry in the Prometheus text exposition format.
#include <fmt/format.h>

#include <cmath>

#include "metrics/registry.h"
#include "metrics/text.h"

namespace ebonygrade::metrics {

namespace {

// Exports every third bucket bound, which gives 4 bounds per decade.
constexpr std::size_t kBucketsPerExportedBound = 3;
constexpr std::string_view kWaitName = "ebonygrade_wait_seconds";
constexpr std::string_view kDecisionName = "ebonygrade_decision_seconds";
constexpr std::string_view kOutcomeName = "ebonygrade_outcomes_total";
constexpr std::string_view kBytesName = "ebonygrade_peer_bytes_total";

std::string escaped_label(std::string_view value) {
  std::string text;
  for (char c : value) {
    if (c == '\\' || c == '"') text.push_back('\\');
    if (c == '\n') {
      text.append("\\n");
    } else {
      text.push_back(c);
    }
  }
  return text;
}

std::string class_labels(std::string_view team, int kind) {
  return fmt::format("team=\"{}\",class=\"{}\"", escaped_label(team),
                     to_string(static_cast<job::job_class>(kind)));
}

// `labels` is a comma-separated list without a trailing comma; it may be empty.
void append_histogram(std::string* text, std::string_view name,
                      std::string_view labels,
                      const std::vector<bucket>& buckets, double sum) {
  std::string_view comma = labels.empty() ? "" : ",";
  for (std::size_t i = 0; i + 1 < buckets.size();
       i += kBucketsPerExportedBound) {
    text->append(fmt::format("{}_bucket{{{}{}le=\"{:.4g}\"}} {}\n", name,
                             labels, comma, buckets[i].upper.count(),
                             buckets[i].cumulative));
  }
  std::uint64_t count = buckets.back().cumulative;
  text->append(fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels,
                           comma, count));
  std::string braces =
      labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
  text->append(fmt::format("{0}_sum{1} {2:.9g}\n{0}_count{1} {3}\n", name,
                           braces, sum, count));
}

}  // namespace

void registry::append_waits(std::string* text) const {
  append_header(text, kWaitName, "histogram",
                "Time from a request's arrival to the start of a task.");
  for (int team = 0; team < waits_.axis<0>().size(); ++team) {
    const std::string& name = teams_.names()[static_cast<std::size_t>(team)];
    for (int kind = 0; kind < job::kJobClassCount; ++kind) {
      std::vector<bucket> buckets =
          wait_buckets({name, static_cast<job::job_class>(kind)});
      if (buckets.back().cumulative == 0) continue;
      append_histogram(text, kWaitName, class_labels(name, kind), buckets,
                       wait_sum(team, kind));
    }
  }
}

void registry::append_decisions(std::string* text) const {
  append_header(text, kDecisionName, "histogram",
                "Time that one placement decision took.");
  append_histogram(text, kDecisionName, "", decision_buckets(), decision_sum_);
}

void registry::append_outcomes(std::string* text) const {
  append_header(text, kOutcomeName, "counter",
                "Requests that became final, by outcome.");
  for (int team = 0; team < outcomes_.axis<0>().size(); ++team) {
    const std::string& name = teams_.names()[static_cast<std::size_t>(team)];
    for (int kind = 0; kind < job::kJobClassCount; ++kind) {
      for (int outcome = 0; outcome < outcomes_.axis<2>().size(); ++outcome) {
        std::uint64_t count = outcomes_.at(team, kind, outcome);
        if (count == 0) continue;
        text->append(fmt::format(
            "{}{{{},outcome=\"{}\"}} {}\n", kOutcomeName,
            class_labels(name, kind),
            wire::outcome_kind_Name(static_cast<wire::outcome_kind>(outcome)),
            count));
      }
    }
  }
}

void registry::append_bytes(std::string* text) const {
  append_header(text, kBytesName, "counter",
                "Bytes exchanged with other daemons, by kind of message.");
  for (const auto& [label, count] : bytes_) {
    text->append(fmt::format(
        "{}{{kind=\"{}\",link=\"{}\",direction=\"{}\"}} {}\n", kBytesName,
        escaped_label(label.kind), to_string(label.link),
        to_string(label.flow_direction), count));
  }
}

void registry::append_scalars(std::string* text) const {
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    append_header(text, kCounters[i].name, "counter", kCounters[i].help);
    text->append(fmt::format("{} {}\n", kCounters[i].name, counters_[i]));
  }
  for (std::size_t i = 0; i < kGaugeCount; ++i) {
    append_header(text, kGauges[i].name, "gauge", kGauges[i].help);
    text->append(fmt::format("{} {:.15g}\n", kGauges[i].name, gauges_[i]));
  }
}

std::string registry::to_text() const {
  std::string text;
  append_waits(&text);
  append_decisions(&text);
  append_outcomes(&text);
  append_bytes(&text);
  append_scalars(&text);
  return text;
}

}  // namespace ebonygrade::metrics
