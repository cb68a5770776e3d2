#include "poold/advice_channel.h"

#include <algorithm>
#include <utility>

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
constexpr int kLatenessFactor = 4;
// Longer than a lost packet's first repetition on links between regions.
constexpr milliseconds kMinLateness{150};
constexpr milliseconds kRecentReply{1000};
// One announcement a second, and its way.
constexpr milliseconds kRecentContact{1200};

// Channels of lower rank are preferred for urgent requests.
int urgent_rank(const channel_load& channel, steady_time now) {
  if (has_replied_recently(channel, now)) return 0;
  return has_announced_recently(channel, now) ? 1 : 2;
}

void end_request(channel_load* channel, milliseconds expected,
                 steady_time due) {
  --channel->outstanding;
  if (is_long_request(expected)) --channel->outstanding_long;
  std::vector<open_request>::iterator found =
      std::find_if(channel->open.begin(), channel->open.end(),
                   [&](const open_request& each) { return each.due == due; });
  if (found != channel->open.end()) channel->open.erase(found);
}

}  // namespace

bool is_long_request(milliseconds expected) { return expected > kLongRequest; }

std::optional<steady_time> late_at(const channel_load& channel) {
  if (channel.open.empty()) return std::nullopt;
  const open_request& oldest = channel.open.front();
  return std::max(oldest.due, channel.last_reply + oldest.expected) +
         std::max(kMinLateness, channel.overhead * kLatenessFactor);
}

bool is_late(const channel_load& channel, steady_time now) {
  std::optional<steady_time> at = late_at(channel);
  return at && *at <= now;
}

bool has_replied_recently(const channel_load& channel, steady_time now) {
  return channel.last_reply != steady_time() &&
         now - channel.last_reply <= kRecentReply;
}

bool has_announced_recently(const channel_load& channel, steady_time now) {
  return now - channel.last_contact <= kRecentContact;
}

bool can_send(const channel_load& channel, steady_time now) {
  if (!channel.available || channel.outstanding >= kMaxOutstanding) {
    return false;
  }
  return channel.outstanding == 0 || channel.idle_at <= now + kDispatchAhead;
}

channel_choice choose_channel(const std::vector<channel_load>& channels,
                              milliseconds expected, steady_time now,
                              bool urgent) {
  bool all_late = std::all_of(channels.begin(), channels.end(),
                              [&](const channel_load& each) {
                                return !each.available || is_late(each, now);
                              });
  channel_choice best;
  std::pair<int, steady_time> best_rank;
  std::size_t available = 0;
  std::size_t channels_with_long = 0;
  for (std::size_t i = 0; i < channels.size(); ++i) {
    const channel_load& each = channels[i];
    if (!each.available || (!all_late && is_late(each, now))) continue;
    ++available;
    if (each.outstanding_long > 0) ++channels_with_long;
    if (!can_send(each, now)) continue;
    steady_time idle_at = each.outstanding == 0 ? now : each.idle_at;
    std::pair<int, steady_time> rank(urgent ? urgent_rank(each, now) : 0,
                                     std::max(idle_at, now) + each.overhead);
    if (best.found && rank >= best_rank) continue;
    best = {true, i};
    best_rank = rank;
  }
  std::size_t reserved_channels =
      available < 2 ? 0 : available / kReservedChannelDivisor + 1;
  bool too_many = channels_with_long + reserved_channels >= available;
  if (is_long_request(expected) && too_many) return {};
  return best;
}

channel_choice choose_repeat(const std::vector<channel_load>& channels,
                             std::size_t first, steady_time now) {
  channel_choice best;
  for (std::size_t i = 0; i < channels.size(); ++i) {
    const channel_load& each = channels[i];
    if (i == first || !can_send(each, now) || is_late(each, now)) continue;
    if (best.found && each.last_reply <= channels[best.index].last_reply) {
      continue;
    }
    best = {true, i};
  }
  return best;
}

void record_request(channel_load* channel, milliseconds expected,
                    steady_time now) {
  if (channel->outstanding == 0) channel->idle_at = now;
  channel->idle_at = std::max(channel->idle_at, now) + expected;
  ++channel->outstanding;
  if (is_long_request(expected)) ++channel->outstanding_long;
  channel->open.push_back({expected, channel->idle_at});
}

void record_reply(channel_load* channel, milliseconds expected, steady_time due,
                  steady_time now) {
  end_request(channel, expected, due);
  channel->last_reply = now;
  milliseconds late = std::max(
      milliseconds(0), std::chrono::duration_cast<milliseconds>(now - due));
  channel->overhead += (late - channel->overhead) / kSmoothingDivisor;
}

void record_failure(channel_load* channel, milliseconds expected,
                    steady_time due) {
  end_request(channel, expected, due);
}

}  // namespace ebonygrade::poold
