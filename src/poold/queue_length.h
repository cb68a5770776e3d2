// Decides what a daemon may base the length of a queue on, and how old that may
// be: the daemon's copy of the journal, or the owner's last report.
//
//   std::optional<queue_length> told =
//       choose_queue_length(from_copy, find_length(report, "r", now));
//
// Free functions over plain structs. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "clock/clock.h"
#include "wire/journal.pb.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// Callers are told a length that is at most this old. For a report, the age of
// the owner's copy counts as well.
inline constexpr milliseconds kMaxQueueLengthAge{2000};

enum class length_source { copy, owner };

// Number of jobs of a queue that wait for their first start.
struct queue_length {
  std::int64_t not_started = 0;
  milliseconds age{0};  // Of the state that was counted.
  length_source source = length_source::copy;
};

// The owner's report about its queues.
struct queue_report {
  std::map<std::string, std::int64_t> not_started;  // 0 for all other queues.
  steady_time as_of;  // Of the owner's state; default value: no report.
};

// Returns the more recent one, or nothing if both are absent or too old.
std::optional<queue_length> choose_queue_length(
    const std::optional<queue_length>& from_copy,
    const std::optional<queue_length>& from_report);

// Returns nothing without a report. The length may be of any age.
std::optional<queue_length> find_length(const queue_report& report,
                                        const std::string& queue,
                                        steady_time now);

// Adds the lengths to an owner's reply. Leaves them out if the owner's copy of
// the journal, from which they were counted, is too old.
void add_queue_lengths(
    const std::unordered_map<std::string, std::int64_t>& not_started,
    milliseconds age, wire::owner_status* status);

// Replaces the report with the lengths in the reply to a call sent at `asked`.
// Keeps it if the reply has none or older ones.
void observe_queue_lengths(const wire::owner_status& status, steady_time asked,
                           queue_report* report);

}  // namespace ebonygrade::poold
