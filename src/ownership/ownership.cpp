#include "ownership/ownership.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::ownership {

namespace {

// Limits concurrent handovers, so that a joining daemon doesn't stop the starts
// of a whole region.
constexpr std::size_t kMaxConcurrentHandovers = 4;
// Limits the exponential backoff before a shard is handed over again.
constexpr std::uint32_t kMaxHandoverDoublings = 6;
// A daemon that ranks n-th (from 0) for a vacant shard claims it after n times
// this many periods of `takeover_after`.
constexpr int kClaimStaggerTakeovers = 2;
// The snapshot of the daemon that ranks n-th (from 0) is due n eighths of the
// interval later.
constexpr int kSnapshotStaggerDivisor = 8;
// A shard of unknown state that a record names may have a live owner. The
// daemon waits this many snapshot intervals for a snapshot that states the
// owner.
constexpr int kUnknownOwnerSnapshotIntervals = 2;

constexpr steady_time kNever{};

claim_state& claim_of(state& state, job::shard_id id) {
  return state.claims.shards[id.region][id.shard];
}

local_shard& local_shard_of(state& state, job::shard_id id) {
  return state.local_shards[id.region][id.shard];
}

bool is_configured(const state& state, job::shard_id id) {
  return id.region < state.local_shards.size() &&
         id.shard < state.local_shards[id.region].size();
}

bool is_own_claim(const state& state, const claim_state& claim) {
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

void drop_ownership(state& state, job::shard_id id,
                    std::vector<effect>& effects) {
  local_shard& local = local_shard_of(state, id);
  if (local.phase == shard_phase::not_owned) return;
  local.phase = shard_phase::not_owned;
  local.epoch = 0;
  effects.push_back(drop_shard{id});
}

void begin_fencing(state& state, job::shard_id id, claim_state previous,
                   std::vector<effect>& effects) {
  local_shard& local = local_shard_of(state, id);
  local.phase = shard_phase::fencing;
  local.epoch = claim_of(state, id).epoch;
  local.vacant_since = kNever;
  // If this daemon claimed the shard twice, `previous` may lack an earlier
  // owner. The state after the claim has the whole list.
  previous.earlier_owners = claim_of(state, id).earlier_owners;
  effects.push_back(fence_shard{id, local.epoch, std::move(previous)});
}

void handle_claim_change(state& state, job::shard_id id, claim_state previous,
                         bool is_claim, std::vector<effect>& effects) {
  const claim_state& claim = claim_of(state, id);
  local_shard& local = local_shard_of(state, id);
  if (local.phase != shard_phase::not_owned &&
      (!is_own_claim(state, claim) || claim.epoch != local.epoch)) {
    drop_ownership(state, id, effects);
  }
  if (is_own_claim(state, claim)) {
    // If the claim is known only from a snapshot, this daemon had dropped the
    // shard before, and claims it again.
    if (is_claim && state.caught_up) {
      begin_fencing(state, id, std::move(previous), effects);
    }
    return;
  }
  if (!claim.released) local.handover_count = 0;
}

void apply_record(state& state, const record_read& read, steady_time now,
                  std::vector<effect>& effects) {
  std::vector<std::vector<claim_state>> before;
  bool changes_owner = read.record.has_claim() || read.record.has_release();
  if (changes_owner) before = state.claims.shards;
  std::vector<job::shard_id> changed =
      apply(state.claims, read.record, read.offset);
  for (job::shard_id id : changed) {
    claim_state previous;
    if (changes_owner) previous = before[id.region][id.shard];
    handle_claim_change(state, id, std::move(previous), read.record.has_claim(),
                        effects);
  }
  if (read.record.has_claim_snapshot()) state.last_snapshot = now;
}

void handle_expired_records(state& state, std::uint64_t first,
                            std::vector<effect>& effects) {
  if (first <= state.claims.next_offset) return;
  for_each_shard(state,
                 [&](job::shard_id id) { drop_ownership(state, id, effects); });
  discard_expired(state.claims, first);
  state.caught_up = false;
}

// Raises the incarnation above every incarnation of this daemon in the log.
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

void on_caught_up(state& state, steady_time now) {
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

// The members that may own shards, by region.
struct region_candidates {
  std::vector<std::vector<member>> by_region;  // Parallel to claims.regions.
};

bool is_stable(const state& state, const member& member) {
  return !member.leaving && member.alive_for >= state.options.handover_after &&
         member.unresponsive_for < state.options.takeover_after;
}

// Returns the stable members of the region, or all members if it has none.
std::vector<member> candidates_of(const state& state, const std::string& region,
                                  const std::vector<member>& members) {
  std::vector<member> stable;
  for (const member& each : members) {
    if (each.region == region && is_stable(state, each)) {
      stable.push_back(each);
    }
  }
  return stable.empty() ? members : stable;
}

region_candidates make_candidates(const state& state,
                                  const std::vector<member>& members) {
  region_candidates candidates;
  for (const std::string& region : state.claims.regions) {
    candidates.by_region.push_back(candidates_of(state, region, members));
  }
  return candidates;
}

// How long after catching up a shard without a known owner is claimed.
milliseconds unknown_owner_timeout(const state& state,
                                   const claim_state& claim) {
  if (claim.last_record_end > 0) {
    return kUnknownOwnerSnapshotIntervals * state.options.snapshot_every;
  }
  if (state.claims.first_offset > 0) return state.options.takeover_after;
  return state.options.claim_retry;
}

// Whether the shard has no working owner as far as this daemon knows.
bool is_vacant(const state& state, job::shard_id id,
               const std::vector<member>& members, steady_time now) {
  const claim_state& claim = state.claims.shards[id.region][id.shard];
  const local_shard& local = state.local_shards[id.region][id.shard];
  if (claim.epoch == 0) {
    return now - state.caught_up_at >= unknown_owner_timeout(state, claim);
  }
  if (claim.released) return true;
  if (claim.owner == state.options.self) {
    if (claim.incarnation < state.options.incarnation) return true;
    if (claim.incarnation > state.options.incarnation) return false;
    return now - local.last_append >= state.options.takeover_after;
  }
  const member* owner = find_member(members, claim.owner);
  if (owner == nullptr) {
    return now - state.caught_up_at >= state.options.takeover_after;
  }
  return owner->unresponsive_for >= state.options.takeover_after;
}

// Whether the vacancy has lasted long enough for this daemon's rank.
bool may_claim_now(const state& state, job::shard_id id,
                   const region_candidates& candidates, steady_time now) {
  const local_shard& local = state.local_shards[id.region][id.shard];
  std::vector<const member*> order = rank_owners(
      state.claims.regions[id.region], id.shard,
      candidates.by_region[id.region], state.options.takeover_after);
  milliseconds claim_stagger =
      kClaimStaggerTakeovers * state.options.takeover_after;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    if (order[rank]->id != state.options.self) continue;
    return now - local.vacant_since >= claim_stagger * static_cast<int>(rank);
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
  added->set_first_offset(
      std::max(state.claims.first_offset, claim.last_record_end));
  added->set_through_offset(state.claims.next_offset);
}

void claim_vacant_shards(state& state, const std::vector<member>& members,
                         const region_candidates& candidates, steady_time now,
                         std::vector<effect>& effects) {
  std::vector<job::shard_id> due;
  for_each_shard(state, [&](job::shard_id id) {
    local_shard& local = local_shard_of(state, id);
    if (local.phase != shard_phase::not_owned) return;
    if (!is_vacant(state, id, members, now)) {
      local.vacant_since = kNever;
      return;
    }
    if (local.vacant_since == kNever) local.vacant_since = now;
    if (now - local.last_append < state.options.claim_retry) return;
    if (may_claim_now(state, id, candidates, now)) due.push_back(id);
  });
  if (due.empty()) return;
  wire::record record = make_record(state);
  for (job::shard_id id : due) {
    local_shard_of(state, id).last_append = now;
    add_claim(state, id, record);
  }
  effects.push_back(append_record{std::move(record)});
}

// ---- Handover -----------------------------------------------------------

void begin_quiescing(state& state, job::shard_id id,
                     std::vector<effect>& effects) {
  local_shard_of(state, id).phase = shard_phase::quiescing;
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
  const local_shard& local = state.local_shards[id.region][id.shard];
  const std::vector<member>& members = candidates.by_region[id.region];
  std::string best = preferred_owner(state.claims.regions[id.region], id.shard,
                                     members, state.options.takeover_after);
  if (best.empty() || best == state.options.self) return false;
  const member* other = find_member(members, best);
  if (other->alive_for < state.options.handover_after) return false;
  std::uint32_t doublings =
      std::min(local.handover_count, kMaxHandoverDoublings);
  if (local.handover_count == 0) return true;
  return now - local.last_append >=
         state.options.handover_after * (1 << doublings);
}

void begin_handovers(state& state, const region_candidates& candidates,
                     steady_time now, std::vector<effect>& effects) {
  std::size_t active_handovers = count_handovers(state);
  for_each_shard(state, [&](job::shard_id id) {
    local_shard& local = local_shard_of(state, id);
    if (local.phase != shard_phase::serving) return;
    if (state.draining) {
      begin_quiescing(state, id, effects);
      return;
    }
    if (active_handovers >= kMaxConcurrentHandovers) return;
    if (!has_better_owner(state, id, candidates, now)) return;
    ++local.handover_count;
    ++active_handovers;
    begin_quiescing(state, id, effects);
  });
}

void send_releases(state& state, steady_time now,
                   std::vector<effect>& effects) {
  std::vector<job::shard_id> due;
  for_each_shard(state, [&](job::shard_id id) {
    local_shard& local = local_shard_of(state, id);
    if (local.phase == shard_phase::fencing && state.draining) {
      local.phase = shard_phase::releasing;
      local.last_append = kNever;
    }
    if (local.phase != shard_phase::releasing) return;
    if (now - local.last_append >= state.options.claim_retry) due.push_back(id);
  });
  if (due.empty()) return;
  wire::record record = make_record(state);
  for (job::shard_id id : due) {
    local_shard& local = local_shard_of(state, id);
    local.last_append = now;
    wire::shard_release* release = record.mutable_release()->add_shards();
    release->set_region(state.claims.regions[id.region]);
    release->set_shard(id.shard);
    release->set_epoch(local.epoch);
  }
  effects.push_back(append_record{std::move(record)});
}

// ---- Snapshots ----------------------------------------------------------

// Number of live members whose id sorts before this daemon's.
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

void write_snapshot_if_due(state& state, const std::vector<member>& members,
                           steady_time now, std::vector<effect>& effects) {
  milliseconds interval = state.options.snapshot_every;
  int rank = snapshot_rank(state, members);
  if (now - state.last_snapshot <
      interval + interval * rank / kSnapshotStaggerDivisor) {
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

void on_reconciled(state& state, const reconciled& done,
                   std::vector<effect>& effects) {
  if (!is_configured(state, done.shard)) return;
  local_shard& local = local_shard_of(state, done.shard);
  if (local.phase != shard_phase::fencing || local.epoch != done.epoch) return;
  local.phase = shard_phase::serving;
  effects.push_back(serve_shard{done.shard, done.epoch});
}

void on_quiesced(state& state, job::shard_id id, steady_time now,
                 std::vector<effect>& effects) {
  if (!is_configured(state, id)) return;
  local_shard& local = local_shard_of(state, id);
  if (local.phase != shard_phase::quiescing) return;
  local.phase = shard_phase::releasing;
  local.last_append = kNever;
  send_releases(state, now, effects);
}

void on_fenced_by_worker(state& state, const fenced_by_worker& e,
                         steady_time now, std::vector<effect>& effects) {
  if (!is_configured(state, e.shard)) return;
  local_shard& local = local_shard_of(state, e.shard);
  if (local.phase == shard_phase::not_owned || local.epoch >= e.epoch) return;
  local.last_append = now;
  drop_ownership(state, e.shard, effects);
}

void on_tick(state& state, const tick& input, steady_time now,
             std::vector<effect>& effects) {
  if (!state.caught_up) return;
  region_candidates candidates = make_candidates(state, input.members);
  begin_handovers(state, candidates, now, effects);
  send_releases(state, now, effects);
  if (!state.draining) {
    claim_vacant_shards(state, input.members, candidates, now, effects);
  }
  write_snapshot_if_due(state, input.members, now, effects);
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
    apply_record(state, *read, now, effects);
  } else if (const auto* gap = std::get_if<records_expired>(&input)) {
    handle_expired_records(state, gap->first, effects);
  } else if (std::holds_alternative<caught_up>(input)) {
    on_caught_up(state, now);
  } else if (const auto* done = std::get_if<reconciled>(&input)) {
    on_reconciled(state, *done, effects);
  } else if (const auto* quiet = std::get_if<quiesced>(&input)) {
    on_quiesced(state, quiet->shard, now, effects);
  } else if (const auto* seen = std::get_if<fenced_by_worker>(&input)) {
    on_fenced_by_worker(state, *seen, now, effects);
  } else if (std::holds_alternative<drain>(input)) {
    state.draining = true;
    begin_handovers(state, {}, now, effects);
    send_releases(state, now, effects);
  } else if (const auto* time = std::get_if<tick>(&input)) {
    on_tick(state, *time, now, effects);
  }
  return effects;
}

job::epoch serving_epoch(const state& state, job::shard_id shard) {
  if (!is_configured(state, shard)) return 0;
  const local_shard& local = state.local_shards[shard.region][shard.shard];
  return local.phase == shard_phase::serving ? local.epoch : 0;
}

}  // namespace ebonygrade::ownership
