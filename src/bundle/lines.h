// Line numbers of a bundle's sections and keys for error messages, and the
// syntax errors that the INI library ignores: lines that are neither a section,
// a key nor a comment, keys before the first section, and duplicate sections
// or keys.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace ebonygrade::bundle {

struct syntax_error {
  std::size_t line = 0;
  std::string section;
  std::string key;
  std::string reason;  // Empty if there is no error.
};

struct line_index {
  std::map<std::string, std::size_t> sections;
  std::map<std::pair<std::string, std::string>, std::size_t> keys;
  syntax_error first_error;
};

line_index index_lines(std::string_view text);

}  // namespace ebonygrade::bundle
