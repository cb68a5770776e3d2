// Decides whether a task starts far from its data now or waits for a place near
// them. A run takes far_factor times as long away from the rack that its step
// names as data_rack, and so does a gang with same_rack that is spread over
// several racks.
//
// choose_place() is the decision for one task or gang, and needs nothing but
// the structs below. near_wait_pvt.h connects it to the scheduling rounds.
// Nothing here is written to the journal; near-wait.md says what a takeover
// does.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "pool/types.h"

namespace ebonygrade::pool {

struct near_options;
struct near_decision;

// A rule that decides for one task.
using near_rule = near_decision (*)(const near_options& options);

near_decision choose_place(const near_options& options);

struct near_wait_settings {
  // The operator's bound of one task's wait. Zero: nothing waits, and tasks are
  // placed as without this module.
  milliseconds longest{0};
  double far_factor = 1;          // Of the run time away from the data.
  milliseconds restore_time{0};   // To resume a checkpoint away from them.
  near_rule rule = choose_place;  // Benchmarks compare it with others.
};

inline bool waits_for_near(const near_wait_settings& settings) {
  return settings.longest > milliseconds(0) && settings.far_factor > 1;
}

// When and how a near place will be free.
struct near_forecast {
  steady_time free_at;  // Not before the time of the decision.
  double slowdown = 1;  // Of the worker there.
};

// What is known when a far place is free and no near one is.
struct near_options {
  steady_time now;
  milliseconds estimate{0};  // Run time near the data on an average worker.
  double far_factor = 1;
  double far_slowdown = 1;          // Of the worker at the far place.
  milliseconds far_resume_time{0};  // Zero without a checkpoint.
  bool far_in_near_zone = false;  // The far place shares the near rack's zone.
  // Workers that may run the task are left on a near rack.
  bool has_near_workers = true;
  // Nothing if no near worker is expected to have room for the task.
  std::optional<near_forecast> near;
  milliseconds margin{0};   // Expected error of the forecast.
  milliseconds waited{0};   // Since the task was ready, under any owner.
  milliseconds longest{0};  // Bound of the wait without regard to the task.
  // By when the run must end for the objective of its job. Nothing if no end
  // of it can meet the objective.
  std::optional<steady_time> due;
  // After this the far place needs a new ticket.
  steady_time far_ticket_until = steady_time::max();
  // Of a wait under way: the latest time at which near room was expected.
  std::optional<steady_time> promised;
};

enum class near_reason {
  sooner,           // The task waits, as it ends sooner that way.
  near_free,        // A near place became free.
  far_sooner,       // The far place ends it sooner.
  forecast_passed,  // No near place was free when it was forecast.
  rack_gone,        // No worker of the near rack may run the task any more.
  no_room,          // Those that are left have no room for it.
  objective,        // Waiting might miss the objective of the job.
  bound,            // The wait would exceed its bound.
  ticket,           // The ticket of the far place would expire.
};
const char* name_of(near_reason reason);

struct near_decision {
  bool waits = false;
  near_reason reason = near_reason::far_sooner;
  // If it waits: the wait ends then unless near room has come free.
  steady_time until;
};

milliseconds far_run_time(const near_options& options);
// Bound of the total wait: what the far place costs the task in run time, and
// `longest` at most.
milliseconds wait_bound(const near_options& options);

// State of one task, or of a gang in its first task. An owner knows only what
// it has seen itself, and counts the time since the job's acceptance as waited.
struct near_wait {
  // When only far places were free first; default value: not yet.
  steady_time considered;
  bool ran = false;       // This owner has placed an earlier run.
  bool waiting = false;   // By decision, with a far place free.
  bool given_up = false;  // Its wait has ended, so it takes any place.
  steady_time begun;      // While waiting.
  steady_time free_at;    // While waiting: the forecast at the decision.
  steady_time until;      // While waiting.
  steady_time decided;    // The last decision to wait.
};

// Error of the forecasts, smoothed.
struct forecast_error {
  std::chrono::duration<double, std::milli> error{200};  // Absolute.
  // How far ahead the forecasts looked.
  std::chrono::duration<double, std::milli> horizon{1000};
};

// Takes the outcome of a forecast made at `made` for `forecast` into account.
void add_forecast_sample(forecast_error* error, steady_time made,
                         steady_time forecast, steady_time actual);
// Expected error of a forecast that looks `ahead`. Errors grow with the
// horizon: the end of a run that is nearly done is known best.
milliseconds forecast_margin(const forecast_error& error, milliseconds ahead);

struct near_wait_counters {
  std::uint64_t near_runs = 0;  // Placed, of tasks that have a near rack.
  std::uint64_t far_runs = 0;
  std::uint64_t waits = 0;            // Begun.
  std::uint64_t waits_ended_far = 0;  // For whatever reason.
  milliseconds waited{0};             // In ended waits.
};

struct near_wait_state {
  near_wait_settings settings;
  forecast_error error;
  near_wait_counters counters;
};

}  // namespace ebonygrade::pool
