#include "standin/platform/vm_table.h"

#include <utility>

namespace ebonygrade::standin::platform {

namespace {

constexpr std::size_t kMaxRemembered = 10000;  // Removals.

void apply_removal(vm_table& table, const vm_removal& removal) {
  if (table.shown.erase(removal.id) == 0) return;
  table.removals.push_back({++table.version, removal.id});
  if (table.removals.size() <= kMaxRemembered) return;
  table.oldest_delta = table.removals.front().version;
  table.removals.pop_front();
}

void apply_change(vm_table& table, const vm_change& change) {
  if (const vm_removal* removal = std::get_if<vm_removal>(&change)) {
    return apply_removal(table, *removal);
  }
  if (const wire::daemon_vm* daemon = std::get_if<wire::daemon_vm>(&change)) {
    table.shown[daemon->id()] = {++table.version, *daemon};
    return;
  }
  const wire::worker_vm& worker = std::get<wire::worker_vm>(change);
  table.shown[worker.id()] = {++table.version, worker};
}

void apply_due(vm_table& table, steady_time now) {
  while (!table.pending.empty() &&
         table.pending.front().made + table.lag <= now) {
    apply_change(table, table.pending.front().change);
    table.pending.pop_front();
  }
}

void add_shown(const shown_vm& shown, wire::vm_list* list) {
  if (const wire::daemon_vm* daemon = std::get_if<wire::daemon_vm>(&shown.vm)) {
    *list->add_daemons() = *daemon;
    return;
  }
  *list->add_workers() = std::get<wire::worker_vm>(shown.vm);
}

}  // namespace

bool change(vm_table& table, vm_change change, steady_time now) {
  apply_due(table, now);
  if (table.pending.size() + table.shown.size() >= 2 * kMaxListedVms) {
    return false;
  }
  table.pending.push_back({now, std::move(change)});
  return true;
}

wire::vm_list show(vm_table& table, std::uint64_t since, steady_time now) {
  apply_due(table, now);
  wire::vm_list list;
  bool delta = since >= table.oldest_delta && since <= table.version;
  list.set_version(table.version);
  list.set_delta(delta);
  for (const auto& [id, shown] : table.shown) {
    if (!delta || shown.version > since) add_shown(shown, &list);
  }
  for (const shown_removal& removal : table.removals) {
    bool back = table.shown.count(removal.id) > 0;
    if (delta && removal.version > since && !back) {
      list.add_removed(removal.id);
    }
  }
  return list;
}

}  // namespace ebonygrade::standin::platform
