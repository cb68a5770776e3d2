// Tells jobs that a tenant's quota could never hold, so that they are refused
// when they are submitted rather than accepted and never run.
//
//   std::optional<quota_excess> found =
//       exceeds_quota(submission, tenant.quota, settings.quota_excess);
//
// Looks at one job alone, not at what else the tenant runs.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "pool/types.h"
#include "wire/journal.pb.h"

namespace ebonygrade::tenants {

// The first step, and its first resource, that needs more than the quota.
struct quota_excess {
  int step = 0;               // Index within the job.
  bool gang = false;          // The tasks need it together, otherwise each.
  std::string_view resource;  // "cpu", "memory" or "gpu".
  std::int64_t need = 0;      // Thousandths of a core, MB, or GPUs.
  std::int64_t limit = 0;     // In the same unit.
};

// The quota with `excess` of it added, rounded down; 0 stays 0, no limit.
pool::resources quota_limit(const pool::resources& quota, double excess);

// A gang counts as a whole, as it is placed whole; of other steps one task
// counts. Returns nothing if all steps fit.
std::optional<quota_excess> exceeds_quota(const wire::job_submission& job,
                                          const pool::resources& quota,
                                          double excess);

}  // namespace ebonygrade::tenants
