// Formats the cell's metrics as text tables and as JSON.
#include <fmt/format.h>

#include "tool/exposition.h"
#include "tool/render.h"

namespace ebonygrade::tool {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;

std::string milliseconds_text(seconds value) {
  return fmt::format("{:.1f}", value.count() * 1000);
}

seconds mean(const wait_summary& wait) {
  if (wait.count == 0) return seconds(0);
  return seconds(wait.sum_seconds / static_cast<double>(wait.count));
}

void append_waits(const cell_metrics& total, std::string* text) {
  text->append(fmt::format("{:<16} {:<8} {:>9} {:>10} {:>10} {:>10}\n",
                           "waiting time", "class", "starts", "mean ms",
                           "p50 ms", "p99 ms"));
  for (const auto& [who, wait] : total.waits) {
    text->append(
        fmt::format("{:<16} {:<8} {:>9} {:>10} {:>10} {:>10}\n", who.team,
                    who.job_class, wait.count, milliseconds_text(mean(wait)),
                    milliseconds_text(metrics::quantile(wait.buckets, kP50)),
                    milliseconds_text(metrics::quantile(wait.buckets, kP99))));
  }
}

void append_outcomes(const cell_metrics& total, std::string* text) {
  text->append(fmt::format("{:<16} {:<8} {:>9} {:>10} {:>10}\n", "outcomes",
                           "class", "answered", "not run", "unknown"));
  for (const auto& [who, counts] : total.outcomes) {
    text->append(fmt::format("{:<16} {:<8} {:>9} {:>10} {:>10}\n", who.team,
                             who.job_class, counts.answered, counts.not_run,
                             counts.unknown));
  }
}

void append_traffic(const cell_metrics& total, std::string* text) {
  text->append(fmt::format("{:<16} {:<14} {:>12} {:>12}\n", "bytes by kind",
                           "link", "sent", "received"));
  for (const auto& [key, bytes] : total.traffic) {
    text->append(fmt::format("{:<16} {:<14} {:>12} {:>12}\n", key.kind,
                             key.link, bytes.sent, bytes.received));
  }
}

// Appends the elements of a JSON array.
class json_array {
 public:
  explicit json_array(std::string* text) : text_(text) { *text_ += "["; }
  void add(const std::string& element) {
    if (!first_) *text_ += ", ";
    first_ = false;
    *text_ += element;
  }
  void end() { *text_ += "]"; }

 private:
  std::string* text_;
  bool first_ = true;
};

std::string team_and_class_json(const team_and_class& who) {
  return fmt::format("\"team\": {}, \"class\": {}", json_string(who.team),
                     json_string(who.job_class));
}

}  // namespace

std::string metrics_text(const cell_metrics& total) {
  std::string text;
  append_waits(total, &text);
  text += "\n";
  append_outcomes(total, &text);
  text += "\n";
  append_traffic(total, &text);
  text += "\n";
  for (const auto& [name, value] : total.scalars) {
    text += fmt::format("{:<48} {:.15g}\n", name, value);
  }
  return text;
}

std::string metrics_json(const cell_metrics& total) {
  std::string text = "{\"waits\": ";
  json_array waits(&text);
  for (const auto& [who, wait] : total.waits) {
    waits.add(fmt::format(
        "{{{}, \"starts\": {}, \"mean_ms\": {}, \"p50_ms\": {}, "
        "\"p99_ms\": {}}}",
        team_and_class_json(who), wait.count, milliseconds_text(mean(wait)),
        milliseconds_text(metrics::quantile(wait.buckets, kP50)),
        milliseconds_text(metrics::quantile(wait.buckets, kP99))));
  }
  waits.end();
  text += ", \"outcomes\": ";
  json_array outcomes(&text);
  for (const auto& [who, counts] : total.outcomes) {
    outcomes.add(fmt::format(
        "{{{}, \"answered\": {}, \"not_run\": {}, \"unknown\": {}}}",
        team_and_class_json(who), counts.answered, counts.not_run,
        counts.unknown));
  }
  outcomes.end();
  text += ", \"bytes\": ";
  json_array traffic(&text);
  for (const auto& [key, bytes] : total.traffic) {
    traffic.add(fmt::format(
        "{{\"kind\": {}, \"link\": {}, \"sent\": {}, \"received\": {}}}",
        json_string(key.kind), json_string(key.link), bytes.sent,
        bytes.received));
  }
  traffic.end();
  text += ", \"values\": {";
  std::string_view separator;
  for (const auto& [name, value] : total.scalars) {
    text += fmt::format("{}{}: {:.15g}", separator, json_string(name), value);
    separator = ", ";
  }
  return text + "}}\n";
}

}  // namespace ebonygrade::tool
