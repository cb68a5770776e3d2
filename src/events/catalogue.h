// Catalogue of numbered log events. Released numbers and names are never
// changed or reused, because operators' alerts depend on them. docs/EVENTS.md
// has the same table with advice for operators; a test compares the two.
#pragma once

#include <array>
#include <string_view>

namespace ebonygrade::events {

enum class level { debug, info, warning, error };

// Numbers of the events.
enum class id {
  started = 101,
  ready = 102,
  not_ready = 103,
  drain_begun = 104,
  drain_finished = 105,
  abandoned = 106,
  settings_refused = 107,
  stopped = 108,
  settings_reloaded = 109,
  claim_won = 201,
  claim_lost = 202,
  shard_serving = 203,
  shard_dropped = 204,
  worker_fenced = 301,
  worker_unreachable = 302,
  worker_rebooted = 303,
  worker_superseded = 304,
  log_down = 401,
  log_up = 402,
  append_failed = 403,
  bundle_in_force = 501,
  bundle_refused = 502,
  peer_silent = 601,
  peer_reconnected = 602,
  overload_refused = 701,
  bad_request = 702,
  pool_taken = 801,
  pool_released = 802,
  pool_deposed = 803,
  standby_begun = 804,
  standby_ended = 805,
  job_accepted = 811,
  job_refused = 812,
  job_cancelled = 813,
  job_ended = 814,
  queue_length_told = 815,
  task_placed = 821,
  task_ended = 822,
  start_refused = 823,
  worker_avoided = 824,
  step_done = 825,
  upkeep_ordered = 826,
  pool_load = 827,
  manifest_in_force = 831,
  journal_loaded = 832,
  topic_read_failed = 833,
  worker_restarted = 841,
  run_unexpected = 842,
  worker_entry_outdated = 843,
  daemon_paused = 844,
  time_of_day_stepped = 845,
  owner_isolated = 846,
  owner_confirmed = 847,
};

struct definition {
  id number;
  std::string_view name;
  events::level level;
  std::string_view meaning;
  std::string_view peer;  // Kind of peer in the peer field.
};

inline constexpr std::array kCatalogue = {
    definition{id::started, "started", level::info,
               "The daemon runs and has bound its addresses.", "none"},
    definition{id::ready, "ready", level::info,
               "The daemon takes requests; /readyz answers 200.", "none"},
    definition{id::not_ready, "not_ready", level::warning,
               "The daemon no longer takes requests; /readyz answers 503.",
               "none"},
    definition{id::drain_begun, "drain_begun", level::info,
               "A graceful shutdown began.", "none"},
    definition{id::drain_finished, "drain_finished", level::info,
               "Every shard was handed over and every request answered.",
               "none"},
    definition{id::abandoned, "abandoned", level::error,
               "The daemon stopped before its drain had finished.", "none"},
    definition{id::settings_refused, "settings_refused", level::error,
               "The settings hold a fault; the daemon does not start.",
               "settings file"},
    definition{id::stopped, "stopped", level::info, "The daemon ends.", "none"},
    definition{id::settings_reloaded, "settings_reloaded", level::info,
               "The daemon was told that its settings file has changed.",
               "none"},
    definition{id::claim_won, "claim_won", level::info,
               "The log gave this daemon a shard under a new epoch.", "none"},
    definition{id::claim_lost, "claim_lost", level::info,
               "Another daemon claimed the shard first.", "daemon"},
    definition{id::shard_serving, "shard_serving", level::info,
               "The shard's workers are reconciled; it takes work.", "none"},
    definition{id::shard_dropped, "shard_dropped", level::info,
               "This daemon no longer owns the shard.", "daemon"},
    definition{id::worker_fenced, "worker_fenced", level::debug,
               "The worker accepted the shard's epoch.", "worker"},
    definition{id::worker_unreachable, "worker_unreachable", level::warning,
               "The worker does not answer; it gets no work.", "worker"},
    definition{id::worker_rebooted, "worker_rebooted", level::warning,
               "The worker lost its task table; its tasks are over.", "worker"},
    definition{id::worker_superseded, "worker_superseded", level::warning,
               "The worker knows a later epoch; the shard is dropped.",
               "worker"},
    definition{id::log_down, "log_down", level::error,
               "The platform's log does not answer.", "log address"},
    definition{id::log_up, "log_up", level::info,
               "The platform's log answers again.", "log address"},
    definition{id::append_failed, "append_failed", level::warning,
               "A record was not written, or may have been.", "log address"},
    definition{id::bundle_in_force, "bundle_in_force", level::info,
               "A policy bundle took effect on this daemon.", "none"},
    definition{id::bundle_refused, "bundle_refused", level::warning,
               "A publish, approval or roll had no effect.", "none"},
    definition{id::peer_silent, "peer_silent", level::warning,
               "Nothing was heard from a daemon for the silence limit.",
               "daemon"},
    definition{id::peer_reconnected, "peer_reconnected", level::info,
               "A silent connection to a daemon was replaced.", "daemon"},
    definition{id::overload_refused, "overload_refused", level::warning,
               "A request was refused because a queue is full.", "none"},
    definition{id::bad_request, "bad_request", level::info,
               "A request was refused because of its content.", "none"},
    definition{id::pool_taken, "pool_taken", level::info,
               "This daemon owns the pool and has taken its jobs over.",
               "none"},
    definition{id::pool_released, "pool_released", level::info,
               "This daemon has given the pool up; any other may claim it.",
               "none"},
    definition{id::pool_deposed, "pool_deposed", level::warning,
               "Another daemon owns the pool; this one stopped deciding.",
               "none"},
    definition{id::standby_begun, "standby_begun", level::info,
               "This daemon follows the journal and may claim the pool.",
               "none"},
    definition{id::standby_ended, "standby_ended", level::info,
               "This daemon dropped its copy of the journal.", "none"},
    definition{id::job_accepted, "job_accepted", level::info,
               "The job is in the journal; the caller was told so.", "none"},
    definition{
        id::job_refused, "job_refused", level::info,
        "The job was not accepted, or its fate is unknown; or a question "
        "had no recent answer.",
        "none"},
    definition{id::job_cancelled, "job_cancelled", level::info,
               "A caller's cancellation is in the journal.", "none"},
    definition{id::job_ended, "job_ended", level::info,
               "The job reached its final state.", "none"},
    definition{id::queue_length_told, "queue_length_told", level::info,
               "A caller was told how many jobs of a queue wait.", "none"},
    definition{id::task_placed, "task_placed", level::info,
               "The owner chose a worker for a run of a task.", "worker"},
    definition{id::task_ended, "task_ended", level::info,
               "A worker listed the end of a run.", "worker"},
    definition{id::start_refused, "start_refused", level::info,
               "A worker did not start a run, or didn't answer.", "worker"},
    definition{id::worker_avoided, "worker_avoided", level::warning,
               "A run made no progress; the worker gets no starts for a time.",
               "worker"},
    definition{id::step_done, "step_done", level::info,
               "The last task of a step ended well; steps after it may start.",
               "worker"},
    definition{id::upkeep_ordered, "upkeep_ordered", level::info,
               "The platform answered, or didn't, an order for upkeep.",
               "machine"},
    definition{id::pool_load, "pool_load", level::info,
               "Once a second: what the owner has to place, and where.",
               "none"},
    definition{id::manifest_in_force, "manifest_in_force", level::info,
               "A version of the operator's manifest took effect here.",
               "none"},
    definition{id::journal_loaded, "journal_loaded", level::info,
               "The newest record of every key was read.", "topic"},
    definition{id::topic_read_failed, "topic_read_failed", level::info,
               "A read of a topic got no reply and is repeated.", "topic"},
    definition{id::worker_restarted, "worker_restarted", level::warning,
               "The worker began another incarnation under its id.", "worker"},
    definition{id::run_unexpected, "run_unexpected", level::warning,
               "A worker reports a run that has no valid order; it is stopped.",
               "worker"},
    definition{
        id::worker_entry_outdated, "worker_entry_outdated", level::warning,
        "The worker's entry is older than what is known of it.", "worker"},
    definition{id::daemon_paused, "daemon_paused", level::warning,
               "The daemon stood still, or its machine was suspended.", "none"},
    definition{id::time_of_day_stepped, "time_of_day_stepped", level::warning,
               "The machine's time of day was set ahead or back.", "none"},
    definition{id::owner_isolated, "owner_isolated", level::warning,
               "The owner may give no more leases; its last confirmed record "
               "is too old.",
               "none"},
    definition{id::owner_confirmed, "owner_confirmed", level::info,
               "The owner may give leases again.", "none"},
};

// Returns the definition of an event, or the first definition if the catalogue
// has none for `number`.
constexpr const definition& find(id number) {
  for (const definition& each : kCatalogue) {
    if (each.number == number) return each;
  }
  return kCatalogue.front();
}

std::string_view to_string(level value);

}  // namespace ebonygrade::events
