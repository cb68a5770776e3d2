#include "pool/directory_history.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace ebonygrade::pool {

namespace {

// Indexes of the last entry of a worker and of its removal.
struct last_records {
  std::optional<std::size_t> entry;
  std::optional<std::size_t> removal;
};

// Another worker's records around the last entry of the one that leaves and its
// removal.
struct witness {
  bool written_before = false;  // Its last record before is an entry.
  std::size_t between = 0;
  std::optional<bool> written_after;  // Whether its next record is an entry.
};

// Index of the first record after the last gap.
std::size_t first_without_gap(const std::vector<directory_record>& records) {
  std::size_t first = records.size();
  while (first > 0) {
    bool follows = first == records.size() ||
                   records[first - 1].offset + 1 == records[first].offset;
    if (!follows) break;
    --first;
  }
  return first;
}

std::unordered_map<std::string_view, last_records> find_last_records(
    const std::vector<directory_record>& records, std::size_t first,
    const std::unordered_set<std::string>& workers) {
  std::unordered_map<std::string_view, last_records> found;
  for (std::size_t i = first; i < records.size(); ++i) {
    const directory_record& record = records[i];
    if (workers.count(record.worker) == 0) continue;
    last_records& last = found[record.worker];
    switch (record.change) {
      case directory_change::entry:
        last = {i, std::nullopt};
        break;
      case directory_change::removal:
        // A second removal in a row doesn't follow the entry.
        last = last.removal ? last_records() : last_records{last.entry, i};
        break;
      case directory_change::unreadable:
        last = {};
        break;
    }
  }
  return found;
}

// Numbers of the records' workers, so that searches need no lookups.
struct worker_numbers {
  std::vector<std::size_t> of_record;
  std::size_t count = 0;
};

worker_numbers number_workers(const std::vector<directory_record>& records) {
  worker_numbers result;
  std::unordered_map<std::string_view, std::size_t> numbers;
  result.of_record.reserve(records.size());
  for (const directory_record& each : records) {
    result.of_record.push_back(
        numbers.try_emplace(each.worker, numbers.size()).first->second);
  }
  result.count = numbers.size();
  return result;
}

// Whether the entry was removed before it can have expired.
bool is_withdrawn(const std::vector<directory_record>& records,
                  const worker_numbers& numbers, std::size_t first,
                  std::size_t entry, std::size_t removal) {
  std::vector<witness> others(numbers.count);
  for (std::size_t i = first; i < records.size(); ++i) {
    bool is_entry = records[i].change == directory_change::entry;
    witness& other = others[numbers.of_record[i]];
    if (i < entry) {
      other.written_before = is_entry;
    } else if (i < removal) {
      ++other.between;
    } else if (!other.written_after) {
      other.written_after = is_entry;
    }
  }
  std::size_t silent = 0;
  std::size_t repeated = 0;
  // The worker itself is neither: its entry and removal are in between.
  for (const witness& other : others) {
    if (other.between > 1) ++repeated;
    bool was_silent = other.written_before && other.between == 0 &&
                      other.written_after.value_or(false);
    if (was_silent) ++silent;
  }
  return silent > repeated;
}

}  // namespace

std::vector<departure> find_departures(
    const std::vector<directory_record>& records,
    const std::unordered_set<std::string>& workers) {
  std::vector<departure> departures;
  std::size_t first = first_without_gap(records);
  worker_numbers numbers = number_workers(records);
  for (const std::pair<const std::string_view, last_records>& each :
       find_last_records(records, first, workers)) {
    const last_records& last = each.second;
    if (!last.entry || !last.removal) continue;
    const directory_record& entry = records[*last.entry];
    if (!entry.draining) continue;
    if (!is_withdrawn(records, numbers, first, *last.entry, *last.removal))
      continue;
    departures.push_back({entry.worker, entry.address, entry.incarnation_ms});
  }
  return departures;
}

}  // namespace ebonygrade::pool
