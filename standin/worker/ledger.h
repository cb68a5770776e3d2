// Counts the starts and ends of tasks on all workers of a process and records
// violations of the system's guarantees. Workers don't refuse a start that
// violates a guarantee; they record it here. No I/O. Not thread safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "control/control.pb.h"
#include "job/job.h"

namespace ebonygrade::standin::worker {

// Maximum number of non-idempotent tasks whose start is recorded, so that a
// second start is detected.
inline constexpr std::size_t kMaxRecordedTasks = 2000000;

struct ledger_book {
  standin::ledger totals;
  // Number of running attempts of a task, by hash of (request id, index).
  std::unordered_map<std::uint64_t, std::uint32_t> running;
  // Non-idempotent tasks that have been started, by the same hash.
  std::unordered_set<std::uint64_t> started_once;
  std::deque<std::uint64_t> started_order;  // Oldest first.
};

// Records a start. `in_use` is the sum of the resources of the worker's running
// tasks, including the new one.
void record_start(ledger_book& book, std::string_view worker,
                  const job::attempt_key& key, bool idempotent,
                  const job::resources& in_use, const job::resources& capacity);
void record_end(ledger_book& book, const job::attempt_key& key,
                wire::task_end end);
void record_fenced(ledger_book& book);

}  // namespace ebonygrade::standin::worker
