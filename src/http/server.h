// HTTP/1.1 server, used by one thread. It accepts connections, reads requests
// within configured limits and passes each to a handler, which may reply at
// once or minutes later. The requests of a connection are handled one at a
// time; pipelined requests are answered in order.
//
//   server api(context, options, [](request&& request, responder respond) {
//     respond(json_response(status::ok, "{}"));
//   });
//   error::result<void> listening = api.listen("127.0.0.1:8080");
//
// A request that violates a limit gets 431 (header), 413 (body), 408 (too
// slow), 400 (malformed) or 503 (too many connections), each with an
// error_reply as JSON, and its connection is closed. TLS and HTTP/2 are not
// supported.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "clock/clock.h"
#include "error/error.h"
#include "http/message.h"

namespace ebonygrade::http {

using clock::milliseconds;

struct server_options {
  std::size_t max_header_bytes = 8 << 10;
  std::size_t max_body_bytes = 2 << 20;
  milliseconds read_timeout{10000};   // For a request, from its first byte.
  milliseconds write_timeout{30000};  // For a whole reply.
  milliseconds idle_timeout{60000};   // Between requests.
  std::size_t max_connections = 1024;
  // stop() closes idle connections only after this time, because requests may
  // already be in transit on them.
  milliseconds stop_grace{200};
};

class session;

// Replies to one request. All copies refer to the same request: the first call
// sends its reply, later calls are ignored. If the last copy is destroyed
// without a call, the client gets 500. Use on the server's thread only.
class responder {
 public:
  explicit responder(std::shared_ptr<session> session);
  void operator()(response&& reply) const;
  // Sends the interim reply 102, so that a client with a stall timeout goes on
  // waiting. No effect after the reply or while an interim reply is being sent.
  void send_processing() const;
  // Closes the connection without a reply.
  void drop() const;
  // Whether the client has closed the connection, so that a reply would be
  // lost.
  bool abandoned() const;
  // Number of the connection, from 1 in the order of acceptance.
  std::uint64_t connection() const;

 private:
  struct pending;
  std::shared_ptr<pending> pending_;
};

class server {
 public:
  using handler = std::function<void(request&&, responder)>;

  // `context` must be run by a single thread, and all members must be called on
  // that thread.
  server(boost::asio::io_context& context, const server_options& options,
         handler handler);
  // Closes every connection.
  ~server();

  // Listens on "IP:PORT"; port 0 selects a free port.
  error::result<void> listen(std::string_view address);
  // The port in use; 0 before listen().
  std::uint16_t port() const;
  // Number of open connections.
  std::size_t connection_count() const;

  // Graceful shutdown: accepts no more connections, replies to requests in
  // flight with "Connection: close", and calls `on_stopped` when all
  // connections have ended.
  void stop(std::function<void()> on_stopped);
  // Closes all connections at once; requests in flight get no reply.
  void close();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::http
