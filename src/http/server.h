// HTTP/1.1 server for one thread. It accepts connections, reads requests
// within stated limits and hands each to a handler, which may answer at once
// or minutes later. One request of a connection is handled at a time; a
// client that pipelines gets its answers in order.
//
//   server api(context, options, [](request&& r, responder answer) {
//     answer(json_response(status::ok, "{}"));
//   });
//   error::result<void> listening = api.listen("127.0.0.1:8080");
//
// A request beyond a limit gets 431 (header), 413 (body), 408 (too slow), 400
// (malformed) or 503 (too many connections), each with an error_reply as
// JSON, and its connection is closed. Does not speak TLS or HTTP/2.
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
  milliseconds read_timeout{10000};   // From the first byte of a request.
  milliseconds write_timeout{30000};  // Of a whole reply.
  milliseconds idle_timeout{60000};   // Between requests.
  std::size_t max_connections = 1024;
  milliseconds stop_grace{200};  // At a stop, idle connections are kept so
                                 // long for requests already on their way.
};

class session;

// Answers one request. Copies answer the same request; the first call counts
// and later ones are ignored. If the last copy is destroyed without a call,
// the caller gets 500. Use on the server's context only.
class responder {
 public:
  explicit responder(std::shared_ptr<session> session);
  void operator()(response&& reply) const;
  // Closes the connection without an answer.
  void drop() const;
  // True once the caller has closed its connection; an answer is then lost.
  bool abandoned() const;
  // Number of the connection, counted from 1 in the order of acceptance.
  std::uint64_t connection() const;

 private:
  struct pending;
  std::shared_ptr<pending> pending_;
};

class server {
 public:
  using handler = std::function<void(request&&, responder)>;

  // Runs on `context`, by one thread; all members are called on it.
  server(boost::asio::io_context& context, const server_options& options,
         handler handler);
  // Closes every connection.
  ~server();

  // Listens at "IP:PORT"; port 0 picks a free one.
  error::result<void> listen(std::string_view address);
  // The port in use; 0 before listen().
  std::uint16_t port() const;
  // Connections open now.
  std::size_t connection_count() const;

  // Graceful shutdown: accepts no further connection, answers what is in
  // flight with "Connection: close", then calls `done`.
  void stop(std::function<void()> done);
  // Closes everything at once; requests in flight get no answer.
  void close();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::http
