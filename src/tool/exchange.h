// Synchronous calls of a verb, one at a time. An error reply or a missing reply
// becomes an error message and an exit code.
#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "tool/caller.h"
#include "tool/verbs.h"

namespace ebonygrade::tool {

// The reply of a call, or the exit code of the failure that was written.
struct exchange_result {
  std::optional<http::response> reply;
  int exit_code = 0;
};

class exchange {
 public:
  exchange(const invocation& command, const output& to);

  // Tries the daemons in turn. `extra_timeout` is added to the timeout of a
  // call, for a call that waits in the daemon.
  exchange_result send(call call, milliseconds extra_timeout);
  exchange_result send(call call);
  // Calls only the daemon at `index`. Returns a failure without writing it.
  call_report send_to(std::size_t index, call call);

  std::size_t daemon_count() const { return daemons_.daemon_count(); }
  const std::string& address(std::size_t index) const {
    return daemons_.address(index);
  }

 private:
  exchange_result to_result(const call& call, call_report&& report);

  const invocation& command_;
  const output& to_;
  boost::asio::io_context context_;
  caller daemons_;
};

// A call without a body.
call make_call(std::string_view step, http::verb method, std::string target);
// A call with a message as its JSON body.
call make_call(std::string_view step, http::verb method, std::string target,
               const google::protobuf::Message& message);

// HTTP target of a request's state; `suffix` is appended to the path.
std::string request_target(std::string_view id, std::string_view suffix,
                           std::string_view region, milliseconds wait);

// Parses the JSON of a reply. Writes an error and returns false on failure.
bool read_reply(const http::response& reply, const invocation& command,
                const output& to, google::protobuf::Message* message);

}  // namespace ebonygrade::tool
