#include <algorithm>

#include "bundle/bundle.h"

namespace ebonygrade::bundle {

namespace {

constexpr std::size_t kMaxVersions = 64;
constexpr std::size_t kMaxRolls = 64;
constexpr std::size_t kMaxRecords = 1024;

// Returns whether the record was applied before; remembers it if not. Records
// without a writer are never duplicates.
bool is_duplicate(registry* state, const wire::record& record) {
  if (record.writer().daemon().empty()) return false;
  record_key key{record.writer().daemon(), record.writer().incarnation(),
                 record.writer().sequence()};
  std::deque<record_key>& seen = state->recent_records;
  if (std::find(seen.begin(), seen.end(), key) != seen.end()) return true;
  seen.push_back(key);
  if (seen.size() > kMaxRecords) seen.pop_front();
  return false;
}

// Removes the oldest versions above the limit, except the one in force.
void prune_versions(registry* state) {
  auto it = state->versions.begin();
  while (state->versions.size() > kMaxVersions && it != state->versions.end()) {
    if (it->first == state->in_force) {
      ++it;
    } else {
      it = state->versions.erase(it);
    }
  }
}

apply_result apply_publish(registry* state, const wire::bundle_publish& publish,
                           std::uint64_t offset) {
  if (parse(publish.text()).has_error()) return apply_result::malformed;
  version_state version;
  version.version = offset + 1;
  version.name = publish.name();
  version.text = publish.text();
  version.author = publish.author();
  state->versions.emplace(version.version, std::move(version));
  prune_versions(state);
  return apply_result::applied;
}

apply_result apply_approve(registry* state,
                           const wire::bundle_approve& approve) {
  auto found = state->versions.find(approve.version());
  if (found == state->versions.end()) return apply_result::unknown_version;
  version_state& version = found->second;
  const std::string& approver = approve.approver();
  if (approver.empty()) return apply_result::malformed;
  if (approver == version.author) return apply_result::not_approved;
  std::vector<std::string>& all = version.approvers;
  if (std::find(all.begin(), all.end(), approver) != all.end()) {
    return apply_result::ignored;
  }
  all.push_back(approver);
  return apply_result::applied;
}

// Number of approvals that the policy in force requires.
std::uint32_t required_approvals(const registry& state) {
  if (state.in_force == 0) return placement_policy{}.approvals;
  error::result<policy> parsed = parse(state.in_force_text);
  if (parsed.has_error()) return placement_policy{}.approvals;
  return parsed->placement.approvals;
}

// Puts the rolled version in force if the roll replaces the current one and has
// the required approvals.
apply_result try_roll(registry* state, const roll_entry& roll) {
  if (roll.roll <= state->roll) return apply_result::ignored;
  auto found = state->versions.find(roll.version);
  if (found == state->versions.end()) return apply_result::unknown_version;
  if (roll.replaces != state->in_force) {
    return roll.version == state->in_force ? apply_result::ignored
                                           : apply_result::lost_race;
  }
  if (roll.approvals < required_approvals(*state)) {
    return apply_result::not_approved;
  }
  state->in_force = roll.version;
  state->in_force_text = found->second.text;
  state->roll = roll.roll;
  return apply_result::applied;
}

apply_result apply_roll(registry* state, const wire::bundle_roll& record,
                        std::uint64_t offset) {
  roll_entry roll;
  roll.roll = offset + 1;
  roll.version = record.version();
  roll.replaces = record.replaces();
  auto found = state->versions.find(roll.version);
  if (found != state->versions.end()) {
    roll.approvals = static_cast<std::uint32_t>(found->second.approvers.size());
  }
  state->recent_rolls.push_back(roll);
  if (state->recent_rolls.size() > kMaxRolls) state->recent_rolls.pop_front();
  return try_roll(state, roll);
}

}  // namespace

apply_result apply(registry& state, const wire::record& record,
                   std::uint64_t offset) {
  if (offset < state.next_offset) return apply_result::ignored;
  state.next_offset = offset + 1;
  if (is_duplicate(&state, record)) return apply_result::ignored;
  switch (record.body_case()) {
    case wire::record::kPublish:
      return apply_publish(&state, record.publish(), offset);
    case wire::record::kApprove:
      return apply_approve(&state, record.approve());
    case wire::record::kRoll:
      return apply_roll(&state, record.roll(), offset);
    case wire::record::kBundleSnapshot:
      return apply_snapshot(state, record.bundle_snapshot());
    default:
      return apply_result::ignored;
  }
}

apply_result apply_snapshot(registry& state,
                            const wire::bundle_snapshot& snapshot) {
  if (snapshot.roll() <= state.roll) return apply_result::ignored;
  if (parse(snapshot.text()).has_error()) return apply_result::malformed;
  state.in_force = snapshot.version();
  state.in_force_text = snapshot.text();
  state.roll = snapshot.roll();
  // Later rolls may have been read already and rejected, because the roll of
  // this snapshot was missing.
  for (const roll_entry& later : state.recent_rolls) try_roll(&state, later);
  return apply_result::applied;
}

}  // namespace ebonygrade::bundle
