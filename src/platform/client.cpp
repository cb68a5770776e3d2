#include "platform/client.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "clock/timer.h"
#include "http/client.h"
#include "http/json.h"
#include "platform/list_merge.h"
#include "ring/outbox.h"

namespace ebonygrade::platform {

namespace {

constexpr std::size_t kMaxRecordsPerRead = 256;
constexpr std::size_t kMaxQueuedAppends = 1024;  // Further appends fail.
constexpr int kMaxBackoffFactor = 16;            // Multiple of the first delay.
constexpr double kAppendBurstSeconds = 0.5;      // Burst, at the append rate.
constexpr milliseconds kPollTimeoutMargin{2000};  // Beyond the wait.
constexpr unsigned kMinServerErrorStatus = 500;   // HTTP status.
constexpr std::size_t kMinFreeReportSlots = 8;    // Required to start a read.

// Delay before a retry. Doubles with each failure and has jitter.
class backoff {
 public:
  explicit backoff(milliseconds first_delay) : first_delay_(first_delay) {}

  milliseconds next_delay(std::minstd_rand& random) {
    const milliseconds max_delay = first_delay_ * factor_;
    factor_ = std::min(factor_ * 2, kMaxBackoffFactor);
    std::uniform_int_distribution<std::int64_t> jitter(max_delay.count() / 2,
                                                       max_delay.count());
    return milliseconds(jitter(random));
  }

  void reset() { factor_ = 1; }

 private:
  milliseconds first_delay_;
  int factor_ = 1;
};

// A stream that is followed, and the position of the next read.
struct followed_stream {
  std::uint64_t position = 0;
  bool at_end = false;  // The next read may wait for more records.
  std::unique_ptr<http::client> connection;
  std::unique_ptr<clock::timer> timer;
  backoff retry_backoff{milliseconds(0)};
};

// A read_to_end command for a followed stream, which completes when the
// stream's position reaches `end_offset`.
struct awaited_end {
  std::uint64_t token = 0;
  std::string stream;
  std::uint64_t end_offset = 0;
};

}  // namespace

class client::implementation {
 public:
  implementation(boost::asio::io_context& context, const clock::clock& clock,
                 const client_options& options, ring::channel<report>& reports)
      : context_(context),
        clock_(clock),
        options_(options),
        reports_(reports),
        random_(std::random_device{}()),
        append_connection_(context, options.log_address, make_client_options()),
        read_connection_(context, options.log_address, make_client_options()),
        list_connection_(context, options.list_address, make_client_options()),
        append_timer_(context),
        list_timer_(context),
        rate_tokens_(burst()),
        rate_tokens_updated_(clock.now()) {
    read_list();
  }

  void handle(command&& command) {
    std::visit(
        [this](auto&& alternative) {
          on(std::forward<decltype(alternative)>(alternative));
        },
        std::move(command));
  }

  void close() {
    closed_ = true;
    append_timer_.cancel();
    list_timer_.cancel();
    append_connection_.close();
    read_connection_.close();
    list_connection_.close();
    for (auto& [name, stream] : followed_streams_) {
      stream.timer->cancel();
      stream.connection->close();
    }
  }

 private:
  http::client_options make_client_options() const {
    http::client_options result;
    result.call_timeout = options_.call_timeout;
    return result;
  }

  double burst() const {
    return std::max(1.0, options_.appends_per_second * kAppendBurstSeconds);
  }

  void record_reachability(bool reachable, const error::failure& cause) {
    if (reachable_ == reachable) return;
    reachable_ = reachable;
    reports_.send(log_reachability{reachable, cause});
  }

  // ---- Appends ------------------------------------------------------------

  void on(append&& command) {
    if (appends_.size() >= kMaxQueuedAppends) {
      reports_.send(
          append_failed{command.token,
                        false,
                        {error::code::unavailable, "append " + command.stream,
                         options_.log_address, "too many appends are queued"}});
      return;
    }
    appends_.push_back(std::move(command));
    send_append();
  }

  // Takes one token from the token bucket that limits the append rate. If there
  // is none, returns the time until there is one.
  std::optional<milliseconds> take_rate_token() {
    const clock::steady_time now = clock_.now();
    const std::chrono::duration<double> elapsed = now - rate_tokens_updated_;
    rate_tokens_ = std::min(
        burst(), rate_tokens_ + elapsed.count() * options_.appends_per_second);
    rate_tokens_updated_ = now;
    if (rate_tokens_ >= 1.0) {
      rate_tokens_ -= 1.0;
      return std::nullopt;
    }
    const double seconds = (1.0 - rate_tokens_) / options_.appends_per_second;
    return milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1);
  }

  void send_append() {
    if (append_in_flight_ || appends_.empty() || closed_) return;
    const std::optional<milliseconds> wait = take_rate_token();
    if (wait) {
      append_timer_.expires_after(*wait);
      append_timer_.async_wait([this](boost::system::error_code failed) {
        if (!failed) send_append();
      });
      return;
    }
    append_in_flight_ = true;
    append sent = std::move(appends_.front());
    appends_.pop_front();
    http::request request(http::verb::post,
                          "/v1/streams/" + sent.stream + "/records",
                          http::kHttpVersion11);
    request.set(boost::beast::http::field::content_type,
                "application/octet-stream");
    request.body() = sent.record.SerializeAsString();
    request.prepare_payload();
    append_connection_.call("append " + sent.stream, std::move(request),
                            [this, token = sent.token,
                             stream = sent.stream](http::call_result&& result) {
                              on_append_result(token, stream,
                                               std::move(result));
                            });
  }

  void on_append_result(std::uint64_t token, const std::string& stream,
                        http::call_result&& result) {
    append_in_flight_ = false;
    report_append(token, stream, result);
    send_append();
  }

  // A server error may come from a gateway after the append was applied; status
  // 503 means that it was not.
  static bool may_have_applied(const http::response& reply) {
    return reply.result_int() >= kMinServerErrorStatus &&
           reply.result() != http::status::service_unavailable;
  }

  void report_append(std::uint64_t token, const std::string& stream,
                     const http::call_result& result) {
    if (result.has_error()) {
      record_reachability(false, result.error().cause);
      reports_.send(append_failed{token, result.error().maybe_sent,
                                  result.error().cause});
      return;
    }
    const std::string step = "append " + stream;
    if (result->result() != http::status::ok) {
      const error::failure cause =
          http::status_failure(*result, step, options_.log_address);
      reports_.send(append_failed{token, may_have_applied(*result), cause});
      return;
    }
    wire::log_append_reply reply;
    const error::result<void> parsed = http::from_json(result->body(), &reply);
    if (parsed.has_error()) {
      reports_.send(append_failed{token, true, parsed.error()});
      return;
    }
    record_reachability(true, {});
    reports_.send(appended{token, reply.offset()});
  }

  // ---- Following ----------------------------------------------------------

  void on(follow&& command) {
    followed_stream& stream = followed_streams_[command.stream];
    stream.position = command.from;
    stream.connection = std::make_unique<http::client>(
        context_, options_.log_address, make_client_options());
    stream.timer = std::make_unique<clock::timer>(context_);
    stream.retry_backoff = backoff(options_.retry_pause);
    read_followed(command.stream);
  }

  static std::string read_target(const std::string& stream, std::uint64_t from,
                                 std::size_t max_records, milliseconds wait) {
    return "/v1/streams/" + stream + "/records?from=" + std::to_string(from) +
           "&max=" + std::to_string(max_records) +
           "&wait_ms=" + std::to_string(wait.count());
  }

  void read_followed(const std::string& name) {
    if (closed_) return;
    if (reports_.free_space() < kMinFreeReportSlots) {
      read_followed_later(name, options_.retry_pause);
      return;
    }
    followed_stream& stream = followed_streams_.at(name);
    const milliseconds wait =
        stream.at_end ? options_.follow_wait : milliseconds(0);
    stream.connection->call(
        "read " + name,
        http::json_request(
            http::verb::get,
            read_target(name, stream.position, kMaxRecordsPerRead, wait)),
        wait + kPollTimeoutMargin, [this, name](http::call_result&& result) {
          on_followed_read(name, std::move(result));
        });
  }

  void read_followed_later(const std::string& name, milliseconds delay) {
    followed_stream& stream = followed_streams_.at(name);
    stream.timer->expires_after(delay);
    stream.timer->async_wait([this, name](boost::system::error_code failed) {
      if (!failed) read_followed(name);
    });
  }

  // Parses the reply of a read. On failure returns nothing and sets `cause`.
  std::optional<wire::log_read_reply> parse_read(
      const std::string& name, const http::call_result& result,
      error::failure* cause) {
    if (result.has_error()) {
      *cause = result.error().cause;
      return std::nullopt;
    }
    if (result->result() != http::status::ok) {
      *cause =
          http::status_failure(*result, "read " + name, options_.log_address);
      return std::nullopt;
    }
    wire::log_read_reply reply;
    const error::result<void> parsed = http::from_json(result->body(), &reply);
    if (parsed.has_error()) {
      *cause = parsed.error();
      return std::nullopt;
    }
    return reply;
  }

  void on_followed_read(const std::string& name, http::call_result&& result) {
    followed_stream& stream = followed_streams_.at(name);
    error::failure cause;
    const std::optional<wire::log_read_reply> reply =
        parse_read(name, result, &cause);
    if (!reply) {
      record_reachability(false, cause);
      read_followed_later(name, stream.retry_backoff.next_delay(random_));
      return;
    }
    record_reachability(true, {});
    stream.retry_backoff.reset();
    stream.position = report_records(name, stream.position, *reply);
    stream.at_end = stream.position >= reply->next();
    report_reached_ends(name, stream.position);
    // If the log ends before the position, a long poll doesn't wait, so that
    // the delay must limit the rate of reads.
    if (reply->next() < stream.position) {
      read_followed_later(name, stream.retry_backoff.next_delay(random_));
      return;
    }
    read_followed(name);
  }

  // Reports the records of a read and returns the next position.
  std::uint64_t report_records(const std::string& name, std::uint64_t position,
                               const wire::log_read_reply& reply) {
    records batch;
    batch.stream = name;
    batch.oldest_offset = reply.first();
    position = std::max(position, reply.first());
    for (const wire::log_entry& entry : reply.records()) {
      position = entry.offset() + 1;
      wire::record record;
      if (!record.ParseFromString(entry.data())) continue;
      batch.offsets.push_back(entry.offset());
      batch.entries.push_back(std::move(record));
    }
    batch.at_end = position >= reply.next();
    reports_.send(std::move(batch));
    return position;
  }

  void report_reached_ends(const std::string& name, std::uint64_t position) {
    std::erase_if(
        awaited_ends_, [this, &name, position](const awaited_end& awaited) {
          if (awaited.stream != name || position < awaited.end_offset) {
            return false;
          }
          reports_.send(end_reached{awaited.token});
          return true;
        });
  }

  // ---- Reading to the end -------------------------------------------------

  void on(read_to_end&& command) {
    const auto found = followed_streams_.find(command.stream);
    if (found == followed_streams_.end()) {
      read_unfollowed(command.token, command.stream, 0);
      return;
    }
    read_end_offset(command.token, command.stream, found->second.position);
  }

  // Reads the current end of a followed stream.
  void read_end_offset(std::uint64_t token, const std::string& name,
                       std::uint64_t position) {
    read_connection_.call(
        "read end of " + name,
        http::json_request(http::verb::get,
                           read_target(name, position, 1, milliseconds(0))),
        [this, token, name](http::call_result&& result) {
          error::failure cause;
          const std::optional<wire::log_read_reply> reply =
              parse_read(name, result, &cause);
          if (!reply) {
            report_read_failed(token, cause);
            return;
          }
          awaited_ends_.push_back({token, name, reply->next()});
          report_reached_ends(name, followed_streams_.at(name).position);
        });
  }

  // Delays the report, since the caller may retry as soon as it receives it.
  void report_read_failed(std::uint64_t token, const error::failure& cause) {
    std::shared_ptr<clock::timer> timer =
        std::make_shared<clock::timer>(context_);
    timer->expires_after(backoff(options_.retry_pause).next_delay(random_));
    timer->async_wait(
        [this, timer, token, cause,
         alive = std::weak_ptr<int>(alive_)](boost::system::error_code failed) {
          if (failed || alive.expired()) return;
          reports_.send(read_failed{token, cause});
        });
  }

  void read_unfollowed(std::uint64_t token, const std::string& name,
                       std::uint64_t position) {
    read_connection_.call(
        "read " + name,
        http::json_request(
            http::verb::get,
            read_target(name, position, kMaxRecordsPerRead, milliseconds(0))),
        [this, token, name, position](http::call_result&& result) {
          error::failure cause;
          const std::optional<wire::log_read_reply> reply =
              parse_read(name, result, &cause);
          if (!reply) {
            report_read_failed(token, cause);
            return;
          }
          const std::uint64_t next = report_records(name, position, *reply);
          if (next >= reply->next()) {
            reports_.send(end_reached{token});
            return;
          }
          read_unfollowed(token, name, next);
        });
  }

  // ---- List ---------------------------------------------------------------

  void read_list() {
    list_connection_.call(
        "read list",
        http::json_request(http::verb::get,
                           "/v1/list?since=" + std::to_string(list_.version())),
        [this](http::call_result&& result) {
          on_list_read(result);
          list_timer_.expires_after(options_.list_interval);
          list_timer_.async_wait([this](boost::system::error_code failed) {
            if (!failed && !closed_) read_list();
          });
        });
  }

  void on_list_read(const http::call_result& result) {
    if (result.has_error() || result->result() != http::status::ok) return;
    wire::vm_list read;
    if (http::from_json(result->body(), &read).has_error()) return;
    merge(list_, read);
    reports_.send(list_read{list_});
  }

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  client_options options_;
  ring::outbox<report> reports_;
  std::minstd_rand random_;
  http::client append_connection_;
  http::client read_connection_;
  http::client list_connection_;
  clock::timer append_timer_;
  clock::timer list_timer_;
  std::deque<append> appends_;
  bool append_in_flight_ = false;
  double rate_tokens_;
  clock::steady_time rate_tokens_updated_;
  std::map<std::string, followed_stream> followed_streams_;
  std::vector<awaited_end> awaited_ends_;
  wire::vm_list list_;
  std::optional<bool> reachable_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  bool closed_ = false;
};

client::client(boost::asio::io_context& context, const clock::clock& clock,
               const client_options& options, ring::channel<report>& reports)
    : implementation_(
          std::make_unique<implementation>(context, clock, options, reports)) {}

client::~client() = default;

void client::handle(command&& command) {
  implementation_->handle(std::move(command));
}
void client::close() { implementation_->close(); }

}  // namespace ebonygrade::platform
