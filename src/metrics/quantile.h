// Estimates quantiles from the cumulative buckets of a histogram.
#pragma once

#include <chrono>
#include <cstdint>
#include <span>

namespace ebonygrade::metrics {

// `cumulative` counts the values that are at most `upper`.
struct bucket {
  std::chrono::duration<double> upper{0};  // Infinite in the last bucket.
  std::uint64_t cumulative = 0;
};

// Returns the `q`-quantile (`q` from 0 to 1), or zero if there are no values.
// Within a bucket, the result is interpolated on a logarithmic scale. Quantiles
// beyond the last finite bound are clamped to that bound. `buckets` must be in
// ascending order.
std::chrono::duration<double> quantile(std::span<const bucket> buckets,
                                       double q);

}  // namespace ebonygrade::metrics
