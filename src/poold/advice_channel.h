// Chooses the daemon that sends an advice request. The advice service handles
// one request at a time per calling daemon, and the latency to the service
// differs between daemons. A daemon that is late by its own history is passed
// over until it answers.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// A request without a reply.
struct open_request {
  milliseconds expected{0};
  steady_time due;  // `idle_at` as of its sending.
};

// State of one daemon's advice requests.
struct channel_load {
  bool available = true;
  steady_time idle_at;          // Predicted reply time of the last request.
  milliseconds overhead{0};     // Smoothed delay of replies past prediction.
  std::size_t outstanding = 0;  // Requests without a reply.
  std::size_t outstanding_long = 0;  // Long requests among `outstanding`.
  std::vector<open_request> open;    // In order of sending.
  steady_time last_reply;            // Last usable reply; default: none yet.
  steady_time last_contact;          // Last announcement of the daemon.
};

// Whether a request with this expected processing time counts as long.
bool is_long_request(milliseconds expected);

// When the channel becomes later than its own history: past the due time of its
// oldest request, or that request's time since the last reply, by 4 times the
// smoothed overhead and at least 150 ms. Empty without open requests.
std::optional<steady_time> late_at(const channel_load& channel);
bool is_late(const channel_load& channel, steady_time now);

// Whether the channel has replied within the last second.
bool has_replied_recently(const channel_load& channel, steady_time now);

// Whether the channel's daemon has announced itself within the last 1.2 s.
bool has_announced_recently(const channel_load& channel, steady_time now);

// Whether a request that is sent now is the next one that the service handles
// for this channel, or nearly so.
bool can_send(const channel_load& channel, steady_time now);

// Index of the channel with the earliest predicted reply, if any channel may
// take the request now. Some channels are reserved for short requests, so that
// long requests never occupy every channel. Late channels are passed over
// unless all are late. Urgent requests go to channels that have replied within
// the last second, then to those that have announced themselves, then to
// others.
struct channel_choice {
  bool found = false;
  std::size_t index = 0;
};
channel_choice choose_channel(const std::vector<channel_load>& channels,
                              milliseconds expected, steady_time now,
                              bool urgent = false);

// Index of the channel that repeats a request of the channel `first`: of those
// that can send it now and aren't late, the one that has replied last.
channel_choice choose_repeat(const std::vector<channel_load>& channels,
                             std::size_t first, steady_time now);

// Update the load of a channel when a request is sent and when the request
// ends, with or without a usable reply. `due` is the `idle_at` that
// record_request computed for the request.
void record_request(channel_load* channel, milliseconds expected,
                    steady_time now);
void record_reply(channel_load* channel, milliseconds expected, steady_time due,
                  steady_time now);
void record_failure(channel_load* channel, milliseconds expected,
                    steady_time due);

}  // namespace ebonygrade::poold
