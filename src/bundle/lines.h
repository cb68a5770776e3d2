// Line numbers of a bundle's sections and keys, for messages, and the faults
// that the INI reader passes over in silence: lines that are neither section,
// key nor comment, keys outside a section, sections or keys given twice.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace ebonygrade::bundle {

struct line_fault {
  std::size_t line = 0;
  std::string section;
  std::string key;
  std::string reason;  // Empty: no fault.
};

struct line_index {
  std::map<std::string, std::size_t> sections;
  std::map<std::pair<std::string, std::string>, std::size_t> keys;
  line_fault fault;  // The first.
};

line_index index_lines(std::string_view text);

}  // namespace ebonygrade::bundle
