// Settings of the pool daemon: one INI file that is validated at startup.
// docs/CONFIG-POOLD.md lists the keys.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"

namespace ebonygrade::poold {

using clock::milliseconds;

struct node_settings {
  std::string id;
  std::string zone;
  std::string region;
  double cpu_share = 1;        // Fraction of a core that the VM provides.
  std::string client_address;  // IP:PORT for callers.
  std::string ready_address;   // IP:PORT of the readiness check.
  std::string peer_address;    // IP:PORT for other daemons and metrics.
  std::string store_address;
  std::string advice_address;      // Empty: no advice service.
  std::string machines_address;    // Empty: no maintenance waves.
  milliseconds upkeep_time{2000};  // From a maintenance order to a new worker.
  milliseconds lease{6000};        // Longest lease that workers accept.
  milliseconds drain_grace{6000};  // From SIGTERM to SIGKILL.
  milliseconds status_time{120000};  // Retention of ended jobs.
  // In which an acknowledged cancellation, and a worker's notice that it
  // leaves, take effect.
  milliseconds cancel_time{3000};
  milliseconds drain_time{2500};
  milliseconds worker_heartbeat{1500};  // Interval of workers' entries.
  // Callers need keys even while the manifest in force has no tenants.
  bool tenants_required = false;
  // Whether a daemon refuses callers while it can't confirm that its manifest
  // is the newest, for longer than revoke_time.
  bool strict_revoke = false;
  milliseconds revoke_time{5000};
  double quota_excess = 0;  // Share by which a tenant may exceed its quota.
  // Longest time for which a task waits for a place near its data although
  // another is free. Zero: off.
  milliseconds near_wait{0};
  double far_factor = 1;         // Of a run's time away from its data.
  milliseconds restore_time{0};  // To resume a checkpoint away from the data.
  // Whether the owner refuses jobs that it can't serve in time.
  bool admission_enabled = false;
  std::string log_level = "info";
};

struct settings_report {
  node_settings value;
  std::vector<error::failure> problems;
};

// `file` is the file name in error messages.
settings_report parse_settings(const std::string& text,
                               const std::string& file);
settings_report load_settings(const std::string& path);

}  // namespace ebonygrade::poold
