// Quantiles of a histogram given as buckets, as in the text exposition.
#pragma once

#include <chrono>
#include <cstdint>
#include <span>

namespace ebonygrade::metrics {

// One bucket: how many values are at most `upper`.
struct bucket {
  std::chrono::duration<double> upper{0};  // Infinite in the last bucket.
  std::uint64_t cumulative = 0;
};

// The value below which the share `q` (0 to 1) of all values lies. Between
// two bounds it is interpolated on a logarithmic scale; values beyond the
// last finite bound are given as that bound. Zero if there are no values.
// `buckets` are in ascending order.
std::chrono::duration<double> quantile(std::span<const bucket> buckets,
                                       double q);

}  // namespace ebonygrade::metrics
