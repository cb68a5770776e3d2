#include "poold/advice_dispatcher.h"

#include <utility>

#include "platform/advice.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

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
    : context_(context), clock_(clock), timer_(context) {
  if (!service_address.empty()) add_connection(true, service_address, "");
}

std::size_t advice_dispatcher::add_connection(bool local,
                                              const std::string& address,
                                              const std::string& target) {
  std::size_t channel = add_channel(&plan_, clock_.now(), local);
  connections_.resize(plan_.channels.size());
  connections_[channel] = {
      std::make_unique<http::client>(context_, address, channel_options()),
      target};
  return channel;
}

void advice_dispatcher::record_daemon(const std::string& daemon,
                                      const std::string& peer_address) {
  steady_time now = clock_.now();
  std::map<std::string, known_daemon>::iterator known = daemons_.find(daemon);
  if (known != daemons_.end() && known->second.address == peer_address) {
    observe_contact(&plan_, known->second.channel, now);
    return dispatch();
  }
  // The daemon has restarted; the replies to earlier requests may still come.
  if (known != daemons_.end()) {
    plan_.channels[known->second.channel].removed = true;
  }
  daemons_[daemon] = {peer_address,
                      add_connection(false, peer_address, kAdvicePath)};
  dispatch();
}

std::size_t advice_dispatcher::available_daemons() const {
  return available_channels(plan_, clock_.now());
}

void advice_dispatcher::submit(const pool::advice_request& request,
                               handler handler) {
  std::uint64_t id = add_request(&plan_, request.priority, request.expected);
  pending_.emplace(id, pending_request{request, std::move(handler)});
  dispatch();
}

void advice_dispatcher::dispatch() {
  for (const advice_attempt& each : plan_attempts(&plan_, clock_.now())) {
    send(each);
  }
  arm_timer();
}

void advice_dispatcher::arm_timer() {
  std::optional<steady_time> next = next_check(plan_, clock_.now());
  if (next == timer_at_) return;
  timer_at_ = next;
  timer_.cancel();
  if (!next) return;
  timer_.expires_at(*next);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                        boost::system::error_code failed) {
    if (failed || alive.expired()) return;
    timer_at_.reset();
    dispatch();
  });
}

void advice_dispatcher::send(const advice_attempt& attempt) {
  const connection& by = connections_[attempt.channel];
  http::request message =
      platform::encode_advice(pending_.at(attempt.request).request);
  if (!by.target.empty()) message.target(by.target);
  milliseconds timeout =
      std::chrono::duration_cast<milliseconds>(attempt.due - clock_.now()) +
      kReplyTimeoutMargin;
  by.client->call("advise", std::move(message), timeout,
                  [this, alive = std::weak_ptr<bool>(alive_),
                   attempt](http::call_result&& result) {
                    if (alive.expired()) return;
                    on_reply(attempt, result.has_value()
                                          ? platform::decode_advice(*result)
                                          : std::nullopt);
                  });
}

void advice_dispatcher::on_reply(
    const advice_attempt& attempt,
    std::optional<std::vector<pool::ticket>> tickets) {
  request_state state =
      observe_reply(&plan_, attempt, tickets.has_value(), clock_.now());
  if (state == request_state::done || state == request_state::failed) {
    std::map<std::uint64_t, pending_request>::iterator ended =
        pending_.find(attempt.request);
    handler handle = std::move(ended->second.handle);
    pending_.erase(ended);
    std::weak_ptr<bool> alive = alive_;
    handle(std::move(tickets));
    if (alive.expired()) return;
  }
  dispatch();
}

}  // namespace ebonygrade::poold
