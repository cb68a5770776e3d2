// Simulates a cell for tests: the real step functions of ownership and requests
// run on fake daemons, workers and a fake network. A schedule drives the
// simulation. Each number of a schedule encodes one action, such as "deliver
// the third message" or "freeze a daemon". The simulation is deterministic: the
// same schedule always gives the same run.
//
// The invariants are checked against the tasks that the fake workers ran. A
// worker rejects a start only for an outdated epoch, an expired lease or a
// revoked attempt and enforces no other invariant itself. `violation` holds the
// first broken invariant.
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

// A fault injected into the simulation; the invariant checks must detect it.
enum class fault {
  none,
  no_epoch_check,           // Workers accept starts with an outdated epoch.
  serve_before_fencing,     // A new owner fences no workers.
  no_claims_read,           // Intents count as durable without a claim check.
  no_intents_read,          // A new owner ignores earlier intents.
  lost_reply_is_rejection,  // A lost reply to a start counts as rejected.
  stop_always_confirmed,    // Stops are confirmed without the worker.
};

// Event counts of a run. They show whether schedules cover the critical states.
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
  std::string violation;  // Empty if every invariant holds.
  run_counts counts;
  std::vector<std::string> trace;  // Empty unless requested.
};

// Runs the schedule, or its part up to the first violation, on a cell whose
// shards already have serving owners.
run_result run_schedule(const schedule& steps, fault injected,
                        bool with_trace = false);

}  // namespace ebonygrade::faults
