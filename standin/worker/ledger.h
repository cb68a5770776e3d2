// What all workers of a process saw: every start and end, and whether any of
// them broke a promise of the system. Workers don't refuse what breaks a
// promise; they record it here. No I/O. Not thread safe.
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

// Non-idempotent tasks that are remembered, so that a second start is seen.
inline constexpr std::size_t kMaxRemembered = 2000000;

struct ledger_book {
  standin::ledger totals;
  // Number of running attempts of a task, by hash of (request id, index).
  std::unordered_map<std::uint64_t, std::uint32_t> running;
  std::unordered_set<std::uint64_t> started_once;
  std::deque<std::uint64_t> started_order;
};

// Records a start; `in_use` is what the worker's running tasks hold with it.
void record_start(ledger_book& book, std::string_view worker,
                  const job::attempt_key& key, bool idempotent,
                  const job::resources& in_use, const job::resources& capacity);
void record_end(ledger_book& book, const job::attempt_key& key,
                wire::task_end end);
void record_fenced(ledger_book& book);

}  // namespace ebonygrade::standin::worker
