#include "pool/manifest.h"

#include <algorithm>

namespace ebonygrade::pool {

const queue_route* find_route(const manifest& manifest, std::string_view host,
                              std::string_view path) {
  host = host.substr(0, host.find(':'));
  const queue_route* best = nullptr;
  for (const queue_route& each : manifest.routes) {
    if (each.host != host || !path.starts_with(each.path_prefix)) continue;
    if (best == nullptr || each.path_prefix.size() > best->path_prefix.size()) {
      best = &each;
    }
  }
  return best;
}

const tenant* find_tenant(const manifest& manifest, std::string_view name) {
  std::vector<tenant>::const_iterator found =
      std::find_if(manifest.tenants.begin(), manifest.tenants.end(),
                   [&](const tenant& each) { return each.name == name; });
  return found == manifest.tenants.end() ? nullptr : &*found;
}

std::unordered_map<std::string, queue_policy> policies(
    const manifest& manifest) {
  std::unordered_map<std::string, queue_policy> result;
  for (const queue_route& each : manifest.routes) {
    result[each.name] = each.policy;
  }
  return result;
}

wire::queue_terms to_terms(const queue_policy& policy) {
  wire::queue_terms terms;
  terms.set_priority(policy.priority);
  terms.set_attempts(policy.attempts);
  terms.set_stretch(policy.stretch);
  terms.set_target_ms(policy.target.count());
  terms.set_needs_advice(policy.needs_advice);
  terms.set_advice_fixed_ms(policy.advice_fixed.count());
  terms.set_advice_ms_per_worker(policy.advice_ms_per_worker);
  terms.set_advice_validity_ms(policy.advice_validity.count());
  return terms;
}

queue_policy from_terms(const wire::job_submission& submission) {
  const wire::queue_terms& terms = submission.terms();
  queue_policy policy;
  policy.service = submission.service();
  policy.priority = terms.priority();
  policy.attempts = terms.attempts();
  policy.stretch = terms.stretch();
  policy.target = milliseconds(terms.target_ms());
  policy.needs_advice = terms.needs_advice();
  policy.advice_fixed = milliseconds(terms.advice_fixed_ms());
  policy.advice_ms_per_worker = terms.advice_ms_per_worker();
  policy.advice_validity = milliseconds(terms.advice_validity_ms());
  return policy;
}

}  // namespace ebonygrade::pool
