// Operators' changes of the bundles, and the status of the cell.
#include <algorithm>
#include <utility>

#include "core/core_pvt.h"
#include "events/events.h"

namespace ebonygrade::core {

namespace {

wire::record new_record(core_state& state) {
  wire::record record;
  record.mutable_writer()->set_daemon(state.options.self);
  record.mutable_writer()->set_incarnation(state.ownership.options.incarnation);
  record.mutable_writer()->set_sequence(state.next_sequence++);
  return record;
}

// Appends an operator's change. The operator gets the reply when the record is
// read back from the stream.
void append_operation(core_state& state, std::uint64_t token,
                      std::uint64_t version, wire::record record) {
  const std::uint64_t sequence = record.writer().sequence();
  state.operations[sequence] = {token, version,
                                state.clock.now() + kOperationTimeout};
  const std::uint64_t call = state.next_token++;
  state.calls[call] = {
      call_purpose::append_operation, {}, kBundlesStream, sequence};
  state.metrics.add(metrics::counter::log_appends);
  state.platform.send(
      platform::append{call, kBundlesStream, std::move(record)});
}

wire::bundle_status status_of(const core_state& state,
                              const bundle::version_state& version,
                              bool with_text) {
  wire::bundle_status status;
  status.set_version(version.version);
  status.set_name(version.name);
  status.set_author(version.author);
  for (const std::string& approver : version.approvers) {
    status.add_approvers(approver);
  }
  status.set_in_force(version.version == state.registry.in_force);
  if (status.in_force()) status.set_roll(state.registry.roll);
  if (with_text) status.set_text(version.text);
  return status;
}

void adopt_policy_in_force(core_state& state) {
  error::result<bundle::policy> parsed =
      bundle::parse(state.registry.in_force_text);
  if (parsed.has_error()) {
    events::emit(events::id::bundle_refused, "adopt bundle", "",
                 "version {}: {}", state.registry.in_force,
                 parsed.error().detail);
    return;
  }
  events::emit(events::id::bundle_in_force, "adopt bundle", "",
               "version {} roll {}", state.registry.in_force,
               state.registry.roll);
  state.policy = std::move(*parsed);
  apply_policy_to_engines(state);
}

std::string reason_of(bundle::apply_result result) {
  switch (result) {
    case bundle::apply_result::applied:
      return "applied";
    case bundle::apply_result::ignored:
      return "the record was already applied";
    case bundle::apply_result::not_approved:
      return "the version lacks approvals; its author's own does not count";
    case bundle::apply_result::lost_race:
      return "another roll came first; the version to replace is no longer "
             "in force";
    case bundle::apply_result::unknown_version:
      return "no such version";
    case bundle::apply_result::malformed:
      return "the text is not a valid bundle";
  }
  return "refused";
}

void reply_to_operation(core_state& state, const operation& operation,
                        const wire::record& record, std::uint64_t offset,
                        bundle::apply_result result) {
  if (result != bundle::apply_result::applied) {
    refuse(state, operation.token, 409, reason_of(result));
    return;
  }
  const std::uint64_t version =
      record.has_publish() ? offset + 1 : operation.version;
  const auto found = state.registry.versions.find(version);
  if (found == state.registry.versions.end()) {
    refuse(state, operation.token, 404, "no such version");
    return;
  }
  state.api.send(api::bundle_reply{operation.token,
                                   status_of(state, found->second, false)});
}

void on_bundle_record(core_state& state, const wire::record& record,
                      std::uint64_t offset) {
  const std::uint64_t roll_before = state.registry.roll;
  const bundle::apply_result result =
      bundle::apply(state.registry, record, offset);
  if (state.registry.roll != roll_before) adopt_policy_in_force(state);
  if (record.writer().daemon() != state.options.self) return;
  if (record.writer().incarnation() != state.ownership.options.incarnation)
    return;
  const auto found = state.operations.find(record.writer().sequence());
  if (found == state.operations.end()) return;
  reply_to_operation(state, found->second, record, offset, result);
  state.operations.erase(found);
}

job::resources cell_capacity(const core_state& state) {
  job::resources total;
  for (const wire::worker_vm& vm : state.vm_list.workers()) {
    total += job::from_wire(vm.capacity());
  }
  return total;
}

// The largest share of the shard in any one resource of the cell.
double quota_share(const job::resources& part, const job::resources& whole) {
  const std::pair<std::int32_t, std::int32_t> components[] = {
      {part.millicores, whole.millicores},
      {part.memory_mb, whole.memory_mb},
      {part.accelerators, whole.accelerators},
      {part.slots, whole.slots}};
  double share = 0;
  for (const auto& [of_shard, of_cell] : components) {
    if (of_cell > 0) {
      share = std::max(share, static_cast<double>(of_shard) / of_cell);
    }
  }
  return std::min(1.0, share);
}

void add_shards(const core_state& state, wire::cell_status& status) {
  for (std::size_t region = 0; region < state.shards.size(); ++region) {
    for (std::size_t i = 0; i < state.shards[region].size(); ++i) {
      const ownership::claim_state& claim =
          state.ownership.claims.shards[region][i];
      wire::shard_status& shard = *status.add_shards();
      shard.set_region(state.options.regions[region].name);
      shard.set_shard(static_cast<std::uint32_t>(i));
      shard.set_epoch(claim.epoch);
      shard.set_owner(claim.released ? "" : claim.owner);
      switch (state.shards[region][i].phase) {
        case runtime_phase::none:
          shard.set_phase(claim.epoch == 0 ? "unowned" : "elsewhere");
          break;
        case runtime_phase::reconciling:
          shard.set_phase("reconciling");
          break;
        case runtime_phase::serving:
          shard.set_phase("serving");
          break;
        case runtime_phase::quiescing:
          shard.set_phase("quiescing");
          break;
      }
    }
  }
}

}  // namespace

void refuse(core_state& state, std::uint64_t token, int status,
            std::string_view error, std::string_view field) {
  api::refusal refusal;
  refusal.token = token;
  refusal.status = status;
  refusal.error.set_error(std::string(error));
  refusal.error.set_field(std::string(field));
  state.api.send(std::move(refusal));
}

void on_publish(core_state& state, const api::publish& command) {
  const error::result<bundle::policy> parsed =
      bundle::parse(command.request.text());
  if (parsed.has_error()) {
    refuse(state, command.token, 400, parsed.error().detail, "text");
    return;
  }
  if (command.request.author().empty()) {
    refuse(state, command.token, 400, "author: is empty", "author");
    return;
  }
  wire::record record = new_record(state);
  record.mutable_publish()->set_name(command.request.name());
  record.mutable_publish()->set_text(command.request.text());
  record.mutable_publish()->set_author(command.request.author());
  append_operation(state, command.token, 0, std::move(record));
}

void on_approve(core_state& state, const api::approve& command) {
  if (command.request.approver().empty()) {
    refuse(state, command.token, 400, "approver: is empty", "approver");
    return;
  }
  wire::record record = new_record(state);
  record.mutable_approve()->set_version(command.version);
  record.mutable_approve()->set_approver(command.request.approver());
  append_operation(state, command.token, command.version, std::move(record));
}

void on_roll(core_state& state, const api::roll& command) {
  if (command.request.operator_().empty()) {
    refuse(state, command.token, 400, "operator: is empty", "operator");
    return;
  }
  wire::record record = new_record(state);
  record.mutable_roll()->set_version(command.version);
  record.mutable_roll()->set_replaces(command.request.replaces());
  record.mutable_roll()->set_operator_(command.request.operator_());
  append_operation(state, command.token, command.version, std::move(record));
}

void on_list_bundles(core_state& state, const api::list_bundles& command) {
  api::bundles_reply reply;
  reply.token = command.token;
  reply.list.set_version_in_force(state.registry.in_force);
  reply.list.set_roll(state.registry.roll);
  for (const auto& [version, entry] : state.registry.versions) {
    *reply.list.add_bundles() = status_of(state, entry, true);
  }
  state.api.send(std::move(reply));
}

void on_show_cell(core_state& state, const api::show_cell& command) {
  api::cell_reply reply;
  reply.token = command.token;
  wire::cell_status& status = reply.status;
  status.set_daemon(state.options.self);
  status.set_zone(state.options.zone);
  status.set_ready(is_ready(state));
  status.set_bundle_version(state.registry.in_force);
  add_shards(state, status);
  place::engine_summary total;
  for (const std::vector<shard_runtime>& region : state.shards) {
    for (const shard_runtime& shard : region) {
      if (shard.engine == nullptr) continue;
      const place::engine_summary summary = place::summarise(*shard.engine);
      total.workers += summary.workers;
      total.queued += summary.queued;
      total.running += summary.running;
    }
  }
  status.set_workers(static_cast<std::uint32_t>(total.workers));
  status.set_queued(static_cast<std::uint32_t>(total.queued));
  status.set_running(static_cast<std::uint32_t>(total.running));
  for (const auto& [id, member] : state.membership.daemons) {
    if (member.listed) status.add_peers(id);
  }
  state.api.send(std::move(reply));
}

void on_bundle_records(core_state& state, const platform::records& records) {
  for (std::size_t i = 0; i < records.entries.size(); ++i) {
    on_bundle_record(state, records.entries[i], records.offsets[i]);
  }
}

void on_operation_failed(core_state& state, const platform_call& call,
                         const platform::append_failed& failure) {
  if (failure.maybe_written) return;  // The record may still be read.
  const auto found = state.operations.find(call.sequence);
  if (found == state.operations.end()) return;
  refuse(state, found->second.token, 503,
         "not written: " + error::to_string(failure.cause));
  state.operations.erase(found);
}

void on_bundle_from_peer(core_state& state,
                         const wire::bundle_snapshot& snapshot) {
  const bundle::apply_result result =
      bundle::apply_snapshot(state.registry, snapshot);
  if (result == bundle::apply_result::applied) adopt_policy_in_force(state);
}

void tick_operations(core_state& state) {
  const steady_time now = state.clock.now();
  for (auto each = state.operations.begin(); each != state.operations.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    refuse(state, each->second.token, 504,
           "unknown whether it was written; list the bundles to find out");
    each = state.operations.erase(each);
  }
}

void apply_policy_to_engines(core_state& state) {
  if (!state.policy) return;
  const job::resources whole = cell_capacity(state);
  for (std::vector<shard_runtime>& region : state.shards) {
    for (shard_runtime& shard : region) {
      if (shard.engine == nullptr) continue;
      job::resources part;
      for (const auto& [name, entry] : shard.workers) {
        part += job::from_wire(entry.vm.capacity());
      }
      place::set_quota_share(*shard.engine, quota_share(part, whole));
      place::apply_policy(*shard.engine, *state.policy);
    }
  }
  state.requests.options.max_attempts = state.policy->placement.max_attempts;
}

}  // namespace ebonygrade::core
