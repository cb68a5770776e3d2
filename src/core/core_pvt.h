// State of the core thread and the functions that operate on it, by source
// file. Private to this folder.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bundle/bundle.h"
#include "core/core.h"
#include "intents/intents.h"
#include "membership/membership.h"
#include "metrics/registry.h"
#include "place/place.h"
#include "ring/outbox.h"

namespace ebonygrade::core {

using clock::steady_time;

inline constexpr char kClaimsStream[] = "claims";
inline constexpr char kBundlesStream[] = "bundles";
inline constexpr std::size_t kMaxStartsPerRound = 512;
inline constexpr milliseconds kOperationTimeout{5000};

// A worker of a shard that this daemon owns or is taking over.
struct worker_entry {
  wire::worker_vm vm;
  bool fenced = false;  // The worker's tasks are known; it may get new ones.
};

enum class runtime_phase { none, reconciling, serving, quiescing };

// State of one shard on this daemon.
struct shard_runtime {
  runtime_phase phase = runtime_phase::none;
  job::epoch epoch = 0;
  steady_time takeover_started;
  place::engine_ptr engine;  // Set unless phase is none.
  std::map<std::string, worker_entry> workers;
  std::set<std::uint64_t> unread_intents;  // Tokens of the reads in flight.
  std::size_t starts_in_flight = 0;
};

enum class call_purpose {
  append_claims,
  append_intents,
  verify_claims,  // Read of the claims after an append of intents.
  read_intents,   // Read of an earlier owner's intents, in a takeover.
  append_operation,
  recheck_ownership,  // Read of the claims after a suspension or isolation.
};

// A call to the platform whose report is outstanding.
struct platform_call {
  call_purpose purpose = call_purpose::append_claims;
  job::shard_id shard;
  std::string stream;
  std::uint64_t sequence = 0;
};

// An operator's change whose record was not yet read back from the bundles
// stream.
struct operation {
  std::uint64_t token = 0;
  std::uint64_t version = 0;
  steady_time deadline;
};

struct core_state {
  core_state(const clock::clock& clock, const core_options& options,
             const core_outputs& outputs);

  const clock::clock& clock;
  core_options options;
  std::string region;  // Of this daemon.
  ring::outbox<api::reply> api;
  ring::outbox<worker::command> workers;
  ring::outbox<platform::command> platform;
  ring::outbox<peer::command> peers;

  ownership::state ownership;
  requests::table requests;
  entry::table entry;
  intents::writer intents;
  bundle::registry registry;
  std::optional<bundle::policy> policy;
  std::vector<std::vector<shard_runtime>> shards;  // By region, then shard.
  membership::state membership;
  metrics::registry metrics;
  std::vector<peer::peer_address> linked_peers;
  wire::vm_list vm_list;
  std::unordered_map<std::string, job::shard_id> shard_of_worker;
  std::unordered_map<std::uint64_t, platform_call> calls;
  std::map<std::uint64_t, operation> operations;  // By writer sequence.
  std::uint64_t next_token = 1;
  std::uint64_t next_sequence = 1;
  bool list_known = false;  // The VM list was read.
  bool log_reachable = false;
  bool claims_known = false;  // The claims were read to their end.
  bool draining = false;
  bool ownership_uncertain = false;
  // No task is started and no lease renewed; see suspend_workers().
  bool workers_suspended = false;
  bool reported_ready = false;                 // Readiness in the last event.
  std::set<std::string> unresponsive_daemons;  // Reported by an event.
  steady_time last_log_reply;
  steady_time last_tick;
};

shard_runtime& runtime(core_state& state, job::shard_id shard);
std::optional<std::uint16_t> region_index(const core_state& state,
                                          const std::string& name);
std::optional<std::uint16_t> region_of_zone(const core_options& options,
                                            const std::string& zone);
bool is_ready(const core_state& state);

// ---- owning.cpp: claims, takeover, workers ------------------------------

void apply_ownership(core_state& state, const ownership::event& event);
void on_claim_records(core_state& state, const platform::records& records);
void on_list(core_state& state, const wire::vm_list& list);
void on_worker_report(core_state& state, worker::report&& report);
void on_intents_read(core_state& state, const platform_call& call,
                     std::uint64_t token);
void check_takeovers(core_state& state);
// Marks the ownership of the shards as uncertain after a suspension of the
// process or an isolation, and reads the claims to their end to confirm it.
void check_ownership_certainty(core_state& state);
// Releases the quiescing shards that have no start in flight and no pending
// intent.
void check_handovers(core_state& state);
// Fences the workers of the owned shards again after suspend_workers().
void resume_workers(core_state& state);

// ---- serving.cpp: requests of owned shards ------------------------------

void apply_request(core_state& state, const requests::event& event);
void run_scheduling_round(core_state& state);
void flush_intents(core_state& state);
void on_intents_appended(core_state& state);
void on_intents_failed(core_state& state);
void on_intents_confirmed(core_state& state);

// ---- entering.cpp: requests from callers and from peers -----------------

void on_submit(core_state& state, api::submit&& command);
void on_query(core_state& state, api::query&& command);
void on_cancel(core_state& state, api::cancel&& command);
void on_explain(core_state& state, const api::explain& command);
void on_entry_reply(core_state& state, const requests::reply& reply);
void tick_entry(core_state& state);
void on_peer_message(core_state& state, const wire::envelope& message);
// Sends the heartbeats that are due, and requests a bundle from a peer that has
// a later one.
void tick_membership(core_state& state);
void send_to_peer(core_state& state, const std::string& to,
                  wire::envelope message);

// ---- operations.cpp: operators' changes and the status of the cell -------

void on_publish(core_state& state, const api::publish& command);
void on_approve(core_state& state, const api::approve& command);
void on_roll(core_state& state, const api::roll& command);
void on_list_bundles(core_state& state, const api::list_bundles& command);
void on_show_cell(core_state& state, const api::show_cell& command);
void on_bundle_records(core_state& state, const platform::records& records);
void on_operation_failed(core_state& state, const platform_call& call,
                         const platform::append_failed& failure);
void on_bundle_from_peer(core_state& state,
                         const wire::bundle_snapshot& snapshot);
void tick_operations(core_state& state);
// Applies the policy in force to the engine of every shard, with the shard's
// share of the quotas.
void apply_policy_to_engines(core_state& state);
void refuse(core_state& state, std::uint64_t token, int status,
            std::string_view error, std::string_view field = {});

// ---- observing.cpp: events and metrics ----------------------------------

// Emits events for changes since the last call: the daemon's readiness, daemons
// that became unresponsive.
void report_changes(core_state& state);
// Counts the won and lost claims of a record that this daemon wrote, and emits
// an event for each. Must be called after the record was applied.
void report_claim_results(core_state& state, const wire::record& record,
                          std::uint64_t offset);
void report_failed_append(core_state& state,
                          const platform::append_failed& report);
// A request was refused because of a temporary lack of capacity.
void report_overload(core_state& state, const std::string& id,
                     const std::string& reason);
// A request was refused because it is invalid.
void report_bad_request(core_state& state, const std::string& detail);
// Sets the gauges and formats all metrics.
std::string metrics_text(core_state& state);

}  // namespace ebonygrade::core
