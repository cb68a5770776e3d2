// Fields of JSON objects.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonygrade::review {

// Nothing unless the text is a JSON object.
inline std::optional<boost::json::object> parse_object(std::string_view text) {
  boost::system::error_code failed;
  boost::json::value parsed = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), failed);
  if (failed || !parsed.is_object()) return std::nullopt;
  return parsed.get_object();
}

// Empty if the field is missing or no string.
inline std::string string_in(const boost::json::object& body,
                             const char* name) {
  const boost::json::value* found = body.if_contains(name);
  if (found == nullptr || !found->is_string()) return "";
  return std::string(found->get_string().data(), found->get_string().size());
}

// 0 if the field is missing or no whole number.
inline std::int64_t integer_in(const boost::json::object& body,
                               const char* name) {
  const boost::json::value* found = body.if_contains(name);
  if (found == nullptr) return 0;
  boost::system::error_code failed;
  std::int64_t value = found->to_number<std::int64_t>(failed);
  return failed ? 0 : value;
}

}  // namespace ebonygrade::review
