// Converts the text of one setting to its value.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace ebonygrade::settings {

// Stores `text` in the spec's field of `value`. Returns what was expected, or
// an empty string on success.
std::string assign(const key_spec& spec, std::string_view text,
                   settings* value);

// Splits names divided by commas. Returns false if one is not a name, is
// repeated, or there is none.
bool parse_names(std::string_view text, std::vector<std::string>* names);

// Reads a number with the suffix ms, s or m; nothing if it is none, or no
// whole number of milliseconds.
std::optional<milliseconds> parse_duration(std::string_view text);

// An IP address in numbers and a port.
struct endpoint {
  std::string ip;  // In its shortest form.
  std::uint16_t port = 0;
  bool any = false;  // 0.0.0.0 or [::]

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// Reads IP:PORT or [IP6]:PORT with a port from 1 to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

}  // namespace ebonygrade::settings
