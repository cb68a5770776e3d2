// A call to a worker with a typed reply. Private to this library.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "clock/clock.h"
#include "http/client.h"
#include "http/json.h"

namespace ebonygrade::worker {

// Parses the reply of a call. A status other than 200 and a malformed reply are
// failures; the worker may have applied the call.
template <typename reply>
boost::system::result<reply, http::call_failure> parse_reply(
    http::call_result&& result, std::string_view step,
    const std::string& peer) {
  if (result.has_error()) return std::move(result).error();
  if (result->result() != http::status::ok) {
    return http::call_failure{http::status_failure(*result, step, peer), true};
  }
  reply parsed;
  error::result<void> parse_result = http::from_json(result->body(), &parsed);
  if (parse_result.has_value()) return parsed;
  error::failure cause = parse_result.error();
  cause.code = error::code::bad_reply;
  cause.step = step;
  cause.peer = peer;
  return http::call_failure{std::move(cause), true};
}

// Makes the call and passes the parsed reply or the failure to a handler.
template <typename reply, typename on_reply, typename on_failure>
void call_worker(http::client& client, std::string_view step,
                 http::request&& request, clock::milliseconds timeout,
                 const std::string& peer, on_reply handle_reply,
                 on_failure handle_failure) {
  client.call(step, std::move(request), timeout,
              [step, peer, handle_reply,
               handle_failure](http::call_result&& result) mutable {
                boost::system::result<reply, http::call_failure> parsed =
                    parse_reply<reply>(std::move(result), step, peer);
                if (parsed.has_error()) return handle_failure(parsed.error());
                handle_reply(std::move(*parsed));
              });
}

}  // namespace ebonygrade::worker
