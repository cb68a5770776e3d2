#include "poold/store.h"

#include <algorithm>
#include <utility>

#include "events/events.h"

namespace ebonygrade::poold {

namespace {

// Four times the answer time of a store that is slowed sixty times.
constexpr milliseconds kCallTimeout{1000};
// An append whose answer is lost is repeated after a multiple of the usual
// time, within these bounds.
constexpr milliseconds kShortestAppendTimeout{150};
constexpr int kAppendTimeFactor = 5;
// Weight of the newest append in the smoothed time, one part in so many.
constexpr int kSmoothing = 4;
// A long poll may be answered so much later than its wait.
constexpr milliseconds kReadSlack{700};
constexpr std::size_t kReadConnections = 6;
constexpr std::size_t kAppendConnections = 4;

http::client_options options_with(std::size_t connections) {
  http::client_options options;
  options.connections = connections;
  options.call_timeout = kCallTimeout;
  return options;
}

}  // namespace

store::store(boost::asio::io_context& context, const std::string& address,
             const clock::clock& clock)
    : clock_(clock),
      reads_(context, address, options_with(kReadConnections)),
      appends_(context, address, options_with(kAppendConnections)) {}

void store::answered() {
  last_answer_ = clock_.now();
  if (std::exchange(down_, false)) {
    events::emit(events::id::log_up, "call store", "", "");
  }
}

void store::failed(const error::failure& cause) {
  if (!std::exchange(down_, true)) {
    events::emit(events::id::log_down, cause);
  }
}

milliseconds store::append_timeout(std::uint32_t repetitions) const {
  constexpr std::uint32_t kMaxDoublings = 3;
  milliseconds first =
      std::max(kShortestAppendTimeout, append_time_ * kAppendTimeFactor);
  return std::min(first * (1 << std::min(repetitions, kMaxDoublings)),
                  kCallTimeout);
}

void store::append(const platform::append_request& request,
                   const std::vector<jobs::record>& records,
                   std::uint32_t repetitions,
                   std::function<void(append_result)> handler) {
  ++calls_;
  steady_time sent = clock_.now();
  appends_.call(
      "append", platform::encode_append(request, records),
      append_timeout(repetitions),
      [this, sent, handler = std::move(handler)](http::call_result&& result) {
        append_result out;
        if (result.has_error()) {
          failed(result.error().cause);
          bool sent = result.error().maybe_sent;
          out.fate = sent ? append_fate::unknown : append_fate::not_done;
          return handler(std::move(out));
        }
        out.reply = platform::decode_append(*result);
        if (out.reply.outcome == platform::append_outcome::not_done) {
          failed(http::status_failure(*result, "append", "store"));
          out.fate = append_fate::not_done;
        } else if (out.reply.outcome == platform::append_outcome::unreadable) {
          failed(http::status_failure(*result, "append", "store"));
        } else {
          answered();
          milliseconds taken =
              std::chrono::duration_cast<milliseconds>(last_answer_ - sent);
          append_time_ += (taken - append_time_) / kSmoothing;
          out.fate = append_fate::settled;
        }
        handler(std::move(out));
      });
}

void store::read(
    std::string_view topic, std::uint64_t from, milliseconds wait,
    std::function<void(error::result<platform::read_reply>)> handler) {
  ++calls_;
  reads_.call(
      "read log", platform::encode_read(topic, from, wait), wait + kReadSlack,
      [this, from, handler = std::move(handler)](http::call_result&& result) {
        if (result.has_error()) {
          failed(result.error().cause);
          return handler(result.error().cause);
        }
        error::result<platform::read_reply> reply =
            platform::decode_read(*result, from);
        if (reply.has_error()) {
          failed(reply.error());
        } else {
          answered();
        }
        handler(std::move(reply));
      });
}

void store::newest(
    std::string_view topic, std::string_view after,
    std::function<void(error::result<platform::newest_reply>)> handler) {
  ++calls_;
  reads_.call("read newest", platform::encode_newest(topic, after),
              [this, handler = std::move(handler)](http::call_result&& result) {
                if (result.has_error()) {
                  failed(result.error().cause);
                  return handler(result.error().cause);
                }
                error::result<platform::newest_reply> reply =
                    platform::decode_newest(*result);
                if (reply.has_error()) {
                  failed(reply.error());
                } else {
                  answered();
                }
                handler(std::move(reply));
              });
}

}  // namespace ebonygrade::poold
