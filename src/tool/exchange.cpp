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

// A reply with the outcome of a request is a result whatever its HTTP status.
bool contains_outcome(const http::response& reply) {
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
  return to_result(call, std::move(received));
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

exchange_result exchange::to_result(const call& call, call_report&& report) {
  if (!report.reply) {
    write_error(to_, command_.json, report.cause);
    bool unknown = report.maybe_sent && call.repeat == repeat::unsafe;
    return {std::nullopt, unknown ? kExitUnknown : kExitUnreachable};
  }
  http::status code = report.reply->result();
  if (is_success(code) || contains_outcome(*report.reply)) {
    return {std::move(report.reply), kExitDone};
  }
  write_error(to_, command_.json,
              http::status_failure(*report.reply, call.step, report.address));
  return {std::nullopt, exit_code_of(code)};
}

call make_call(std::string_view step, http::verb method, std::string target) {
  call created;
  created.step = step;
  created.method = method;
  created.target = std::move(target);
  return created;
}

call make_call(std::string_view step, http::verb method, std::string target,
               const google::protobuf::Message& message) {
  call created = make_call(step, method, std::move(target));
  created.body = http::to_json(message);
  return created;
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
  write_error(to, command.json, parsed.error());
  return false;
}

}  // namespace ebonygrade::tool
