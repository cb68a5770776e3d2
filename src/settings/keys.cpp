#include <fmt/format.h>

#include "settings/settings.h"

namespace ebonygrade::settings {

namespace {

constexpr double kHourMs = 3'600'000;
constexpr double kDayMs = 24 * kHourMs;

constexpr key_spec name_key(std::string_view section, std::string_view key,
                            bool required, std::string_view description,
                            field target) {
  return {section, key, value_type::name, required, 0, 0,
          "",      "",  description,      target};
}

constexpr key_spec address_key(std::string_view section, std::string_view key,
                               bool required, std::string_view description,
                               field target) {
  return {section, key, value_type::address, required, 0, 0,
          "",      "",  description,         target};
}

constexpr key_spec time_key(std::string_view section, std::string_view key,
                            double min, double max,
                            std::string_view description, field target) {
  return {section, key, value_type::duration, false, min, max,
          "ms",    "",  description,          target};
}

constexpr key_spec count_key(std::string_view section, std::string_view key,
                             double min, double max, std::string_view unit,
                             std::string_view description, field target) {
  return {section, key, value_type::integer, false, min, max,
          unit,    "",  description,         target};
}

template <auto Part, auto Member>
auto& member(settings& value) {
  return (value.*Part).*Member;
}

// The field `Member` of the settings' member `Part`.
template <auto Part, auto Member>
constexpr field at() {
  return &member<Part, Member>;
}

constexpr key_spec kKeys[] = {
    name_key("daemon", "id", true, "Name of this daemon, unique in the cell.",
             at<&settings::daemon, &daemon_settings::id>()),
    name_key("daemon", "zone", true,
             "Availability zone of this daemon; one of the cell's.",
             at<&settings::daemon, &daemon_settings::zone>()),
    address_key("daemon", "http_address", true,
                "Address that the HTTP interface binds.",
                at<&settings::daemon, &daemon_settings::http_address>()),
    address_key("daemon", "peer_address", true,
                "Address that the socket for other daemons binds.",
                at<&settings::daemon, &daemon_settings::peer_address>()),
    address_key("daemon", "http_advertise", false,
                "Address at which callers reach http_address, if it differs.",
                at<&settings::daemon, &daemon_settings::http_advertise>()),
    address_key("daemon", "peer_advertise", false,
                "Address at which daemons reach peer_address, if it differs.",
                at<&settings::daemon, &daemon_settings::peer_advertise>()),

    name_key("cell", "name", true, "Name of the cell.",
             at<&settings::cell, &cell_settings::name>()),
    {"cell", "regions", value_type::name_list, true, 0, 0, "", "",
     "Regions of the cell, each with a section [region.NAME]. Same text in "
     "every daemon.",
     at<&settings::cell, &cell_settings::region_names>()},
    count_key("cell", "shards_per_region", 1, 4096, "shards",
              "Shards into which each region is divided. Same in every daemon.",
              at<&settings::cell, &cell_settings::shards_per_region>()),

    address_key("platform", "log_address", true, "Platform's log service.",
                at<&settings::platform, &platform_settings::log_address>()),
    address_key("platform", "list_address", true, "Platform's list of VMs.",
                at<&settings::platform, &platform_settings::list_address>()),
    time_key("platform", "call_timeout", 10, 60000,
             "Time within which the log or list must answer a call.",
             at<&settings::platform, &platform_settings::call_timeout>()),
    time_key("platform", "follow_wait", 100, 60000,
             "Longest time that a read of a followed stream waits for records.",
             at<&settings::platform, &platform_settings::follow_wait>()),
    time_key("platform", "list_interval", 100, 60000,
             "Time between reads of the list of VMs.",
             at<&settings::platform, &platform_settings::list_interval>()),
    time_key("platform", "retry_pause", 10, 60000,
             "Pause after a failed call; doubled up to 16 times, with jitter.",
             at<&settings::platform, &platform_settings::retry_pause>()),
    {"platform", "appends_per_second", value_type::number, false, 0.1, 10000,
     "1/s", "", "This daemon's part of the log's append rate.",
     at<&settings::platform, &platform_settings::appends_per_second>()},

    time_key("ownership", "takeover_after", 100, kHourMs,
             "Silence of a shard's owner before another daemon claims it.",
             at<&settings::ownership, &ownership_settings::takeover_after>()),
    time_key("ownership", "handover_after", 100, kHourMs,
             "Time that a preferred owner must be alive before a shard is "
             "handed to it.",
             at<&settings::ownership, &ownership_settings::handover_after>()),
    time_key("ownership", "claim_retry", 100, kHourMs,
             "Time between claims of the same shard.",
             at<&settings::ownership, &ownership_settings::claim_retry>()),
    time_key("ownership", "snapshot_every", 1000, kDayMs,
             "Time between restatements of claims; keep it well below the "
             "log's retention.",
             at<&settings::ownership, &ownership_settings::snapshot_every>()),

    time_key("peer", "heartbeat_interval", 10, 60000,
             "Time between heartbeats to each daemon.",
             at<&settings::peer, &peer_settings::heartbeat_interval>()),
    time_key("peer", "silence_limit", 50, kHourMs,
             "Silence after which a connection to a daemon is replaced.",
             at<&settings::peer, &peer_settings::silence_limit>()),
    time_key("peer", "max_reconnect_pause", 100, kHourMs,
             "Longest pause between replacements of one connection.",
             at<&settings::peer, &peer_settings::max_reconnect_pause>()),
    count_key("peer", "send_queue", 1, 1000000, "messages",
              "Messages that wait for one daemon; further ones are dropped.",
              at<&settings::peer, &peer_settings::send_queue>()),

    time_key("worker", "call_timeout", 10, 60000,
             "Time within which a worker must answer a call.",
             at<&settings::worker, &worker_settings::call_timeout>()),
    time_key("worker", "task_lease", 100, kHourMs,
             "Lease of a running task; renewed at a third of it.",
             at<&settings::worker, &worker_settings::task_lease>()),
    time_key("worker", "event_wait", 100, 60000,
             "Longest time that a read of a worker's events waits; proof that "
             "the worker is alive.",
             at<&settings::worker, &worker_settings::event_wait>()),
    time_key("worker", "retry_pause", 10, 60000,
             "Pause after a failed call to a worker.",
             at<&settings::worker, &worker_settings::retry_pause>()),
    count_key("worker", "max_batch", 1, 10000, "tasks",
              "Most task starts in one call to a worker.",
              at<&settings::worker, &worker_settings::max_batch>()),

    time_key("requests", "outcome_retention", 1000, kDayMs,
             "Time that a final outcome can be asked for.",
             at<&settings::requests, &request_settings::outcome_retention>()),
    time_key("requests", "retry_after", 1, kHourMs,
             "Time to come back that a refusal for a passing cause names.",
             at<&settings::requests, &request_settings::retry_after>()),
    time_key(
        "requests", "intent_flush_interval", 1, 10000,
        "Longest time that intents gather before one append.",
        at<&settings::requests, &request_settings::intent_flush_interval>()),
    count_key("requests", "max_requests", 1, 10000000, "requests",
              "Requests kept at once, final ones included.",
              at<&settings::requests, &request_settings::max_requests>()),
    count_key("requests", "max_attempts", 1, 100, "attempts",
              "Most starts of one idempotent task.",
              at<&settings::requests, &request_settings::max_attempts>()),

    count_key("http", "max_body", 1024, 1 << 30, "bytes",
              "Longest request body.",
              at<&settings::http, &http_settings::max_body>()),
    count_key("http", "max_header", 1024, 1 << 20, "bytes",
              "Longest request header.",
              at<&settings::http, &http_settings::max_header>()),
    count_key("http", "max_connections", 1, 1000000, "connections",
              "Open connections from callers; further ones are closed at once.",
              at<&settings::http, &http_settings::max_connections>()),
    time_key("http", "read_timeout", 10, kHourMs,
             "Time within which a request must arrive whole.",
             at<&settings::http, &http_settings::read_timeout>()),
    time_key("http", "idle_timeout", 10, kHourMs,
             "Time that a connection without requests stays open.",
             at<&settings::http, &http_settings::idle_timeout>()),
    time_key("http", "max_wait", 10, kHourMs,
             "Longest time that a request may ask to wait for its outcome.",
             at<&settings::http, &http_settings::max_wait>()),

    {"log", "level", value_type::choice, false, 0, 0, "",
     "debug info warning error off",
     "Least level of the events that are written.",
     at<&settings::log, &log_settings::level>()},
};

std::string format_value(const std::string& value) { return value; }
std::string format_value(std::int64_t value) { return std::to_string(value); }
std::string format_value(double value) { return fmt::format("{:g}", value); }
std::string format_value(milliseconds value) {
  return std::to_string(value.count()) + "ms";
}
std::string format_value(const std::vector<std::string>& value) {
  return fmt::format("{}", fmt::join(value, ", "));
}

// The range, such as "1 to 9 tasks", or the choices; "-" if the key has
// neither.
std::string format_range(const key_spec& spec) {
  if (!spec.choices.empty()) return std::string(spec.choices);
  if (spec.unit.empty()) return "-";
  if (spec.type == value_type::duration) {
    return fmt::format("{:.0f}ms to {:.0f}ms", spec.min, spec.max);
  }
  return fmt::format("{:.15g} to {:.15g} {}", spec.min, spec.max, spec.unit);
}

}  // namespace

std::string_view to_string(value_type type) {
  switch (type) {
    case value_type::name:
      return "name";
    case value_type::name_list:
      return "list of names";
    case value_type::address:
      return "IP:PORT";
    case value_type::integer:
      return "integer";
    case value_type::number:
      return "number";
    case value_type::duration:
      return "duration";
    case value_type::choice:
      return "choice";
  }
  return "";
}

std::span<const key_spec> keys() { return kKeys; }

std::string default_text(const key_spec& spec) {
  settings defaults;
  return std::visit(
      [&](const auto& target) { return format_value(target(defaults)); },
      spec.target);
}

std::string documentation_row(const key_spec& spec) {
  std::string fallback = default_text(spec);
  if (fallback.empty()) fallback = "unset";
  if (spec.required) fallback = "required";
  return fmt::format("| `{}` | {} | {} | {} | {} |", spec.key,
                     to_string(spec.type), fallback, format_range(spec),
                     spec.description);
}

}  // namespace ebonygrade::settings
