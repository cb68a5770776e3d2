#include "settings/value.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <limits>
#include <utility>

namespace ebonygrade::settings {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint16_t kMaxPort = 65535;

bool is_name_character(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_name_character);
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  std::size_t last = text.find_last_not_of(kBlanks);
  return text.substr(first, last - first + 1);
}

template <typename T>
std::optional<T> parse_number(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  std::from_chars_result read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

// For example "an integer from 1 to 9 tasks".
std::string format_range(const key_spec& spec, std::string_view kind) {
  if (spec.type == value_type::duration) {
    return fmt::format("{} from {:.0f}ms to {:.0f}ms", kind, spec.min,
                       spec.max);
  }
  return fmt::format("{} from {:.15g} to {:.15g} {}", kind, spec.min, spec.max,
                     spec.unit);
}

bool in_range(const key_spec& spec, double value) {
  return value >= spec.min && value <= spec.max;
}

bool contains_word(std::string_view words, std::string_view wanted) {
  while (!words.empty()) {
    std::size_t end = std::min(words.find(' '), words.size());
    if (words.substr(0, end) == wanted) return true;
    words.remove_prefix(std::min(end + 1, words.size()));
  }
  return false;
}

std::string assign_to(const key_spec& spec, std::string_view text,
                      std::string* target) {
  *target = text;
  switch (spec.type) {
    case value_type::address:
      return parse_endpoint(text) ? "" : "IP:PORT with a port from 1 to 65535";
    case value_type::choice:
      return contains_word(spec.choices, text)
                 ? ""
                 : "one of " + std::string(spec.choices);
    default:
      return is_name(text) ? ""
                           : "a name of at most 64 letters, digits, '-', '_' "
                             "and '.'";
  }
}

std::string assign_to(const key_spec& spec, std::string_view text,
                      std::int64_t* target) {
  std::optional<std::int64_t> value = parse_number<std::int64_t>(text);
  if (!value || !in_range(spec, static_cast<double>(*value))) {
    return format_range(spec, "an integer");
  }
  *target = *value;
  return "";
}

std::string assign_to(const key_spec& spec, std::string_view text,
                      double* target) {
  std::optional<double> value = parse_number<double>(text);
  if (!value || !in_range(spec, *value)) return format_range(spec, "a number");
  *target = *value;
  return "";
}

std::string assign_to(const key_spec& spec, std::string_view text,
                      milliseconds* target) {
  std::optional<milliseconds> value = parse_duration(text);
  if (!value || !in_range(spec, static_cast<double>(value->count()))) {
    return format_range(spec, "a duration with the suffix ms, s or m,");
  }
  *target = *value;
  return "";
}

std::string assign_to(const key_spec&, std::string_view text,
                      std::vector<std::string>* target) {
  return parse_names(text, target) ? "" : "distinct names separated by commas";
}

// Parses a decimal number of units of `unit` milliseconds. Returns nothing if
// the result is not a whole number of milliseconds.
std::optional<milliseconds> parse_units(std::string_view text,
                                        std::int64_t unit) {
  std::size_t point = std::min(text.find('.'), text.size());
  std::optional<std::int64_t> whole =
      parse_number<std::int64_t>(text.substr(0, point));
  std::int64_t max_whole = std::numeric_limits<std::int64_t>::max() / unit - 1;
  if (!whole || *whole < 0 || *whole > max_whole) return std::nullopt;
  milliseconds value(*whole * unit);
  if (point == text.size()) return value;
  std::string_view digits = text.substr(point + 1);
  std::optional<std::uint32_t> fraction = parse_number<std::uint32_t>(digits);
  if (!fraction) return std::nullopt;
  std::int64_t scale = 1;
  for (std::size_t i = 0; i < digits.size(); ++i) scale *= 10;
  if (*fraction * unit % scale != 0) return std::nullopt;
  return value + milliseconds(*fraction * unit / scale);
}

}  // namespace

std::string assign(const key_spec& spec, std::string_view text,
                   settings* value) {
  return std::visit(
      [&](const auto& target) {
        return assign_to(spec, text, &target(*value));
      },
      spec.target);
}

bool parse_names(std::string_view text, std::vector<std::string>* names) {
  names->clear();
  while (true) {
    std::size_t end = std::min(text.find(','), text.size());
    std::string name(trimmed(text.substr(0, end)));
    if (!is_name(name)) return false;
    if (std::find(names->begin(), names->end(), name) != names->end()) {
      return false;
    }
    names->push_back(std::move(name));
    if (end == text.size()) return true;
    text.remove_prefix(end + 1);
  }
}

std::optional<milliseconds> parse_duration(std::string_view text) {
  struct suffix {
    std::string_view text;
    std::int64_t milliseconds;
  };
  constexpr suffix kSuffixes[] = {{"ms", 1}, {"s", 1000}, {"m", 60000}};
  for (const suffix& each : kSuffixes) {
    if (!text.ends_with(each.text)) continue;
    text.remove_suffix(each.text.size());
    return parse_units(text, each.milliseconds);
  }
  return std::nullopt;
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  if (ip.starts_with('[') && ip.ends_with(']')) {
    ip = ip.substr(1, ip.size() - 2);
  } else if (ip.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  std::optional<std::uint32_t> port =
      parse_number<std::uint32_t>(text.substr(colon + 1));
  if (!port || *port == 0 || *port > kMaxPort) return std::nullopt;
  boost::system::error_code invalid;
  boost::asio::ip::address address =
      boost::asio::ip::make_address(std::string(ip), invalid);
  if (invalid) return std::nullopt;
  return endpoint{address.to_string(), static_cast<std::uint16_t>(*port),
                  address.is_unspecified()};
}

}  // namespace ebonygrade::settings
