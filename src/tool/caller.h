// Calls the daemons of a cell over HTTP, one after the other until one
// answers.
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

// What became of a call.
struct call_report {
  std::optional<http::response> reply;  // Of the daemon that answered.
  std::string address;                  // Of the last daemon called.
  error::failure cause;                 // Without a reply.
  bool maybe_sent = false;  // Some daemon that didn't answer may have acted.
};

// Whether a call whose answer was lost may be sent to the next daemon.
enum class repeat { safe, unsafe };

struct call {
  std::string step;  // Names the call in failures.
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  milliseconds timeout{0};
  tool::repeat repeat = repeat::safe;
};

class caller {
 public:
  using handler = std::function<void(call_report&&)>;

  // Runs on `context`, by one thread. Keeps up to `connections` connections
  // to each daemon.
  caller(boost::asio::io_context& context, const connection_options& options,
         std::size_t connections);

  // Starts with the daemon after the one that the last call started with.
  void send(const tool::call& call, handler handler);
  // Calls the daemon of that index only.
  void send_to(std::size_t index, const tool::call& call, handler handler);

  std::size_t daemon_count() const { return clients_.size(); }
  const std::string& address(std::size_t index) const;
  milliseconds timeout() const { return options_.timeout; }

 private:
  struct progress;
  void try_next(std::shared_ptr<progress> progress);

  connection_options options_;
  std::vector<std::unique_ptr<http::client>> clients_;
  std::size_t next_ = 0;
};

}  // namespace ebonygrade::tool
