#include "http/message.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <utility>

#include "http/json.h"
#include "wire/api.pb.h"

namespace ebonygrade::http {

namespace beast_http = boost::beast::http;
namespace urls = boost::urls;

response text_response(status code, std::string_view content_type,
                       std::string body) {
  response reply(code, kHttpVersion11);
  reply.set(beast_http::field::content_type, content_type);
  reply.body() = std::move(body);
  reply.prepare_payload();
  return reply;
}

response json_response(status code, std::string body) {
  return text_response(code, "application/json", std::move(body));
}

response error_response(status code, std::string_view error,
                        std::string_view field) {
  wire::error_reply reply;
  reply.set_error(std::string(error));
  reply.set_field(std::string(field));
  return json_response(code, to_json(reply));
}

request json_request(verb method, std::string_view target, std::string body) {
  request message(method, target, kHttpVersion11);
  if (!body.empty()) {
    message.set(beast_http::field::content_type, "application/json");
  }
  message.body() = std::move(body);
  message.prepare_payload();
  return message;
}

std::optional<target_parts> parse_target(std::string_view target) {
  boost::system::result<urls::url_view> url =
      urls::parse_origin_form({target.data(), target.size()});
  if (url.has_error()) return std::nullopt;
  target_parts parts;
  for (std::string segment : url->segments()) {
    parts.segments.push_back(std::move(segment));
  }
  for (urls::param parameter : url->params()) {
    parts.query.push_back(
        {std::move(parameter.key), std::move(parameter.value)});
  }
  return parts;
}

std::optional<std::string> query_value(const target_parts& target,
                                       std::string_view name) {
  for (const query_parameter& parameter : target.query) {
    if (parameter.name == name) return parameter.value;
  }
  return std::nullopt;
}

std::string encode_component(std::string_view text) {
  return urls::encode({text.data(), text.size()}, urls::unreserved_chars);
}

}  // namespace ebonygrade::http
