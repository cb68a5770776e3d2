#include "pool/simulated_tenants.h"

#include <algorithm>
#include <unordered_map>

namespace ebonygrade::pool {

namespace {

bool is_gang(const pool_state& pool, const placement& placed) {
  std::unordered_map<std::string, job>::const_iterator job =
      pool.jobs.find(placed.task.job);
  return job != pool.jobs.end() &&
         job->second.submission->steps(static_cast<int>(placed.task.step))
             .gang();
}

bool counts(const pool_state& pool, const placement& placed,
            usage_fault fault) {
  switch (fault) {
    case usage_fault::none:
      return true;
    case usage_fault::forgotten_at_takeover:
      return placed.starts_sent > 0 || placed.phase == phase::recording;
    case usage_fault::stops_not_counted:
      return !placed.stop_wanted;
    case usage_fault::gang_counts_as_task:
      return placed.task.index == 0 || !is_gang(pool, placed);
  }
  return true;
}

}  // namespace

simulated_tenants::simulated_tenants(const tenant_options& options)
    : options_(options),
      quotas_({{steady_time::min(), options.quota_cpu_milli}}) {}

std::string simulated_tenants::tenant_of(std::size_t job) const {
  if (!present()) return {};
  return "t" + std::to_string(job % options_.count);
}

void simulated_tenants::change(steady_time now) {
  bool lower = quotas_.back().second == options_.quota_cpu_milli;
  quotas_.emplace_back(
      now, lower ? options_.lowered_cpu_milli : options_.quota_cpu_milli);
}

void simulated_tenants::set(pool_state* pool) const {
  std::vector<tenant> rows;
  for (std::size_t i = 0; i < options_.count; ++i) {
    rows.push_back({tenant_of(i), {}, 0, 1, {quotas_.back().second, 0, 0}});
  }
  set_tenants(pool, rows, options_.excess);
}

resources simulated_tenants::usage(const pool_state& pool,
                                   const std::string& tenant,
                                   usage_fault fault) const {
  resources sum;
  for (const std::pair<const std::string, worker>& each : pool.workers) {
    for (const placement& placed : each.second.placements) {
      if (placed.tenant == tenant && counts(pool, placed, fault)) {
        sum = sum + placed.need;
      }
    }
  }
  return sum;
}

void simulated_tenants::miscount(pool_state* pool) const {
  if (options_.fault == usage_fault::none) return;
  for (std::pair<const std::string, tenant_state>& each : pool->tenants) {
    each.second.used = usage(*pool, each.first, options_.fault);
  }
}

void simulated_tenants::check_usage(const pool_state& pool,
                                    ledger* ledger) const {
  if (options_.fault != usage_fault::none) return;
  for (const std::pair<const std::string, tenant_state>& each : pool.tenants) {
    resources sum = usage(pool, each.first, usage_fault::none);
    bool same = sum.cpu_milli == each.second.used.cpu_milli &&
                sum.memory_mb == each.second.used.memory_mb;
    if (same) continue;
    ledger->report_violation("usage differs from the placements: " +
                             each.first);
  }
}

std::int64_t simulated_tenants::limit(steady_time now) const {
  std::int64_t most = quotas_.back().second;
  for (std::size_t i = 1; i < quotas_.size(); ++i) {
    if (now - quotas_[i].first > options_.longest_delivery) continue;
    most = std::max(most, quotas_[i - 1].second);
  }
  return static_cast<std::int64_t>(static_cast<double>(most) *
                                   (1 + options_.excess));
}

void simulated_tenants::check_starts(const simulated_workers& workers,
                                     steady_time now, ledger* ledger) {
  if (!present() || ledger->starts() == checked_starts_) return;
  checked_starts_ = ledger->starts();
  const task_key& started = ledger->last_start();
  const std::string& tenant = ledger->tenant_of(started.job);
  std::int64_t used = 0;
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers) {
    for (const std::pair<task_key, resources>& run :
         each.second->needs_of_runs()) {
      if (ledger->tenant_of(run.first.job) == tenant) {
        used += run.second.cpu_milli;
      }
    }
  }
  most_used_ = std::max(most_used_, used);
  if (used <= limit(now)) return;
  ledger->report_violation(
      "over quota: " + tenant + " uses " + std::to_string(used) + " of " +
      std::to_string(limit(now)) + " after a start of " + started.job +
      " step " + std::to_string(started.step) + " task " +
      std::to_string(started.index));
}

}  // namespace ebonygrade::pool
