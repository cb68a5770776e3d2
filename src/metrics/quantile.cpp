#include "metrics/quantile.h"

#include <algorithm>
#include <cmath>

namespace ebonygrade::metrics {

namespace {

using seconds = std::chrono::duration<double>;

// Interpolates on a logarithmic scale, or linearly if `lower` is zero. A
// `fraction` of 0 gives `lower`, 1 gives `upper`.
seconds interpolate(seconds lower, seconds upper, double fraction) {
  if (std::isinf(upper.count())) return lower;
  if (lower.count() <= 0) return upper * fraction;
  return lower * std::pow(upper / lower, fraction);
}

}  // namespace

seconds quantile(std::span<const bucket> buckets, double q) {
  if (buckets.empty() || buckets.back().cumulative == 0) return seconds(0);
  double rank =
      std::clamp(q, 0.0, 1.0) * static_cast<double>(buckets.back().cumulative);
  bucket previous;
  for (const bucket& each : buckets) {
    double count = static_cast<double>(each.cumulative);
    if (each.cumulative > 0 && count >= rank) {
      double previous_count = static_cast<double>(previous.cumulative);
      if (count == previous_count) return previous.upper;
      return interpolate(previous.upper, each.upper,
                         (rank - previous_count) / (count - previous_count));
    }
    previous = each;
  }
  return previous.upper;
}

}  // namespace ebonygrade::metrics
