// Ownership of shards, by epochs in the platform's log.
//
// The functions are pure and work on two states. A `claim_table` replays the
// "claims" stream: all daemons that have read up to the same offset have the
// same table, except for shards whose records expired before a daemon read
// them. `step` updates a `state` and decides what this daemon does with its
// shards: claim them, fence and reconcile their workers, serve them, and hand
// them over. Only a shard in phase `serving` accepts work.
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

// A run of a daemon that owned a shard before. Its intent stream may have
// intents of the shard.
struct earlier_owner {
  std::string daemon;
  std::uint64_t incarnation = 0;

  friend bool operator==(const earlier_owner&, const earlier_owner&) = default;
};

// Earlier owners that are kept for each shard; the oldest are dropped first.
inline constexpr std::size_t kMaxEarlierOwners = 16;

// State of one shard according to the log.
struct claim_state {
  job::epoch epoch = 0;  // 0: never claimed, or the records have expired.
  std::string owner;
  std::uint64_t incarnation = 0;
  bool released = false;
  // Offset + 1 of the last record that states the owner or, while the epoch is
  // 0, of the last record that names the shard. 0: none.
  std::uint64_t last_record_end = 0;
  // Oldest first. Also contains the present owner if it owned the shard before:
  // when it lost the shard it forgot the requests that it had started.
  std::vector<earlier_owner> earlier_owners;

  friend bool operator==(const claim_state&, const claim_state&) = default;
};

// State of every shard of the cell, by region index and shard number.
struct claim_table {
  std::vector<std::string> regions;  // Names, in the order of the settings.
  std::vector<std::vector<claim_state>> shards;
  std::uint64_t first_offset = 0;  // Every record from here on was applied.
  std::uint64_t next_offset = 0;   // Offset of the next record to apply.
};

claim_table make_claim_table(std::vector<std::string> regions,
                             std::uint16_t shards_per_region);

// Applies one record of the claims stream and returns the shards that changed.
// A claim loses if its previous epoch differs from the shard's epoch. So the
// first of concurrent claims in the log wins, and a repeated record has no
// effect. Records below `next_offset` are ignored.
//
// A reader that joined after old records had expired doesn't know the epoch
// that a claim replaces. It reads the state of the shard from a snapshot whose
// writer had read every record that this reader missed. So all readers that
// know the epoch of a shard agree on it.
std::vector<job::shard_id> apply(claim_table& table, const wire::record& record,
                                 std::uint64_t offset);

// Handles the expiry of the records from `next_offset` up to `first`: the state
// of every shard is unknown until a snapshot or a new claim states it.
void discard_expired(claim_table& table, std::uint64_t first);

// A daemon in the present view of the membership. `alive_for` and
// `unresponsive_for` are zero when they do not apply.
struct member {
  std::string id;
  std::string region;
  bool leaving = false;
  milliseconds alive_for{0};         // Responsive without interruption.
  milliseconds unresponsive_for{0};  // Since the last contact.
};

// The candidates for a shard by rendezvous hashing, best first: the members of
// the shard's region that are neither leaving nor unresponsive for
// `unresponsive_limit`; such members of all regions if the region has none.
std::vector<const member*> rank_owners(const std::string& region,
                                       std::uint16_t shard,
                                       const std::vector<member>& members,
                                       milliseconds unresponsive_limit);

// Id of the first candidate of `rank_owners`; empty if there is none.
std::string preferred_owner(const std::string& region, std::uint16_t shard,
                            const std::vector<member>& members,
                            milliseconds unresponsive_limit);

struct ownership_options {
  std::string self;
  std::uint64_t incarnation = 0;
  // The shards of an owner without contact for this time may be claimed.
  milliseconds takeover_after{3000};
  // A preferred owner must be alive for this time to get a shard.
  milliseconds handover_after{15000};
  milliseconds claim_retry{1000};  // Between claims or releases of a shard.
  // Interval of the snapshots of all claims. The log must keep records for at
  // least ten intervals.
  milliseconds snapshot_every{60000};
};

enum class shard_phase {
  not_owned,
  fencing,    // Claimed; workers are being fenced and reconciled.
  serving,    // Accepts work.
  quiescing,  // Handover: sends no starts, waits for replies to sent starts.
  releasing,  // The release record was sent.
};

// What this daemon does with a shard.
struct local_shard {
  shard_phase phase = shard_phase::not_owned;
  job::epoch epoch = 0;
  // When a claim or release was last sent, or a worker last fenced this daemon.
  steady_time last_append;
  // When the shard was first seen without an owner; zero: it has an owner.
  steady_time vacant_since;
  // Successive handovers after which no other daemon claimed the shard.
  std::uint32_t handover_count = 0;
};

// The first `caught_up` raises `options.incarnation` above every incarnation of
// this daemon in the log. Callers have to read the incarnation from here.
struct state {
  ownership_options options;
  claim_table claims;
  // Parallel to `claims.shards`.
  std::vector<std::vector<local_shard>> local_shards;
  bool caught_up = false;  // The claims stream was read to its end.
  bool draining = false;   // This daemon hands over all its shards.
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
// The oldest record of the log is `first`, which is later than the next record
// to read. Must precede the records of the same read. Also occurs at the first
// read after a start.
struct records_expired {
  std::uint64_t first = 0;
};
// The stream was read to the end that it had at some time after the start.
struct caught_up {};
// Each worker of the shard is either fenced under `epoch` and has reported its
// tasks, or sent no reply for a whole task lease since `fence_shard`. Before
// the lease has passed, an idempotent request of the earlier owner may still
// run on a worker without a reply.
struct reconciled {
  job::shard_id shard;
  job::epoch epoch = 0;
};
// Every start that was sent under the shard's epoch has its reply.
struct quiesced {
  job::shard_id shard;
};
// A worker knows a higher epoch of the shard, so another daemon owns it.
struct fenced_by_worker {
  job::shard_id shard;
  job::epoch epoch = 0;
};
// Hand over all shards and claim none.
struct drain {};
// `members` includes this daemon.
struct tick {
  std::vector<member> members;
};

using event = std::variant<record_read, records_expired, caught_up, reconciled,
                           quiesced, fenced_by_worker, drain, tick>;

// ---- Effects ------------------------------------------------------------

// Append to the claims stream. The caller doesn't repeat an append without a
// reply: a later tick sends a new record if the log still has the old state.
struct append_record {
  wire::record record;
};
// Fence and reconcile every worker of the shard, then report `reconciled`.
struct fence_shard {
  job::shard_id shard;
  job::epoch epoch = 0;
  // The intents of `owner` and `earlier_owners` must be read before
  // `reconciled` is reported.
  claim_state previous;
};
// Accept work for the shard.
struct serve_shard {
  job::shard_id shard;
  job::epoch epoch = 0;
};
// Send no more starts; report `quiesced` once every sent start has its reply.
struct quiesce_shard {
  job::shard_id shard;
};
// This daemon no longer owns the shard: forget its state.
struct drop_shard {
  job::shard_id shard;
};

using effect = std::variant<append_record, fence_shard, serve_shard,
                            quiesce_shard, drop_shard>;

std::vector<effect> step(state& state, const event& input, steady_time now);

// Epoch under which this daemon may act on the shard; 0 if it may not.
job::epoch serving_epoch(const state& state, job::shard_id shard);

}  // namespace ebonygrade::ownership
