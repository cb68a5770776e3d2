#include "bundle/keys.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

namespace ebonygrade::bundle {

namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMsPerHour = 3600 * kMsPerSecond;
constexpr double kMaxAgeingMs = 30 * 24 * kMsPerHour;
constexpr double kMaxQueueLimit = 10'000'000;
constexpr double kMaxQuota = 2'000'000'000;

// Defines the table entry for a member of T that has the key's name.
#define EBONYGRADE_KEY(T, member, type, min, max)                 \
  key<T> {                                                        \
#member, value_type::type, min, max,                            \
        [](const T& p) { return static_cast<double>(p.member); },      \
        [](T& p, double v) {                                           \
          p.member = static_cast<decltype(p.member)>(v);               \
        } \
  }
#define EBONYGRADE_TIME_KEY(T, member, min, max)                  \
  key<T> {                                                        \
#member, value_type::duration, min, max,                        \
        [](const T& p) {                                               \
          return static_cast<double>(p.member.count());                \
        },                                                             \
        [](T& p, double v) {                                           \
          p.member = milliseconds(static_cast<std::int64_t>(v));       \
        } \
  }
#define EBONYGRADE_QUOTA_KEY(component)                     \
  key<team_policy> {                                        \
    "quota_" #component, value_type::whole, 0, kMaxQuota,   \
        [](const team_policy& p) {                          \
          return static_cast<double>(p.quota.component);    \
        },                                                  \
        [](team_policy& p, double v) {                      \
          p.quota.component = static_cast<std::int32_t>(v); \
        }                                                   \
  }

constexpr key<placement_policy> kPlacementKeys[] = {
    EBONYGRADE_KEY(placement_policy, packing_weight, number, 0, 1),
    EBONYGRADE_KEY(placement_policy, quarantine_failures, whole, 1, 1000),
    EBONYGRADE_TIME_KEY(placement_policy, quarantine_time, 1000, kMsPerHour),
    EBONYGRADE_KEY(placement_policy, max_quarantined, number, 0, 0.5),
    EBONYGRADE_TIME_KEY(placement_policy, gang_hold, 0, kMsPerHour),
    EBONYGRADE_KEY(placement_policy, max_attempts, whole, 1, 100),
    EBONYGRADE_KEY(placement_policy, approvals, whole, 0, 16),
};

constexpr key<class_policy> kClassKeys[] = {
    EBONYGRADE_KEY(class_policy, priority, whole, -1000, 1000),
    EBONYGRADE_KEY(class_policy, preemptible, flag, 0, 1),
    EBONYGRADE_KEY(class_policy, may_preempt, flag, 0, 1),
    EBONYGRADE_KEY(class_policy, spread, flag, 0, 1),
    EBONYGRADE_TIME_KEY(class_policy, ageing, 1, kMaxAgeingMs),
    EBONYGRADE_KEY(class_policy, queue_limit, whole, 1, kMaxQueueLimit),
    EBONYGRADE_KEY(class_policy, max_preemptions, whole, 0, 100),
};

constexpr key<team_policy> kTeamKeys[] = {
    EBONYGRADE_KEY(team_policy, weight, number, 0.001, 1000),
    EBONYGRADE_QUOTA_KEY(millicores),
    EBONYGRADE_QUOTA_KEY(memory_mb),
    EBONYGRADE_QUOTA_KEY(accelerators),
    EBONYGRADE_QUOTA_KEY(slots),
    EBONYGRADE_KEY(team_policy, may_borrow, flag, 0, 1),
    EBONYGRADE_KEY(team_policy, queue_limit, whole, 1, kMaxQueueLimit),
};

#undef EBONYGRADE_KEY
#undef EBONYGRADE_TIME_KEY
#undef EBONYGRADE_QUOTA_KEY

bool parse_number(std::string_view text, double* value) {
  const char* end = text.data() + text.size();
  std::from_chars_result parsed = std::from_chars(text.data(), end, *value);
  return parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(*value);
}

bool parse_duration(std::string_view text, double* value) {
  double scale = 0;
  if (text.ends_with("ms")) {
    scale = 1;
    text.remove_suffix(2);
  } else if (text.ends_with("s")) {
    scale = kMsPerSecond;
    text.remove_suffix(1);
  } else {
    return false;
  }
  if (!parse_number(text, value)) return false;
  *value *= scale;
  return *value == std::floor(*value);
}

bool parse_flag(std::string_view text, double* value) {
  *value = text == "yes" ? 1 : 0;
  return text == "yes" || text == "no";
}

// Parses a value without a check of its range.
bool parse_unchecked(value_type type, std::string_view text, double* value) {
  switch (type) {
    case value_type::number:
      return parse_number(text, value);
    case value_type::whole:
      return parse_number(text, value) && *value == std::floor(*value);
    case value_type::flag:
      return parse_flag(text, value);
    case value_type::duration:
      return parse_duration(text, value);
  }
  return false;
}

std::string_view expectation(value_type type) {
  switch (type) {
    case value_type::number:
      return "must be a number";
    case value_type::whole:
      return "must be a whole number";
    case value_type::flag:
      return "must be yes or no";
    case value_type::duration:
      return "must be a whole number of milliseconds with its unit, "
             "such as 250ms or 30s";
  }
  return "is not understood";
}

}  // namespace

std::string_view to_string(value_type type) {
  switch (type) {
    case value_type::number:
      return "number";
    case value_type::whole:
      return "whole";
    case value_type::flag:
      return "flag";
    case value_type::duration:
      return "duration";
  }
  return "unknown";
}

std::span<const key<placement_policy>> placement_keys() {
  return kPlacementKeys;
}
std::span<const key<class_policy>> class_keys() { return kClassKeys; }
std::span<const key<team_policy>> team_keys() { return kTeamKeys; }

bool parse_value(value_type type, std::string_view text, double min, double max,
                 double* value, std::string* reason) {
  if (!parse_unchecked(type, text, value)) {
    *reason = expectation(type);
    return false;
  }
  if (*value < min || *value > max) {
    *reason = fmt::format("must be from {} to {}", format_value(type, min),
                          format_value(type, max));
    return false;
  }
  return true;
}

std::string format_value(value_type type, double value) {
  switch (type) {
    case value_type::flag:
      return value != 0 ? "yes" : "no";
    case value_type::duration:
      if (std::fmod(value, kMsPerSecond) == 0) {
        return fmt::format("{:.0f}s", value / kMsPerSecond);
      }
      return fmt::format("{:.0f}ms", value);
    case value_type::whole:
      return fmt::format("{:.0f}", value);
    case value_type::number:
      break;
  }
  return fmt::format("{}", value);
}

}  // namespace ebonygrade::bundle
