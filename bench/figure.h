// Output of the benchmarks: one line "NAME VALUE UNIT" per figure.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string_view>

namespace ebonygrade::bench {

inline void print_figure(std::string_view name, double value,
                         std::string_view unit) {
  fmt::print("{} {:.6g} {}\n", name, value, unit);
  std::fflush(stdout);
}

}  // namespace ebonygrade::bench
