#include "tool/exchange.h"

#include <utility>

#include "http/json.h"
#include "tool/tool.h"
#include "wire/api.pb.h"

namespace ebonygrade::tool {

namespace {

bool is_success(http::status code) {
  return boost::beast::http::to_status_class(code) ==
         boost::beast::http::status_class::successful;
}

// A reply that says what became of a request counts whatever its status.
bool tells_outcome(const http::response& reply) {
  wire::request_status status;
  return http::from_json(reply.body(), &status).has_value() &&
         status.has_outcome();
}

int exit_code_of(http::status code) {
  switch (code) {
    case http::status::bad_request:
    case http::status::payload_too_large:
    case http::status::request_header_fields_too_large:
      return kExitBadInput;
    case http::status::service_unavailable:
    case http::status::too_many_requests:
      return kExitUnreachable;
    case http::status::gateway_timeout:
    case http::status::internal_server_error:
      return kExitUnknown;
    default:
      return kExitRefused;
  }
}

}  // namespace

exchange::exchange(const invocation& command, const output& to)
    : command_(command), to_(to), daemons_(context_, command.connection, 1) {}

exchange_result exchange::send(call call, milliseconds extra_timeout) {
  call.timeout = daemons_.timeout() + extra_timeout;
  call_report received;
  daemons_.send(call, [&](call_report&& report) {
    received = std::move(report);
    context_.stop();
  });
  context_.restart();
  context_.run();
  return judge(call, std::move(received));
}

exchange_result exchange::send(call call) {
  return send(std::move(call), milliseconds(0));
}

call_report exchange::send_to(std::size_t index, call call) {
  call.timeout = daemons_.timeout();
  call_report received;
  daemons_.send_to(index, call, [&](call_report&& report) {
    received = std::move(report);
    context_.stop();
  });
  context_.restart();
  context_.run();
  return received;
}

exchange_result exchange::judge(const call& call, call_report&& report) {
  if (!report.reply) {
    complain(to_, command_.json, report.cause);
    bool unknown = report.maybe_sent && call.repeat == repeat::unsafe;
    return {std::nullopt, unknown ? kExitUnknown : kExitUnreachable};
  }
  http::status code = report.reply->result();
  if (is_success(code) || tells_outcome(*report.reply)) {
    return {std::move(report.reply), kExitDone};
  }
  complain(to_, command_.json,
           http::status_failure(*report.reply, call.step, report.address));
  return {std::nullopt, exit_code_of(code)};
}

call make_call(std::string_view step, http::verb method, std::string target) {
  call made;
  made.step = step;
  made.method = method;
  made.target = std::move(target);
  return made;
}

call make_call(std::string_view step, http::verb method, std::string target,
               const google::protobuf::Message& message) {
  call made = make_call(step, method, std::move(target));
  made.body = http::to_json(message);
  return made;
}

std::string request_target(std::string_view id, std::string_view suffix,
                           std::string_view region, milliseconds wait) {
  std::string target = "/v1/requests/" + http::encode_component(id);
  target += suffix;
  char separator = '?';
  if (!region.empty()) {
    target += separator + ("region=" + http::encode_component(region));
    separator = '&';
  }
  if (wait > milliseconds(0)) {
    target += separator + ("wait_ms=" + std::to_string(wait.count()));
  }
  return target;
}

bool read_reply(const http::response& reply, const invocation& command,
                const output& to, google::protobuf::Message* message) {
  error::result<void> parsed = http::from_json(reply.body(), message);
  if (parsed.has_value()) return true;
  complain(to, command.json, parsed.error());
  return false;
}

}  // namespace ebonygrade::tool
