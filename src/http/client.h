// HTTP/1.1 client for one peer and one thread. Calls wait in a queue, in
// order, for one of a few kept connections. Every call ends exactly once: with
// the reply or with a failure that says whether the peer may have seen it.
//
//   client log(context, "127.0.0.1:9000", options);
//   log.call("read list", json_request(verb::get, "/v1/list"),
//            [](call_result&& result) { ... });
//
// A connection on which a call timed out is closed and replaced by a new one
// for the next call. Calls are not repeated; that is the caller's decision.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/system/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "clock/clock.h"
#include "error/error.h"
#include "http/message.h"

namespace ebonygrade::http {

using clock::milliseconds;

struct client_options {
  std::size_t connections = 1;
  std::size_t max_queued = 1024;  // Calls that wait for a connection.
  milliseconds call_timeout{2000};
  milliseconds idle_timeout{30000};  // Idle connections are not kept longer.
  std::size_t max_header_bytes = 8 << 10;
  std::size_t max_body_bytes = 64 << 20;
};

struct call_failure {
  error::failure cause;
  bool maybe_sent = false;  // The peer may have acted on the request.
};

using call_result = boost::system::result<response, call_failure>;

// Called by boost::system::result when value() is asked of a failure.
[[noreturn]] void throw_exception_from_error(const call_failure& value,
                                             const boost::source_location& at);

// Traffic since the client was made; bytes are those of HTTP messages.
struct client_traffic {
  std::uint64_t calls = 0;
  std::uint64_t connects = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

class client {
 public:
  using handler = std::function<void(call_result&&)>;

  // Runs on `context`, by one thread; all members are called on it. A
  // malformed address makes every call fail with invalid_argument.
  client(boost::asio::io_context& context, std::string_view address,
         const client_options& options);
  // Closes; the handlers of open calls are not called any more.
  ~client();

  // `step` names the call in failures. The time runs from now on and includes
  // waiting and connecting. The handler is called later, never from here.
  void call(std::string_view step, request&& request, milliseconds timeout,
            handler handler);
  // With the call timeout of the options.
  void call(std::string_view step, request&& request, handler handler);

  // Fails all open calls and closes the connections. The handlers are called
  // also if the client is destroyed meanwhile.
  void close();

  // Calls that wait for a connection.
  std::size_t queued() const;
  const client_traffic& traffic() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

// The failure that a reply with a status other than 2xx stands for:
// unavailable for 429 and 503, else rejected; `detail` has the peer's text.
error::failure status_failure(const response& reply, std::string_view step,
                              std::string_view peer);

}  // namespace ebonygrade::http
