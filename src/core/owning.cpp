// Claims, takeover of shards, and the workers of owned shards.
#include <algorithm>
#include <utility>

#include "core/core_pvt.h"
#include "events/events.h"

namespace ebonygrade::core {

namespace {

job::shard_id shard_of_vm(const core_state& state,
                          const wire::worker_vm& worker) {
  job::shard_id shard;
  shard.region = region_of_zone(state.options, worker.zone()).value_or(0);
  shard.shard = job::shard_of(worker.id(), state.options.shards_per_region);
  return shard;
}

std::string shard_name(const core_state& state, job::shard_id shard) {
  return state.options.regions[shard.region].name + "/" +
         std::to_string(shard.shard);
}

void watch_worker(core_state& state, const shard_runtime& shard,
                  const wire::worker_vm& vm) {
  state.workers.send(worker::watch{vm.id(), vm.address(), shard.epoch});
}

void read_intents_of(core_state& state, job::shard_id id,
                     const ownership::earlier_owner& owner) {
  const std::uint64_t token = state.next_token++;
  const std::string stream =
      intents::stream_name(owner.daemon, owner.incarnation);
  state.calls[token] = {call_purpose::read_intents, id, stream, 0};
  runtime(state, id).unread_intents.insert(token);
  state.platform.send(platform::read_to_end{token, stream});
}

void begin_takeover(core_state& state, const ownership::fence_shard& fence) {
  shard_runtime& shard = runtime(state, fence.shard);
  shard.phase = runtime_phase::reconciling;
  shard.epoch = fence.epoch;
  shard.takeover_started = state.clock.now();
  place::engine_options engine_options;
  engine_options.seed = fence.epoch;
  shard.engine = place::make_engine(engine_options);
  shard.workers.clear();
  shard.unread_intents.clear();
  for (const wire::worker_vm& vm : state.vm_list.workers()) {
    if (shard_of_vm(state, vm) != fence.shard) continue;
    shard.workers[vm.id()].vm = vm;
    state.shard_of_worker[vm.id()] = fence.shard;
    watch_worker(state, shard, vm);
  }
  if (!fence.previous.owner.empty()) {
    read_intents_of(state, fence.shard,
                    {fence.previous.owner, fence.previous.incarnation});
  }
  for (const ownership::earlier_owner& owner : fence.previous.earlier_owners) {
    read_intents_of(state, fence.shard, owner);
  }
  apply_policy_to_engines(state);
  check_takeovers(state);
}

void drop_runtime(core_state& state, job::shard_id id) {
  shard_runtime& shard = runtime(state, id);
  events::emit(events::id::shard_dropped, "handover", "", "shard {} epoch {}",
               shard_name(state, id), shard.epoch);
  for (const auto& [name, entry] : shard.workers) {
    state.workers.send(worker::unwatch{name});
    state.shard_of_worker.erase(name);
  }
  shard.workers.clear();
  shard.engine.reset();
  shard.unread_intents.clear();
  shard.starts_in_flight = 0;
  shard.phase = runtime_phase::none;
  shard.epoch = 0;
  apply_request(state, requests::shard_lost{id});
}

bool all_fenced(const shard_runtime& shard) {
  for (const auto& [name, entry] : shard.workers) {
    if (!entry.fenced) return false;
  }
  return true;
}

// Whether every worker of the shard has reported its tasks, or so much time has
// passed since the takeover that all unreported idempotent tasks have lost
// their lease: one task lease after an isolated earlier owner stops renewing.
bool workers_reconciled(const core_state& state, const shard_runtime& shard) {
  const milliseconds limit =
      state.options.requests.task_lease + state.options.isolation_limit;
  if (state.clock.now() - shard.takeover_started >= limit) return true;
  return all_fenced(shard);
}

void check_quiesced(core_state& state, job::shard_id id) {
  shard_runtime& shard = runtime(state, id);
  if (shard.phase != runtime_phase::quiescing) return;
  if (shard.starts_in_flight > 0) return;
  if (intents::is_pending(state.intents, id)) return;
  apply_ownership(state, ownership::quiesced{id});
}

// Adds a worker to the engine of its shard, with the tasks that it runs.
void add_fenced_worker(core_state& state, job::shard_id id, worker_entry& entry,
                       const wire::fence_reply& reply) {
  shard_runtime& shard = runtime(state, id);
  if (entry.fenced) place::remove_worker(*shard.engine, entry.vm.id());
  entry.fenced = true;
  place::worker_spec spec;
  spec.id = entry.vm.id();
  spec.zone = entry.vm.zone();
  spec.rack = entry.vm.rack();
  spec.capacity = job::from_wire(reply.capacity());
  place::add_worker(*shard.engine, spec);
  if (entry.vm.state() == wire::leaving) {
    place::set_leaving(*shard.engine, spec.id, true);
  }
  for (const wire::task_record& task : reply.tasks()) {
    apply_request(state, requests::task_found{task, spec.id, id});
  }
  apply_policy_to_engines(state);
  check_takeovers(state);
}

// Removes a worker whose leases have all expired or whose tasks are gone.
void remove_lost_worker(core_state& state, job::shard_id id,
                        const std::string& name) {
  shard_runtime& shard = runtime(state, id);
  const auto found = shard.workers.find(name);
  if (found == shard.workers.end() || !found->second.fenced) return;
  found->second.fenced = false;
  place::remove_worker(*shard.engine, name);
  apply_request(state, requests::worker_lost{name});
}

void remove_unlisted_worker(core_state& state, job::shard_id id,
                            const std::string& name) {
  remove_lost_worker(state, id, name);
  state.workers.send(worker::unwatch{name});
  runtime(state, id).workers.erase(name);
  state.shard_of_worker.erase(name);
}

void on_report(core_state& state, worker::fenced&& report) {
  const auto found = state.shard_of_worker.find(report.worker);
  if (found == state.shard_of_worker.end()) return;
  shard_runtime& shard = runtime(state, found->second);
  if (report.epoch != shard.epoch) return;
  state.metrics.add(metrics::counter::worker_fences);
  events::emit(events::id::worker_fenced, "takeover", report.worker, "epoch {}",
               report.epoch);
  add_fenced_worker(state, found->second, shard.workers[report.worker],
                    report.reply);
}

void on_report(core_state& state, worker::superseded&& report) {
  const auto found = state.shard_of_worker.find(report.worker);
  if (found == state.shard_of_worker.end()) return;
  const job::shard_id id = found->second;
  events::emit(events::id::worker_superseded, "start", report.worker,
               "shard {} has epoch {}", shard_name(state, id), report.epoch);
  apply_ownership(state, ownership::fenced_by_worker{id, report.epoch});
}

void on_report(core_state& state, worker::unreachable&& report) {
  const auto found = state.shard_of_worker.find(report.worker);
  if (found == state.shard_of_worker.end()) return;
  const job::shard_id id = found->second;
  // The adapter renews no lease on a worker that was unresponsive for half a
  // task lease.
  const milliseconds limit = state.options.requests.task_lease * 3 / 2 +
                             2 * state.options.unresponsive_limit;
  if (report.unresponsive_for < limit) return;
  shard_runtime& shard = runtime(state, id);
  const auto entry = shard.workers.find(report.worker);
  if (entry == shard.workers.end() || !entry->second.fenced) return;
  events::emit(events::id::worker_unreachable, report.cause.step, report.worker,
               "no contact for {} ms", report.unresponsive_for.count());
  remove_lost_worker(state, id, report.worker);
  state.workers.send(worker::unwatch{report.worker});
  watch_worker(state, shard, entry->second.vm);
}

void on_report(core_state& state, worker::rebooted&& report) {
  const auto found = state.shard_of_worker.find(report.worker);
  if (found == state.shard_of_worker.end()) return;
  const job::shard_id id = found->second;
  state.metrics.add(metrics::counter::worker_reboots);
  events::emit(events::id::worker_rebooted, "events", report.worker, "shard {}",
               shard_name(state, id));
  remove_lost_worker(state, id, report.worker);
  state.workers.send(worker::unwatch{report.worker});
  shard_runtime& shard = runtime(state, id);
  watch_worker(state, shard, shard.workers[report.worker].vm);
}

void finish_start(core_state& state, const std::string& worker) {
  const auto found = state.shard_of_worker.find(worker);
  if (found == state.shard_of_worker.end()) return;
  const job::shard_id id = found->second;
  shard_runtime& shard = runtime(state, id);
  if (shard.starts_in_flight > 0) --shard.starts_in_flight;
  check_quiesced(state, id);
}

void on_report(core_state& state, worker::start_answered&& report) {
  apply_request(state, requests::start_answered{report.key, report.status});
  finish_start(state, report.worker);
}

void on_report(core_state& state, worker::start_unanswered&& report) {
  state.metrics.add(metrics::counter::starts_unanswered);
  apply_request(state, requests::start_unanswered{report.key});
  finish_start(state, report.worker);
}

void on_report(core_state& state, worker::stop_answered&& report) {
  apply_request(state, requests::stop_answered{report.key, report.status});
}

void on_report(core_state& state, worker::ended&& report) {
  requests::task_ended event;
  event.key = job::from_wire(report.event.key());
  event.end = report.event.end();
  event.exit_code = report.event.exit_code();
  event.output = std::move(*report.event.mutable_output());
  event.worker = report.worker;
  apply_request(state, event);
}

void on_report(core_state& state, worker::usage&& report) {
  const auto found = state.shard_of_worker.find(report.worker);
  if (found == state.shard_of_worker.end()) return;
  const shard_runtime& shard = runtime(state, found->second);
  place::record_usage(*shard.engine, report.usage.key().request_id(),
                      report.usage.key().task_index(),
                      job::from_wire(report.usage.used()));
}

void on_effect(core_state& state, const ownership::append_record& effect) {
  const std::uint64_t token = state.next_token++;
  state.calls[token] = {call_purpose::append_claims, {}, kClaimsStream, 0};
  state.platform.send(platform::append{token, kClaimsStream, effect.record});
}

void on_effect(core_state& state, const ownership::fence_shard& effect) {
  begin_takeover(state, effect);
}

void on_effect(core_state& state, const ownership::serve_shard& effect) {
  shard_runtime& shard = runtime(state, effect.shard);
  shard.phase = runtime_phase::serving;
  apply_request(state,
                requests::home_shard_serving{effect.shard, all_fenced(shard)});
  events::emit(events::id::shard_serving, "takeover", "",
               "shard {} epoch {} workers {}", shard_name(state, effect.shard),
               effect.epoch, shard.workers.size());
}

void on_effect(core_state& state, const ownership::quiesce_shard& effect) {
  runtime(state, effect.shard).phase = runtime_phase::quiescing;
  check_quiesced(state, effect.shard);
}

void on_effect(core_state& state, const ownership::drop_shard& effect) {
  drop_runtime(state, effect.shard);
}

void update_members(core_state& state, const wire::vm_list& list) {
  membership::apply_list(state.membership, list);
  std::vector<peer::peer_address> peers = membership::peers(state.membership);
  if (peers == state.linked_peers) return;
  state.linked_peers = peers;
  state.peers.send(peer::set_peers{std::move(peers)});
}

// Whether no responsive daemon has read a claim that this daemon has not read.
// False if all other daemons are unresponsive. True if no other daemon is
// listed, because then no other daemon can have claimed a shard.
bool peers_confirm_claims(const core_state& state) {
  bool any_listed = false;
  bool any_responsive = false;
  for (const auto& [id, member] : state.membership.daemons) {
    if (!member.listed) continue;
    any_listed = true;
    if (!member.last_heartbeat || member.unresponsive_since) continue;
    any_responsive = true;
    if (member.claims_offset > state.ownership.claims.next_offset) {
      return false;
    }
  }
  return any_responsive || !any_listed;
}

void update_workers(core_state& state, const wire::vm_list& list) {
  std::set<std::string> listed;
  for (const wire::worker_vm& vm : list.workers()) {
    listed.insert(vm.id());
    const job::shard_id id = shard_of_vm(state, vm);
    shard_runtime& shard = runtime(state, id);
    if (shard.phase == runtime_phase::none) continue;
    const auto found = shard.workers.find(vm.id());
    if (found == shard.workers.end()) {
      shard.workers[vm.id()].vm = vm;
      state.shard_of_worker[vm.id()] = id;
      watch_worker(state, shard, vm);
      continue;
    }
    const bool address_changed = found->second.vm.address() != vm.address();
    found->second.vm = vm;
    if (address_changed) watch_worker(state, shard, vm);
    if (found->second.fenced) {
      place::set_leaving(*shard.engine, vm.id(), vm.state() == wire::leaving);
    }
  }
  std::vector<std::pair<job::shard_id, std::string>> stale;
  for (const auto& [name, id] : state.shard_of_worker) {
    if (!listed.contains(name)) stale.emplace_back(id, name);
  }
  for (const auto& [id, name] : stale) remove_unlisted_worker(state, id, name);
}

// Stops all starts and lease renewals. Another daemon may have claimed the
// shards, and for each worker that it can't reach it waits until the leases
// that this daemon granted have expired.
void suspend_workers(core_state& state) {
  state.workers_suspended = true;
  for (const auto& [name, id] : state.shard_of_worker) {
    state.workers.send(worker::unwatch{name});
  }
}

}  // namespace

void check_handovers(core_state& state) {
  for (std::uint16_t region = 0; region < state.shards.size(); ++region) {
    for (std::uint16_t i = 0; i < state.shards[region].size(); ++i) {
      check_quiesced(state, {region, i});
    }
  }
}

void resume_workers(core_state& state) {
  if (!state.workers_suspended) return;
  state.workers_suspended = false;
  for (const auto& [name, id] : state.shard_of_worker) {
    const shard_runtime& shard = runtime(state, id);
    watch_worker(state, shard, shard.workers.at(name).vm);
  }
}

void apply_ownership(core_state& state, const ownership::event& event) {
  const std::vector<ownership::effect> effects =
      ownership::step(state.ownership, event, state.clock.now());
  for (const ownership::effect& effect : effects) {
    std::visit([&state](const auto& each) { on_effect(state, each); }, effect);
  }
}

void on_claim_records(core_state& state, const platform::records& records) {
  if (records.oldest_offset > state.ownership.claims.next_offset) {
    apply_ownership(state, ownership::records_expired{records.oldest_offset});
  }
  for (std::size_t i = 0; i < records.entries.size(); ++i) {
    apply_ownership(
        state, ownership::record_read{records.entries[i], records.offsets[i]});
    report_claim_results(state, records.entries[i], records.offsets[i]);
  }
  if (records.at_end && !state.claims_known) {
    state.claims_known = true;
    apply_ownership(state, ownership::caught_up{});
  }
}

void on_list(core_state& state, const wire::vm_list& list) {
  state.vm_list = list;
  state.list_known = true;
  update_members(state, list);
  update_workers(state, list);
  apply_policy_to_engines(state);
  check_takeovers(state);
}

void on_worker_report(core_state& state, worker::report&& report) {
  std::visit(
      [&state](auto&& each) {
        on_report(state, std::forward<decltype(each)>(each));
      },
      std::move(report));
}

void on_intents_read(core_state& state, const platform_call& call,
                     std::uint64_t token) {
  runtime(state, call.shard).unread_intents.erase(token);
  check_takeovers(state);
}

void check_takeovers(core_state& state) {
  for (std::uint16_t region = 0; region < state.shards.size(); ++region) {
    for (std::uint16_t i = 0; i < state.shards[region].size(); ++i) {
      const shard_runtime& shard = state.shards[region][i];
      if (shard.phase != runtime_phase::reconciling) continue;
      if (!state.list_known || !shard.unread_intents.empty()) continue;
      if (!workers_reconciled(state, shard)) continue;
      apply_ownership(state, ownership::reconciled{{region, i}, shard.epoch});
    }
  }
}

void check_ownership_certainty(core_state& state) {
  const steady_time now = state.clock.now();
  const bool was_suspended =
      now - state.last_tick > state.options.suspension_threshold;
  state.last_tick = now;
  const bool isolated =
      now - state.last_log_reply > state.options.isolation_limit &&
      !peers_confirm_claims(state);
  if (isolated && !state.workers_suspended) suspend_workers(state);
  if (!was_suspended && !isolated) return;
  if (state.ownership_uncertain) return;
  state.ownership_uncertain = true;
  apply_request(state, requests::ownership_uncertain{true});
  const std::uint64_t token = state.next_token++;
  state.calls[token] = {call_purpose::recheck_ownership, {}, kClaimsStream, 0};
  state.platform.send(platform::read_to_end{token, kClaimsStream});
}

}  // namespace ebonygrade::core
