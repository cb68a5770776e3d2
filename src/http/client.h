// HTTP/1.1 client for one peer, used by one thread. It keeps a small pool of
// connections; calls without a free connection wait in a FIFO queue. Unless the
// client is destroyed first, every call ends exactly once: with a reply, or
// with a failure that states whether the peer may have received the request.
//
//   client log(context, "127.0.0.1:9000", options);
//   log.call("read list", json_request(verb::get, "/v1/list"),
//            [](call_result&& result) { ... });
//
// A connection on which a call timed out is closed, and the next call opens a
// new one. The client never retries a call; retries are left to its user.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "clock/clock.h"
#include "error/error.h"
#include "http/message.h"

namespace ebonygrade::http {

using clock::milliseconds;

struct client_options {
  std::size_t connections = 1;
  std::size_t max_queued = 1024;  // Limit of calls that wait for a connection.
  milliseconds call_timeout{2000};
  milliseconds idle_timeout{30000};  // Closes idle connections.
  std::size_t max_header_bytes = 8 << 10;
  std::size_t max_body_bytes = 64 << 20;
};

struct call_options {
  // For the whole call, with the wait for a connection and connecting.
  milliseconds timeout{2000};
  // If set, the call also fails when no byte of the reply has arrived for this
  // long. `timeout` may then allow for a large reply over a slow link, while a
  // dead connection is still detected soon. Interim replies (status 1xx) count
  // as bytes of the reply and are dropped.
  std::optional<milliseconds> stall_timeout;
  // Called when bytes of the reply arrive, except the last; returns whether the
  // call is still wanted, otherwise it fails. Must not destroy the client.
  // Requires a stall timeout.
  std::function<bool()> on_progress;
};

struct call_failure {
  error::failure cause;
  bool maybe_sent = false;  // The peer may have processed the request.
};

using call_result = boost::system::result<response, call_failure>;

// Called by boost::system::result when value() is called on a failure.
[[noreturn]] void throw_exception_from_error(const call_failure& value,
                                             const boost::source_location& at);

// Counters since the construction of the client. Bytes are those of HTTP
// messages, without TCP/IP headers.
struct client_traffic {
  std::uint64_t calls = 0;
  std::uint64_t connects = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

class client {
 public:
  using handler = std::function<void(call_result&&)>;

  // `context` must be run by a single thread, and all members must be called on
  // that thread. With a malformed address every call fails with
  // invalid_argument.
  client(boost::asio::io_context& context, std::string_view address,
         const client_options& options);
  // Closes the connections. Handlers of open calls are not called; those of
  // calls that an earlier close() made fail still are.
  ~client();

  // `step` names the call in failures. The timeouts start now. The handler is
  // never called from within call().
  void call(std::string_view step, request&& request, call_options options,
            handler handler);
  // The same without a stall timeout.
  void call(std::string_view step, request&& request, milliseconds timeout,
            handler handler);
  // The same with the call timeout of the options.
  void call(std::string_view step, request&& request, handler handler);

  // Fails all open calls and closes the connections. The handlers are called
  // even if the client is destroyed before they run.
  void close();

  // Whether a call that is made now would be sent on an open connection.
  bool has_idle_connection() const;
  // Number of calls that wait for a connection.
  std::size_t queued() const;
  const client_traffic& traffic() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

// Converts a reply with a status other than 2xx to a failure: unavailable for
// 429 and 503, otherwise rejected. `detail` is the error text of the reply.
error::failure status_failure(const response& reply, std::string_view step,
                              std::string_view peer);

}  // namespace ebonygrade::http
