#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "ownership/ownership.h"

namespace ebonygrade::ownership {

namespace {

struct position {
  job::shard_id id;
  claim_state* state = nullptr;  // Null: no such shard in the settings.
};

position find_shard(claim_table& table, const std::string& region,
                    std::uint32_t shard) {
  for (std::size_t i = 0; i < table.regions.size(); ++i) {
    if (table.regions[i] != region) continue;
    if (shard >= table.shards[i].size()) return {};
    job::shard_id id{static_cast<std::uint16_t>(i),
                     static_cast<std::uint16_t>(shard)};
    return {id, &table.shards[i][shard]};
  }
  return {};
}

void add_earlier_owner(claim_state& state, const earlier_owner& owner) {
  if (owner.daemon.empty()) return;
  std::erase(state.earlier_owners, owner);
  state.earlier_owners.push_back(owner);
  if (state.earlier_owners.size() > kMaxEarlierOwners) {
    state.earlier_owners.erase(state.earlier_owners.begin());
  }
}

// Whether a writer that had read all records below `through_offset` knew every
// record that this reader missed and every one that it read about the shard.
bool covers_missed_records(const claim_table& table, const claim_state& state,
                           std::uint64_t through_offset) {
  return table.first_offset <= through_offset &&
         state.last_record_end <= through_offset;
}

bool is_valid_claim(const claim_table& table, const claim_state& state,
                    const wire::shard_claim& claim) {
  if (claim.previous_epoch() != 0) {
    return claim.previous_epoch() == state.epoch;
  }
  if (state.epoch == 0) {
    return covers_missed_records(table, state, claim.through_offset());
  }
  return state.last_record_end <= claim.first_offset();
}

bool apply_claim(const claim_table& table, claim_state& state,
                 const wire::shard_claim& claim, const wire::writer& writer,
                 std::uint64_t offset) {
  earlier_owner claimant{writer.daemon(), writer.incarnation()};
  if (!is_valid_claim(table, state, claim)) {
    if (state.epoch != 0) return false;
    add_earlier_owner(state, claimant);
    state.last_record_end = offset + 1;
    return false;
  }
  add_earlier_owner(state, {state.owner, state.incarnation});
  state.epoch = offset + 1;
  state.owner = claimant.daemon;
  state.incarnation = claimant.incarnation;
  state.released = false;
  state.last_record_end = offset + 1;
  return true;
}

bool apply_release(claim_state& state, const wire::shard_release& release,
                   std::uint64_t offset) {
  bool matches = state.epoch != 0 && release.epoch() == state.epoch;
  if (state.epoch == 0 || matches) state.last_record_end = offset + 1;
  if (!matches || state.released) return false;
  state.released = true;
  return true;
}

void adopt_snapshot_entry(claim_state& state, const wire::owned_shard& entry,
                          std::uint64_t offset) {
  claim_state adopted;
  adopted.epoch = entry.epoch();
  adopted.owner = entry.owner();
  adopted.incarnation = entry.incarnation();
  adopted.released = entry.released();
  adopted.last_record_end = offset + 1;
  adopted.earlier_owners = std::move(state.earlier_owners);
  for (const wire::writer& each : entry.earlier_owners()) {
    add_earlier_owner(adopted, {each.daemon(), each.incarnation()});
  }
  state = std::move(adopted);
}

bool apply_snapshot(const claim_table& table, claim_state& state,
                    const wire::owned_shard& entry,
                    std::uint64_t through_offset, std::uint64_t offset) {
  if (entry.epoch() == 0) return false;
  if (state.epoch != 0) {
    if (entry.epoch() == state.epoch) state.last_record_end = offset + 1;
    return false;
  }
  if (!covers_missed_records(table, state, through_offset)) {
    add_earlier_owner(state, {entry.owner(), entry.incarnation()});
    state.last_record_end = offset + 1;
    return false;
  }
  adopt_snapshot_entry(state, entry, offset);
  return true;
}

std::uint64_t rendezvous_score(const std::string& region, std::uint16_t shard,
                               const std::string& daemon) {
  std::string key = region + '/' + std::to_string(shard) + '/' + daemon;
  return XXH3_64bits(key.data(), key.size());
}

std::vector<const member*> eligible(const std::vector<member>& members,
                                    const std::string* region,
                                    milliseconds unresponsive_limit) {
  std::vector<const member*> found;
  for (const member& each : members) {
    if (each.leaving || each.unresponsive_for >= unresponsive_limit) continue;
    if (region != nullptr && each.region != *region) continue;
    found.push_back(&each);
  }
  return found;
}

}  // namespace

claim_table make_claim_table(std::vector<std::string> regions,
                             std::uint16_t shards_per_region) {
  claim_table table;
  table.shards.assign(regions.size(),
                      std::vector<claim_state>(shards_per_region));
  table.regions = std::move(regions);
  return table;
}

std::vector<job::shard_id> apply(claim_table& table, const wire::record& record,
                                 std::uint64_t offset) {
  std::vector<job::shard_id> changed;
  if (offset < table.next_offset) return changed;
  table.next_offset = offset + 1;
  for (const wire::shard_claim& each : record.claim().shards()) {
    position at = find_shard(table, each.region(), each.shard());
    if (at.state == nullptr) continue;
    if (apply_claim(table, *at.state, each, record.writer(), offset)) {
      changed.push_back(at.id);
    }
  }
  for (const wire::shard_release& each : record.release().shards()) {
    position at = find_shard(table, each.region(), each.shard());
    if (at.state == nullptr) continue;
    if (apply_release(*at.state, each, offset)) changed.push_back(at.id);
  }
  const wire::claim_snapshot& snapshot = record.claim_snapshot();
  for (const wire::owned_shard& each : snapshot.shards()) {
    position at = find_shard(table, each.region(), each.shard());
    if (at.state == nullptr) continue;
    if (apply_snapshot(table, *at.state, each, snapshot.through_offset(),
                       offset)) {
      changed.push_back(at.id);
    }
  }
  return changed;
}

void discard_expired(claim_table& table, std::uint64_t first) {
  if (first <= table.next_offset) return;
  for (std::vector<claim_state>& region : table.shards) {
    for (claim_state& state : region) {
      add_earlier_owner(state, {state.owner, state.incarnation});
      claim_state unknown;
      unknown.earlier_owners = std::move(state.earlier_owners);
      state = std::move(unknown);
    }
  }
  table.first_offset = first;
  table.next_offset = first;
}

std::vector<const member*> rank_owners(const std::string& region,
                                       std::uint16_t shard,
                                       const std::vector<member>& members,
                                       milliseconds unresponsive_limit) {
  std::vector<const member*> found =
      eligible(members, &region, unresponsive_limit);
  if (found.empty()) found = eligible(members, nullptr, unresponsive_limit);
  std::sort(found.begin(), found.end(),
            [&](const member* left, const member* right) {
              std::uint64_t a = rendezvous_score(region, shard, left->id);
              std::uint64_t b = rendezvous_score(region, shard, right->id);
              return a != b ? a > b : left->id < right->id;
            });
  return found;
}

std::string preferred_owner(const std::string& region, std::uint16_t shard,
                            const std::vector<member>& members,
                            milliseconds unresponsive_limit) {
  std::vector<const member*> order =
      rank_owners(region, shard, members, unresponsive_limit);
  return order.empty() ? std::string() : order.front()->id;
}

}  // namespace ebonygrade::ownership
