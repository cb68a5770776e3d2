// The list of live VMs. Each change becomes visible after a lag. A reader that
// passes the version of its copy gets only the changes since that version. No
// I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "clock/clock.h"
#include "wire/platform.pb.h"

namespace ebonygrade::standin::platform {

using clock::milliseconds;
using clock::steady_time;

struct vm_removal {
  std::string id;
};
using vm_change = std::variant<wire::daemon_vm, wire::worker_vm, vm_removal>;

// A change that the list doesn't show yet.
struct pending_change {
  steady_time made_at;
  vm_change change;
};

struct listed_vm {
  std::uint64_t version = 0;  // Of its last change.
  std::variant<wire::daemon_vm, wire::worker_vm> vm;
};

struct listed_removal {
  std::uint64_t version = 0;
  std::string id;
};

struct vm_table {
  milliseconds lag{0};
  std::uint64_t version = 1;
  // Lowest version since which a delta is available. Older removals have been
  // dropped.
  std::uint64_t oldest_delta_base = 1;
  std::deque<pending_change> pending;
  std::map<std::string, listed_vm, std::less<>> listed;
  std::deque<listed_removal> removals;
};

inline constexpr std::size_t kMaxListedVms = 20000;

// Adds a change that becomes visible after the lag. False if the table is
// full.
bool add_change(vm_table& table, vm_change change, steady_time now);

// The list at time `now`. If a delta since version `since` is available, only
// what changed after that version; otherwise the whole list. Version 0 always
// gets the whole list.
wire::vm_list list_vms(vm_table& table, std::uint64_t since, steady_time now);

}  // namespace ebonygrade::standin::platform
