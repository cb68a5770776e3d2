// Policy bundles: parsing, validation, and the version that is in force.
//
// A bundle is an INI text. `parse` rejects unknown keys, values of the wrong
// type and contradictory settings, and reports the line, section, key and
// reason. `registry` is the state that results from the records of the
// "bundles" stream: publish, approve and roll.
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

// Quota of a team and its share under contention.
struct team_policy {
  std::string name;
  double weight = 1.0;     // Share relative to other teams; positive.
  job::resources quota;    // Maximum in use; a component of 0 is unlimited.
  bool may_borrow = true;  // May exceed the quota with idle resources.
  std::uint32_t queue_limit = 100000;  // Maximum of waiting tasks.
};

// Rules for the jobs of one class.
struct class_policy {
  std::int32_t priority = 0;  // A higher priority is placed first.
  bool preemptible = true;    // May be stopped for a job of higher priority.
  bool may_preempt = false;
  bool spread = false;         // Prefer different racks and zones.
  milliseconds ageing{60000};  // Wait that raises the priority by one.
  std::uint32_t queue_limit = 200000;
  std::uint32_t max_preemptions = 2;  // Per job.
};

// Rules of placement for the whole cell.
struct placement_policy {
  // 0 prefers the least loaded workers, 1 the most loaded ones.
  double packing_weight = 0.5;
  // Consecutive failures on one worker that quarantine it.
  std::uint32_t quarantine_failures = 5;
  milliseconds quarantine_time{60000};
  double max_quarantined = 0.1;  // Share of the cell's workers.
  milliseconds gang_hold{5000};  // Longest idle time of a gang's reservation.
  std::uint32_t max_attempts = 3;
  std::uint32_t approvals = 1;  // Required to roll the next bundle.
};

struct policy {
  std::string name;
  std::map<std::string, team_policy> teams;
  std::array<class_policy, job::kJobClassCount> classes;
  placement_policy placement;
};

// Parses and validates a bundle. On failure `detail` is
// "line N: [SECTION] KEY: reason".
error::result<policy> parse(std::string_view text);

// Describes each change of a roll from one policy to the other, one a line.
std::vector<std::string> diff(const policy& from, const policy& to);

// A published version.
struct version_state {
  std::uint64_t version = 0;  // Offset of the publish record + 1.
  std::string name;
  std::string text;
  std::string author;
  std::vector<std::string> approvers;
};

// Identifies a record, so that a record that was appended twice is applied
// once.
struct record_key {
  std::string daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const record_key&, const record_key&) = default;
};

// A roll record, with the number of approvals that its version had when the
// record was read.
struct roll_entry {
  std::uint64_t roll = 0;
  std::uint64_t version = 0;
  std::uint64_t replaces = 0;
  std::uint32_t approvals = 0;
};

// State of the "bundles" stream after the records read so far. All
// containers have a limited size.
struct registry {
  std::map<std::uint64_t, version_state> versions;
  std::uint64_t in_force = 0;  // Version, or 0 if no bundle is in force.
  std::uint64_t roll = 0;  // Offset of the roll record + 1; never decreases.
  std::string in_force_text;
  std::uint64_t next_offset = 0;
  std::deque<roll_entry> recent_rolls;    // Applied again after a snapshot.
  std::deque<record_key> recent_records;  // For the detection of duplicates.
};

// Effect of a record on the registry.
enum class apply_result {
  applied,
  ignored,       // A duplicate, or older than the roll in force.
  not_approved,  // A roll without the required approvals, or an approval by
                 // the author, which doesn't count.
  lost_race,     // A roll that replaces a version no longer in force.
  unknown_version,
  malformed,  // A bundle whose text is invalid, or no approver.
};

// Applies one record of the "bundles" stream.
apply_result apply(registry& state, const wire::record& record,
                   std::uint64_t offset);

// Applies the bundle in force of a peer; ignored unless its roll is later than
// that of the registry.
apply_result apply_snapshot(registry& state,
                            const wire::bundle_snapshot& snapshot);

}  // namespace ebonygrade::bundle
