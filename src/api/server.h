// HTTP interface for callers and operators; see wire/api.proto for the
// routes. Runs in a thread of its own: takes each HTTP request apart, passes a
// command to the core thread and writes the reply that comes back.
//
// A request that can't be read is refused with 4xx and the field; when the
// ring to the core is full, the request is refused at once with 503 and
// nothing of it was done.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "api/messages.h"
#include "clock/clock.h"
#include "error/error.h"
#include "http/server.h"
#include "ring/channel.h"

namespace ebonygrade::api {

struct api_options {
  http::server_options http;
  milliseconds max_wait{60000};     // Longest wait_ms of a request.
  milliseconds retry_after{1000};   // Told when the ring is full.
  std::size_t max_pending = 50000;  // Exchanges without a reply.
};

class server {
 public:
  // `ready` tells whether the balancer may send callers here; it is called
  // on this server's context.
  server(boost::asio::io_context& context, const api_options& options,
         ring::channel<command>& commands, std::function<bool()> ready);
  ~server();

  error::result<void> listen(const std::string& address);

  // Writes the reply of its exchange. Called on the server's context.
  void handle(reply&& reply);

  // Answers what is in flight, then calls `done`.
  void stop(std::function<void()> done);
  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::api
