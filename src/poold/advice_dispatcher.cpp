#include "poold/advice_dispatcher.h"

#include <algorithm>
#include <utility>

#include "platform/advice.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

// Three missed announcements. The announcement interval is 1 s.
constexpr milliseconds kAnnouncementTimeout{3200};
constexpr milliseconds kRetryDelay{2000};
constexpr milliseconds kReplyTimeoutMargin{1500};
// The limit of outstanding requests per channel.
constexpr std::size_t kConnections = 3;

http::client_options channel_options() {
  http::client_options options;
  options.connections = kConnections;
  return options;
}

}  // namespace

advice_dispatcher::advice_dispatcher(boost::asio::io_context& context,
                                     const clock::clock& clock,
                                     const std::string& service_address)
    : context_(context), clock_(clock) {
  if (service_address.empty()) return;
  std::shared_ptr<advice_channel> local = std::make_shared<advice_channel>();
  local->client = std::make_unique<http::client>(context, service_address,
                                                 channel_options());
  local->local = true;
  channels_[""] = std::move(local);
}

void advice_dispatcher::record_daemon(const std::string& daemon,
                                      const std::string& peer_address) {
  std::shared_ptr<advice_channel>& known = channels_[daemon];
  if (!known || known->address != peer_address) {
    known = std::make_shared<advice_channel>();
    known->client = std::make_unique<http::client>(context_, peer_address,
                                                   channel_options());
    known->address = peer_address;
    known->target = kAdvicePath;
  }
  known->last_contact = clock_.now();
  dispatch();
}

bool advice_dispatcher::is_available(const advice_channel& channel,
                                     steady_time now) const {
  if (channel.retry_at > now) return false;
  return channel.local || now - channel.last_contact <= kAnnouncementTimeout;
}

std::size_t advice_dispatcher::available_daemons() const {
  steady_time now = clock_.now();
  return static_cast<std::size_t>(std::count_if(
      channels_.begin(), channels_.end(),
      [&](const std::pair<const std::string, std::shared_ptr<advice_channel>>&
              each) { return is_available(*each.second, now); }));
}

std::shared_ptr<advice_dispatcher::advice_channel> advice_dispatcher::choose(
    const pool::advice_request& request, steady_time now) const {
  std::vector<std::shared_ptr<advice_channel>> daemons;
  std::vector<channel_load> loads;
  for (const std::pair<const std::string, std::shared_ptr<advice_channel>>&
           each : channels_) {
    daemons.push_back(each.second);
    loads.push_back(each.second->load);
    loads.back().available = is_available(*each.second, now);
  }
  channel_choice choice = choose_channel(loads, request.expected, now);
  return choice.found ? daemons[choice.index] : nullptr;
}

void advice_dispatcher::submit(const pool::advice_request& request,
                               handler handler) {
  waiting_.emplace(request.priority,
                   pending_request{request, std::move(handler)});
  dispatch();
}

void advice_dispatcher::dispatch() {
  steady_time now = clock_.now();
  std::multimap<std::uint32_t, pending_request>::iterator each =
      waiting_.begin();
  while (each != waiting_.end()) {
    std::shared_ptr<advice_channel> chosen = choose(each->second.request, now);
    if (!chosen) {
      // A later, shorter request may still find a channel.
      ++each;
      continue;
    }
    pending_request next = std::move(each->second);
    each = waiting_.erase(each);
    send(std::move(chosen), std::move(next), now);
  }
}

void advice_dispatcher::send(std::shared_ptr<advice_channel> chosen,
                             pending_request pending, steady_time now) {
  milliseconds expected = pending.request.expected;
  record_request(&chosen->load, expected, now);
  steady_time due = chosen->load.idle_at;
  http::request message = platform::encode_advice(pending.request);
  if (!chosen->local) message.target(chosen->target);
  milliseconds timeout =
      std::chrono::duration_cast<milliseconds>(due - now) + kReplyTimeoutMargin;
  http::client& client = *chosen->client;
  client.call("advise", std::move(message), timeout,
              [this, alive = std::weak_ptr<bool>(alive_), chosen, expected, due,
               handle = std::move(pending.handle)](http::call_result&& result) {
                if (alive.expired()) return;
                record_reply(&chosen->load, expected, due, clock_.now());
                std::optional<std::vector<pool::ticket>> tickets;
                if (result.has_value()) {
                  tickets = platform::decode_advice(*result);
                }
                if (!tickets) chosen->retry_at = clock_.now() + kRetryDelay;
                handle(std::move(tickets));
                dispatch();
              });
}

}  // namespace ebonygrade::poold
