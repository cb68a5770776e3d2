// Chooses the daemon that sends an advice request. The advice service handles
// one request at a time per calling daemon, and the latency to the service
// differs between daemons.
#pragma once

#include <cstddef>
#include <vector>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// State of one daemon's advice requests.
struct channel_load {
  bool available = true;
  steady_time idle_at;          // Predicted reply time of the last request.
  milliseconds overhead{0};     // Smoothed delay of replies past prediction.
  std::size_t outstanding = 0;  // Requests without a reply.
  std::size_t outstanding_long = 0;  // Long requests among `outstanding`.
};

// Whether a request with this expected processing time counts as long.
bool is_long_request(milliseconds expected);

// Index of the channel with the earliest predicted reply, if any channel may
// take the request now. Some channels are reserved for short requests, so that
// long requests never occupy every channel.
struct channel_choice {
  bool found = false;
  std::size_t index = 0;
};
channel_choice choose_channel(const std::vector<channel_load>& channels,
                              milliseconds expected, steady_time now);

// Update the load of a channel when a request is sent and when the request
// ends, with or without a usable reply. `due` is the `idle_at` that
// record_request computed for the request.
void record_request(channel_load* channel, milliseconds expected,
                    steady_time now);
void record_reply(channel_load* channel, milliseconds expected, steady_time due,
                  steady_time now);

}  // namespace ebonygrade::poold
