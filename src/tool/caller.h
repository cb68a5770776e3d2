// Calls the daemons of a cell over HTTP, one after the other until one replies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "http/client.h"
#include "tool/arguments.h"

namespace ebonygrade::tool {

// Result of a call.
struct call_report {
  std::optional<http::response> reply;
  std::string address;      // Of the last daemon called.
  error::failure cause;     // Set if there is no reply.
  bool maybe_sent = false;  // A daemon without a reply may have acted.
};

// Whether a call that a daemon may have executed without a reply may be sent to
// the next daemon.
enum class repeat { safe, unsafe };

struct call {
  std::string step;  // Name of the call in failures.
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  milliseconds timeout{0};
  tool::repeat repeat = repeat::safe;
};

class caller {
 public:
  using handler = std::function<void(call_report&&)>;

  // Runs on `context`, which must be run by one thread. Keeps up to
  // `connections` connections to each daemon.
  caller(boost::asio::io_context& context, const connection_options& options,
         std::size_t connections);

  // Tries the daemons in turn. Each call starts with the next daemon of the
  // list.
  void send(const tool::call& call, handler handler);
  // Calls only the daemon at `index`.
  void send_to(std::size_t index, const tool::call& call, handler handler);

  std::size_t daemon_count() const { return clients_.size(); }
  const std::string& address(std::size_t index) const;
  milliseconds timeout() const { return options_.timeout; }

 private:
  struct pending_call;
  void try_next(std::shared_ptr<pending_call> pending);

  connection_options options_;
  std::vector<std::unique_ptr<http::client>> clients_;
  std::size_t next_index_ = 0;
};

}  // namespace ebonygrade::tool
