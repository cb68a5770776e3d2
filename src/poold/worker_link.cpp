#include "poold/worker_link.h"

#include <utility>

namespace ebonygrade::poold {

namespace {

// How long a poll waits for an end. Shorter than the pool's limit for
// unresponsive workers, so that an idle worker doesn't count as unresponsive.
constexpr milliseconds kPollWait{1000};
// Added to the wait of a poll: covers the round trip between two regions and a
// slow worker.
constexpr milliseconds kReplyTimeoutMargin{700};
// Delay between a reply and the next poll, so that one poll returns several
// ends that occur close together.
constexpr milliseconds kPollInterval{60};
constexpr milliseconds kPollRetryDelay{200};
// Limits how long a poll waits for the last ends to be recorded, so that the
// lease is renewed also while the journal is unavailable.
constexpr milliseconds kMaxEndRecordWait{700};
constexpr milliseconds kCommandTimeout{600};
// A worker that has answered this many polls in a row, each on a new
// connection, closes the connections itself; their loss then doesn't show a
// restart.
constexpr std::size_t kMinAnswersOfClosingWorker = 2;
constexpr std::size_t kPollConnections = 1;
constexpr std::size_t kOrderConnections = 3;

http::client_options link_options(std::size_t connections) {
  http::client_options options;
  options.connections = connections;
  options.call_timeout = kCommandTimeout;
  return options;
}

}  // namespace

worker_link::worker_link(boost::asio::io_context& context,
                         const clock::clock& clock, std::string worker,
                         const std::string& address, handlers handlers)
    : clock_(clock),
      worker_(std::move(worker)),
      address_(address),
      handlers_(std::move(handlers)),
      poll_client_(context, address, link_options(kPollConnections)),
      order_client_(context, address, link_options(kOrderConnections)),
      timer_(context) {}

void worker_link::start() { poll(); }

void worker_link::stop() {
  stopped_ = true;
  timer_.cancel();
}

void worker_link::on_ends_recorded() {
  if (!std::exchange(awaits_end_records_, false)) return;
  poll_after(kPollInterval);
}

void worker_link::poll_after(milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (!failed && !self->stopped_) self->poll();
      });
}

void worker_link::poll() {
  awaits_end_records_ = false;
  bool reuses_connection = poll_client_.has_idle_connection();
  bool connected =
      answered_ && (reuses_connection ||
                    answers_on_new_connections_ >= kMinAnswersOfClosingWorker);
  platform::worker_poll_request request =
      handlers_.prepare_poll(worker_, connected);
  request.worker = worker_;
  // The first poll returns the worker's state at once.
  request.wait = connected ? kPollWait : milliseconds(0);
  steady_time sent = clock_.now();
  poll_client_.call("hold", platform::encode_worker_poll(request),
                    request.wait + kReplyTimeoutMargin,
                    [self = shared_from_this(), request, sent, connected,
                     reuses_connection](http::call_result&& result) {
                      if (self->stopped_) return;
                      if (reuses_connection || result.has_error()) {
                        self->answers_on_new_connections_ = 0;
                      } else {
                        ++self->answers_on_new_connections_;
                      }
                      self->on_reply(std::move(result), request, sent,
                                     connected);
                    });
}

void worker_link::on_reply(http::call_result&& result,
                           const platform::worker_poll_request& request,
                           steady_time sent, bool connected) {
  answered_ = false;
  if (result.has_error()) {
    bool broke = result.error().cause.code == error::code::connection_lost ||
                 result.error().cause.code == error::code::unavailable;
    if (broke) {
      handlers_.on_contact_lost(worker_);
    }
    handlers_.on_poll_result(request, nullptr, sent);
    return poll_after(kPollRetryDelay);
  }
  platform::worker_poll_reply reply = platform::decode_worker_poll(*result);
  answered_ = reply.outcome == platform::worker_poll_outcome::answered;
  handlers_.on_poll_result(request, &reply, sent);
  if (stopped_) return;
  if (!answered_) return poll_after(kPollRetryDelay);
  // A poll on a new connection lists ends that have been recorded, too.
  if (connected && !reply.report.ended.empty()) {
    awaits_end_records_ = true;
    return poll_after(kMaxEndRecordWait);
  }
  poll_after(connected ? kPollInterval : milliseconds(0));
}

void worker_link::send_start(const pool::start_order& order,
                             std::function<void(pool::start_outcome)> handler) {
  order_client_.call("start", platform::encode_start(order),
                     [self = shared_from_this(), handler = std::move(handler)](
                         http::call_result&& result) {
                       if (result.has_error()) {
                         return handler(pool::start_outcome::unknown);
                       }
                       handler(platform::decode_start(*result));
                     });
}

void worker_link::send_stop(const pool::stop_order& order,
                            std::function<void(bool)> handler) {
  order_client_.call(
      "stop", platform::encode_stop(order),
      [self = shared_from_this(),
       handler = std::move(handler)](http::call_result&& result) {
        handler(result.has_value() && platform::decode_stop(*result));
      });
}

}  // namespace ebonygrade::poold
