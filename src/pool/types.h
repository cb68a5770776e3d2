// Input and output types of a pool's scheduler. A pool is the set of workers of
// one service. One daemon at a time owns the pool and schedules it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "clock/clock.h"
#include "wire/journal.pb.h"

namespace ebonygrade::pool {

using clock::milliseconds;
using clock::steady_time;
// Milliseconds since 1970 by the wall clock.
using unix_time = std::chrono::sys_time<milliseconds>;
// Time on the clock of one worker incarnation, measured from its start.
using worker_time = milliseconds;

struct resources {
  std::int64_t cpu_milli = 0;  // Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;
};

inline bool fits(const resources& need, const resources& free) {
  return need.cpu_milli <= free.cpu_milli && need.memory_mb <= free.memory_mb &&
         need.gpus <= free.gpus;
}
inline resources operator+(const resources& a, const resources& b) {
  return {a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
          a.gpus + b.gpus};
}
inline resources operator-(const resources& a, const resources& b) {
  return {a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb,
          a.gpus - b.gpus};
}
inline resources operator*(const resources& each, std::int64_t count) {
  return {each.cpu_milli * count, each.memory_mb * count, each.gpus * count};
}

// Identifies one task of one occurrence of a job.
struct task_key {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const task_key&, const task_key&) = default;
  friend auto operator<=>(const task_key&, const task_key&) = default;
};

// A worker's entry in service discovery.
struct worker_entry {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  std::string kind;
  std::string rack;
  bool draining = false;
  resources capacity;
  std::int64_t incarnation_ms = 0;  // Start of this incarnation, since 1970.
  // Rises with each entry of the incarnation. None: not told.
  std::optional<std::uint64_t> revision;
};

// Scheduling policy of one queue, from the operator's manifest.
struct queue_policy {
  std::string service;
  std::uint32_t priority = 0;  // 0 is the highest.
  // Number of failed runs of a task after which its job fails.
  std::uint32_t attempts = 1;
  double stretch = 1;  // Objective: stretch * critical path + target.
  milliseconds target{0};
  bool needs_advice = false;
  milliseconds advice_fixed{0};     // Fixed time of an advice request.
  milliseconds advice_validity{0};  // Lifetime of a ticket.
  double advice_ms_per_worker = 0;  // Added for each worker in a request.
};

// ---- Orders ---------------------------------------------------------------

struct start_order {
  std::string worker;
  std::string address;              // Of the worker, when the order was made.
  std::int64_t incarnation_ms = 0;  // Of the worker, when the order was made.
  std::uint64_t fencing_token = 0;
  task_key task;
  std::uint32_t run = 0;
  std::shared_ptr<const wire::job_submission> job;
  std::string checkpoint;  // Empty: start from the beginning.
  std::string ticket;      // Empty if the queue needs none.
  worker_time until{0};    // End of the lease.
};

struct stop_order {
  std::string worker;
  std::int64_t incarnation_ms = 0;  // Of the worker, when the order was made.
  std::uint64_t fencing_token = 0;
  task_key task;
  std::uint32_t run = 0;
};

struct advice_request {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::string> workers;
  // Of each worker, when the request was made.
  std::vector<std::int64_t> incarnations_ms;
  milliseconds expected{0};    // Expected duration of the request.
  milliseconds validity{0};    // Lifetime of the tickets, from the reply.
  std::uint32_t priority = 0;  // 0 is the highest.
};

// ---- Outcomes and reports -------------------------------------------------

enum class start_outcome {
  running,
  ended,          // The run, or a later one, has ended or was stopped.
  lease_expired,  // The lease in the order has expired.
  no_capacity,
  fenced,  // The worker has seen a newer fencing token.
  bad_ticket,
  other_incarnation,  // Another incarnation has the address.
  unhealthy,          // The worker did not apply the order.
  refused,            // The worker rejected the order as invalid.
  unknown,            // No reply; the order may have been applied.
};

enum class end_kind {
  done,  // Success.
  failed,
  stopped,
  lapsed,  // The lease expired.
  broken,  // Another member of the gang ended without success.
  alone,   // The other members of the gang didn't start in time.
};

struct reported_run {
  task_key task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
};

struct reported_end {
  std::uint64_t number = 0;  // Counts from 1 in each incarnation.
  task_key task;
  std::uint32_t run = 0;
  end_kind kind = end_kind::done;
  std::string checkpoint;
};

// The state that a worker returns to a poll.
struct worker_report {
  worker_time clock{0};
  std::int64_t incarnation_ms = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;
  // Whether these are all ends that wait for their acknowledgement. A worker
  // returns only so many at a time, and later ones once these are acknowledged.
  bool has_all_ends = true;
};

struct ticket {
  std::string worker;
  std::string value;
};

}  // namespace ebonygrade::pool
