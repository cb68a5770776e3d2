#include "poold/store_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "events/events.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

// Four times the reply time of a store that is slowed down by a factor of 60.
constexpr milliseconds kCallTimeout{1000};
// Added to the wait of a long poll. Limits the time without progress. It
// doubles with each failure, as the store may be slower than that.
constexpr milliseconds kReadTimeoutMargin{700};
constexpr std::uint32_t kMaxReadMarginDoublings = 2;
// Limits the time without progress while a page with the newest records loads.
// It doubles with each failure, as the store or a shared link may be slow.
constexpr milliseconds kNewestTimeout{1000};
constexpr std::uint32_t kMaxNewestTimeoutDoublings = 3;
// Limits the time of a read that makes progress, for which the largest record
// needs 0.5 Mbit/s. It doubles with each failure, as a read that is broken off
// transfers the same record again.
constexpr milliseconds kTotalReadTimeout{15000};
constexpr std::uint32_t kMaxTotalReadTimeoutDoublings = 2;
// For a call relayed for another daemon; longer than that daemon's timeouts. If
// that daemon accepts interim replies, it limits the time without progress.
constexpr milliseconds kRelayTimeout{2000};
// Limits the size of one reply, so that a daemon that lags behind makes
// progress over a slow link, too: 128 KB take 0.2 s at 5 Mbit/s. A larger
// record is returned whole.
constexpr std::uint32_t kMaxReadKilobytes = 128;
constexpr std::size_t kReadConnections = 6;
// For appends that are relayed for other daemons.
constexpr std::size_t kRelayedAppendConnections = 16;
// Further attempts of appends over one route are refused. Replies that were
// lost free their lane with the next reply.
constexpr std::size_t kMaxLanes = 16;
// A failed route is avoided for this long if there is another one. The failure
// of a relay makes the direct route eligible at once, as the store may be
// reachable again.
constexpr milliseconds kRouteRetryDelay{1000};

http::client_options options_with(std::size_t connections) {
  http::client_options options;
  options.connections = connections;
  options.call_timeout = kCallTimeout;
  return options;
}

milliseconds doubled(milliseconds first, std::uint32_t failed_attempts,
                     std::uint32_t max_doublings) {
  return first * (1 << std::min(failed_attempts, max_doublings));
}

http::call_options read_options(milliseconds stall_timeout,
                                std::uint32_t failed_attempts) {
  http::call_options options;
  options.timeout = doubled(kTotalReadTimeout, failed_attempts,
                            kMaxTotalReadTimeoutDoublings);
  options.stall_timeout = stall_timeout;
  return options;
}

bool is_rejection(const http::response& reply) {
  return reply.result() == http::status::too_many_requests ||
         reply.result() == http::status::service_unavailable ||
         reply.result() == http::status::bad_gateway;
}

}  // namespace

store_client::store_client(boost::asio::io_context& context,
                           const std::string& address,
                           const clock::clock& clock)
    : context_(context), clock_(clock), direct_(make_route(address, "")) {}

std::shared_ptr<store_client::route> store_client::make_route(
    const std::string& address, const std::string& path_prefix) {
  std::shared_ptr<route> made = std::make_shared<route>();
  made->address = address;
  made->path_prefix = path_prefix;
  made->reads.client = std::make_unique<http::client>(
      context_, address, options_with(kReadConnections));
  made->appends.client = std::make_unique<http::client>(
      context_, address, options_with(kRelayedAppendConnections));
  return made;
}

void store_client::set_relays(const std::vector<std::string>& addresses) {
  std::vector<std::shared_ptr<route>> kept;
  for (const std::string& address : addresses) {
    std::vector<std::shared_ptr<route>>::iterator known =
        std::find_if(relays_.begin(), relays_.end(),
                     [&](const std::shared_ptr<route>& each) {
                       return each->address == address;
                     });
    kept.push_back(known == relays_.end()
                       ? make_route(address, std::string(kStorePath))
                       : *known);
  }
  relays_ = std::move(kept);
}

store_client::route_client& store_client::client_for(route& route,
                                                     bool appends) {
  return appends ? route.appends : route.reads;
}

std::shared_ptr<store_client::route> store_client::choose_route(bool appends) {
  steady_time now = clock_.now();
  if (client_for(*direct_, appends).retry_at <= now) return direct_;
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const std::shared_ptr<route>& each =
        relays_[(next_relay_ + i) % relays_.size()];
    if (client_for(*each, appends).retry_at > now) continue;
    // Keep using this relay while it works.
    next_relay_ = (next_relay_ + i) % relays_.size();
    return each;
  }
  return direct_;
}

std::shared_ptr<store_client::route> store_client::choose_other_route(
    const std::shared_ptr<route>& first) {
  steady_time now = clock_.now();
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const std::shared_ptr<route>& each =
        relays_[(next_relay_ + i) % relays_.size()];
    if (each != first && each->appends.retry_at <= now) return each;
  }
  return direct_;
}

std::shared_ptr<store_client::lane> store_client::free_lane(route& route) {
  for (const std::shared_ptr<lane>& each : route.lanes) {
    if (each->attempt == 0) return each;
  }
  if (route.lanes.size() >= kMaxLanes) return nullptr;
  route.lanes.push_back(std::make_shared<lane>());
  return route.lanes.back();
}

void store_client::abandon(std::uint64_t attempt) {
  std::vector<std::shared_ptr<route>> routes = relays_;
  routes.push_back(direct_);
  for (const std::shared_ptr<route>& each : routes) {
    for (const std::shared_ptr<lane>& lane : each->lanes) {
      if (lane->attempt != attempt) continue;
      lane->client.reset();
      lane->attempt = 0;
      each->appends.retry_at = clock_.now() + kRouteRetryDelay;
      if (each != direct_) direct_->appends.retry_at = steady_time();
    }
  }
}

void store_client::record_result(route& route, bool appends,
                                 std::string_view step,
                                 const http::call_result& result) {
  route_client& route_client = client_for(route, appends);
  if (result.has_value() && !is_rejection(*result)) {
    route_client.retry_at = steady_time();
    last_reply_ = clock_.now();
    if (std::exchange(unreachable_, false)) {
      events::emit(events::id::log_up, step, route.address, "");
    }
    return;
  }
  route_client.retry_at = clock_.now() + kRouteRetryDelay;
  if (!route.path_prefix.empty()) {
    client_for(*direct_, appends).retry_at = steady_time();
  }
  if (!std::exchange(unreachable_, true)) {
    events::emit(events::id::log_down,
                 result.has_error()
                     ? result.error().cause
                     : http::status_failure(*result, step, route.address));
  }
}

void store_client::call(std::string_view step, http::request&& request,
                        bool appends, http::call_options options,
                        std::function<void(http::call_result&&)> handler) {
  ++calls_;
  std::shared_ptr<route> chosen = choose_route(appends);
  if (!chosen->path_prefix.empty()) {
    request.target(chosen->path_prefix + std::string(request.target()));
    if (options.stall_timeout) request.set(kAcceptsInterimHeader, "1");
  }
  http::client& client = *client_for(*chosen, appends).client;
  client.call(step, std::move(request), std::move(options),
              [this, alive = std::weak_ptr<bool>(alive_), chosen, appends,
               step = std::string(step),
               handler = std::move(handler)](http::call_result&& result) {
                if (alive.expired()) return;
                record_result(*chosen, appends, step, result);
                handler(std::move(result));
              });
}

void store_client::relay(http::request&& request,
                         std::function<bool()> on_progress,
                         std::function<void(http::call_result&&)> handler) {
  bool appends = request.method() == http::verb::post;
  route_client& route_client = client_for(*direct_, appends);
  if (route_client.retry_at > clock_.now()) {
    return handler(http::error_response(http::status::service_unavailable,
                                        "the store doesn't serve this daemon"));
  }
  ++calls_;
  http::call_options options;
  options.timeout = appends ? kAttemptTimeout : kRelayTimeout;
  if (!appends && on_progress) {
    options = read_options(kRelayTimeout, kMaxTotalReadTimeoutDoublings);
    options.on_progress = std::move(on_progress);
  }
  route_client.client->call("relay", std::move(request), std::move(options),
                            std::move(handler));
}

std::uint64_t store_client::append(const platform::append_request& request,
                                   const std::vector<jobs::record>& records,
                                   const append_call& options,
                                   std::function<void(append_result)> handler) {
  std::uint64_t attempt = ++append_attempts_;
  std::shared_ptr<route> chosen = choose_route(true);
  if (options.attempt % 2 == 1) chosen = choose_other_route(chosen);
  std::shared_ptr<lane> lane = free_lane(*chosen);
  if (!lane) {
    boost::asio::post(context_, [alive = std::weak_ptr<bool>(alive_), attempt,
                                 handler = std::move(handler)] {
      if (alive.expired()) return;
      handler({append_status::not_applied, {}, attempt});
    });
    return attempt;
  }
  ++calls_;
  lane->attempt = attempt;
  if (!lane->client) {
    lane->client = std::make_unique<http::client>(context_, chosen->address,
                                                  options_with(1));
  }
  http::request message = platform::encode_append(request, records);
  if (!chosen->path_prefix.empty()) {
    message.target(chosen->path_prefix + std::string(message.target()));
  }
  steady_time sent = clock_.now();
  lane->client->call(
      "append", std::move(message), options.timeout,
      [this, alive = std::weak_ptr<bool>(alive_), chosen, lane, attempt, sent,
       handler = std::move(handler)](http::call_result&& result) {
        if (alive.expired()) return;
        lane->attempt = 0;
        record_result(*chosen, true, "append", result);
        append_result out;
        out.attempt = attempt;
        on_append_reply(sent, std::move(result), &out);
        handler(std::move(out));
      });
  return attempt;
}

void store_client::on_append_reply(steady_time sent, http::call_result&& result,
                                   append_result* out) {
  if (result.has_error()) {
    bool may_be_applied = result.error().maybe_sent;
    out->status =
        may_be_applied ? append_status::unknown : append_status::not_applied;
    return;
  }
  // A relay replies with 502 if its own call failed.
  if (result->result() == http::status::bad_gateway) return;
  out->reply = platform::decode_append(*result);
  if (out->reply.outcome == platform::append_outcome::not_applied) {
    out->status = append_status::not_applied;
  } else if (out->reply.outcome != platform::append_outcome::unreadable) {
    observe_append(
        std::chrono::duration_cast<milliseconds>(clock_.now() - sent), &pace_);
    out->status = append_status::replied;
  }
}

void store_client::read(
    std::string_view topic, std::uint64_t from, milliseconds wait,
    std::uint32_t failed_attempts,
    std::function<void(error::result<platform::read_reply>)> handler) {
  call("read log", platform::encode_read(topic, from, wait, kMaxReadKilobytes),
       false,
       read_options(wait + doubled(kReadTimeoutMargin, failed_attempts,
                                   kMaxReadMarginDoublings),
                    failed_attempts),
       [this, sent = clock_.now(), wait, from,
        handler = std::move(handler)](http::call_result&& result) {
         if (result.has_error()) return handler(result.error().cause);
         steady_time now = clock_.now();
         milliseconds taken =
             std::chrono::duration_cast<milliseconds>(now - sent);
         observe_read(wait, taken, &read_delay_);
         if (is_on_time(wait, taken)) pace_.on_time = now;
         handler(platform::decode_read(*result, from));
       });
}

void store_client::newest(
    std::string_view topic, std::string_view after,
    std::uint32_t failed_attempts,
    std::function<void(error::result<platform::newest_reply>)> handler) {
  steady_time sent = clock_.now();
  milliseconds stall_timeout =
      doubled(kNewestTimeout, failed_attempts, kMaxNewestTimeoutDoublings);
  call("read newest", platform::encode_newest(topic, after), false,
       read_options(stall_timeout, failed_attempts),
       [this, sent, handler = std::move(handler)](http::call_result&& result) {
         if (result.has_error()) return handler(result.error().cause);
         milliseconds taken =
             std::chrono::duration_cast<milliseconds>(clock_.now() - sent);
         min_round_trip_ = std::min(min_round_trip_.value_or(taken), taken);
         handler(platform::decode_newest(*result));
       });
}

}  // namespace ebonygrade::poold
