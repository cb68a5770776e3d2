#include "tenants/access.h"

namespace ebonygrade::tenants {

std::string_view to_string(refusal reason) {
  switch (reason) {
    case refusal::none:
      return "none";
    case refusal::missing_key:
      return "missing_key";
    case refusal::unknown_key:
      return "unknown_key";
    case refusal::other_tenant:
      return "other_tenant";
    case refusal::unconfirmed_manifest:
      return "unconfirmed_manifest";
    case refusal::over_quota:
      return "over_quota";
  }
  return "none";
}

access_check check_key(const key_table& table, const key_rules& rules,
                       std::string_view key) {
  access_check result;
  if (!rules.enforced) return result;
  result.caller.checks_tenant = true;
  const std::string* tenant = key.empty() ? nullptr : find_tenant(table, key);
  if (tenant != nullptr) {
    result.caller.tenant = *tenant;
  } else if (rules.route_needs_key) {
    result.refused = key.empty() ? refusal::missing_key : refusal::unknown_key;
  }
  return result;
}

bool may_access(const caller& caller, std::string_view job_tenant) {
  return !caller.checks_tenant || job_tenant.empty() ||
         job_tenant == caller.tenant;
}

}  // namespace ebonygrade::tenants
