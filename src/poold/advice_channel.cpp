#include "poold/advice_channel.h"

#include <algorithm>

namespace ebonygrade::poold {

namespace {

// A request may be sent this long before the predicted reply to the earlier
// one, so that the service isn't idle for a round trip.
constexpr milliseconds kDispatchAhead{20};
constexpr std::size_t kMaxOutstanding = 3;
// Requests with a longer expected time count as long.
constexpr milliseconds kLongRequest{40};
// With n available channels, n / divisor + 1 take no long requests, so that
// long requests can't delay all short ones.
constexpr std::size_t kReservedChannelDivisor = 4;
// Weight of the newest sample in the smoothed overhead is 1/divisor.
constexpr int kSmoothingDivisor = 4;

}  // namespace

bool is_long_request(milliseconds expected) { return expected > kLongRequest; }

channel_choice choose_channel(const std::vector<channel_load>& channels,
                              milliseconds expected, steady_time now) {
  channel_choice best;
  steady_time best_reply_at;
  std::size_t available = 0;
  std::size_t channels_with_long = 0;
  for (std::size_t i = 0; i < channels.size(); ++i) {
    const channel_load& each = channels[i];
    if (!each.available) continue;
    ++available;
    if (each.outstanding_long > 0) ++channels_with_long;
    if (each.outstanding >= kMaxOutstanding) continue;
    steady_time idle_at = each.outstanding == 0 ? now : each.idle_at;
    if (idle_at > now + kDispatchAhead) continue;
    steady_time reply_at = std::max(idle_at, now) + each.overhead;
    if (best.found && reply_at >= best_reply_at) continue;
    best = {true, i};
    best_reply_at = reply_at;
  }
  std::size_t reserved_channels =
      available < 2 ? 0 : available / kReservedChannelDivisor + 1;
  bool too_many = channels_with_long + reserved_channels >= available;
  if (is_long_request(expected) && too_many) return {};
  return best;
}

void record_request(channel_load* channel, milliseconds expected,
                    steady_time now) {
  if (channel->outstanding == 0) channel->idle_at = now;
  channel->idle_at = std::max(channel->idle_at, now) + expected;
  ++channel->outstanding;
  if (is_long_request(expected)) ++channel->outstanding_long;
}

void record_reply(channel_load* channel, milliseconds expected, steady_time due,
                  steady_time now) {
  --channel->outstanding;
  if (is_long_request(expected)) --channel->outstanding_long;
  milliseconds late = std::max(
      milliseconds(0), std::chrono::duration_cast<milliseconds>(now - due));
  channel->overhead += (late - channel->overhead) / kSmoothingDivisor;
}

}  // namespace ebonygrade::poold
