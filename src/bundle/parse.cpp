#include <SimpleIni.h>
#include <fmt/format.h>

#include <algorithm>

#include "bundle/keys.h"
#include "bundle/lines.h"

namespace ebonygrade::bundle {

namespace {

constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr std::size_t kMaxTeams = 1000;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::string_view kClassPrefix = "class.";
constexpr std::string_view kTeamPrefix = "team.";
constexpr std::array<job::job_class, job::kJobClassCount> kClasses = {
    job::job_class::service, job::job_class::batch, job::job_class::gang,
    job::job_class::urgent};

error::failure invalid_bundle(std::size_t line, std::string_view section,
                              std::string_view key, std::string_view reason) {
  std::string place = fmt::format("line {}: ", line);
  if (!section.empty()) place += fmt::format("[{}] ", section);
  if (!key.empty()) place += fmt::format("{}: ", key);
  return {error::code::invalid_argument, "check bundle", "",
          place + std::string(reason)};
}

bool is_name_character(char c) {
  if (c >= 'a' && c <= 'z') return true;
  if (c >= 'A' && c <= 'Z') return true;
  if (c >= '0' && c <= '9') return true;
  return c == '-' || c == '_' || c == '.';
}

bool is_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), is_name_character);
}

// Parses one text and keeps the first error.
class parser {
 public:
  explicit parser(std::string_view text) : lines_(index_lines(text)) {
    ini_.SetUnicode();
    loaded_ = ini_.LoadData(text.data(), text.size()) >= 0;
  }

  error::result<policy> run() {
    if (!loaded_) return invalid_bundle(1, "", "", "is not readable as INI");
    if (!lines_.first_error.reason.empty()) {
      const syntax_error& first = lines_.first_error;
      return invalid_bundle(first.line, first.section, first.key, first.reason);
    }
    CSimpleIniCaseA::TNamesDepend sections;
    ini_.GetAllSections(sections);
    sections.sort(CSimpleIniCaseA::Entry::LoadOrder());
    for (const CSimpleIniCaseA::Entry& section : sections) {
      std::string_view name = section.pItem;
      if (!name.empty()) read_section(name);
    }
    check_policy();
    if (failure_) return *failure_;
    return policy_;
  }

 private:
  void fail(std::string_view section, std::string_view key,
            std::string_view reason) {
    if (!failure_)
      failure_ = invalid_bundle(line_of(section, key), section, key, reason);
  }

  std::size_t line_of(std::string_view section, std::string_view key) const {
    auto at_key = lines_.keys.find({std::string(section), std::string(key)});
    if (at_key != lines_.keys.end()) return at_key->second;
    auto at_section = lines_.sections.find(std::string(section));
    return at_section == lines_.sections.end() ? 1 : at_section->second;
  }

  bool has(std::string_view section, std::string_view key) const {
    return lines_.keys.contains({std::string(section), std::string(key)});
  }

  void read_section(std::string_view section) {
    if (section == "bundle") {
      read_header();
    } else if (section == "placement") {
      read_keys(section, placement_keys(), &policy_.placement);
    } else if (section.starts_with(kClassPrefix)) {
      read_class(section);
    } else if (section.starts_with(kTeamPrefix)) {
      read_team(section);
    } else {
      fail(section, "",
           "unknown section; known are bundle, placement, class.NAME and "
           "team.NAME");
    }
  }

  CSimpleIniCaseA::TNamesDepend keys_of(std::string_view section) const {
    CSimpleIniCaseA::TNamesDepend names;
    ini_.GetAllKeys(std::string(section).c_str(), names);
    names.sort(CSimpleIniCaseA::Entry::LoadOrder());
    return names;
  }

  std::string_view value_of(std::string_view section, const char* name) const {
    return ini_.GetValue(std::string(section).c_str(), name, "");
  }

  void read_header() {
    for (const CSimpleIniCaseA::Entry& entry : keys_of("bundle")) {
      if (std::string_view(entry.pItem) != "name") {
        fail("bundle", entry.pItem, "unknown key; known is name");
      }
    }
    policy_.name = value_of("bundle", "name");
    if (!is_name(policy_.name)) {
      fail("bundle", "name",
           "must be 1 to 64 letters, digits and the characters - _ .");
    }
  }

  template <typename T>
  void read_keys(std::string_view section, std::span<const key<T>> known,
                 T* target) {
    for (const CSimpleIniCaseA::Entry& entry : keys_of(section)) {
      std::string_view name = entry.pItem;
      auto found =
          std::find_if(known.begin(), known.end(),
                       [&](const key<T>& k) { return k.name == name; });
      if (found == known.end()) {
        fail(section, name, "unknown key");
        continue;
      }
      double value = 0;
      std::string reason;
      std::string_view text = value_of(section, entry.pItem);
      if (!parse_value(found->type, text, found->min, found->max, &value,
                       &reason)) {
        fail(section, name, fmt::format("{}, not \"{}\"", reason, text));
        continue;
      }
      found->set(*target, value);
    }
  }

  void read_class(std::string_view section) {
    std::string_view name = section.substr(kClassPrefix.size());
    for (job::job_class kind : kClasses) {
      if (job::to_string(kind) != name) continue;
      class_policy& policy = policy_.classes[static_cast<std::size_t>(kind)];
      read_keys(section, class_keys(), &policy);
      if (!policy.preemptible && has(section, "max_preemptions") &&
          policy.max_preemptions > 0) {
        fail(section, "max_preemptions",
             "contradicts preemptible = no; leave it out or set it to 0");
      }
      return;
    }
    fail(section, "",
         "unknown class; known are service, batch, gang and urgent");
  }

  void read_team(std::string_view section) {
    std::string_view name = section.substr(kTeamPrefix.size());
    if (!is_name(name)) {
      fail(section, "",
           "a team's name is 1 to 64 letters, digits and the characters "
           "- _ .");
      return;
    }
    team_policy team;
    team.name = name;
    read_keys(section, team_keys(), &team);
    if (!team.may_borrow && team.quota == job::resources{}) {
      fail(section, "may_borrow",
           "contradicts the quota: without any quota there is nothing to "
           "borrow beyond");
    }
    policy_.teams.emplace(team.name, team);
  }

  // Validates rules that involve more than one section.
  void check_policy() {
    if (!lines_.sections.contains("bundle")) {
      fail("bundle", "", "the section is missing");
    }
    if (policy_.teams.empty()) {
      fail("team.NAME", "", "at least one team is needed");
    }
    if (policy_.teams.size() > kMaxTeams) {
      fail("team.NAME", "", "there are more than 1000 teams");
    }
    for (job::job_class kind : kClasses) check_preemption(kind);
  }

  // A class that may preempt needs a preemptible class of lower priority.
  void check_preemption(job::job_class kind) {
    const class_policy& preemptor =
        policy_.classes[static_cast<std::size_t>(kind)];
    if (!preemptor.may_preempt) return;
    bool has_victim =
        std::any_of(policy_.classes.begin(), policy_.classes.end(),
                    [&](const class_policy& c) {
                      return c.preemptible && c.max_preemptions > 0 &&
                             c.priority < preemptor.priority;
                    });
    if (has_victim) return;
    fail(fmt::format("{}{}", kClassPrefix, job::to_string(kind)), "may_preempt",
         "no preemptible class has a lower priority");
  }

  CSimpleIniCaseA ini_;
  line_index lines_;
  bool loaded_ = false;
  policy policy_;
  std::optional<error::failure> failure_;
};

}  // namespace

error::result<policy> parse(std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    return invalid_bundle(1, "", "", "the text is longer than 64 KiB");
  }
  if (text.find('\0') != std::string_view::npos) {
    return invalid_bundle(1, "", "", "the text holds a NUL byte");
  }
  return parser(text).run();
}

}  // namespace ebonygrade::bundle
