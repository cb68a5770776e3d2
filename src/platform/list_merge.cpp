#include "platform/list_merge.h"

#include <algorithm>
#include <string>

namespace ebonygrade::platform {

namespace {

template <typename entries, typename vm>
void insert_or_replace(entries* list, const vm& entry) {
  auto found = std::find_if(
      list->begin(), list->end(),
      [&entry](const vm& each) { return each.id() == entry.id(); });
  if (found != list->end()) {
    *found = entry;
  } else {
    *list->Add() = entry;
  }
}

template <typename entries>
void remove_entry(entries* list, const std::string& id) {
  for (int i = 0; i < list->size(); ++i) {
    if (list->Get(i).id() != id) continue;
    list->SwapElements(i, list->size() - 1);
    list->RemoveLast();
    return;
  }
}

}  // namespace

void merge(wire::vm_list& list, const wire::vm_list& update) {
  if (!update.delta()) {
    list = update;
    return;
  }
  for (const wire::daemon_vm& vm : update.daemons()) {
    insert_or_replace(list.mutable_daemons(), vm);
  }
  for (const wire::worker_vm& vm : update.workers()) {
    insert_or_replace(list.mutable_workers(), vm);
  }
  for (const std::string& id : update.removed()) {
    remove_entry(list.mutable_daemons(), id);
    remove_entry(list.mutable_workers(), id);
  }
  list.set_version(update.version());
}

}  // namespace ebonygrade::platform
