// Value types of the scheduler: resources, requests, attempts and outcomes, and
// their conversion from and to wire messages.
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

// Orders the successive owners of a shard: the offset of the owner's claim
// record in the log + 1. 0 means no owner.
using epoch = std::uint64_t;

// An amount of each resource. The components of a capacity are never negative.
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

// True if no component of `need` exceeds that of `available`.
inline bool fits(const resources& need, const resources& available) {
  return need.millicores <= available.millicores &&
         need.memory_mb <= available.memory_mb &&
         need.accelerators <= available.accelerators &&
         need.slots <= available.slots;
}
resources from_wire(const wire::resources& value);
wire::resources to_wire(const resources& value);

enum class job_class { service, batch, gang, urgent };
inline constexpr int kJobClassCount = 4;

std::string_view to_string(job_class value);
// An unspecified class is read as batch.
job_class class_from_wire(wire::job_class value);
wire::job_class to_wire(job_class value);

// Identifies a shard: a set of workers and a set of request ids of one region,
// with one owner at a time.
struct shard_id {
  std::uint16_t region = 0;  // Index of the region in the settings.
  std::uint16_t shard = 0;

  friend auto operator<=>(const shard_id&, const shard_id&) = default;
};

// Maps `key` (a request id, or a worker's rack) to a shard by hash.
std::uint16_t shard_of(std::string_view key, std::uint16_t shard_count);

// A validated request. `deadline` is a time of this machine's steady clock, or
// `steady_time::max()` if there is none. `home` is the shard that owns the id.
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

// Validates the fields of `value`, except for rules that depend on the policy
// bundle, and converts the remaining time to a deadline relative to `now`.
// Leaves `home` unset. On failure, `detail` is "FIELD: reason".
error::result<request> parse_request(const wire::job_request& value,
                                     steady_time now);
// The inverse of `parse_request`. A deadline that has passed becomes 1 ms,
// since 0 means none on the wire.
wire::job_request to_wire(const request& value, steady_time now,
                          std::string_view region);

// Identifies one attempt to run one task. `attempt` is never reused: it has the
// epoch in the upper 40 bits and a counter in the lower 24.
struct attempt_key {
  std::string request_id;
  std::uint32_t task_index = 0;
  std::uint64_t attempt = 0;

  friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

attempt_key from_wire(const wire::attempt_key& value);
wire::attempt_key to_wire(const attempt_key& value);

// The final or current state of a request; see wire/job.proto.
using outcome = wire::outcome;

// `reason` goes to the caller, who may retry after `retry_after` (0: never).
outcome not_run_outcome(std::string_view reason, milliseconds retry_after);
outcome unknown_outcome(std::string_view reason);

}  // namespace ebonygrade::job
