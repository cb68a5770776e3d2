#include <fmt/format.h>

#include <set>

#include "bundle/keys.h"

namespace ebonygrade::bundle {

namespace {

template <typename T>
void diff_keys(std::string_view section, std::span<const key<T>> keys,
               const T& from, const T& to, std::vector<std::string>* lines) {
  for (const key<T>& each : keys) {
    double before = each.get(from);
    double after = each.get(to);
    if (before == after) continue;
    lines->push_back(fmt::format("[{}] {}: {} -> {}", section, each.name,
                                 format_value(each.type, before),
                                 format_value(each.type, after)));
  }
}

void diff_teams(const policy& from, const policy& to,
                std::vector<std::string>* lines) {
  std::set<std::string> names;
  for (const auto& [name, team] : from.teams) names.insert(name);
  for (const auto& [name, team] : to.teams) names.insert(name);
  for (const std::string& name : names) {
    std::string section = "team." + name;
    if (!from.teams.contains(name)) {
      lines->push_back(fmt::format("[{}] added", section));
      diff_keys(section, team_keys(), team_policy{}, to.teams.at(name), lines);
    } else if (!to.teams.contains(name)) {
      lines->push_back(
          fmt::format("[{}] removed: new requests are refused", section));
    } else {
      diff_keys(section, team_keys(), from.teams.at(name), to.teams.at(name),
                lines);
    }
  }
}

}  // namespace

std::vector<std::string> diff(const policy& from, const policy& to) {
  std::vector<std::string> lines;
  if (from.name != to.name) {
    lines.push_back(fmt::format("[bundle] name: {} -> {}", from.name, to.name));
  }
  diff_keys("placement", placement_keys(), from.placement, to.placement,
            &lines);
  for (int i = 0; i < job::kJobClassCount; ++i) {
    std::string section =
        fmt::format("class.{}", job::to_string(static_cast<job::job_class>(i)));
    diff_keys(section, class_keys(), from.classes[i], to.classes[i], &lines);
  }
  diff_teams(from, to, &lines);
  return lines;
}

}  // namespace ebonygrade::bundle
