// What past records of the directory of workers tell about workers that have
// left.
//
// A worker that leaves writes that it drains, and removes its entry when it
// exits. The platform removes the entry of a silent worker after three
// heartbeats, and the records carry no time. Other workers' records tell the
// two apart: one that wrote last before the leaving worker, wrote nothing until
// the removal and then wrote again was silent for longer, and its entry hasn't
// expired.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace ebonygrade::pool {

enum class directory_change {
  entry,
  removal,
  unreadable,  // The record names no worker to use.
};

struct directory_record {
  std::uint64_t offset = 0;
  std::string worker;
  directory_change change = directory_change::unreadable;
  // Of an entry only.
  bool draining = false;
  std::string address;
  std::int64_t incarnation_ms = 0;
};

// The last entry of a worker that has removed it.
struct departure {
  std::string worker;
  std::string address;
  std::int64_t incarnation_ms = 0;
};

// Those of `workers` that have left: the last record removes the entry, the one
// before is an entry that drains, and that entry can't have expired. `records`
// are by ascending offset; those before a missing offset prove nothing.
// A worker counts as staying if more others wrote twice between the two records
// than were silent, as then some heartbeats may have passed.
std::vector<departure> find_departures(
    const std::vector<directory_record>& records,
    const std::unordered_set<std::string>& workers);

}  // namespace ebonygrade::pool
