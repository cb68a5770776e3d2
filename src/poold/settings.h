// Settings of the pool daemon: one INI file, checked as a whole at the start.
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
  double cpu_share = 1;        // Of a core, that the VM gives the daemon.
  std::string client_address;  // IP:PORT that callers reach.
  std::string ready_address;   // IP:PORT of the readiness check.
  std::string peer_address;    // IP:PORT for other daemons and metrics.
  std::string store_address;
  std::string advice_address;        // Empty: no queue asks for advice.
  std::string machines_address;      // Empty: no waves of upkeep.
  milliseconds upkeep_time{2000};    // From an order to the new worker.
  milliseconds lease{6000};          // Longest that workers grant.
  milliseconds drain_grace{6000};    // From SIGTERM to SIGKILL.
  milliseconds status_time{120000};  // Ended jobs stay readable so long.
  std::string log_level = "info";
};

struct settings_report {
  node_settings value;
  std::vector<error::failure> problems;
};

// `file` names the source in messages.
settings_report parse_settings(const std::string& text,
                               const std::string& file);
settings_report load_settings(const std::string& path);

}  // namespace ebonygrade::poold
