// HTTP messages as values, and helpers to build replies and to take a request
// target apart. Messages are those of Boost.Beast with a string body.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonygrade::http {

using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;
using status = boost::beast::http::status;
using verb = boost::beast::http::verb;

inline constexpr int kHttpVersion11 = 11;

// A reply with a JSON body.
response json_response(status code, std::string body);
// A reply with a body of the given content type.
response text_response(status code, std::string_view content_type,
                       std::string body);
// {"error": error, "field": field}; `field` may be empty.
response error_response(status code, std::string_view error,
                        std::string_view field = {});

// A request to be sent by the client.
request json_request(verb method, std::string_view target,
                     std::string body = {});

// Parts of a request target such as "/v1/requests/a%20b?region=r", decoded.
struct query_parameter {
  std::string name;
  std::string value;
};
struct target_parts {
  std::vector<std::string> segments;  // "v1", "requests", "a b"
  std::vector<query_parameter> query;
};

// Empty when the target is malformed.
std::optional<target_parts> parse_target(std::string_view target);
// Value of the first parameter of that name.
std::optional<std::string> query_value(const target_parts& target,
                                       std::string_view name);
// Encodes a text so that it can stand as one segment or as a query value.
std::string encode_component(std::string_view text);

}  // namespace ebonygrade::http
