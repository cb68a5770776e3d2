// Settings of the daemon, from one INI file that is read and checked as a whole
// before the daemon starts any component.
//
//   settings::load_report loaded = settings::load("cell.ini");
//   for (const error::failure& each : loaded.problems) print(to_string(each));
//   if (!loaded.problems.empty()) return kExitBadSettings;
//   platform::client_options options = to_client_options(loaded.value);
//
// `keys()` is the table of all keys. The parser uses the table, and a test
// compares docs/CONFIG.md with it. Settings don't change while a daemon runs;
// the scheduling policy is in bundles.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"

namespace ebonygrade::settings {

using clock::milliseconds;

struct daemon_settings {
  std::string id;
  std::string zone;
  std::string http_address;    // IP:PORT that the HTTP server binds to.
  std::string peer_address;    // IP:PORT that the peer socket binds to.
  std::string http_advertise;  // For callers; http_address if unset.
  std::string peer_advertise;  // For other daemons; peer_address if unset.
};

struct region_settings {
  std::string name;
  std::vector<std::string> zones;
};

// Must be the same in every daemon of the cell.
struct cell_settings {
  std::string name;
  std::vector<std::string> region_names;  // A region's number is its index.
  std::vector<region_settings> regions;   // In the same order.
  std::int64_t shards_per_region = 16;
};

struct platform_settings {
  std::string log_address;   // IP:PORT
  std::string list_address;  // IP:PORT
  milliseconds call_timeout{2000};
  milliseconds follow_wait{10000};
  milliseconds list_interval{1000};
  milliseconds retry_pause{200};
  double appends_per_second = 30;
};

struct ownership_settings {
  milliseconds takeover_after{3000};
  milliseconds handover_after{15000};
  milliseconds claim_retry{1000};
  milliseconds snapshot_every{60000};
};

struct peer_settings {
  milliseconds heartbeat_interval{500};
  milliseconds silence_limit{2000};
  milliseconds max_reconnect_pause{16000};
  std::int64_t send_queue = 1000;
};

struct worker_settings {
  milliseconds call_timeout{2000};
  milliseconds task_lease{30000};
  milliseconds event_wait{10000};
  milliseconds retry_pause{500};
  std::int64_t max_batch = 64;
};

struct request_settings {
  milliseconds outcome_retention{600000};
  milliseconds retry_after{1000};
  milliseconds intent_flush_interval{20};
  std::int64_t max_requests = 200000;
  std::int64_t max_attempts = 3;
};

struct http_settings {
  std::int64_t max_body = 4 << 20;
  std::int64_t max_header = 16 << 10;
  std::int64_t max_connections = 4096;
  milliseconds read_timeout{10000};
  milliseconds idle_timeout{60000};
  milliseconds max_wait{60000};
};

struct log_settings {
  std::string level = "info";
};

struct settings {
  daemon_settings daemon;
  cell_settings cell;
  platform_settings platform;
  ownership_settings ownership;
  peer_settings peer;
  worker_settings worker;
  request_settings requests;
  http_settings http;
  log_settings log;
};

// ---- Table of keys ------------------------------------------------------

enum class value_type {
  name,       // Letters, digits, '-', '_' and '.'.
  name_list,  // Names separated by commas.
  address,    // IP:PORT
  integer,
  number,
  duration,  // Decimal number with the suffix ms, s or m.
  choice,    // One of `choices`.
};

std::string_view to_string(value_type type);

// Where a key's value is stored.
using field =
    std::variant<std::string& (*)(settings&), std::int64_t& (*)(settings&),
                 double& (*)(settings&), milliseconds& (*)(settings&),
                 std::vector<std::string>& (*)(settings&)>;

struct key_spec {
  std::string_view section;
  std::string_view key;
  value_type type = value_type::name;
  bool required = false;
  double min = 0;  // In `unit`; for integers, numbers and durations only.
  double max = std::numeric_limits<double>::max();
  std::string_view unit;     // Unit of the range.
  std::string_view choices;  // Separated by spaces.
  std::string_view description;
  field target;
};

// All keys except `zones`, the only key of the sections [region.NAME].
std::span<const key_spec> keys();

// Default of a key as it is written in a settings file; empty if the key has
// none.
std::string default_text(const key_spec& spec);

// The key's row in docs/CONFIG.md:
// "| `KEY` | type | default | range | meaning |".
std::string documentation_row(const key_spec& spec);

// ---- Reading ------------------------------------------------------------

// `value` is valid only if there are no problems. The `peer` of each problem is
// the file, and `detail` is "[SECTION] KEY: expected WHAT, found 'TEXT'" or
// describes a problem of a line or section.
struct load_report {
  settings value;
  std::vector<error::failure> problems;
};

load_report load(const std::string& path);
// `file` is the name of the source in error messages.
load_report parse(std::string_view text, std::string_view file);

// Index of the zone's region in cell.regions; nothing for an unknown zone.
std::optional<std::uint16_t> region_of_zone(const cell_settings& cell,
                                            std::string_view zone);

}  // namespace ebonygrade::settings
