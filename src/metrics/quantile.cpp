#include "metrics/quantile.h"

#include <algorithm>
#include <cmath>

namespace ebonygrade::metrics {

namespace {

using seconds = std::chrono::duration<double>;

// The point at `share` of the way from `lower` to `upper`.
seconds interpolate(seconds lower, seconds upper, double share) {
  if (std::isinf(upper.count())) return lower;
  if (lower.count() <= 0) return upper * share;
  return lower * std::pow(upper / lower, share);
}

}  // namespace

seconds quantile(std::span<const bucket> buckets, double q) {
  if (buckets.empty() || buckets.back().cumulative == 0) return seconds(0);
  double rank =
      std::clamp(q, 0.0, 1.0) * static_cast<double>(buckets.back().cumulative);
  bucket below;
  for (const bucket& each : buckets) {
    double count = static_cast<double>(each.cumulative);
    if (each.cumulative > 0 && count >= rank) {
      double before = static_cast<double>(below.cumulative);
      if (count == before) return below.upper;
      return interpolate(below.upper, each.upper,
                         (rank - before) / (count - before));
    }
    below = each;
  }
  return below.upper;
}

}  // namespace ebonygrade::metrics
