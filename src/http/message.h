// HTTP messages (Boost.Beast messages with a string body) and helpers that
// build requests and replies and parse request targets.
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

// Returns a reply with a JSON body.
response json_response(status code, std::string body);
// Returns a reply with a body of the given content type.
response text_response(status code, std::string_view content_type,
                       std::string body);
// Returns a reply with the JSON body {"error": error, "field": field}. `field`
// may be empty.
response error_response(status code, std::string_view error,
                        std::string_view field = {});

// Returns a request for http::client; its body, if any, is JSON.
request json_request(verb method, std::string_view target,
                     std::string body = {});

// The percent-decoded parts of a request target such as
// "/v1/requests/a%20b?region=r".
struct query_parameter {
  std::string name;
  std::string value;
};
struct target_parts {
  std::vector<std::string> segments;  // "v1", "requests", "a b"
  std::vector<query_parameter> query;
};

// Returns no value if the target is malformed.
std::optional<target_parts> parse_target(std::string_view target);
// Returns the value of the first query parameter called `name`.
std::optional<std::string> query_value(const target_parts& target,
                                       std::string_view name);
// Percent-encodes `text` for use as one path segment or as a query value.
std::string encode_component(std::string_view text);

}  // namespace ebonygrade::http
