// Tenants of a simulated cell: their quotas, and checks of what runs at the
// workers, whatever the owners have counted.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pool/manifest.h"
#include "pool/pool.h"
#include "pool/simulated_worker.h"

namespace ebonygrade::pool {

// Faults of an owner's accounting, for tests that show that the checks find
// them.
enum class usage_fault {
  none,
  forgotten_at_takeover,  // Runs that earlier owners have started don't count.
  stops_not_counted,      // Runs that are to be stopped don't count.
  gang_counts_as_task,    // Of a gang only the first member counts.
};

struct tenant_options {
  std::size_t count = 0;  // 0: a cell without tenants.
  std::int64_t quota_cpu_milli = 0;
  double excess = 0.1;
  // Interval at which the quotas are lowered to `lowered_cpu_milli` or raised
  // again; 0: never.
  milliseconds change_every{0};
  std::int64_t lowered_cpu_milli = 0;
  // How long a start that was sent before its quota was lowered may still be
  // carried out, repeats and late deliveries included.
  milliseconds longest_delivery{2500};
  usage_fault fault = usage_fault::none;
};

using simulated_workers =
    std::map<std::string, std::unique_ptr<simulated_worker>>;

class simulated_tenants {
 public:
  explicit simulated_tenants(const tenant_options& options);

  bool present() const { return options_.count > 0; }
  // The tenant of the job with this number; empty in a cell without tenants.
  std::string tenant_of(std::size_t job) const;
  // Lowers or raises the quotas.
  void change(steady_time now);
  void set(pool_state* pool) const;
  // Makes the owner's usage wrong. To be called before each of its decisions.
  void miscount(pool_state* pool) const;
  // Reports a usage that isn't the sum of the owner's placements.
  void check_usage(const pool_state& pool, ledger* ledger) const;
  // Reports a start since the last call that has brought its tenant above quota
  // x (1 + excess), by the runs at the workers.
  void check_starts(const simulated_workers& workers, steady_time now,
                    ledger* ledger);

  // The most of its limit that a tenant has had running, over all tenants.
  std::int64_t most_used() const { return most_used_; }

 private:
  resources usage(const pool_state& pool, const std::string& tenant,
                  usage_fault fault) const;
  std::int64_t limit(steady_time now) const;

  tenant_options options_;
  // Quotas with the time from which each holds; the last one is in force.
  std::vector<std::pair<steady_time, std::int64_t>> quotas_;
  std::uint64_t checked_starts_ = 0;
  std::int64_t most_used_ = 0;
};

}  // namespace ebonygrade::pool
