// Values that the scheduling of a pool takes in and gives out. A pool is the
// set of workers of one service; one daemon at a time owns it and decides.
#pragma once

#include <cstdint>
#include <memory>
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
// Time on the clock of one worker's incarnation, counted from its start.
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

// Names one task of one occurrence of a job.
struct task_key {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const task_key&, const task_key&) = default;
  friend auto operator<=>(const task_key&, const task_key&) = default;
};

// A worker as it describes itself in service discovery.
struct worker_entry {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  std::string kind;
  std::string rack;
  bool draining = false;
  resources capacity;
  std::int64_t incarnation_ms = 0;  // Since 1970, when this life began.
};

// How the cell treats the jobs of one queue, from the operator's manifest.
struct queue_policy {
  std::string service;
  std::uint32_t priority = 0;  // 0 goes first.
  std::uint32_t attempts = 1;  // Failed runs of a task that fail its job.
  double stretch = 1;  // Objective: stretch times the work, plus the target.
  milliseconds target{0};
  bool needs_advice = false;
  milliseconds advice_fixed{0};     // Time that one question takes.
  milliseconds advice_validity{0};  // Of a ticket.
  double advice_ms_per_worker = 0;  // Added for each worker named.
};

// ---- Orders ---------------------------------------------------------------

struct start_order {
  std::string worker;
  std::int64_t incarnation_ms = 0;  // Of the worker, as known when sent.
  task_key task;
  std::uint32_t run = 0;
  std::shared_ptr<const wire::job_submission> job;
  std::string checkpoint;  // Empty: from the beginning.
  std::string ticket;      // Empty: the queue needs none.
  worker_time until{0};    // End of the lease.
};

struct stop_order {
  std::string worker;
  task_key task;
  std::uint32_t run = 0;
};

struct advice_request {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::string> workers;
  milliseconds expected{0};    // Time that the service takes for it.
  milliseconds validity{0};    // Of the tickets, from the answer on.
  std::uint32_t priority = 0;  // 0 goes first.
};

// ---- Answers --------------------------------------------------------------

enum class start_outcome {
  running,
  ended,          // The run, or a later one, has ended or was stopped.
  lease_expired,  // The lease in the order has passed.
  no_capacity,
  fenced,  // The worker knows a newer owner.
  bad_ticket,
  other_incarnation,  // Another life of the worker has its address.
  unhealthy,          // The worker did nothing.
  refused,            // The worker can't read the order.
  unknown,            // No answer; the order may be carried out.
};

enum class end_kind { done, failed, stopped, lapsed, broken, alone };

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

// A worker's account of itself.
struct worker_report {
  worker_time clock{0};
  std::int64_t incarnation_ms = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;
};

struct ticket {
  std::string worker;
  std::string value;
};

}  // namespace ebonygrade::pool
