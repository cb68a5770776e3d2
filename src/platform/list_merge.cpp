#include "platform/list_merge.h"

#include <algorithm>
#include <string>

namespace ebonygrade::platform {

namespace {

template <typename entries, typename vm>
void put(entries* all, const vm& changed) {
  auto found = std::find_if(
      all->begin(), all->end(),
      [&changed](const vm& each) { return each.id() == changed.id(); });
  if (found != all->end()) {
    *found = changed;
  } else {
    *all->Add() = changed;
  }
}

template <typename entries>
void remove(entries* all, const std::string& id) {
  for (int i = 0; i < all->size(); ++i) {
    if (all->Get(i).id() != id) continue;
    all->SwapElements(i, all->size() - 1);
    all->RemoveLast();
    return;
  }
}

}  // namespace

void merge(wire::vm_list& whole, const wire::vm_list& read) {
  if (!read.delta()) {
    whole = read;
    return;
  }
  for (const wire::daemon_vm& vm : read.daemons()) {
    put(whole.mutable_daemons(), vm);
  }
  for (const wire::worker_vm& vm : read.workers()) {
    put(whole.mutable_workers(), vm);
  }
  for (const std::string& id : read.removed()) {
    remove(whole.mutable_daemons(), id);
    remove(whole.mutable_workers(), id);
  }
  whole.set_version(read.version());
}

}  // namespace ebonygrade::platform
