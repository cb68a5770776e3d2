// One typed call to a worker. Private to the slice.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "clock/clock.h"
#include "http/client.h"
#include "http/json.h"

namespace ebonygrade::worker {

// Reads the reply of a call as a message; a status other than 2xx and an
// unreadable reply are failures that the worker may have acted before.
template <typename reply>
boost::system::result<reply, http::call_failure> read_reply(
    http::call_result&& result, std::string_view step,
    const std::string& peer) {
  if (result.has_error()) return std::move(result).error();
  if (result->result() != http::status::ok) {
    return http::call_failure{http::status_failure(*result, step, peer), true};
  }
  reply message;
  error::result<void> parsed = http::from_json(result->body(), &message);
  if (parsed.has_value()) return message;
  error::failure cause = parsed.error();
  cause.code = error::code::bad_reply;
  cause.step = step;
  cause.peer = peer;
  return http::call_failure{std::move(cause), true};
}

// Makes the call and hands over the message or the failure.
template <typename reply, typename on_reply, typename on_failure>
void call_worker(http::client& client, std::string_view step,
                 http::request&& request, clock::milliseconds timeout,
                 const std::string& peer, on_reply handle_reply,
                 on_failure handle_failure) {
  client.call(step, std::move(request), timeout,
              [step, peer, handle_reply,
               handle_failure](http::call_result&& result) mutable {
                boost::system::result<reply, http::call_failure> read =
                    read_reply<reply>(std::move(result), step, peer);
                if (read.has_error()) return handle_failure(read.error());
                handle_reply(std::move(*read));
              });
}

}  // namespace ebonygrade::worker
