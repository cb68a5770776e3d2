// Parses the text of setting values.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace ebonygrade::settings {

// Parses `text` and stores the result in the spec's field of `value`. Returns
// a description of the expected value, or an empty string on success.
std::string assign(const key_spec& spec, std::string_view text,
                   settings* value);

// Splits a list of names at its commas. Returns false if the list is empty or
// has an invalid or a duplicate name.
bool parse_names(std::string_view text, std::vector<std::string>* names);

// Parses a decimal number with the suffix ms, s or m. Returns nothing if the
// text is invalid, negative or not a whole number of milliseconds.
std::optional<milliseconds> parse_duration(std::string_view text);

// A numeric IP address and a port.
struct endpoint {
  std::string ip;  // In its canonical form.
  std::uint16_t port = 0;
  bool is_wildcard = false;  // 0.0.0.0 or [::]

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// Parses IP:PORT or [IP6]:PORT with a port from 1 to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

}  // namespace ebonygrade::settings
