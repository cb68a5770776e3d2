// Vocabulary of the scheduler: resources, requests, attempts and outcomes as
// plain values, and their conversion from and to the wire messages.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "wire/job.pb.h"
#include "wire/worker.pb.h"

namespace ebonygrade::job {

using clock::milliseconds;
using clock::steady_time;

// Orders the owners of a shard: the offset of the claim record + 1. 0 is no
// owner.
using epoch = std::uint64_t;

// Amount of each resource. Components are never negative in a capacity.
struct resources {
  std::int32_t millicores = 0;
  std::int32_t memory_mb = 0;
  std::int32_t accelerators = 0;
  std::int32_t slots = 0;

  resources& operator+=(const resources& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  resources& operator-=(const resources& other) {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
  friend bool operator==(const resources&, const resources&) = default;
};

// True if every component of `need` is at most that of `room`.
inline bool fits(const resources& need, const resources& room) {
  return need.millicores <= room.millicores &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators && need.slots <= room.slots;
}
resources from_wire(const wire::resources& value);
wire::resources to_wire(const resources& value);

enum class job_class { service, batch, gang, urgent };
inline constexpr int kJobClassCount = 4;

std::string_view to_string(job_class value);
// An unspecified class is read as batch.
job_class class_from_wire(wire::job_class value);
wire::job_class to_wire(job_class value);

// A part of the cell with one owner at a time: a set of workers and a set of
// request ids of one region.
struct shard_id {
  std::uint16_t region = 0;  // Index of the region in the settings.
  std::uint16_t shard = 0;

  friend auto operator<=>(const shard_id&, const shard_id&) = default;
};

// Shard of `key` (a request id, or a worker's rack) among `shard_count`.
std::uint16_t shard_of(std::string_view key, std::uint16_t shard_count);

// A validated request. `deadline` is on this machine's steady clock;
// `steady_time::max()` means none.
struct request {
  std::string id;
  std::string team;
  job_class kind = job_class::batch;
  bool idempotent = true;
  steady_time deadline = steady_time::max();
  milliseconds expected_runtime{0};
  resources per_task;
  std::uint32_t task_count = 1;
  std::string payload;
  shard_id home;
};

// Limits of a single request.
inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::uint32_t kMaxTasksPerRequest = 10000;
inline constexpr std::size_t kMaxPayloadBytes = 1 << 20;

// Checks every field of `value` that needs no policy bundle and converts the
// remaining time to a deadline from `now`. The home is left unset. On failure
// `detail` is "FIELD: reason".
error::result<request> parse_request(const wire::job_request& value,
                                     steady_time now);
// The inverse; a passed deadline becomes 1 ms.
wire::job_request to_wire(const request& value, steady_time now,
                          std::string_view region);

// One try at one task. `attempt` is unique per start for all time: the
// epoch's value in the upper 40 bits, a counter in the lower 24.
struct attempt_key {
  std::string request_id;
  std::uint32_t task_index = 0;
  std::uint64_t attempt = 0;

  friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

attempt_key from_wire(const wire::attempt_key& value);
wire::attempt_key to_wire(const attempt_key& value);

// Final or present state of a request; see wire/job.proto.
using outcome = wire::outcome;

outcome not_run_outcome(std::string_view reason, milliseconds retry_after);
outcome unknown_outcome(std::string_view reason);

}  // namespace ebonygrade::job
