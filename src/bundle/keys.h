// Tables of the keys of a bundle: name, type, range, and accessors of the
// policy field. `parse` and `diff` use these tables; a test compares them with
// the operators' page.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "bundle/bundle.h"

namespace ebonygrade::bundle {

// Type of a key's value. All values are represented as double: a flag as 0 or
// 1, a duration in milliseconds.
enum class value_type { number, whole, flag, duration };

std::string_view to_string(value_type type);

// A key of the section that configures a T.
template <typename T>
struct key {
  std::string_view name;
  value_type type;
  double min;  // The range includes both limits.
  double max;
  double (*get)(const T&);
  void (*set)(T&, double);
};

// Keys of [placement], [class.NAME] and [team.NAME].
std::span<const key<placement_policy>> placement_keys();
std::span<const key<class_policy>> class_keys();
std::span<const key<team_policy>> team_keys();

// Parses a value of the type. Returns false and sets `reason` on failure.
bool parse_value(value_type type, std::string_view text, double min, double max,
                 double* value, std::string* reason);

// The shortest text that parses to the value: "1.5", "3", "yes", "250ms".
std::string format_value(value_type type, double value);

}  // namespace ebonygrade::bundle
