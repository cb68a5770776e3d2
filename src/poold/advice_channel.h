// Which daemon puts a question to the advice service. The service answers one
// question at a time for each of them, and some are further away than others.
#pragma once

#include <cstddef>
#include <vector>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// What is known of one daemon's questions.
struct channel_load {
  bool available = true;
  steady_time idle_at;          // When its questions so far should be answered.
  milliseconds overhead{0};     // How much later its answers come, smoothed.
  std::size_t outstanding = 0;  // Questions without an answer.
  std::size_t outstanding_long = 0;
};

// Whether a question that takes so long counts as long.
bool is_long_request(milliseconds expected);

// Index of the daemon whose answer comes first, if one may take the question
// now. Some daemons take no long questions, so that a short one never waits
// behind nothing but long ones.
struct channel_choice {
  bool found = false;
  std::size_t index = 0;
};
channel_choice choose_channel(const std::vector<channel_load>& channels,
                              milliseconds expected, steady_time now);

// Takes note of a question that was sent, and of its end.
void record_request(channel_load* channel, milliseconds expected,
                    steady_time now);
void record_reply(channel_load* channel, milliseconds expected, steady_time due,
                  steady_time now);

}  // namespace ebonygrade::poold
