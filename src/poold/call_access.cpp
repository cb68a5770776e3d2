#include "poold/call_access.h"

#include <fmt/format.h>

#include <utility>

#include "events/events.h"
#include "platform/callers.h"
#include "poold/job_replies.h"
#include "tenants/quota_check.h"

namespace ebonygrade::poold {

void call_access::configure(const access_settings& settings,
                            std::function<steady_time()> confirmed_at) {
  settings_ = settings;
  confirmed_at_ = std::move(confirmed_at);
}

void call_access::set_manifest(std::shared_ptr<const pool::manifest> manifest) {
  manifest_ = std::move(manifest);
  keys_ = tenants::make_key_table(manifest_->tenants);
}

std::optional<http::response> call_access::check_manifest() {
  if (!enforced() || !settings_.strict_revoke || !confirmed_at_) return {};
  milliseconds age =
      std::chrono::duration_cast<milliseconds>(clock_.now() - confirmed_at_());
  if (age <= settings_.revoke_time) return {};
  measurements_.refused_calls.add(tenants::refusal::unconfirmed_manifest);
  events::emit(events::id::job_refused, "check manifest", "",
               "status=503 reason=unconfirmed_manifest version={} age_ms={}",
               manifest_->version, age.count());
  return retry_later("the manifest can't be confirmed as the newest");
}

std::optional<http::response> call_access::check_key(
    const http::request& call, const pool::queue_route& route,
    tenants::caller* caller) {
  tenants::access_check checked = tenants::check_key(
      keys_, {enforced(), route.needs_key}, platform::api_key_of(call));
  if (checked.refused == tenants::refusal::none) {
    *caller = std::move(checked.caller);
    return std::nullopt;
  }
  measurements_.refused_calls.add(checked.refused);
  events::emit(events::id::key_refused, "check key", "",
               "queue={} status=401 reason={} version={}", route.name,
               tenants::to_string(checked.refused), manifest_->version);
  bool missing = checked.refused == tenants::refusal::missing_key;
  return http::error_response(
      http::status::unauthorized,
      missing ? "the call has no key" : "the key is of no tenant",
      platform::kKeyHeader);
}

std::optional<http::response> call_access::check_tenant(
    const call_subject& subject, const tenants::caller& caller,
    const std::string& job_tenant) {
  if (tenants::may_access(caller, job_tenant)) return std::nullopt;
  return refuse_other_tenant(subject, caller.tenant, job_tenant);
}

http::response call_access::refuse_other_tenant(const call_subject& subject,
                                                const std::string& tenant,
                                                const std::string& job_tenant) {
  measurements_.refused_calls.add(tenants::refusal::other_tenant);
  events::emit(events::id::key_refused, subject.step, "",
               "job={} queue={} status=403 reason={} tenant={} job_tenant={}",
               subject.job, subject.queue,
               tenants::to_string(tenants::refusal::other_tenant), tenant,
               job_tenant);
  return http::error_response(http::status::forbidden,
                              "the job is of another tenant");
}

std::optional<http::response> call_access::check_quota(
    const call_subject& subject, const tenants::caller& caller,
    const wire::job_submission& job) {
  // A job whose tenant is not in the manifest has no quota to check.
  const pool::tenant* tenant = pool::find_tenant(*manifest_, caller.tenant);
  if (tenant == nullptr) return std::nullopt;
  std::optional<tenants::quota_excess> found =
      tenants::exceeds_quota(job, tenant->quota, settings_.quota_excess);
  if (!found) return std::nullopt;
  std::string reason =
      fmt::format("{} needs {} of {}, the limit of the tenant is {}",
                  found->gang ? "the gang" : "a task", found->need,
                  found->resource, found->limit);
  measurements_.refused_calls.add(tenants::refusal::over_quota);
  events::emit(events::id::bad_request, subject.step, "",
               "job={} queue={} tenant={} reason={} job_step={} {}",
               subject.job, subject.queue, tenant->name,
               tenants::to_string(tenants::refusal::over_quota), found->step,
               reason);
  return http::error_response(http::status::bad_request, reason,
                              fmt::format("steps[{}]", found->step));
}

}  // namespace ebonygrade::poold
