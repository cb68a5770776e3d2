#include "standin/platform/vm_table.h"

#include <utility>

namespace ebonygrade::standin::platform {

namespace {

constexpr std::size_t kMaxListedRemovals = 10000;

void apply_removal(vm_table& table, const vm_removal& removal) {
  if (table.listed.erase(removal.id) == 0) return;
  table.removals.push_back({++table.version, removal.id});
  if (table.removals.size() <= kMaxListedRemovals) return;
  table.oldest_delta_base = table.removals.front().version;
  table.removals.pop_front();
}

void apply_change(vm_table& table, const vm_change& change) {
  if (const vm_removal* removal = std::get_if<vm_removal>(&change)) {
    return apply_removal(table, *removal);
  }
  if (const wire::daemon_vm* daemon = std::get_if<wire::daemon_vm>(&change)) {
    table.listed[daemon->id()] = {++table.version, *daemon};
    return;
  }
  const wire::worker_vm& worker = std::get<wire::worker_vm>(change);
  table.listed[worker.id()] = {++table.version, worker};
}

void apply_due_changes(vm_table& table, steady_time now) {
  while (!table.pending.empty() &&
         table.pending.front().made_at + table.lag <= now) {
    apply_change(table, table.pending.front().change);
    table.pending.pop_front();
  }
}

void add_to_list(const listed_vm& listed, wire::vm_list* list) {
  if (const wire::daemon_vm* daemon =
          std::get_if<wire::daemon_vm>(&listed.vm)) {
    *list->add_daemons() = *daemon;
    return;
  }
  *list->add_workers() = std::get<wire::worker_vm>(listed.vm);
}

}  // namespace

bool add_change(vm_table& table, vm_change change, steady_time now) {
  apply_due_changes(table, now);
  if (table.pending.size() + table.listed.size() >= 2 * kMaxListedVms) {
    return false;
  }
  table.pending.push_back({now, std::move(change)});
  return true;
}

wire::vm_list list_vms(vm_table& table, std::uint64_t since, steady_time now) {
  apply_due_changes(table, now);
  wire::vm_list list;
  bool delta = since >= table.oldest_delta_base && since <= table.version;
  list.set_version(table.version);
  list.set_delta(delta);
  for (const auto& [id, listed] : table.listed) {
    if (!delta || listed.version > since) add_to_list(listed, &list);
  }
  for (const listed_removal& removal : table.removals) {
    bool listed_again = table.listed.count(removal.id) > 0;
    if (delta && removal.version > since && !listed_again) {
      list.add_removed(removal.id);
    }
  }
  return list;
}

}  // namespace ebonygrade::standin::platform
