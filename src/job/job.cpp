#include "job/job.h"

#include <xxhash.h>

#include <algorithm>

namespace ebonygrade::job {

namespace {

constexpr std::int32_t kMaxMillicores = 1'000'000;
constexpr std::int32_t kMaxMemoryMb = 16'000'000;
constexpr std::int32_t kMaxAccelerators = 1024;
constexpr std::int32_t kMaxSlots = 4096;

error::failure bad_field(std::string_view field, std::string_view reason) {
  return {error::code::invalid_argument, "check request", "",
          std::string(field) + ": " + std::string(reason)};
}

bool is_id_character(char c) {
  if (c >= 'a' && c <= 'z') return true;
  if (c >= 'A' && c <= 'Z') return true;
  if (c >= '0' && c <= '9') return true;
  return c == '-' || c == '_' || c == '.' || c == ':';
}

bool is_valid_id(std::string_view id) {
  return std::all_of(id.begin(), id.end(), is_id_character);
}

// Returns why `value` isn't a valid amount, or an empty string.
std::string check_amount(std::int32_t value, std::int32_t max) {
  if (value < 0) return "must not be negative";
  if (value > max) return "must be at most " + std::to_string(max);
  return {};
}

error::result<resources> parse_resources(const wire::resources& value) {
  struct component {
    std::string_view field;
    std::int32_t amount;
    std::int32_t max;
  };
  const component components[] = {
      {"per_task.millicores", value.millicores(), kMaxMillicores},
      {"per_task.memory_mb", value.memory_mb(), kMaxMemoryMb},
      {"per_task.accelerators", value.accelerators(), kMaxAccelerators},
      {"per_task.slots", value.slots(), kMaxSlots},
  };
  for (const component& each : components) {
    std::string reason = check_amount(each.amount, each.max);
    if (!reason.empty()) return bad_field(each.field, reason);
  }
  resources parsed = from_wire(value);
  if (parsed == resources{}) {
    return bad_field("per_task", "needs at least one resource");
  }
  return parsed;
}

error::result<job_class> parse_class(wire::job_class value) {
  switch (value) {
    case wire::service:
      return job_class::service;
    case wire::batch:
      return job_class::batch;
    case wire::gang:
      return job_class::gang;
    case wire::urgent:
      return job_class::urgent;
    default:
      return bad_field("class", "must be service, batch, gang or urgent");
  }
}

}  // namespace

resources from_wire(const wire::resources& value) {
  return {value.millicores(), value.memory_mb(), value.accelerators(),
          value.slots()};
}

wire::resources to_wire(const resources& value) {
  wire::resources message;
  message.set_millicores(value.millicores);
  message.set_memory_mb(value.memory_mb);
  message.set_accelerators(value.accelerators);
  message.set_slots(value.slots);
  return message;
}

std::string_view to_string(job_class value) {
  switch (value) {
    case job_class::service:
      return "service";
    case job_class::batch:
      return "batch";
    case job_class::gang:
      return "gang";
    case job_class::urgent:
      return "urgent";
  }
  return "unspecified";
}

job_class class_from_wire(wire::job_class value) {
  error::result<job_class> parsed = parse_class(value);
  return parsed.has_value() ? *parsed : job_class::batch;
}

wire::job_class to_wire(job_class value) {
  switch (value) {
    case job_class::service:
      return wire::service;
    case job_class::batch:
      return wire::batch;
    case job_class::gang:
      return wire::gang;
    case job_class::urgent:
      return wire::urgent;
  }
  return wire::job_class_unspecified;
}

std::uint16_t shard_of(std::string_view key, std::uint16_t shard_count) {
  return static_cast<std::uint16_t>(XXH3_64bits(key.data(), key.size()) %
                                    shard_count);
}

error::result<request> parse_request(const wire::job_request& value,
                                     steady_time now) {
  if (value.id().empty()) return bad_field("id", "is empty");
  if (value.id().size() > kMaxIdBytes) {
    return bad_field("id", "is longer than 128 bytes");
  }
  if (!is_valid_id(value.id())) {
    return bad_field("id", "may hold only letters, digits and - _ . :");
  }
  if (value.team().empty()) return bad_field("team", "is empty");
  if (value.task_count() > kMaxTasksPerRequest) {
    return bad_field("task_count", "must be at most 10000");
  }
  if (value.payload().size() > kMaxPayloadBytes) {
    return bad_field("payload", "is larger than 1 MiB");
  }
  error::result<job_class> kind = parse_class(value.class_());
  if (kind.has_error()) return kind.error();
  error::result<resources> per_task = parse_resources(value.per_task());
  if (per_task.has_error()) return per_task.error();
  request parsed;
  parsed.id = value.id();
  parsed.team = value.team();
  parsed.kind = *kind;
  parsed.idempotent = value.idempotent();
  if (value.deadline_ms() > 0) {
    parsed.deadline = now + milliseconds(value.deadline_ms());
  }
  parsed.expected_runtime = milliseconds(value.expected_runtime_ms());
  parsed.per_task = *per_task;
  parsed.task_count = std::max<std::uint32_t>(1, value.task_count());
  parsed.payload = value.payload();
  return parsed;
}

wire::job_request to_wire(const request& value, steady_time now,
                          std::string_view region) {
  wire::job_request message;
  message.set_id(value.id);
  message.set_team(value.team);
  message.set_class_(to_wire(value.kind));
  message.set_idempotent(value.idempotent);
  if (value.deadline != steady_time::max()) {
    milliseconds left =
        std::chrono::duration_cast<milliseconds>(value.deadline - now);
    message.set_deadline_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count())));
  }
  message.set_expected_runtime_ms(
      static_cast<std::uint32_t>(value.expected_runtime.count()));
  *message.mutable_per_task() = to_wire(value.per_task);
  message.set_task_count(value.task_count);
  message.set_payload(value.payload);
  message.set_region(std::string(region));
  return message;
}

attempt_key from_wire(const wire::attempt_key& value) {
  return {value.request_id(), value.task_index(), value.attempt()};
}

wire::attempt_key to_wire(const attempt_key& value) {
  wire::attempt_key message;
  message.set_request_id(value.request_id);
  message.set_task_index(value.task_index);
  message.set_attempt(value.attempt);
  return message;
}

outcome not_run_outcome(std::string_view reason, milliseconds retry_after) {
  outcome value;
  value.set_kind(wire::not_run);
  value.set_reason(std::string(reason));
  value.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
  return value;
}

outcome unknown_outcome(std::string_view reason) {
  outcome value;
  value.set_kind(wire::unknown);
  value.set_reason(std::string(reason));
  return value;
}

}  // namespace ebonygrade::job
