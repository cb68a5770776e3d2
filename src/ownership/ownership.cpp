#include "ownership/ownership.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::ownership {

namespace {

// Shards handed over at the same time, so that a joining daemon doesn't stop
// a whole region's starts.
constexpr std::size_t kMaxHandoversAtOnce = 4;
// Bounds the doubling of the time before a shard is handed over again.
constexpr std::uint32_t kMaxHandoverDoublings = 6;
// While nobody claims a vacant shard, one more daemon may after each so many
// takeover times.
constexpr int kVacancyTakeovers = 2;
// The snapshot of the daemon that ranks n-th is due n eighths later.
constexpr int kSnapshotStagger = 8;
// An unknown shard that a record names may still have a live owner; its
// snapshot is awaited for so many snapshot intervals.
constexpr int kUnknownOwnerSnapshots = 2;

constexpr steady_time kNever{};

claim_state& claim_of(state& state, job::shard_id id) {
  return state.claims.shards[id.region][id.shard];
}

local_shard& own_of(state& state, job::shard_id id) {
  return state.local_shards[id.region][id.shard];
}

bool is_known(const state& state, job::shard_id id) {
  return id.region < state.local_shards.size() &&
         id.shard < state.local_shards[id.region].size();
}

bool is_ours(const state& state, const claim_state& claim) {
  return claim.epoch != 0 && !claim.released &&
         claim.owner == state.options.self &&
         claim.incarnation == state.options.incarnation;
}

template <typename Visit>
void for_each_shard(const state& state, Visit&& visit) {
  for (std::size_t region = 0; region < state.local_shards.size(); ++region) {
    for (std::size_t shard = 0; shard < state.local_shards[region].size();
         ++shard) {
      visit(job::shard_id{static_cast<std::uint16_t>(region),
                          static_cast<std::uint16_t>(shard)});
    }
  }
}

wire::record make_record(state& state) {
  wire::record record;
  wire::writer* writer = record.mutable_writer();
  writer->set_daemon(state.options.self);
  writer->set_incarnation(state.options.incarnation);
  writer->set_sequence(state.next_sequence++);
  return record;
}

// ---- Records ------------------------------------------------------------

void drop(state& state, job::shard_id id, std::vector<effect>& effects) {
  local_shard& own = own_of(state, id);
  if (own.phase == shard_phase::not_owned) return;
  own.phase = shard_phase::not_owned;
  own.epoch = 0;
  effects.push_back(drop_shard{id});
}

void begin_fencing(state& state, job::shard_id id, claim_state previous,
                   std::vector<effect>& effects) {
  local_shard& own = own_of(state, id);
  own.phase = shard_phase::fencing;
  own.epoch = claim_of(state, id).epoch;
  own.vacant_since = kNever;
  // An earlier owner may have been left out of `previous` by a claim that
  // this daemon made twice; the claim itself keeps the whole list.
  previous.earlier_owners = claim_of(state, id).earlier_owners;
  effects.push_back(fence_shard{id, own.epoch, std::move(previous)});
}

void follow_change(state& state, job::shard_id id, claim_state previous,
                   bool is_claim, std::vector<effect>& effects) {
  const claim_state& claim = claim_of(state, id);
  local_shard& own = own_of(state, id);
  if (own.phase != shard_phase::not_owned &&
      (!is_ours(state, claim) || claim.epoch != own.epoch)) {
    drop(state, id, effects);
  }
  if (is_ours(state, claim)) {
    // A claim that is known only from a snapshot was dropped before; it is
    // claimed anew.
    if (is_claim && state.caught_up) {
      begin_fencing(state, id, std::move(previous), effects);
    }
    return;
  }
  if (!claim.released) own.handovers = 0;
}

void read_record(state& state, const record_read& read, steady_time now,
                 std::vector<effect>& effects) {
  std::vector<std::vector<claim_state>> before;
  bool names_owner = read.record.has_claim() || read.record.has_release();
  if (names_owner) before = state.claims.shards;
  std::vector<job::shard_id> changed =
      apply(state.claims, read.record, read.offset);
  for (job::shard_id id : changed) {
    claim_state previous;
    if (names_owner) previous = before[id.region][id.shard];
    follow_change(state, id, std::move(previous), read.record.has_claim(),
                  effects);
  }
  if (read.record.has_claim_snapshot()) state.last_snapshot = now;
}

void expire_records(state& state, std::uint64_t first,
                    std::vector<effect>& effects) {
  if (first <= state.claims.next_offset) return;
  for_each_shard(state, [&](job::shard_id id) { drop(state, id, effects); });
  discard_expired(state.claims, first);
  state.caught_up = false;
}

// Raises the incarnation above every one that the log knows of this daemon.
void raise_incarnation(state& state) {
  std::uint64_t highest = 0;
  for (const std::vector<claim_state>& region : state.claims.shards) {
    for (const claim_state& claim : region) {
      if (claim.owner == state.options.self) {
        highest = std::max(highest, claim.incarnation);
      }
      for (const earlier_owner& each : claim.earlier_owners) {
        if (each.daemon != state.options.self) continue;
        highest = std::max(highest, each.incarnation);
      }
    }
  }
  if (highest >= state.options.incarnation) {
    state.options.incarnation = highest + 1;
  }
}

void catch_up(state& state, steady_time now) {
  if (state.caught_up) return;
  if (state.caught_up_at == kNever) raise_incarnation(state);
  state.caught_up = true;
  state.caught_up_at = now;
  if (state.last_snapshot == kNever) state.last_snapshot = now;
}

// ---- Claims -------------------------------------------------------------

const member* find_member(const std::vector<member>& members,
                          const std::string& id) {
  for (const member& each : members) {
    if (each.id == id) return &each;
  }
  return nullptr;
}

// The members that may be given shards of one region.
struct region_candidates {
  std::vector<std::vector<member>> by_region;  // Parallel to claims.regions.
};

bool is_settled(const state& state, const member& member) {
  return !member.leaving && member.alive_for >= state.options.handover_after &&
         member.unresponsive_for < state.options.takeover_after;
}

// Prefers members of the region that have been alive for long enough; without
// any, every member counts.
std::vector<member> candidates_of(const state& state, const std::string& region,
                                  const std::vector<member>& members) {
  std::vector<member> settled;
  for (const member& each : members) {
    if (each.region == region && is_settled(state, each)) {
      settled.push_back(each);
    }
  }
  return settled.empty() ? members : settled;
}

region_candidates make_candidates(const state& state,
                                  const std::vector<member>& members) {
  region_candidates candidates;
  for (const std::string& region : state.claims.regions) {
    candidates.by_region.push_back(candidates_of(state, region, members));
  }
  return candidates;
}

// Time after the start before a shard without a known owner is claimed.
milliseconds unknown_owner_wait(const state& state, const claim_state& claim) {
  if (claim.stated > 0) {
    return kUnknownOwnerSnapshots * state.options.snapshot_every;
  }
  if (state.claims.first_offset > 0) return state.options.takeover_after;
  return state.options.claim_retry;
}

// Whether the shard has no owner that works, as far as this daemon can tell.
bool is_vacant(const state& state, job::shard_id id,
               const std::vector<member>& members, steady_time now) {
  const claim_state& claim = state.claims.shards[id.region][id.shard];
  const local_shard& own = state.local_shards[id.region][id.shard];
  if (claim.epoch == 0) {
    return now - state.caught_up_at >= unknown_owner_wait(state, claim);
  }
  if (claim.released) return true;
  if (claim.owner == state.options.self) {
    if (claim.incarnation < state.options.incarnation) return true;
    if (claim.incarnation > state.options.incarnation) return false;
    return now - own.last_claim >= state.options.takeover_after;
  }
  const member* owner = find_member(members, claim.owner);
  if (owner == nullptr) {
    return now - state.caught_up_at >= state.options.takeover_after;
  }
  return owner->unresponsive_for >= state.options.takeover_after;
}

// Whether it is this daemon's turn to claim a vacant shard.
bool is_our_turn(const state& state, job::shard_id id,
                 const region_candidates& candidates, steady_time now) {
  const local_shard& own = state.local_shards[id.region][id.shard];
  std::vector<const member*> order = rank_owners(
      state.claims.regions[id.region], id.shard,
      candidates.by_region[id.region], state.options.takeover_after);
  milliseconds step = kVacancyTakeovers * state.options.takeover_after;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    if (order[rank]->id != state.options.self) continue;
    return now - own.vacant_since >= step * static_cast<int>(rank);
  }
  return false;
}

void add_claim(state& state, job::shard_id id, wire::record& record) {
  const claim_state& claim = claim_of(state, id);
  wire::shard_claim* added = record.mutable_claim()->add_shards();
  added->set_region(state.claims.regions[id.region]);
  added->set_shard(id.shard);
  added->set_previous_epoch(claim.epoch);
  if (claim.epoch != 0) return;
  added->set_first_offset(std::max(state.claims.first_offset, claim.stated));
  added->set_through_offset(state.claims.next_offset);
}

void claim_vacant(state& state, const std::vector<member>& members,
                  const region_candidates& candidates, steady_time now,
                  std::vector<effect>& effects) {
  std::vector<job::shard_id> due;
  for_each_shard(state, [&](job::shard_id id) {
    local_shard& own = own_of(state, id);
    if (own.phase != shard_phase::not_owned) return;
    if (!is_vacant(state, id, members, now)) {
      own.vacant_since = kNever;
      return;
    }
    if (own.vacant_since == kNever) own.vacant_since = now;
    if (now - own.last_claim < state.options.claim_retry) return;
    if (is_our_turn(state, id, candidates, now)) due.push_back(id);
  });
  if (due.empty()) return;
  wire::record record = make_record(state);
  for (job::shard_id id : due) {
    own_of(state, id).last_claim = now;
    add_claim(state, id, record);
  }
  effects.push_back(append_record{std::move(record)});
}

// ---- Handover -----------------------------------------------------------

void begin_quiescing(state& state, job::shard_id id,
                     std::vector<effect>& effects) {
  own_of(state, id).phase = shard_phase::quiescing;
  effects.push_back(quiesce_shard{id});
}

std::size_t count_handovers(const state& state) {
  std::size_t count = 0;
  for_each_shard(state, [&](job::shard_id id) {
    shard_phase phase = state.local_shards[id.region][id.shard].phase;
    if (phase == shard_phase::quiescing || phase == shard_phase::releasing) {
      ++count;
    }
  });
  return count;
}

bool has_better_owner(const state& state, job::shard_id id,
                      const region_candidates& candidates, steady_time now) {
  const local_shard& own = state.local_shards[id.region][id.shard];
  const std::vector<member>& members = candidates.by_region[id.region];
  std::string best = preferred_owner(state.claims.regions[id.region], id.shard,
                                     members, state.options.takeover_after);
  if (best.empty() || best == state.options.self) return false;
  const member* other = find_member(members, best);
  if (other->alive_for < state.options.handover_after) return false;
  std::uint32_t doublings = std::min(own.handovers, kMaxHandoverDoublings);
  if (own.handovers == 0) return true;
  return now - own.last_claim >=
         state.options.handover_after * (1 << doublings);
}

void hand_over(state& state, const region_candidates& candidates,
               steady_time now, std::vector<effect>& effects) {
  std::size_t under_way = count_handovers(state);
  for_each_shard(state, [&](job::shard_id id) {
    local_shard& own = own_of(state, id);
    if (own.phase != shard_phase::serving) return;
    if (state.draining) {
      begin_quiescing(state, id, effects);
      return;
    }
    if (under_way >= kMaxHandoversAtOnce) return;
    if (!has_better_owner(state, id, candidates, now)) return;
    ++own.handovers;
    ++under_way;
    begin_quiescing(state, id, effects);
  });
}

void send_releases(state& state, steady_time now,
                   std::vector<effect>& effects) {
  std::vector<job::shard_id> due;
  for_each_shard(state, [&](job::shard_id id) {
    local_shard& own = own_of(state, id);
    if (own.phase == shard_phase::fencing && state.draining) {
      own.phase = shard_phase::releasing;
      own.last_claim = kNever;
    }
    if (own.phase != shard_phase::releasing) return;
    if (now - own.last_claim >= state.options.claim_retry) due.push_back(id);
  });
  if (due.empty()) return;
  wire::record record = make_record(state);
  for (job::shard_id id : due) {
    local_shard& own = own_of(state, id);
    own.last_claim = now;
    wire::shard_release* release = record.mutable_release()->add_shards();
    release->set_region(state.claims.regions[id.region]);
    release->set_shard(id.shard);
    release->set_epoch(own.epoch);
  }
  effects.push_back(append_record{std::move(record)});
}

// ---- Snapshots ----------------------------------------------------------

// How many live members come before this daemon.
int snapshot_rank(const state& state, const std::vector<member>& members) {
  int rank = 0;
  for (const member& each : members) {
    if (each.leaving) continue;
    if (each.unresponsive_for >= state.options.takeover_after) continue;
    if (each.id < state.options.self) ++rank;
  }
  return rank;
}

void add_owned_shard(const state& state, job::shard_id id,
                     wire::claim_snapshot& snapshot) {
  const claim_state& claim = state.claims.shards[id.region][id.shard];
  if (claim.epoch == 0) return;
  wire::owned_shard* added = snapshot.add_shards();
  added->set_region(state.claims.regions[id.region]);
  added->set_shard(id.shard);
  added->set_epoch(claim.epoch);
  added->set_owner(claim.owner);
  added->set_incarnation(claim.incarnation);
  added->set_released(claim.released);
  for (const earlier_owner& each : claim.earlier_owners) {
    wire::writer* writer = added->add_earlier_owners();
    writer->set_daemon(each.daemon);
    writer->set_incarnation(each.incarnation);
  }
}

void write_snapshot(state& state, const std::vector<member>& members,
                    steady_time now, std::vector<effect>& effects) {
  milliseconds every = state.options.snapshot_every;
  int rank = snapshot_rank(state, members);
  if (now - state.last_snapshot < every + every * rank / kSnapshotStagger) {
    return;
  }
  state.last_snapshot = now;
  wire::record record = make_record(state);
  wire::claim_snapshot* snapshot = record.mutable_claim_snapshot();
  snapshot->set_through_offset(state.claims.next_offset);
  for_each_shard(
      state, [&](job::shard_id id) { add_owned_shard(state, id, *snapshot); });
  if (snapshot->shards_size() == 0) return;
  effects.push_back(append_record{std::move(record)});
}

// ---- Events -------------------------------------------------------------

void finish_reconciling(state& state, const reconciled& done,
                        std::vector<effect>& effects) {
  if (!is_known(state, done.shard)) return;
  local_shard& own = own_of(state, done.shard);
  if (own.phase != shard_phase::fencing || own.epoch != done.epoch) return;
  own.phase = shard_phase::serving;
  effects.push_back(serve_shard{done.shard, done.epoch});
}

void finish_quiescing(state& state, job::shard_id id, steady_time now,
                      std::vector<effect>& effects) {
  if (!is_known(state, id)) return;
  local_shard& own = own_of(state, id);
  if (own.phase != shard_phase::quiescing) return;
  own.phase = shard_phase::releasing;
  own.last_claim = kNever;
  send_releases(state, now, effects);
}

void obey_worker(state& state, const fenced_by_worker& seen, steady_time now,
                 std::vector<effect>& effects) {
  if (!is_known(state, seen.shard)) return;
  local_shard& own = own_of(state, seen.shard);
  if (own.phase == shard_phase::not_owned || own.epoch >= seen.epoch) return;
  own.last_claim = now;
  drop(state, seen.shard, effects);
}

void handle_tick(state& state, const tick& input, steady_time now,
                 std::vector<effect>& effects) {
  if (!state.caught_up) return;
  region_candidates candidates = make_candidates(state, input.members);
  hand_over(state, candidates, now, effects);
  send_releases(state, now, effects);
  if (!state.draining) {
    claim_vacant(state, input.members, candidates, now, effects);
  }
  write_snapshot(state, input.members, now, effects);
}

}  // namespace

state make_state(ownership_options options, claim_table claims) {
  state state;
  state.options = std::move(options);
  state.claims = std::move(claims);
  for (const std::vector<claim_state>& region : state.claims.shards) {
    state.local_shards.emplace_back(region.size());
  }
  return state;
}

std::vector<effect> step(state& state, const event& input, steady_time now) {
  std::vector<effect> effects;
  if (const auto* read = std::get_if<record_read>(&input)) {
    read_record(state, *read, now, effects);
  } else if (const auto* gap = std::get_if<records_expired>(&input)) {
    expire_records(state, gap->first, effects);
  } else if (std::holds_alternative<caught_up>(input)) {
    catch_up(state, now);
  } else if (const auto* done = std::get_if<reconciled>(&input)) {
    finish_reconciling(state, *done, effects);
  } else if (const auto* quiet = std::get_if<quiesced>(&input)) {
    finish_quiescing(state, quiet->shard, now, effects);
  } else if (const auto* seen = std::get_if<fenced_by_worker>(&input)) {
    obey_worker(state, *seen, now, effects);
  } else if (std::holds_alternative<drain>(input)) {
    state.draining = true;
    hand_over(state, {}, now, effects);
    send_releases(state, now, effects);
  } else if (const auto* time = std::get_if<tick>(&input)) {
    handle_tick(state, *time, now, effects);
  }
  return effects;
}

job::epoch serving_epoch(const state& state, job::shard_id shard) {
  if (!is_known(state, shard)) return 0;
  const local_shard& own = state.local_shards[shard.region][shard.shard];
  return own.phase == shard_phase::serving ? own.epoch : 0;
}

}  // namespace ebonygrade::ownership
