// Policy bundles: their text form, their check, and which one is in force.
//
// A bundle is an INI text. `parse` refuses a text with unknown keys, wrong
// types, contradictions or cycles, and names line, section, key and reason.
// `registry` replays the "bundles" stream: publish, approve, roll.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "job/job.h"
#include "wire/record.pb.h"

namespace ebonygrade::bundle {

using clock::milliseconds;

// What a team may use and its share under contention.
struct team_policy {
  std::string name;
  double weight = 1.0;     // Share relative to other teams; above 0.
  job::resources quota;    // Most in use at once; a 0 component is unlimited.
  bool may_borrow = true;  // May exceed the quota while others leave it idle.
  std::uint32_t queue_limit = 100000;  // Tasks waiting.
};

// How jobs of one class are treated.
struct class_policy {
  std::int32_t priority = 0;  // Higher goes first.
  bool preemptible = true;    // May be stopped for a higher priority.
  bool may_preempt = false;
  bool spread = false;         // Prefer distinct racks and zones.
  milliseconds ageing{60000};  // Waiting that raises the priority by one.
  std::uint32_t queue_limit = 200000;
  std::uint32_t max_preemptions = 2;  // Bound per job.
};

// Cell-wide rules.
struct placement_policy {
  double packing_weight = 0.5;  // 0: least loaded first; 1: fullest first.
  std::uint32_t quarantine_failures = 5;  // In a row, on one worker.
  milliseconds quarantine_time{60000};
  double max_quarantined = 0.1;  // Share of the cell's workers.
  milliseconds gang_hold{5000};  // Most a gang's reservation stands idle.
  std::uint32_t max_attempts = 3;
  std::uint32_t approvals = 1;  // Needed before a bundle may be rolled.
};

struct policy {
  std::string name;
  std::map<std::string, team_policy> teams;
  std::array<class_policy, job::kJobClassCount> classes;
  placement_policy placement;
};

// Parses and checks a bundle. On failure `detail` is
// "line N: [SECTION] KEY: reason".
error::result<policy> parse(std::string_view text);

// Lines that say what a roll from one policy to the other changes.
std::vector<std::string> diff(const policy& from, const policy& to);

// A published version.
struct version_state {
  std::uint64_t version = 0;  // Offset of the publish record + 1.
  std::string name;
  std::string text;
  std::string author;
  std::vector<std::string> approvers;
};

// Identifies a record, so that one appended twice is applied once.
struct writer_key {
  std::string daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const writer_key&, const writer_key&) = default;
};

// A roll record that was read, with the approvals its version had then.
struct seen_roll {
  std::uint64_t roll = 0;
  std::uint64_t version = 0;
  std::uint64_t replaces = 0;
  std::uint32_t approvals = 0;
};

// Replayed state of the bundles stream; every part is bounded.
struct registry {
  std::map<std::uint64_t, version_state> versions;
  std::uint64_t in_force = 0;  // Version; 0: none.
  std::uint64_t roll = 0;      // Offset of the roll record + 1; only grows.
  std::string in_force_text;
  std::uint64_t next_offset = 0;
  std::deque<seen_roll> seen_rolls;     // Replayed after a late snapshot.
  std::deque<writer_key> seen_writers;  // Most recent records.
};

// What a record did to the registry.
enum class apply_result {
  applied,
  ignored,       // Seen before, or older than what is in force.
  not_approved,  // A roll without the needed approvals, or an approval by
                 // the author, which doesn't count.
  lost_race,     // A roll that replaces a version no longer in force.
  unknown_version,
  malformed,  // A publish whose text does not parse.
};

// Applies one record of the bundles stream.
apply_result apply(registry& state, const wire::record& record,
                   std::uint64_t offset);

// Applies a bundle received from a peer. Ignored unless its roll is later.
apply_result apply_snapshot(registry& state,
                            const wire::bundle_snapshot& snapshot);

}  // namespace ebonygrade::bundle
