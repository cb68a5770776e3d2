// One call of a verb at a time: sends it, waits, and turns everything but a
// good reply into a message and an exit code.
#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "tool/caller.h"
#include "tool/verbs.h"

namespace ebonygrade::tool {

// Result of a call: the reply, or the exit code of the failure that was
// written.
struct exchange_result {
  std::optional<http::response> reply;
  int exit_code = 0;
};

class exchange {
 public:
  exchange(const invocation& command, const output& to);

  // Sends to the daemons in turn. `timeout` is added to that of a call.
  exchange_result send(call call, milliseconds extra_timeout);
  exchange_result send(call call);
  // Sends to one daemon; its failure is reported but not written.
  call_report send_to(std::size_t index, call call);

  std::size_t daemon_count() const { return daemons_.daemon_count(); }
  const std::string& address(std::size_t index) const {
    return daemons_.address(index);
  }

 private:
  exchange_result judge(const call& call, call_report&& report);

  const invocation& command_;
  const output& to_;
  boost::asio::io_context context_;
  caller daemons_;
};

// A call without a body.
call make_call(std::string_view step, http::verb method, std::string target);
// The same with a message as its JSON body.
call make_call(std::string_view step, http::verb method, std::string target,
               const google::protobuf::Message& message);

// Target of one request's state.
std::string request_target(std::string_view id, std::string_view suffix,
                           std::string_view region, milliseconds wait);

// Reads a reply's JSON; writes a complaint and returns false if it can't.
bool read_reply(const http::response& reply, const invocation& command,
                const output& to, google::protobuf::Message* message);

}  // namespace ebonygrade::tool
