// State of the core thread and the functions that work on it, by duty. Not
// for use outside this folder.
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
inline constexpr std::size_t kMaxStartsPerDecision = 512;
inline constexpr milliseconds kOperationLimit{5000};

// A worker of a shard that this daemon owns or is taking over.
struct worker_entry {
  wire::worker_vm vm;
  bool fenced = false;  // Its tasks are known and it may be given work.
};

enum class takeover_phase { none, reconciling, serving, quiescing };

// What this daemon holds for one shard.
struct shard_runtime {
  takeover_phase phase = takeover_phase::none;
  job::epoch epoch = 0;
  steady_time takeover_started;
  place::engine_ptr engine;  // Set unless phase is none.
  std::map<std::string, worker_entry> workers;
  std::set<std::uint64_t> unread_intents;  // Tokens of reads on their way.
  std::size_t starts_in_flight = 0;
};

enum class call_purpose {
  append_claims,
  append_intents,
  confirm_claims,  // Claims read after an append of intents.
  read_intents,    // Of a past owner, during a takeover.
  append_operation,
  resolve_doubt,  // Claims read after a pause or isolation.
};

// A call to the platform that awaits its report.
struct platform_call {
  call_purpose purpose = call_purpose::append_claims;
  job::shard_id shard;
  std::string stream;
  std::uint64_t sequence = 0;
};

// An operator's change that awaits its record in the bundles stream.
struct operation {
  std::uint64_t token = 0;
  std::uint64_t version = 0;
  steady_time give_up_at;
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
  wire::vm_list list;
  std::unordered_map<std::string, job::shard_id> shard_of_worker;
  std::unordered_map<std::uint64_t, platform_call> calls;
  std::map<std::uint64_t, operation> operations;  // By writer sequence.
  std::uint64_t next_token = 1;
  std::uint64_t next_sequence = 1;
  bool list_known = false;
  bool log_reachable = false;
  bool claims_known = false;
  bool draining = false;
  bool ownership_uncertain = false;
  bool suspended = false;                // Gives nothing out; see suspend().
  bool was_ready = false;                // As last told by an event.
  std::set<std::string> silent_daemons;  // As last told by an event.
  steady_time last_log_sign;             // Last time that the log answered.
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
// Ends the doubt about ownership that a pause or isolation raised, once the
// claims were read to their end.
void update_doubt(core_state& state);
// Releases the shards in handover that have nothing on its way any more.
void check_handovers(core_state& state);
// Fences the workers of the owned shards again after a suspension.
void resume(core_state& state);

// ---- serving.cpp: requests of owned shards ------------------------------

void apply_request(core_state& state, const requests::event& event);
void decide(core_state& state);
void flush_intents(core_state& state);
void on_intents_appended(core_state& state);
void on_intents_failed(core_state& state);
void on_intents_confirmed(core_state& state);

// ---- entering.cpp: requests of callers and of peers ---------------------

void on_submit(core_state& state, api::submit&& command);
void on_query(core_state& state, api::query&& command);
void on_cancel(core_state& state, api::cancel&& command);
void on_explain(core_state& state, const api::explain& command);
void on_entry_reply(core_state& state, const requests::reply& reply);
void tick_entry(core_state& state);
void on_peer_message(core_state& state, const wire::envelope& message);
// Sends the heartbeats due and asks for a later bundle that a peer has.
void tick_membership(core_state& state);
void send_to_peer(core_state& state, const std::string& to,
                  wire::envelope message);

// ---- governing.cpp: bundles and the state of the cell -------------------

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
// Puts the policy in force into every engine, with the shard's part of each
// quota.
void spread_policy(core_state& state);
void refuse(core_state& state, std::uint64_t token, int status,
            std::string_view error, std::string_view field = {});

// ---- observing.cpp: events and metrics ----------------------------------

// Tells by events what changed since the last call: readiness, silent daemons.
void observe(core_state& state);
// Tells what became of the claims of a record, if they are this daemon's own.
// Called after the record was applied.
void observe_claims(core_state& state, const wire::record& record,
                    std::uint64_t offset);
void observe_failed_append(core_state& state,
                           const platform::append_failed& report);
// A request was refused: for a passing lack of room, or because of `detail`.
void observe_overload(core_state& state, const std::string& id,
                      const std::string& reason);
void observe_bad_request(core_state& state, const std::string& detail);
// Sets the gauges and prints every measurement.
std::string metrics_text(core_state& state);

}  // namespace ebonygrade::core
