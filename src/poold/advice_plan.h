// Plans the sending of advice requests: which channel sends which request when,
// and which request is sent a second time.
//
// A request ends once: with the first usable reply, or as failed when no
// attempt is left. Asking twice is safe, as what the service grants for a step
// never changes. At most one repetition per request.
//
//   advice_plan plan;
//   std::size_t local = add_channel(&plan, now, true);
//   std::uint64_t request = add_request(&plan, priority, expected);
//   for (const advice_attempt& each : plan_attempts(&plan, now)) send(each);
//   if (observe_reply(&plan, attempt, usable, now) == request_state::done) ...
//
// Pure functions over plain structs; no I/O. Not thread-safe. Requests and
// channels are as many as the caller adds; each channel has at most three open
// attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "clock/clock.h"
#include "poold/advice_channel.h"

namespace ebonygrade::poold {

// One sending of a request through a channel.
struct advice_attempt {
  std::uint64_t request = 0;
  std::size_t channel = 0;
  milliseconds expected{0};
  steady_time due;  // Predicted time of the reply, without overhead.
};

struct planned_request {
  std::uint32_t priority = 0;
  milliseconds expected{0};
  std::vector<advice_attempt> open;  // Attempts without a reply.
  bool repeated = false;
};

struct planned_channel {
  bool local = false;    // Of this daemon; needs no announcements.
  bool removed = false;  // Takes no further requests.
  steady_time retry_at;  // After a failure.
  steady_time failed_at;
  channel_load load;
};

struct advice_plan {
  std::vector<planned_channel> channels;
  // By priority, then in order of arrival.
  std::multimap<std::uint32_t, std::uint64_t> waiting;
  std::map<std::uint64_t, planned_request> requests;  // Not ended.
  std::uint64_t last_request = 0;
  std::uint64_t repeated = 0;  // Requests that were sent a second time.
};

// Returns the index of the channel, which may be that of a removed one.
std::size_t add_channel(advice_plan* plan, steady_time now, bool local);
// The daemon of the channel has announced itself.
void observe_contact(advice_plan* plan, std::size_t channel, steady_time now);
// Number of channels that may take requests now.
std::size_t available_channels(const advice_plan& plan, steady_time now);

// Returns the number of the new request, which waits for a channel.
std::uint64_t add_request(advice_plan* plan, std::uint32_t priority,
                          milliseconds expected);

// The attempts to send now: of waiting requests, and repetitions of late ones.
// An urgent request is sent by a second, idle channel at once if the first one
// hasn't replied recently and its daemon is silent or has never replied. Call
// after every change and at next_check().
std::vector<advice_attempt> plan_attempts(advice_plan* plan, steady_time now);

// The next time at which a request may become late.
std::optional<steady_time> next_check(const advice_plan& plan, steady_time now);

enum class request_state {
  open,    // Another attempt is open, or follows.
  done,    // This reply ends the request.
  failed,  // No attempt is left.
  ended,   // An earlier reply has ended the request.
};
// The attempt has ended. `usable`: with a reply of the advice service.
request_state observe_reply(advice_plan* plan, const advice_attempt& attempt,
                            bool usable, steady_time now);

}  // namespace ebonygrade::poold
