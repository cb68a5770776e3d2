#include "bundle/lines.h"

namespace ebonygrade::bundle {

namespace {

std::string_view trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r";
  std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) return {};
  std::size_t last = text.find_last_not_of(kBlank);
  return text.substr(first, last - first + 1);
}

bool is_comment(std::string_view line) {
  return line.empty() || line[0] == ';' || line[0] == '#';
}

void record_error(line_index* index, std::size_t line, std::string_view section,
                  std::string_view key, std::string_view reason) {
  if (!index->first_error.reason.empty()) return;
  index->first_error = {line, std::string(section), std::string(key),
                        std::string(reason)};
}

// Adds a section line to the index and returns the section's name.
std::string add_section(line_index* index, std::size_t number,
                        std::string_view line) {
  if (line.back() != ']') {
    record_error(index, number, line, "", "the section line has no closing ]");
    return std::string(line);
  }
  std::string name(trim(line.substr(1, line.size() - 2)));
  if (!index->sections.emplace(name, number).second) {
    record_error(index, number, name, "", "the section is given twice");
  }
  return name;
}

void add_key(line_index* index, std::size_t number, const std::string& section,
             std::string_view line) {
  std::size_t equals = line.find('=');
  if (equals == std::string_view::npos) {
    record_error(index, number, section, line,
                 "is not of the form KEY = VALUE");
    return;
  }
  std::string name(trim(line.substr(0, equals)));
  if (section.empty()) {
    record_error(index, number, "", name, "stands before any section");
  }
  if (!index->keys.emplace(std::pair(section, name), number).second) {
    record_error(index, number, section, name, "is given twice");
  }
}

}  // namespace

line_index index_lines(std::string_view text) {
  line_index index;
  std::string section;
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    std::size_t end = text.find('\n');
    std::string_view line = trim(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (is_comment(line)) continue;
    if (line[0] == '[') {
      section = add_section(&index, number, line);
    } else {
      add_key(&index, number, section, line);
    }
  }
  return index;
}

}  // namespace ebonygrade::bundle
