// The keys of a bundle's text: names, types, ranges, and how each is read
// from and written to a policy. `parse`, `diff` and the operators' page all
// follow these tables.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "bundle/bundle.h"

namespace ebonygrade::bundle {

// Type of a key's value. Every value is held as a double: a flag as 0 or 1,
// a duration in milliseconds.
enum class value_type { number, whole, flag, duration };

std::string_view to_string(value_type type);

// One key of a section that describes a T.
template <typename T>
struct key {
  std::string_view name;
  value_type type;
  double least;  // Smallest and largest value allowed.
  double most;
  double (*get)(const T&);
  void (*set)(T&, double);
};

// Keys of [placement], [class.NAME] and [team.NAME].
std::span<const key<placement_policy>> placement_keys();
std::span<const key<class_policy>> class_keys();
std::span<const key<team_policy>> team_keys();

// Reads a value of the type. On failure `reason` says why.
bool read_value(value_type type, std::string_view text, double least,
                double most, double* value, std::string* reason);

// The shortest text that reads back as the value: "1.5", "3", "yes", "250ms".
std::string write_value(value_type type, double value);

}  // namespace ebonygrade::bundle
