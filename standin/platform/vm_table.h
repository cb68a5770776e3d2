// The list of live VMs, which shows each change only after a lag. A reader
// that names the version it has gets the changes since. No I/O; the time is
// passed in.
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

// A change that is not shown yet.
struct pending_change {
  steady_time made;
  vm_change change;
};

struct shown_vm {
  std::uint64_t version = 0;  // Of its last change.
  std::variant<wire::daemon_vm, wire::worker_vm> vm;
};

struct shown_removal {
  std::uint64_t version = 0;
  std::string id;
};

struct vm_table {
  milliseconds lag{0};
  std::uint64_t version = 1;
  std::uint64_t oldest_delta = 1;  // Deltas since earlier versions are gone.
  std::deque<pending_change> pending;
  std::map<std::string, shown_vm, std::less<>> shown;
  std::deque<shown_removal> removals;
};

inline constexpr std::size_t kMaxListedVms = 20000;

// False if the table is full.
bool change(vm_table& table, vm_change change, steady_time now);

// The list as shown now; only what changed after version `since`, if that is
// known (0 is not).
wire::vm_list show(vm_table& table, std::uint64_t since, steady_time now);

}  // namespace ebonygrade::standin::platform
