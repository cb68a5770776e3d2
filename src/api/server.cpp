#include "api/server.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>

#include "http/json.h"
#include "http/message.h"
#include "job/job.h"

namespace ebonygrade::api {

namespace {

constexpr std::size_t kMaxRegionBytes = 64;

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

// Returns the HTTP status for the outcome of a request.
http::status http_status_for(const job::outcome& outcome) {
  switch (outcome.kind()) {
    case wire::answered:
      return http::status::ok;
    case wire::pending:
      return http::status::accepted;
    case wire::unknown:
      return http::status::ok;
    default:
      return outcome.retry_after_ms() > 0 ? http::status::service_unavailable
                                          : http::status::unprocessable_entity;
  }
}

http::response status_response(const wire::request_status& status) {
  http::response response = http::json_response(
      http_status_for(status.outcome()), http::to_json(status));
  const std::uint32_t retry_after_ms = status.outcome().retry_after_ms();
  if (retry_after_ms > 0) {
    response.set(boost::beast::http::field::retry_after,
                 std::to_string((retry_after_ms + 999) / 1000));
  }
  return response;
}

http::response to_response(const status_reply& reply) {
  return status_response(reply.status);
}

http::response to_response(const bundle_reply& reply) {
  return http::json_response(http::status::ok, http::to_json(reply.status));
}

http::response to_response(const bundles_reply& reply) {
  return http::json_response(http::status::ok, http::to_json(reply.list));
}

http::response to_response(const cell_reply& reply) {
  return http::json_response(http::status::ok, http::to_json(reply.status));
}

http::response to_response(const text_reply& reply) {
  return http::text_response(http::status::ok, "text/plain; version=0.0.4",
                             reply.text);
}

http::response to_response(const refusal& reply) {
  return http::error_response(static_cast<http::status>(reply.status),
                              reply.error.error(), reply.error.field());
}

}  // namespace

class server::implementation {
 public:
  implementation(boost::asio::io_context& context, const api_options& options,
                 ring::channel<command>& commands, std::function<bool()> ready)
      : options_(options),
        commands_(commands),
        ready_(std::move(ready)),
        http_(context, options.http,
              [this](http::request&& request, http::responder respond) {
                route(request, std::move(respond));
              }) {}

  error::result<void> listen(const std::string& address) {
    return http_.listen(address);
  }

  void handle(reply&& reply) {
    std::visit([this](const auto& each) { send_reply(each); }, reply);
  }

  void stop(std::function<void()> on_stopped) {
    http_.stop(std::move(on_stopped));
  }
  void close() { http_.close(); }

 private:
  template <typename T>
  void send_reply(const T& reply) {
    const auto found = pending_responders_.find(reply.token);
    if (found == pending_responders_.end()) return;
    const http::responder respond = std::move(found->second);
    pending_responders_.erase(found);
    respond(to_response(reply));
  }

  void refuse(const http::responder& respond, http::status status,
              std::string_view error, std::string_view field = {}) {
    respond(http::error_response(status, error, field));
  }

  void refuse(const http::responder& respond, const error::failure& failure) {
    refuse(respond, http::status::bad_request, failure.detail,
           http::failed_field(failure));
  }

  // ---- Routes -------------------------------------------------------------

  void route(const http::request& request, http::responder respond) {
    const std::string_view target(request.target().data(),
                                  request.target().size());
    const std::optional<http::target_parts> parts = http::parse_target(target);
    if (!parts) {
      refuse(respond, http::status::bad_request, "malformed target");
      return;
    }
    if (parts->segments.size() == 1) {
      route_top_level(request, *parts, respond);
      return;
    }
    if (parts->segments.size() >= 2 && parts->segments[0] == "v1") {
      route_v1(request, *parts, respond);
      return;
    }
    refuse(respond, http::status::not_found, "no such route");
  }

  void route_top_level(const http::request& request,
                       const http::target_parts& parts,
                       const http::responder& respond) {
    if (request.method() != http::verb::get) {
      refuse(respond, http::status::method_not_allowed, "use GET");
      return;
    }
    const std::string& name = parts.segments[0];
    if (name == "healthz") {
      respond(http::text_response(http::status::ok, "text/plain", "ok\n"));
    } else if (name == "readyz") {
      const bool ready = ready_();
      respond(http::text_response(
          ready ? http::status::ok : http::status::service_unavailable,
          "text/plain", ready ? "ready\n" : "not ready\n"));
    } else if (name == "metrics") {
      send(show_metrics{}, respond);
    } else {
      refuse(respond, http::status::not_found, "no such route");
    }
  }

  void route_v1(const http::request& request, const http::target_parts& parts,
                const http::responder& respond) {
    const std::string& resource = parts.segments[1];
    if (resource == "requests") {
      route_requests(request, parts, respond);
    } else if (resource == "bundles") {
      route_bundles(request, parts, respond);
    } else if (resource == "cell" && parts.segments.size() == 2) {
      route_single(request, http::verb::get, show_cell{}, respond);
    } else if (resource == "drain" && parts.segments.size() == 2) {
      route_single(request, http::verb::post, drain{}, respond);
    } else {
      refuse(respond, http::status::not_found, "no such route");
    }
  }

  template <typename T>
  void route_single(const http::request& request, http::verb method,
                    T&& command, const http::responder& respond) {
    if (request.method() != method) {
      refuse(respond, http::status::method_not_allowed,
             method == http::verb::get ? "use GET" : "use POST");
      return;
    }
    send(std::forward<T>(command), respond);
  }

  void route_requests(const http::request& request,
                      const http::target_parts& parts,
                      const http::responder& respond) {
    if (parts.segments.size() == 2) {
      if (request.method() != http::verb::post) {
        refuse(respond, http::status::method_not_allowed, "use POST");
        return;
      }
      route_submit(request, parts, respond);
      return;
    }
    if (!check_id_and_region(parts, respond)) return;
    if (parts.segments.size() == 3) {
      route_one_request(request, parts, respond);
      return;
    }
    if (parts.segments.size() == 4 && parts.segments[3] == "explain") {
      route_single(request, http::verb::get,
                   explain{0, parts.segments[2], region_of(parts)}, respond);
      return;
    }
    refuse(respond, http::status::not_found, "no such route");
  }

  void route_submit(const http::request& request,
                    const http::target_parts& parts,
                    const http::responder& respond) {
    submit command;
    const error::result<void> parsed =
        http::from_json(request.body(), &command.request);
    if (parsed.has_error()) {
      refuse(respond, parsed.error());
      return;
    }
    const std::optional<milliseconds> wait = parse_wait(parts, respond);
    if (!wait) return;
    command.wait = *wait;
    send(std::move(command), respond);
  }

  void route_one_request(const http::request& request,
                         const http::target_parts& parts,
                         const http::responder& respond) {
    if (request.method() == http::verb::get) {
      const std::optional<milliseconds> wait = parse_wait(parts, respond);
      if (!wait) return;
      send(query{0, parts.segments[2], region_of(parts), *wait}, respond);
    } else if (request.method() == http::verb::delete_) {
      send(cancel{0, parts.segments[2], region_of(parts)}, respond);
    } else {
      refuse(respond, http::status::method_not_allowed, "use GET or DELETE");
    }
  }

  void route_bundles(const http::request& request,
                     const http::target_parts& parts,
                     const http::responder& respond) {
    if (parts.segments.size() == 2) {
      if (request.method() == http::verb::get) {
        send(list_bundles{}, respond);
      } else if (request.method() == http::verb::post) {
        route_publish(request, respond);
      } else {
        refuse(respond, http::status::method_not_allowed, "use GET or POST");
      }
      return;
    }
    if (parts.segments.size() == 4) {
      route_one_bundle(request, parts, respond);
      return;
    }
    refuse(respond, http::status::not_found, "no such route");
  }

  void route_publish(const http::request& request,
                     const http::responder& respond) {
    publish command;
    const error::result<void> parsed =
        http::from_json(request.body(), &command.request);
    if (parsed.has_error()) {
      refuse(respond, parsed.error());
      return;
    }
    send(std::move(command), respond);
  }

  void route_one_bundle(const http::request& request,
                        const http::target_parts& parts,
                        const http::responder& respond) {
    const std::optional<std::uint64_t> version =
        parse_number(parts.segments[2]);
    if (!version) {
      refuse(respond, http::status::bad_request, "version: not a number",
             "version");
      return;
    }
    if (request.method() != http::verb::post) {
      refuse(respond, http::status::method_not_allowed, "use POST");
      return;
    }
    if (parts.segments[3] == "approve") {
      approve command;
      command.version = *version;
      parse_and_send(request, std::move(command), respond);
    } else if (parts.segments[3] == "roll") {
      roll command;
      command.version = *version;
      parse_and_send(request, std::move(command), respond);
    } else {
      refuse(respond, http::status::not_found, "no such route");
    }
  }

  template <typename T>
  void parse_and_send(const http::request& request, T&& command,
                      const http::responder& respond) {
    const error::result<void> parsed =
        http::from_json(request.body(), &command.request);
    if (parsed.has_error()) {
      refuse(respond, parsed.error());
      return;
    }
    send(std::forward<T>(command), respond);
  }

  // ---- Target parameters --------------------------------------------------

  std::string region_of(const http::target_parts& parts) const {
    return http::query_value(parts, "region").value_or("");
  }

  bool check_id_and_region(const http::target_parts& parts,
                           const http::responder& respond) {
    if (parts.segments[2].empty() ||
        parts.segments[2].size() > job::kMaxIdBytes) {
      refuse(respond, http::status::bad_request,
             "id: must have 1 to 128 characters", "id");
      return false;
    }
    if (region_of(parts).size() > kMaxRegionBytes) {
      refuse(respond, http::status::bad_request, "region: is too long",
             "region");
      return false;
    }
    return true;
  }

  std::optional<milliseconds> parse_wait(const http::target_parts& parts,
                                         const http::responder& respond) {
    const std::optional<std::string> text = http::query_value(parts, "wait_ms");
    if (!text) return milliseconds(0);
    const std::optional<std::uint64_t> value = parse_number(*text);
    const std::uint64_t max_wait_ms =
        static_cast<std::uint64_t>(options_.max_wait.count());
    if (!value || *value > max_wait_ms) {
      refuse(
          respond, http::status::bad_request,
          "wait_ms: must be a number of at most " + std::to_string(max_wait_ms),
          "wait_ms");
      return std::nullopt;
    }
    return milliseconds(*value);
  }

  // ---- Commands to the core -----------------------------------------------

  template <typename T>
  void send(T&& new_command, const http::responder& respond) {
    new_command.token = next_token_++;
    const std::uint64_t token = new_command.token;
    command message = std::forward<T>(new_command);
    if (pending_responders_.size() >= options_.max_pending ||
        !commands_.try_send(message)) {
      refuse_overload(respond);
      return;
    }
    pending_responders_.emplace(token, respond);
  }

  void refuse_overload(const http::responder& respond) {
    wire::request_status status;
    *status.mutable_outcome() =
        job::not_run_outcome("the daemon is overloaded", options_.retry_after);
    respond(status_response(status));
  }

  api_options options_;
  ring::channel<command>& commands_;
  std::function<bool()> ready_;
  std::unordered_map<std::uint64_t, http::responder> pending_responders_;
  std::uint64_t next_token_ = 1;
  http::server http_;
};

server::server(boost::asio::io_context& context, const api_options& options,
               ring::channel<command>& commands, std::function<bool()> ready)
    : implementation_(std::make_unique<implementation>(
          context, options, commands, std::move(ready))) {}

server::~server() = default;

error::result<void> server::listen(const std::string& address) {
  return implementation_->listen(address);
}
void server::handle(reply&& reply) {
  implementation_->handle(std::move(reply));
}
void server::stop(std::function<void()> on_stopped) {
  implementation_->stop(std::move(on_stopped));
}
void server::close() { implementation_->close(); }

}  // namespace ebonygrade::api
