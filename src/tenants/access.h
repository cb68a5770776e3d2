// Decides whether a caller may make a call, by the key that the call carries,
// and whether it may see or change a job, by the job's tenant.
//
//   access_check checked = check_key(keys, key_rules{...}, key_of_call);
//   if (checked.refused == refusal::none &&
//       may_access(checked.caller, tenant_of_job)) ...
//
// Free functions over plain structs. Not for quotas; see quota_check.h.
#pragma once

#include <array>
#include <string>
#include <string_view>

#include "tenants/key_table.h"

namespace ebonygrade::tenants {

// Why a call is refused.
enum class refusal {
  none,
  missing_key,
  unknown_key,   // Of no tenant, or no longer.
  other_tenant,  // The job is of another tenant.
  // The daemon can't tell whether its manifest, and thus the key, is outdated.
  unconfirmed_manifest,
  over_quota,  // The job could never run within the tenant's quota.
};
inline constexpr std::array kRefusals = {
    refusal::missing_key, refusal::unknown_key, refusal::other_tenant,
    refusal::unconfirmed_manifest, refusal::over_quota};

// Name in logs and metrics.
std::string_view to_string(refusal reason);

// Who makes a call. The daemon that the call arrived at has checked the key.
struct caller {
  std::string tenant;          // Empty: a caller without a valid key.
  bool checks_tenant = false;  // Otherwise all jobs may be accessed.
};

struct key_rules {
  bool enforced = false;        // The deployment has tenants.
  bool route_needs_key = true;  // Of the route that the call names.
};

struct access_check {
  refusal refused = refusal::none;
  tenants::caller caller;
};

// An empty key counts as missing. On a route that needs no key, a key that
// isn't valid is ignored. Without enforcement every key is ignored.
access_check check_key(const key_table& table, const key_rules& rules,
                       std::string_view key);

// `job_tenant` is empty for a job without a tenant, which every caller with
// access to the queue may read and cancel.
bool may_access(const caller& caller, std::string_view job_tenant);

}  // namespace ebonygrade::tenants
