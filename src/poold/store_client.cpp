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
// A read is repeated when its reply is overdue by twice the delay of the last
// reply, within these limits: a round trip between regions to a busy store, and
// the reply time of a store that is slowed down by a factor of 170.
constexpr milliseconds kMinReadRepeatDelay{300};
constexpr milliseconds kMaxReadRepeatDelay{700};
// The same for a page with the newest records, which may come over a link that
// is shared with many others.
constexpr milliseconds kNewestRepeatDelay{1000};
// Added once bytes of a reply have arrived, as a repetition transfers the same
// record again.
constexpr milliseconds kProgressGrace{700};
// A timer that is later shows that this daemon has no CPU for its events.
constexpr milliseconds kMaxTimerDelay{50};
// From the third attempt on, the time to the next one doubles.
constexpr std::size_t kSteadyReadAttempts = 3;
// A read fails after this many attempts, or when all of them have failed.
constexpr std::size_t kMaxReadAttempts = 5;
// Limits the time without progress of one attempt of a read, beyond the wait of
// a long poll, as the store may be slower than ever before.
constexpr milliseconds kReadPatience{2800};
constexpr milliseconds kNewestPatience{8000};
// Limits the rate of log lines about repetitions.
constexpr milliseconds kRepetitionLogInterval{1000};
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
// Three followers with the attempts that they may await over one route.
constexpr std::size_t kReadConnections = 12;
// For reads that are relayed for other daemons, each of them a long poll.
constexpr std::size_t kRelayedReadConnections = 48;
// For appends that are relayed for other daemons.
constexpr std::size_t kRelayedAppendConnections = 16;
// Further attempts of appends over one route are refused. Replies that were
// lost free their lane with the next reply.
constexpr std::size_t kMaxLanes = 16;
// A failed route is avoided for this long if there is another one. The failure
// of a relay makes the direct route eligible at once, as the store may be
// reachable again.
constexpr milliseconds kRouteRetryDelay{1000};
// The delay doubles with each failure of a read in a row. Each attempt on a
// silent route costs the time until the read is repeated.
constexpr std::uint32_t kMaxRetryDelayDoublings = 2;

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
    : context_(context),
      clock_(clock),
      relayed_reads_(std::make_unique<http::client>(
          context, address, options_with(kRelayedReadConnections))),
      direct_(make_route(address, "")) {}

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
    route_client.failures = 0;
    last_reply_ = clock_.now();
    if (std::exchange(unreachable_, false)) {
      events::emit(events::id::log_up, step, route.address, "");
    }
    return;
  }
  if (appends) {
    route_client.retry_at = clock_.now() + kRouteRetryDelay;
  } else {
    avoid_for_reads(&route);
  }
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

void store_client::avoid_for_reads(route* route) {
  route_client& reads = route->reads;
  reads.retry_at = clock_.now() + doubled(kRouteRetryDelay, reads.failures,
                                          kMaxRetryDelayDoublings);
  ++reads.failures;
}

std::shared_ptr<store_client::route> store_client::choose_read_route(
    const open_read& read) {
  if (read.attempts.empty()) return choose_route(false);
  auto is_tried = [&](const std::shared_ptr<route>& each) {
    return std::any_of(
        read.attempts.begin(), read.attempts.end(),
        [&](const read_attempt& tried) { return tried.sent_over == each; });
  };
  steady_time now = clock_.now();
  if (!is_tried(direct_) && direct_->reads.retry_at <= now) return direct_;
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    std::size_t index = (next_relay_ + i) % relays_.size();
    const std::shared_ptr<route>& each = relays_[index];
    if (is_tried(each) || each->reads.retry_at > now) continue;
    next_relay_ = index;
    return each;
  }
  return direct_;
}

void store_client::begin_read(std::shared_ptr<open_read> read) {
  read->begun = clock_.now();
  read->repeat_at = read->begun + read->wait + read->repeat_delay;
  send_read(read);
  watch_read(read);
}

void store_client::send_read(const std::shared_ptr<open_read>& read) {
  std::shared_ptr<route> chosen = choose_read_route(*read);
  std::size_t index = read->attempts.size();
  milliseconds wait = index == 0 ? read->wait : milliseconds(0);
  read->attempts.push_back({chosen, read->repeat_at});
  ++calls_;
  http::request request = read->encode(wait);
  if (!chosen->path_prefix.empty()) {
    request.target(chosen->path_prefix + std::string(request.target()));
    request.set(kAcceptsInterimHeader, "1");
  }
  http::call_options options = read->options;
  *options.stall_timeout += wait;
  options.on_progress = [this, index, alive = std::weak_ptr<bool>(alive_),
                         weak = std::weak_ptr<open_read>(read)] {
    std::shared_ptr<open_read> wanted = weak.lock();
    if (alive.expired() || !wanted || !wanted->handler) return false;
    steady_time late_at = clock_.now() + wanted->repeat_delay + kProgressGrace;
    wanted->repeat_at = std::max(wanted->repeat_at, late_at);
    wanted->attempts[index].late_at =
        std::max(wanted->attempts[index].late_at, late_at);
    return true;
  };
  chosen->reads.client->call(
      read->step, std::move(request), std::move(options),
      [this, alive = std::weak_ptr<bool>(alive_), read, chosen, index, wait,
       sent = clock_.now()](http::call_result&& result) {
        if (alive.expired()) return;
        // A failure after another attempt got a reply may be its break-off.
        if (!read->handler && result.has_error()) return;
        record_result(*chosen, false, read->step, result);
        on_read_reply(read, index, std::move(result), wait, sent);
      });
}

void store_client::on_read_reply(const std::shared_ptr<open_read>& read,
                                 std::size_t index, http::call_result&& result,
                                 milliseconds wait, steady_time sent) {
  read->attempts[index].awaited = false;
  if (!read->handler) return;
  bool failed = result.has_error() || is_rejection(*result);
  bool awaited =
      std::any_of(read->attempts.begin(), read->attempts.end(),
                  [](const read_attempt& each) { return each.awaited; });
  if (failed && awaited) {
    if (read->attempts.size() >= kMaxReadAttempts) return;
    // Another route may serve it at once.
    read->repeat_at = clock_.now();
    return watch_read(read);
  }
  read->timer.cancel();
  std::exchange(read->handler, nullptr)(std::move(result), wait, sent);
}

void store_client::watch_read(const std::shared_ptr<open_read>& read) {
  read->timer.expires_after(read->repeat_at - clock_.now());
  read->timer.async_wait([this, alive = std::weak_ptr<bool>(alive_),
                          read](boost::system::error_code cancelled) {
    if (cancelled || alive.expired() || !read->handler) return;
    steady_time now = clock_.now();
    // A daemon that lags may have the reply in hand.
    if (now - read->repeat_at > kMaxTimerDelay &&
        !std::exchange(read->lagged, true)) {
      read->repeat_at = now + read->repeat_delay;
      for (read_attempt& each : read->attempts) {
        each.late_at = std::max(each.late_at, read->repeat_at);
      }
    }
    // The reply may also have made progress.
    if (now < read->repeat_at) return watch_read(read);
    repeat_read(read);
  });
}

store_client::route* store_client::avoid_late_routes(open_read* read,
                                                     steady_time now) {
  route* newest = nullptr;
  for (read_attempt& each : read->attempts) {
    if (!each.awaited || each.late_at > now) continue;
    newest = each.sent_over.get();
    if (!std::exchange(each.avoided, true)) avoid_for_reads(newest);
  }
  return newest;
}

void store_client::repeat_read(const std::shared_ptr<open_read>& read) {
  if (read->attempts.size() >= kMaxReadAttempts) {
    http::call_failure failure;
    failure.cause = {error::code::timeout, read->step,
                     read->attempts.back().sent_over->address,
                     "no reply over any route"};
    failure.maybe_sent = true;
    return std::exchange(read->handler, nullptr)(std::move(failure),
                                                 milliseconds(0), read->begun);
  }
  steady_time now = clock_.now();
  // After a rejection, none may be late.
  const route* silent = avoid_late_routes(read.get(), now);
  std::size_t sent = read->attempts.size() + 1;
  std::size_t doublings =
      sent < kSteadyReadAttempts ? 0 : sent - kSteadyReadAttempts + 1;
  read->repeat_at =
      now + read->repeat_delay * (1 << static_cast<int>(doublings));
  send_read(read);
  read->lagged = false;
  ++repeated_reads_;
  if (now - repetition_logged_ >= kRepetitionLogInterval) {
    repetition_logged_ = now;
    events::emit(
        events::id::read_repeated, read->step,
        read->attempts.back().sent_over->address,
        "silent={} attempt={} waited_ms={} repeated={}",
        silent != nullptr ? silent->address : "none", sent,
        std::chrono::duration_cast<milliseconds>(now - read->begun).count(),
        repeated_reads_);
  }
  watch_read(read);
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
  http::client& client = appends ? *route_client.client : *relayed_reads_;
  client.call("relay", std::move(request), std::move(options),
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

void store_client::read(std::string_view topic, std::uint64_t from,
                        milliseconds wait, std::uint32_t failed_attempts,
                        read_handler handler) {
  std::shared_ptr<open_read> made = std::make_shared<open_read>(context_);
  made->step = "read log";
  made->encode = [topic = std::string(topic), from](milliseconds wait) {
    return platform::encode_read(topic, from, wait, kMaxReadKilobytes);
  };
  made->wait = failed_attempts > 0 ? milliseconds(0) : wait;
  made->repeat_delay =
      std::clamp(read_delay_ * 2, kMinReadRepeatDelay, kMaxReadRepeatDelay);
  made->options = read_options(kReadPatience, failed_attempts);
  made->handler = [this, from, handler = std::move(handler)](
                      http::call_result&& result, milliseconds wait,
                      steady_time sent) {
    if (result.has_error()) return handler(result.error().cause, sent);
    steady_time now = clock_.now();
    milliseconds taken = std::chrono::duration_cast<milliseconds>(now - sent);
    observe_read(wait, taken, &read_delay_);
    if (is_on_time(wait, taken)) pace_.on_time = now;
    handler(platform::decode_read(*result, from), sent);
  };
  begin_read(std::move(made));
}

void store_client::newest(
    std::string_view topic, std::string_view after,
    std::uint32_t failed_attempts,
    std::function<void(error::result<platform::newest_reply>)> handler) {
  std::shared_ptr<open_read> made = std::make_shared<open_read>(context_);
  made->step = "read newest";
  made->encode = [topic = std::string(topic),
                  after = std::string(after)](milliseconds) {
    return platform::encode_newest(topic, after);
  };
  made->repeat_delay = kNewestRepeatDelay;
  made->options = read_options(kNewestPatience, failed_attempts);
  made->handler = [this, handler = std::move(handler)](
                      http::call_result&& result, milliseconds,
                      steady_time sent) {
    if (result.has_error()) return handler(result.error().cause);
    milliseconds taken =
        std::chrono::duration_cast<milliseconds>(clock_.now() - sent);
    min_round_trip_ = std::min(min_round_trip_.value_or(taken), taken);
    handler(platform::decode_newest(*result));
  };
  begin_read(std::move(made));
}

}  // namespace ebonygrade::poold
