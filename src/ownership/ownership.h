// Ownership of shards by epochs in the platform's log.
//
// Two parts, both pure. `claim_table` replays the "claims" stream: every
// daemon that has read the same offset holds the same table. `step` decides
// what this daemon does about its shards: claim, fence and reconcile workers,
// serve, hand over. Only a shard in phase `serving` may be given work.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "clock/clock.h"
#include "job/job.h"
#include "wire/record.pb.h"

namespace ebonygrade::ownership {

using clock::milliseconds;
using clock::steady_time;

// A daemon that owned a shard before; its intent stream may matter.
struct earlier_owner {
  std::string daemon;
  std::uint64_t incarnation = 0;

  friend bool operator==(const earlier_owner&, const earlier_owner&) = default;
};

// Earlier owners that are remembered for each shard; the oldest go first.
inline constexpr std::size_t kMaxEarlierOwners = 16;

// One shard as the log has it.
struct claim_state {
  job::epoch epoch = 0;  // 0: never claimed, or forgotten by the log.
  std::string owner;
  std::uint64_t incarnation = 0;
  bool released = false;
  // Offset + 1 of the last record that states the owner; while the epoch is
  // 0, of the last one that names the shard. 0: none.
  std::uint64_t stated = 0;
  // Oldest first. Holds the owner too if it owned the shard before: what it
  // started then is forgotten with the shard.
  std::vector<earlier_owner> earlier_owners;

  friend bool operator==(const claim_state&, const claim_state&) = default;
};

// Every shard of the cell, by region index then shard number.
struct claim_table {
  std::vector<std::string> regions;  // Names, in the settings' order.
  std::vector<std::vector<claim_state>> shards;
  std::uint64_t first_offset = 0;  // Every record from here on was applied.
  std::uint64_t next_offset = 0;   // Offset of the next record to apply.
};

claim_table make_claim_table(std::vector<std::string> regions,
                             std::uint16_t shards_per_region);

// Applies one record of the claims stream and returns the shards it changed.
// A claim that names a previous epoch other than the present one is void, so
// of racing claims the first in the log wins and a repeated record is
// harmless. Records below next_offset are ignored.
//
// A reader that joined after old records had expired doesn't know the epoch
// that a claim replaces. It takes such a shard's state from a snapshot whose
// writer had read all that this reader missed, so that every reader that
// knows a shard's epoch agrees on it.
std::vector<job::shard_id> apply(claim_table& table, const wire::record& record,
                                 std::uint64_t offset);

// The stream no longer holds the records from `next_offset` up to `first`:
// what it said of any shard is unknown until a snapshot or a new claim.
void discard_expired(claim_table& table, std::uint64_t first);

// A daemon as membership sees it now. `alive_for` and `unresponsive_for` are
// zero when they do not apply.
struct member {
  std::string id;
  std::string region;
  bool leaving = false;
  milliseconds alive_for{0};         // Continuously heard for so long.
  milliseconds unresponsive_for{0};  // Not heard for so long.
};

// Members in the order in which they should own the shard, best first, by
// rendezvous hashing; see preferred_owner.
std::vector<const member*> rank_owners(const std::string& region,
                                       std::uint16_t shard,
                                       const std::vector<member>& members,
                                       milliseconds unresponsive_limit);

// The member that should own the shard: rendezvous hashing over the members
// of the shard's region that are neither leaving nor silent; over all regions
// if that region has none. Empty if there is none at all.
std::string preferred_owner(const std::string& region, std::uint16_t shard,
                            const std::vector<member>& members,
                            milliseconds unresponsive_limit);

struct ownership_options {
  std::string self;
  std::uint64_t incarnation = 0;
  milliseconds takeover_after{3000};   // Silence of an owner before a claim.
  milliseconds handover_after{15000};  // A better owner must be alive so long.
  milliseconds claim_retry{1000};      // Between claims of the same shard.
  milliseconds snapshot_every{60000};  // Claims are restated so often. The
                                       // log must keep records ten times as
                                       // long.
};

enum class shard_phase {
  not_owned,
  fencing,    // Claimed; workers are being fenced and reconciled.
  serving,    // May be given work.
  quiescing,  // Handing over: no new starts; waiting for sent starts.
  releasing,  // The release record is on its way.
};

struct local_shard {
  shard_phase phase = shard_phase::not_owned;
  job::epoch epoch = 0;
  steady_time last_claim;       // Last claim or release that was sent.
  steady_time vacant_since;     // Since when nobody owns it; zero: owned.
  std::uint32_t handovers = 0;  // Times it was handed over and came back.
};

// `options.incarnation` is raised at the first `caught_up` above every one
// that the log knows of this daemon, so read it from here.
struct state {
  ownership_options options;
  claim_table claims;
  std::vector<std::vector<local_shard>>
      local_shards;        // Parallel to claims.shards.
  bool caught_up = false;  // The claims stream was read to its end once.
  bool draining = false;   // This daemon hands over everything.
  std::uint64_t next_sequence = 1;
  steady_time last_snapshot;
  steady_time caught_up_at;
};

state make_state(ownership_options options, claim_table claims);

// ---- Events -------------------------------------------------------------

struct record_read {
  wire::record record;
  std::uint64_t offset = 0;
};
// The log's oldest record is `first`, later than the next one to be read. Sent
// before the records of that read, also by a daemon that has just started.
struct records_expired {
  std::uint64_t first = 0;
};
// Every record that the stream held at some moment after the start was read.
struct caught_up {};
// Every worker of the shard is fenced under `epoch` and its tasks are known, or
// it has not answered for a whole task lease since `fence_shard`. Until then an
// idempotent request may still run, under the earlier owner, on a worker that
// has not answered.
struct reconciled {
  job::shard_id shard;
  job::epoch epoch = 0;
};
// No start under the shard's epoch is without an answer.
struct quiesced {
  job::shard_id shard;
};
// A worker showed a higher epoch than ours: somebody else owns the shard.
struct fenced_by_worker {
  job::shard_id shard;
  job::epoch epoch = 0;
};
struct drain {};
// `members` includes this daemon.
struct tick {
  std::vector<member> members;
};

using event = std::variant<record_read, records_expired, caught_up, reconciled,
                           quiesced, fenced_by_worker, drain, tick>;

// ---- Effects ------------------------------------------------------------

// Append to the claims stream. An append without an answer is not repeated:
// the next tick claims again if the log still shows the old state.
struct append_record {
  wire::record record;
};
// Fence and reconcile every worker of the shard, then report `reconciled`.
struct fence_shard {
  job::shard_id shard;
  job::epoch epoch = 0;
  claim_state previous;  // `owner` and `earlier_owners`: whose intents must be
                         // read before `reconciled` is reported.
};
// The shard may be given work.
struct serve_shard {
  job::shard_id shard;
  job::epoch epoch = 0;
};
// Give no new work; report `quiesced` when no sent start is unanswered.
struct quiesce_shard {
  job::shard_id shard;
};
// The shard is no longer ours; forget its state.
struct drop_shard {
  job::shard_id shard;
};

using effect = std::variant<append_record, fence_shard, serve_shard,
                            quiesce_shard, drop_shard>;

std::vector<effect> step(state& state, const event& input, steady_time now);

// Epoch under which this daemon may act on the shard; 0 if it may not.
job::epoch serving_epoch(const state& state, job::shard_id shard);

}  // namespace ebonygrade::ownership
