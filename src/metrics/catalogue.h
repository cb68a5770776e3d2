// Names and help texts of a daemon's counters and gauges. docs/METRICS.md has
// the same table; a test compares the two. Histograms and labelled counters are
// defined in registry.h.
#pragma once

#include <array>
#include <string_view>

namespace ebonygrade::metrics {

// Counters only increase while the daemon runs.
enum class counter {
  requests_submitted,
  requests_forwarded,
  requests_refused_overload,
  requests_malformed,
  starts_sent,
  starts_unanswered,
  stops_sent,
  preemptions,
  log_appends,
  log_append_failures,
  claims_won,
  claims_lost,
  worker_reboots,
  worker_fences,
  peer_reconnects,
  messages_dropped,
  counter_count,
};

enum class gauge {
  ready,
  draining,
  shards_owned,
  workers_known,
  workers_fenced,
  tasks_queued,
  tasks_running,
  requests_kept,
  daemons_alive,
  bundle_roll,
  bundle_version,
  log_reachable,
  free_millicores,
  free_memory_mb,
  free_accelerators,
  free_slots,
  gauge_count,
};

struct definition {
  std::string_view name;
  std::string_view help;
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(counter::counter_count);
inline constexpr std::size_t kGaugeCount =
    static_cast<std::size_t>(gauge::gauge_count);

// Both tables are indexed by the value of the enumeration.
inline constexpr std::array<definition, kCounterCount> kCounters = {{
    {"ebonygrade_requests_submitted_total",
     "Requests that entered at this daemon."},
    {"ebonygrade_requests_forwarded_total",
     "Requests passed to the owner of their home shard."},
    {"ebonygrade_requests_refused_overload_total",
     "Requests refused because a queue was full."},
    {"ebonygrade_requests_malformed_total",
     "Requests refused because of their content."},
    {"ebonygrade_starts_sent_total", "Task starts sent to workers."},
    {"ebonygrade_starts_unanswered_total",
     "Task starts whose answer was lost."},
    {"ebonygrade_stops_sent_total", "Task stops sent to workers."},
    {"ebonygrade_preemptions_total", "Tasks stopped in favour of others."},
    {"ebonygrade_log_appends_total", "Records appended to the log."},
    {"ebonygrade_log_append_failures_total",
     "Appends that failed or may have."},
    {"ebonygrade_claims_won_total", "Shards claimed with effect."},
    {"ebonygrade_claims_lost_total", "Claims that came too late."},
    {"ebonygrade_worker_reboots_total", "Workers that lost their task table."},
    {"ebonygrade_worker_fences_total", "Workers that accepted an epoch."},
    {"ebonygrade_peer_reconnects_total",
     "Connections to daemons replaced after silence."},
    {"ebonygrade_messages_dropped_total",
     "Messages to daemons dropped because a queue was full."},
}};

inline constexpr std::array<definition, kGaugeCount> kGauges = {{
    {"ebonygrade_ready", "1 while the daemon takes requests."},
    {"ebonygrade_draining", "1 while the daemon shuts down gracefully."},
    {"ebonygrade_shards_owned", "Shards owned by this daemon."},
    {"ebonygrade_workers_known", "Workers of the owned shards."},
    {"ebonygrade_workers_fenced", "Workers that may be given tasks."},
    {"ebonygrade_tasks_queued", "Tasks waiting for room."},
    {"ebonygrade_tasks_running", "Tasks running on the owned workers."},
    {"ebonygrade_requests_kept", "Requests known, final ones included."},
    {"ebonygrade_daemons_alive", "Daemons heard of lately, this one included."},
    {"ebonygrade_bundle_roll", "Roll of the bundle in force; 0: none."},
    {"ebonygrade_bundle_version", "Version of the bundle in force; 0: none."},
    {"ebonygrade_log_reachable", "1 while the platform's log answers."},
    {"ebonygrade_free_millicores", "Free processor time, in 1/1000 cores."},
    {"ebonygrade_free_memory_mb", "Free memory, in MB."},
    {"ebonygrade_free_accelerators", "Free accelerators."},
    {"ebonygrade_free_slots", "Free executor slots."},
}};

}  // namespace ebonygrade::metrics
