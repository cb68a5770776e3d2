#include "settings/settings.h"

#include <SimpleIni.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include "settings/checks.h"
#include "settings/value.h"

namespace ebonygrade::settings {

namespace {

constexpr std::string_view kRegionPrefix = "region.";
constexpr std::size_t kMaxFileBytes = 1 << 20;

using ini = CSimpleIniCaseA;

struct entry {
  std::string section;
  std::string key;
  std::string text;
  int order = 0;  // Position in the file.
};

const key_spec* find_key(std::string_view section, std::string_view key) {
  for (const key_spec& spec : keys()) {
    if (spec.section == section && spec.key == key) return &spec;
  }
  return nullptr;
}

bool is_known_section(std::string_view section) {
  if (section.starts_with(kRegionPrefix)) return true;
  std::span<const key_spec> all = keys();
  return std::any_of(all.begin(), all.end(), [&](const key_spec& spec) {
    return spec.section == section;
  });
}

// Reports the malformed lines that the INI library ignores.
void check_lines(std::string_view text, problem_list* problems) {
  int number = 0;
  while (!text.empty()) {
    ++number;
    std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    std::size_t first = line.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) continue;
    line.remove_prefix(first);
    std::string location = "line " + std::to_string(number);
    if (line.find('\0') != std::string_view::npos) {
      problems->add_text(location + ": expected text, found a NUL byte");
    } else if (line[0] == '[' && line.find(']') == std::string_view::npos) {
      problems->add_text(location + ": expected [SECTION], found no ']'");
    } else if (line[0] == '=') {
      problems->add_text(location + ": expected KEY = VALUE, found no key");
    }
  }
}

std::vector<entry> read_entries(const ini& file) {
  std::vector<entry> entries;
  ini::TNamesDepend sections;
  file.GetAllSections(sections);
  for (const ini::Entry& section : sections) {
    ini::TNamesDepend names;
    file.GetAllKeys(section.pItem, names);
    for (const ini::Entry& name : names) {
      ini::TNamesDepend values;
      file.GetAllValues(section.pItem, name.pItem, values);
      for (const ini::Entry& value : values) {
        entries.push_back(
            {section.pItem, name.pItem, value.pItem, value.nOrder});
      }
    }
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const entry& a, const entry& b) { return a.order < b.order; });
  return entries;
}

void check_sections(const ini& file, problem_list* problems) {
  ini::TNamesDepend sections;
  file.GetAllSections(sections);
  for (const ini::Entry& section : sections) {
    std::string name = section.pItem;
    if (is_known_section(name)) continue;
    if (name.empty()) {
      problems->add_text("expected a [SECTION] before the first key");
    } else {
      problems->add_text("[" + name + "]: unknown section");
    }
  }
}

void assign_zones(const entry& each, settings* value, problem_list* problems) {
  if (each.key != "zones") {
    problems->add(each.section, each.key, "only the key zones", each.text);
    return;
  }
  region_settings region;
  region.name = each.section.substr(kRegionPrefix.size());
  if (!parse_names(each.text, &region.zones)) {
    problems->add(each.section, each.key, "distinct names separated by commas",
                  each.text);
    return;
  }
  value->cell.regions.push_back(std::move(region));
}

void assign_entry(const entry& each, settings* value, problem_list* problems) {
  if (!is_known_section(each.section)) return;
  if (each.section.starts_with(kRegionPrefix)) {
    assign_zones(each, value, problems);
    return;
  }
  const key_spec* spec = find_key(each.section, each.key);
  if (spec == nullptr) {
    problems->add_text("[" + each.section + "] " + each.key + ": unknown key");
    return;
  }
  std::string expected = assign(*spec, each.text, value);
  if (!expected.empty()) {
    problems->add(each.section, each.key, expected, each.text);
  }
}

void check_required(const std::set<std::string>& present,
                    problem_list* problems) {
  for (const key_spec& spec : keys()) {
    if (!spec.required) continue;
    std::string name = fmt::format("[{}] {}", spec.section, spec.key);
    if (!present.contains(name)) {
      problems->add_text(name + ": missing, expected " +
                         std::string(to_string(spec.type)));
    }
  }
}

void assign_entries(const std::vector<entry>& entries, settings* value,
                    problem_list* problems) {
  std::set<std::string> present;
  for (const entry& each : entries) {
    std::string name = fmt::format("[{}] {}", each.section, each.key);
    if (!present.insert(name).second) {
      problems->add_text(name + ": given more than once");
      continue;
    }
    assign_entry(each, value, problems);
  }
  check_required(present, problems);
}

}  // namespace

load_report parse(std::string_view text, std::string_view file) {
  load_report report;
  problem_list problems(file, &report.problems);
  check_lines(text, &problems);
  ini reader;
  reader.SetMultiKey(true);
  reader.SetAllowKeyOnly(true);
  if (reader.LoadData(text.data(), text.size()) < 0) {
    problems.add_text("expected an INI text");
    return report;
  }
  check_sections(reader, &problems);
  assign_entries(read_entries(reader), &report.value, &problems);
  // The consistency checks need valid values of all keys.
  if (report.problems.empty()) check_consistency(&report.value, &problems);
  return report;
}

load_report load(const std::string& path) {
  load_report report;
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  if (!file || text.size() > kMaxFileBytes) {
    problem_list problems(path, &report.problems);
    problems.add_text("expected a readable file of at most 1 MiB");
    return report;
  }
  return parse(text, path);
}

std::optional<std::uint16_t> region_of_zone(const cell_settings& cell,
                                            std::string_view zone) {
  for (std::size_t i = 0; i < cell.regions.size(); ++i) {
    const std::vector<std::string>& zones = cell.regions[i].zones;
    if (std::find(zones.begin(), zones.end(), zone) != zones.end()) {
      return static_cast<std::uint16_t>(i);
    }
  }
  return std::nullopt;
}

}  // namespace ebonygrade::settings
