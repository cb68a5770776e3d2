// HTTP API for callers and operators; wire/api.proto lists the routes. The
// server runs in its own thread: it parses each HTTP request, passes a command
// to the core thread and sends the core's reply.
//
// A malformed request is refused with 4xx; the reply names the invalid field,
// if there is one. If the channel to the core is full or too many exchanges
// wait for a reply, the request is refused at once with 503 and has had no
// effect.
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
  milliseconds max_wait{60000};     // Upper limit of `wait_ms`.
  milliseconds retry_after{1000};   // Sent with a refusal due to overload.
  std::size_t max_pending = 50000;  // Limit of exchanges without a reply.
};

class server {
 public:
  // `ready` returns whether the load balancer may send requests to this daemon.
  // It is called on the thread of `context`.
  server(boost::asio::io_context& context, const api_options& options,
         ring::channel<command>& commands, std::function<bool()> ready);
  ~server();

  error::result<void> listen(const std::string& address);

  // Sends a reply of the core to its HTTP exchange. Called on the thread of the
  // server's context.
  void handle(reply&& reply);

  // Replies to requests in flight, then calls `on_stopped`.
  void stop(std::function<void()> on_stopped);
  // Closes all connections at once; requests in flight get no reply.
  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::api
