// A cell of fakes around the real step functions of ownership and requests,
// driven by a schedule: a list of numbers, each of which is one action such as
// "deliver the third message" or "freeze a daemon". The same schedule always
// gives the same run. For tests only.
//
// The workers' ledger judges: a worker checks the epoch of a start and nothing
// else, and the first broken invariant is kept in `violation`.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "ownership/ownership.h"
#include "requests/requests.h"

namespace ebonygrade::faults {

using clock::milliseconds;
using clock::steady_time;

using schedule = std::vector<std::uint32_t>;

// A fault in the fakes that the invariants must expose.
enum class fault {
  none,
  no_epoch_check,          // Workers accept stale starts.
  serve_before_fencing,    // A new owner is told `reconciled` at once.
  no_claims_read,          // An intent is durable without a look at claims.
  intents_not_read,        // A new owner reads no intents.
  unanswered_is_rejected,  // A lost start answer is taken for a refusal.
  stop_always_confirms,    // Stops are confirmed without reaching the worker.
};

// What a run did, to show that schedules reach the interesting states.
struct run_counts {
  std::size_t starts = 0;
  std::size_t takeovers = 0;
  std::size_t fenced_starts = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;

  run_counts& operator+=(const run_counts& other);
};

struct run_result {
  std::string violation;  // Empty: every invariant held.
  run_counts counts;
  std::vector<std::string> trace;  // If asked for.
};

// Runs the schedule on a cell that already serves.
run_result run_schedule(const schedule& steps, fault injected,
                        bool with_trace = false);

}  // namespace ebonygrade::faults
