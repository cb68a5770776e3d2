#include "http/client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "http/address.h"
#include "http/connection_pvt.h"
#include "http/json.h"
#include "wire/api.pb.h"

namespace ebonygrade::http {

namespace asio = boost::asio;

namespace {

// Limit of the error text taken from a body that isn't an error_reply.
constexpr std::size_t kMaxErrorTextBytes = 200;

std::string error_text(const response& reply) {
  wire::error_reply parsed;
  if (from_json(reply.body(), &parsed).has_value()) {
    return parsed.field().empty() ? parsed.error()
                                  : parsed.field() + ": " + parsed.error();
  }
  return reply.body().substr(0, kMaxErrorTextBytes);
}

}  // namespace

void throw_exception_from_error(const call_failure& value,
                                const boost::source_location& at) {
  error::throw_exception_from_error(value.cause, at);
}

error::failure status_failure(const response& reply, std::string_view step,
                              std::string_view peer) {
  bool retryable = reply.result() == status::too_many_requests ||
                   reply.result() == status::service_unavailable;
  return {retryable ? error::code::unavailable : error::code::rejected,
          std::string(step), std::string(peer),
          "status " + std::to_string(reply.result_int()) + ": " +
              error_text(reply)};
}

class client::implementation
    : public std::enable_shared_from_this<client::implementation> {
 public:
  implementation(asio::io_context& context, std::string_view address,
                 const client_options& options)
      : context_(context),
        address_(address),
        endpoint_(parse_address(address)),
        options_(options),
        queue_deadline_(context.get_executor(),
                        [this] { fail_expired_calls(); }) {}

  void call(pending_call&& call) {
    if (closed_) return refuse(std::move(call), "closed");
    if (endpoint_.has_error()) {
      return post_failure(std::move(call), error::code::invalid_argument,
                          endpoint_.error().detail);
    }
    call.message.set(boost::beast::http::field::host, address_);
    connection* free = free_connection();
    if (free != nullptr) return free->start(std::move(call));
    if (queue_.size() >= options_.max_queued) {
      return refuse(std::move(call), "too many calls wait");
    }
    schedule_queue_deadline(call.deadline);
    queue_.push_back(std::move(call));
  }

  void close() {
    closed_ = true;
    queue_deadline_.cancel();
    std::deque<pending_call> waiting = std::exchange(queue_, {});
    for (const std::shared_ptr<connection>& open : take_connections()) {
      open->close();
    }
    // Every open call must fail, even if the client is destroyed before the
    // posted handlers run: each of them keeps this object alive.
    for (pending_call& call : waiting) {
      post_failure(std::move(call), error::code::unavailable, "closed",
                   shared_from_this());
    }
  }

  void detach() {
    closed_ = true;
    queue_deadline_.cancel();
    queue_.clear();
    for (const std::shared_ptr<connection>& open : take_connections()) {
      open->detach();
    }
  }

  const client_options& options() const { return options_; }
  // The first free connection gets the next call.
  bool has_idle_connection() const {
    if (!queue_.empty()) return false;
    for (const std::shared_ptr<connection>& each : connections_) {
      if (each->free()) return each->is_open();
    }
    return false;
  }

  std::size_t queued() const { return queue_.size(); }
  const client_traffic& traffic() const { return *traffic_; }

 private:
  // Null while calls are queued, because those go first.
  connection* free_connection() {
    if (!queue_.empty()) return nullptr;
    return any_free_connection();
  }

  // Opens a connection if none is free; null if the limit is reached.
  connection* any_free_connection() {
    for (const std::shared_ptr<connection>& open : connections_) {
      if (open->free()) return open.get();
    }
    if (connections_.size() >= options_.connections) return nullptr;
    connections_.push_back(std::make_shared<connection>(
        context_.get_executor(), *endpoint_, address_, options_, traffic_.get(),
        [this] { start_queued(); }));
    return connections_.back().get();
  }

  void start_queued() {
    while (!queue_.empty()) {
      connection* free = any_free_connection();
      if (free == nullptr) return;
      pending_call next = std::move(queue_.front());
      queue_.pop_front();
      free->start(std::move(next));
    }
  }

  void schedule_queue_deadline(clock::steady_time at) {
    if (at >= earliest_queue_deadline_) return;
    earliest_queue_deadline_ = at;
    queue_deadline_.set(at);
  }

  void fail_expired_calls() {
    clock::steady_time now = clock::boot_clock::now();
    earliest_queue_deadline_ = clock::steady_time::max();
    std::deque<pending_call> waiting = std::exchange(queue_, {});
    for (pending_call& call : waiting) {
      if (call.deadline > now) {
        schedule_queue_deadline(call.deadline);
        queue_.push_back(std::move(call));
      } else {
        post_failure(std::move(call), error::code::timeout,
                     "no free connection");
      }
    }
  }

  void refuse(pending_call&& call, std::string_view detail) {
    post_failure(std::move(call), error::code::unavailable, detail);
  }

  // Fails a call of which nothing was sent. After the destruction of the client
  // the handler is called only if `keep_alive` refers to this object.
  void post_failure(pending_call&& call, error::code code,
                    std::string_view detail,
                    std::shared_ptr<implementation> keep_alive = nullptr) {
    call_failure failure;
    failure.cause = {code, call.step, address_, std::string(detail)};
    asio::post(context_,
               [weak = weak_from_this(), keep_alive = std::move(keep_alive),
                handler = std::move(call.handler),
                failure = std::move(failure)]() mutable {
                 if (!weak.expired()) handler(std::move(failure));
               });
  }

  std::vector<std::shared_ptr<connection>> take_connections() {
    return std::exchange(connections_, {});
  }

  asio::io_context& context_;
  std::string address_;
  error::result<asio::ip::tcp::endpoint> endpoint_;
  client_options options_;
  deadline queue_deadline_;
  clock::steady_time earliest_queue_deadline_ = clock::steady_time::max();
  std::deque<pending_call> queue_;
  std::vector<std::shared_ptr<connection>> connections_;
  std::unique_ptr<client_traffic> traffic_ = std::make_unique<client_traffic>();
  bool closed_ = false;
};

client::client(asio::io_context& context, std::string_view address,
               const client_options& options)
    : implementation_(
          std::make_shared<implementation>(context, address, options)) {}

client::~client() { implementation_->detach(); }

void client::call(std::string_view step, request&& request,
                  call_options options, handler handler) {
  clock::steady_time now = clock::boot_clock::now();
  pending_call made;
  made.step = step;
  made.message = std::move(request);
  made.last_deadline = now + options.timeout;
  made.deadline =
      now + std::min(options.timeout,
                     options.stall_timeout.value_or(options.timeout));
  made.stall_timeout = options.stall_timeout;
  made.on_progress = std::move(options.on_progress);
  made.handler = std::move(handler);
  implementation_->call(std::move(made));
}

void client::call(std::string_view step, request&& request,
                  milliseconds timeout, handler handler) {
  call_options options;
  options.timeout = timeout;
  call(step, std::move(request), std::move(options), std::move(handler));
}

void client::call(std::string_view step, request&& request, handler handler) {
  call(step, std::move(request), implementation_->options().call_timeout,
       std::move(handler));
}

void client::close() { implementation_->close(); }

bool client::has_idle_connection() const {
  return implementation_->has_idle_connection();
}

std::size_t client::queued() const { return implementation_->queued(); }

const client_traffic& client::traffic() const {
  return implementation_->traffic();
}

}  // namespace ebonygrade::http
