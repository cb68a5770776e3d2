// Checks the key of each call of a caller against the manifest in force, and
// the tenant of the job that the call is about. Counts and logs each refusal;
// no log line, metric or reply shows a key.
//
// The daemon that a call arrives at checks the key. A call that is passed on
// to the owner carries the tenant's name instead, and the owner compares it
// with the job's. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "clock/clock.h"
#include "http/message.h"
#include "pool/manifest.h"
#include "poold/measurements.h"
#include "tenants/access.h"
#include "wire/journal.pb.h"

namespace ebonygrade::poold {

using clock::steady_time;

struct access_settings {
  // Calls need keys even while the manifest in force has no tenants.
  bool tenants_required = false;
  // Refuse calls while the manifest hasn't been confirmed as the newest one for
  // longer than `revoke_time`.
  bool strict_revoke = false;
  milliseconds revoke_time{5000};
  double quota_excess = 0;  // Share by which a tenant may exceed its quota.
};

// What a call is about, for the log.
struct call_subject {
  std::string_view step;
  std::string_view job;  // Id; may be empty.
  std::string_view queue;
};

class call_access {
 public:
  // The references must outlive the object.
  call_access(const clock::clock& clock, measurements& measurements)
      : clock_(clock), measurements_(measurements) {}

  // `confirmed_at` returns the send time of the last call to the store which
  // showed that no later manifest exists.
  void configure(const access_settings& settings,
                 std::function<steady_time()> confirmed_at);
  void set_manifest(std::shared_ptr<const pool::manifest> manifest);

  // Returns the reply that refuses the call, with 503 or 401, or nothing and
  // the caller. Requires a manifest.
  std::optional<http::response> check_key(const http::request& call,
                                          const pool::queue_route& route,
                                          tenants::caller* caller);
  // Returns a reply with 503 if the manifest may be outdated for too long.
  // Requires a manifest.
  std::optional<http::response> check_manifest();
  // The same with 403 if the job is of another tenant.
  std::optional<http::response> check_tenant(const call_subject& subject,
                                             const tenants::caller& caller,
                                             const std::string& job_tenant);
  // The same with 400 if a task or a gang alone exceeds the tenant's quota.
  std::optional<http::response> check_quota(const call_subject& subject,
                                            const tenants::caller& caller,
                                            const wire::job_submission& job);
  // The reply to a call about a job that is known to be of another tenant,
  // `job_tenant` if that is known, too.
  http::response refuse_other_tenant(const call_subject& subject,
                                     const std::string& tenant,
                                     const std::string& job_tenant);

 private:
  bool enforced() const {
    return settings_.tenants_required || manifest_->has_tenants;
  }

  const clock::clock& clock_;
  measurements& measurements_;
  access_settings settings_;
  std::function<steady_time()> confirmed_at_;
  std::shared_ptr<const pool::manifest> manifest_;
  tenants::key_table keys_;
};

}  // namespace ebonygrade::poold
