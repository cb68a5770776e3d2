// Events and metrics of the core thread.
#include <algorithm>
#include <utility>

#include "core/core_pvt.h"
#include "events/events.h"

namespace ebonygrade::core {

namespace {

std::string shard_name(const wire::shard_claim& shard) {
  return shard.region() + "/" + std::to_string(shard.shard());
}

void report_readiness(core_state& state) {
  const bool ready = is_ready(state);
  if (ready == state.reported_ready) return;
  state.reported_ready = ready;
  if (ready) {
    events::emit(events::id::ready, "start", "", "bundle version {}",
                 state.registry.in_force);
  } else {
    events::emit(events::id::not_ready, "drain", "", "");
  }
}

void report_unresponsive_daemons(core_state& state) {
  for (const auto& [id, daemon] : state.membership.daemons) {
    if (!daemon.unresponsive_since) {
      state.unresponsive_daemons.erase(id);
    } else if (state.unresponsive_daemons.insert(id).second) {
      events::emit(events::id::peer_silent, "heartbeat", id, "");
    }
  }
}

std::size_t count_alive(const core_state& state) {
  std::size_t alive = 1;
  for (const auto& [id, daemon] : state.membership.daemons) {
    if (daemon.alive_since && !daemon.unresponsive_since) ++alive;
  }
  return alive;
}

}  // namespace

void report_changes(core_state& state) {
  report_readiness(state);
  report_unresponsive_daemons(state);
}

void report_claim_results(core_state& state, const wire::record& record,
                          std::uint64_t offset) {
  if (record.writer().daemon() != state.options.self) return;
  if (record.writer().incarnation() != state.options.incarnation) return;
  for (const wire::shard_claim& shard : record.claim().shards()) {
    const std::optional<std::uint16_t> region =
        region_index(state, shard.region());
    if (!region || shard.shard() >= state.shards[*region].size()) continue;
    const ownership::claim_state& current =
        state.ownership.claims.shards[*region][shard.shard()];
    if (current.epoch == offset + 1) {
      state.metrics.add(metrics::counter::claims_won);
      events::emit(events::id::claim_won, "claim", "", "shard {} epoch {}",
                   shard_name(shard), current.epoch);
    } else {
      state.metrics.add(metrics::counter::claims_lost);
      events::emit(events::id::claim_lost, "claim", current.owner,
                   "shard {} has epoch {}", shard_name(shard), current.epoch);
    }
  }
}

void report_failed_append(core_state& state,
                          const platform::append_failed& report) {
  state.metrics.add(metrics::counter::log_append_failures);
  events::emit(events::id::append_failed, report.cause);
}

void report_overload(core_state& state, const std::string& id,
                     const std::string& reason) {
  state.metrics.add(metrics::counter::requests_refused_overload);
  events::emit(events::id::overload_refused, "admit", "", "{}: {}", id, reason);
}

void report_bad_request(core_state& state, const std::string& detail) {
  state.metrics.add(metrics::counter::requests_malformed);
  events::emit(events::id::bad_request, "submit", "", "{}", detail);
}

std::string metrics_text(core_state& state) {
  place::engine_summary total;
  std::size_t owned = 0;
  for (const std::vector<shard_runtime>& region : state.shards) {
    for (const shard_runtime& shard : region) {
      if (shard.engine == nullptr) continue;
      const place::engine_summary summary = place::summarise(*shard.engine);
      total.free += summary.free;
      total.queued += summary.queued;
      total.running += summary.running;
      total.workers += summary.workers;
      ++owned;
    }
  }
  metrics::registry& registry = state.metrics;
  registry.set(metrics::gauge::ready, is_ready(state) ? 1 : 0);
  registry.set(metrics::gauge::draining, state.draining ? 1 : 0);
  registry.set(metrics::gauge::shards_owned, static_cast<double>(owned));
  registry.set(metrics::gauge::workers_known,
               static_cast<double>(state.shard_of_worker.size()));
  registry.set(metrics::gauge::workers_fenced,
               static_cast<double>(total.workers));
  registry.set(metrics::gauge::tasks_queued, static_cast<double>(total.queued));
  registry.set(metrics::gauge::tasks_running,
               static_cast<double>(total.running));
  registry.set(metrics::gauge::requests_kept,
               static_cast<double>(state.requests.by_id.size()));
  registry.set(metrics::gauge::daemons_alive,
               static_cast<double>(count_alive(state)));
  registry.set(metrics::gauge::bundle_roll,
               static_cast<double>(state.registry.roll));
  registry.set(metrics::gauge::bundle_version,
               static_cast<double>(state.registry.in_force));
  registry.set(metrics::gauge::log_reachable, state.log_reachable ? 1 : 0);
  registry.set(metrics::gauge::free_millicores, total.free.millicores);
  registry.set(metrics::gauge::free_memory_mb, total.free.memory_mb);
  registry.set(metrics::gauge::free_accelerators, total.free.accelerators);
  registry.set(metrics::gauge::free_slots, total.free.slots);
  return registry.to_text();
}

}  // namespace ebonygrade::core
