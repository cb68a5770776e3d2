// HTTP server that stands in for a daemon in tests. Replies with the result of
// a function, on its own thread, and records the requests.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/json.h"
#include "http/server.h"
#include "wire/api.pb.h"

namespace ebonygrade::tool {

class fake_daemon {
 public:
  // Returns the reply to a request; called on the server's thread.
  using request_handler = std::function<http::response(const http::request&)>;

  explicit fake_daemon(request_handler handler)
      : handler_(std::move(handler)),
        guard_(boost::asio::make_work_guard(context_)),
        server_(context_, http::server_options(),
                [this](http::request&& request, http::responder respond) {
                  {
                    std::scoped_lock lock(mutex_);
                    requests_.push_back(request);
                  }
                  respond(handler_(request));
                }) {
    (void)server_.listen("127.0.0.1:0");
    thread_ = std::thread([this] { context_.run(); });
  }

  ~fake_daemon() {
    boost::asio::post(context_, [this] {
      server_.close();
      guard_.reset();
      context_.stop();
    });
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }

  std::vector<http::request> requests() const {
    std::scoped_lock lock(mutex_);
    return requests_;
  }

 private:
  request_handler handler_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  http::server server_;
  mutable std::mutex mutex_;
  std::vector<http::request> requests_;
  std::thread thread_;
};

// A reply with the outcome of a request.
inline http::response outcome_reply(http::status code, wire::outcome_kind kind,
                                    std::uint32_t retry_after_ms = 0) {
  wire::request_status status;
  status.set_id("job");
  status.mutable_outcome()->set_kind(kind);
  status.mutable_outcome()->set_retry_after_ms(retry_after_ms);
  return http::json_response(code, http::to_json(status));
}

}  // namespace ebonygrade::tool
