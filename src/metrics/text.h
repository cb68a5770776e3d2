// Helpers for the Prometheus text exposition format.
#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace ebonygrade::metrics {

// Appends the HELP and TYPE lines of a metric. `kind` is counter, gauge or
// histogram.
inline void append_header(std::string* text, std::string_view name,
                          std::string_view kind, std::string_view help) {
  text->append(
      fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, kind));
}

}  // namespace ebonygrade::metrics
