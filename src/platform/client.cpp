#include "platform/client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "http/client.h"
#include "http/json.h"
#include "platform/list_merge.h"
#include "ring/outbox.h"

namespace ebonygrade::platform {

namespace {

constexpr std::size_t kReadBatch = 256;          // Records a read.
constexpr std::size_t kMaxQueuedAppends = 1024;  // Further ones fail.
constexpr int kMaxBackoffFactor = 16;            // Times the retry pause.
constexpr double kBurstSeconds = 0.5;            // Of the append rate.
constexpr milliseconds kPollMargin{2000};        // Beyond a long poll's wait.
constexpr unsigned kFirstServerError = 500;      // Of HTTP statuses.
constexpr std::size_t kReportReserve = 8;        // Ring space kept free.

// Pause before a retry: doubles with each failure and is jittered.
class backoff {
 public:
  explicit backoff(milliseconds pause) : pause_(pause) {}

  milliseconds next(std::minstd_rand& random) {
    const milliseconds whole = pause_ * factor_;
    factor_ = std::min(factor_ * 2, kMaxBackoffFactor);
    std::uniform_int_distribution<std::int64_t> jitter(whole.count() / 2,
                                                       whole.count());
    return milliseconds(jitter(random));
  }

  void reset() { factor_ = 1; }

 private:
  milliseconds pause_;
  int factor_ = 1;
};

// Position in a stream that is followed.
struct followed {
  std::uint64_t position = 0;
  bool at_end = false;  // Only then a read may wait for more records.
  std::unique_ptr<http::client> connection;
  std::unique_ptr<boost::asio::steady_timer> timer;
  backoff pause{milliseconds(0)};
};

// A read_to_end of a followed stream that waits for the follower.
struct awaited_end {
  std::uint64_t token = 0;
  std::string stream;
  std::uint64_t until = 0;
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
        append_connection_(context, options.log_address, call_options()),
        read_connection_(context, options.log_address, call_options()),
        list_connection_(context, options.list_address, call_options()),
        append_timer_(context),
        list_timer_(context),
        tokens_(burst()),
        tokens_at_(clock.now()) {
    read_list();
  }

  void handle(command&& command) {
    std::visit([this](auto&& each) { on(std::forward<decltype(each)>(each)); },
               std::move(command));
  }

  void close() {
    closed_ = true;
    append_timer_.cancel();
    list_timer_.cancel();
    append_connection_.close();
    read_connection_.close();
    list_connection_.close();
    for (auto& [name, stream] : streams_) {
      stream.timer->cancel();
      stream.connection->close();
    }
  }

 private:
  http::client_options call_options() const {
    http::client_options result;
    result.call_timeout = options_.call_timeout;
    return result;
  }

  double burst() const {
    return std::max(1.0, options_.appends_per_second * kBurstSeconds);
  }

  void note_reachable(bool reachable, const error::failure& cause) {
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
                         options_.log_address, "too many appends wait"}});
      return;
    }
    appends_.push_back(std::move(command));
    send_append();
  }

  // Takes one token of the append rate, or says how long until there is one.
  std::optional<milliseconds> take_token() {
    const clock::steady_time now = clock_.now();
    const std::chrono::duration<double> passed = now - tokens_at_;
    tokens_ = std::min(burst(),
                       tokens_ + passed.count() * options_.appends_per_second);
    tokens_at_ = now;
    if (tokens_ >= 1.0) {
      tokens_ -= 1.0;
      return std::nullopt;
    }
    const double seconds = (1.0 - tokens_) / options_.appends_per_second;
    return milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1);
  }

  void send_append() {
    if (append_in_flight_ || appends_.empty() || closed_) return;
    const std::optional<milliseconds> wait = take_token();
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

  // A gateway's error may stand for an append that took effect.
  static bool may_have_acted(const http::response& reply) {
    return reply.result_int() >= kFirstServerError &&
           reply.result() != http::status::service_unavailable;
  }

  void report_append(std::uint64_t token, const std::string& stream,
                     const http::call_result& result) {
    if (result.has_error()) {
      note_reachable(false, result.error().cause);
      reports_.send(append_failed{token, result.error().maybe_sent,
                                  result.error().cause});
      return;
    }
    const std::string step = "append " + stream;
    if (result->result() != http::status::ok) {
      const error::failure cause =
          http::status_failure(*result, step, options_.log_address);
      reports_.send(append_failed{token, may_have_acted(*result), cause});
      return;
    }
    wire::log_append_reply reply;
    const error::result<void> parsed = http::from_json(result->body(), &reply);
    if (parsed.has_error()) {
      reports_.send(append_failed{token, true, parsed.error()});
      return;
    }
    note_reachable(true, {});
    reports_.send(appended{token, reply.offset()});
  }

  // ---- Following ----------------------------------------------------------

  void on(follow&& command) {
    followed& stream = streams_[command.stream];
    stream.position = command.from;
    stream.connection = std::make_unique<http::client>(
        context_, options_.log_address, call_options());
    stream.timer = std::make_unique<boost::asio::steady_timer>(context_);
    stream.pause = backoff(options_.retry_pause);
    read_followed(command.stream);
  }

  static std::string read_target(const std::string& stream, std::uint64_t from,
                                 std::size_t most, milliseconds wait) {
    return "/v1/streams/" + stream + "/records?from=" + std::to_string(from) +
           "&max=" + std::to_string(most) +
           "&wait_ms=" + std::to_string(wait.count());
  }

  void read_followed(const std::string& name) {
    if (closed_) return;
    if (reports_.free_space() < kReportReserve) {
      retry_followed(name, options_.retry_pause);
      return;
    }
    followed& stream = streams_.at(name);
    const milliseconds wait =
        stream.at_end ? options_.follow_wait : milliseconds(0);
    stream.connection->call(
        "read " + name,
        http::json_request(http::verb::get, read_target(name, stream.position,
                                                        kReadBatch, wait)),
        wait + kPollMargin, [this, name](http::call_result&& result) {
          on_followed(name, std::move(result));
        });
  }

  void retry_followed(const std::string& name, milliseconds pause) {
    followed& stream = streams_.at(name);
    stream.timer->expires_after(pause);
    stream.timer->async_wait([this, name](boost::system::error_code failed) {
      if (!failed) read_followed(name);
    });
  }

  // Reads a reply of the log; reports and returns nothing on failure.
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

  void on_followed(const std::string& name, http::call_result&& result) {
    followed& stream = streams_.at(name);
    error::failure cause;
    const std::optional<wire::log_read_reply> reply =
        parse_read(name, result, &cause);
    if (!reply) {
      note_reachable(false, cause);
      retry_followed(name, stream.pause.next(random_));
      return;
    }
    note_reachable(true, {});
    stream.pause.reset();
    stream.position = report_records(name, stream.position, *reply);
    stream.at_end = stream.position >= reply->next();
    finish_awaited(name, stream.position);
    // A log that is behind what was read before doesn't make the read wait.
    if (reply->next() < stream.position) {
      retry_followed(name, stream.pause.next(random_));
      return;
    }
    read_followed(name);
  }

  // Reports the records of a read and returns the next position.
  std::uint64_t report_records(const std::string& name, std::uint64_t position,
                               const wire::log_read_reply& reply) {
    records found;
    found.stream = name;
    found.oldest_offset = reply.first();
    position = std::max(position, reply.first());
    for (const wire::log_entry& entry : reply.records()) {
      position = entry.offset() + 1;
      wire::record record;
      if (!record.ParseFromString(entry.data())) continue;
      found.offsets.push_back(entry.offset());
      found.entries.push_back(std::move(record));
    }
    found.at_end = position >= reply.next();
    reports_.send(std::move(found));
    return position;
  }

  void finish_awaited(const std::string& name, std::uint64_t position) {
    std::erase_if(awaited_, [this, &name, position](const awaited_end& each) {
      if (each.stream != name || position < each.until) return false;
      reports_.send(end_reached{each.token});
      return true;
    });
  }

  // ---- Reading to the end -------------------------------------------------

  void on(read_to_end&& command) {
    const auto found = streams_.find(command.stream);
    if (found == streams_.end()) {
      read_whole(command.token, command.stream, 0);
      return;
    }
    ask_end(command.token, command.stream, found->second.position);
  }

  // Learns where a followed stream ends now.
  void ask_end(std::uint64_t token, const std::string& name,
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
          awaited_.push_back({token, name, reply->next()});
          finish_awaited(name, streams_.at(name).position);
        });
  }

  // After a pause, since the caller may read again at once.
  void report_read_failed(std::uint64_t token, const error::failure& cause) {
    std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(backoff(options_.retry_pause).next(random_));
    timer->async_wait(
        [this, timer, token, cause,
         alive = std::weak_ptr<int>(alive_)](boost::system::error_code failed) {
          if (failed || alive.expired()) return;
          reports_.send(read_failed{token, cause});
        });
  }

  void read_whole(std::uint64_t token, const std::string& name,
                  std::uint64_t position) {
    read_connection_.call(
        "read " + name,
        http::json_request(
            http::verb::get,
            read_target(name, position, kReadBatch, milliseconds(0))),
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
          read_whole(token, name, next);
        });
  }

  // ---- List ---------------------------------------------------------------

  void read_list() {
    list_connection_.call(
        "read list",
        http::json_request(http::verb::get,
                           "/v1/list?since=" + std::to_string(list_.version())),
        [this](http::call_result&& result) {
          on_list(result);
          list_timer_.expires_after(options_.list_interval);
          list_timer_.async_wait([this](boost::system::error_code failed) {
            if (!failed && !closed_) read_list();
          });
        });
  }

  void on_list(const http::call_result& result) {
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
  boost::asio::steady_timer append_timer_;
  boost::asio::steady_timer list_timer_;
  std::deque<append> appends_;
  bool append_in_flight_ = false;
  double tokens_;
  clock::steady_time tokens_at_;
  std::map<std::string, followed> streams_;
  std::vector<awaited_end> awaited_;
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
