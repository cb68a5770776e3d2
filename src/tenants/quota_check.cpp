#include "tenants/quota_check.h"

#include <cmath>

namespace ebonygrade::tenants {

namespace {

std::int64_t limit_of(std::int64_t quota, double excess) {
  // Keeps the product of, say, 30 and 1.1 from being rounded down to 32.
  constexpr double kRoundingMargin = 1e-6;
  return static_cast<std::int64_t>(
      std::floor(static_cast<double>(quota) * (1 + excess) + kRoundingMargin));
}

}  // namespace

pool::resources quota_limit(const pool::resources& quota, double excess) {
  return {limit_of(quota.cpu_milli, excess), limit_of(quota.memory_mb, excess),
          limit_of(quota.gpus, excess)};
}

std::optional<quota_excess> exceeds_quota(const wire::job_submission& job,
                                          const pool::resources& quota,
                                          double excess) {
  struct limited {
    std::string_view name;
    std::int64_t need;
    std::int64_t limit;
  };
  pool::resources limits = quota_limit(quota, excess);
  for (int i = 0; i < job.steps_size(); ++i) {
    const wire::step_definition& step = job.steps(i);
    std::int64_t together = step.gang() ? step.count() : 1;
    for (const limited& each :
         {limited{"cpu", step.cpu_milli() * together, limits.cpu_milli},
          limited{"memory", step.memory_mb() * together, limits.memory_mb},
          limited{"gpu", step.gpus() * together, limits.gpus}}) {
      if (each.limit <= 0 || each.need <= each.limit) continue;
      return quota_excess{i, step.gang(), each.name, each.need, each.limit};
    }
  }
  return std::nullopt;
}

}  // namespace ebonygrade::tenants
