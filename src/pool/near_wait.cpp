#include "pool/near_wait.h"

#include <algorithm>
#include <chrono>

namespace ebonygrade::pool {

namespace {

// Weight of the newest sample.
constexpr double kSampleWeight = 0.05;
// A round, a report and a journal write make every forecast uncertain by this.
constexpr milliseconds kMinMargin{30};
// A round comes every 100 ms at least, and the ticket is checked again with a
// margin of 120 ms.
constexpr milliseconds kTicketReserve{250};

// A wait goes on for this many times the expected error past its forecast. In
// bench/near_wait_bench this shortens jobs against one time, and four times
// changes little more.
constexpr int kPatience = 2;

milliseconds scaled(milliseconds time, double factor) {
  return std::chrono::duration_cast<milliseconds>(time * factor);
}

near_decision far(near_reason reason) { return {false, reason, {}}; }

}  // namespace

const char* name_of(near_reason reason) {
  switch (reason) {
    case near_reason::sooner:
      return "sooner";
    case near_reason::near_free:
      return "near_free";
    case near_reason::far_sooner:
      return "far_sooner";
    case near_reason::forecast_passed:
      return "forecast_passed";
    case near_reason::rack_gone:
      return "rack_gone";
    case near_reason::no_room:
      return "no_room";
    case near_reason::objective:
      return "objective";
    case near_reason::bound:
      return "bound";
    case near_reason::ticket:
      return "ticket";
  }
  return "unknown";
}

milliseconds far_run_time(const near_options& options) {
  return scaled(options.estimate, options.far_factor * options.far_slowdown) +
         options.far_resume_time;
}

milliseconds wait_bound(const near_options& options) {
  return std::min(options.longest,
                  scaled(options.estimate,
                         (options.far_factor - 1) * options.far_slowdown));
}

near_decision choose_place(const near_options& options) {
  if (!options.has_near_workers) return far(near_reason::rack_gone);
  if (!options.near) return far(near_reason::no_room);
  if (options.promised && options.now > *options.promised) {
    return far(near_reason::forecast_passed);
  }
  milliseconds ahead = std::chrono::duration_cast<milliseconds>(
      options.near->free_at - options.now);
  milliseconds wait = ahead + options.margin;
  milliseconds bound = wait_bound(options);
  if (options.waited >= bound || options.waited + ahead > bound) {
    return far(near_reason::bound);
  }
  steady_time far_end = options.now + far_run_time(options);
  steady_time near_end =
      options.now + wait + scaled(options.estimate, options.near->slowdown);
  if (near_end >= far_end) return far(near_reason::far_sooner);
  // A wait that pays off on average isn't worth the objective, so the forecast
  // may be wrong by twice its expected error here.
  if (options.due && far_end <= *options.due &&
      near_end + options.margin > *options.due) {
    return far(near_reason::objective);
  }
  if (options.now + wait + kTicketReserve > options.far_ticket_until) {
    return far(near_reason::ticket);
  }
  steady_time until = options.now + std::min(ahead + kPatience * options.margin,
                                             bound - options.waited);
  if (options.promised) until = std::min(until, *options.promised);
  return {true, near_reason::sooner, until};
}

void add_forecast_sample(forecast_error* error, steady_time made,
                         steady_time forecast, steady_time actual) {
  std::chrono::duration<double, std::milli> missed = forecast - actual;
  std::chrono::duration<double, std::milli> ahead = forecast - made;
  error->error += (std::chrono::abs(missed) - error->error) * kSampleWeight;
  error->horizon += (ahead - error->horizon) * kSampleWeight;
}

milliseconds forecast_margin(const forecast_error& error, milliseconds ahead) {
  constexpr std::chrono::duration<double, std::milli> kMinHorizon{1};
  double share = ahead / std::max(kMinHorizon, error.horizon);
  return std::max(kMinMargin, std::chrono::duration_cast<milliseconds>(
                                  error.error * std::min(1.0, share)));
}

}  // namespace ebonygrade::pool
