#include "settings/checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "settings/value.h"

namespace ebonygrade::settings {

namespace {

struct named_address {
  std::string_view key;
  std::string_view text;
  endpoint value;
};

void order_regions(cell_settings* cell, problem_list* problems) {
  std::vector<region_settings> ordered;
  for (const std::string& name : cell->region_names) {
    auto found =
        std::find_if(cell->regions.begin(), cell->regions.end(),
                     [&](const region_settings& r) { return r.name == name; });
    if (found == cell->regions.end()) {
      problems->add_text("[region." + name +
                         "] zones: missing, expected list of names");
      continue;
    }
    ordered.push_back(std::move(*found));
    cell->regions.erase(found);
  }
  for (const region_settings& extra : cell->regions) {
    problems->add_text("[region." + extra.name +
                       "]: expected a region named in [cell] regions");
  }
  cell->regions = std::move(ordered);
}

void check_zones(const settings& value, problem_list* problems) {
  std::map<std::string, std::string> region_of;
  for (const region_settings& region : value.cell.regions) {
    for (const std::string& zone : region.zones) {
      auto [known, inserted] = region_of.emplace(zone, region.name);
      if (inserted) continue;
      problems->add("region." + region.name, "zones",
                    "zones that are not in region " + known->second, zone);
    }
  }
  if (!region_of.contains(value.daemon.zone)) {
    problems->add("daemon", "zone", "a zone of one of the cell's regions",
                  value.daemon.zone);
  }
}

bool overlap(const endpoint& a, const endpoint& b) {
  if (a.port != b.port) return false;
  return a.ip == b.ip || a.is_wildcard || b.is_wildcard;
}

named_address make_named_address(std::string_view key,
                                 const std::string& text) {
  return {key, text, parse_endpoint(text).value_or(endpoint{})};
}

void check_no_overlap(std::string_view section, const named_address& checked,
                      const named_address& other, problem_list* problems) {
  if (!overlap(checked.value, other.value)) return;
  problems->add(section, checked.key,
                fmt::format("an address that does not overlap [daemon] {} ({})",
                            other.key, other.text),
                checked.text);
}

void check_not_wildcard(const named_address& checked, problem_list* problems) {
  if (!checked.value.is_wildcard) return;
  problems->add("daemon", checked.key,
                "an address that others can reach, as the bound one is a "
                "wildcard",
                checked.text);
}

void check_addresses(settings* value, problem_list* problems) {
  daemon_settings& daemon = value->daemon;
  if (daemon.http_advertise.empty()) {
    daemon.http_advertise = daemon.http_address;
  }
  if (daemon.peer_advertise.empty()) {
    daemon.peer_advertise = daemon.peer_address;
  }
  named_address http = make_named_address("http_address", daemon.http_address);
  named_address peer = make_named_address("peer_address", daemon.peer_address);
  named_address http_advertised =
      make_named_address("http_advertise", daemon.http_advertise);
  named_address peer_advertised =
      make_named_address("peer_advertise", daemon.peer_advertise);
  named_address log =
      make_named_address("log_address", value->platform.log_address);
  named_address list =
      make_named_address("list_address", value->platform.list_address);
  check_no_overlap("daemon", peer, http, problems);
  check_not_wildcard(http_advertised, problems);
  check_not_wildcard(peer_advertised, problems);
  bool advertises_others = daemon.http_advertise != daemon.http_address ||
                           daemon.peer_advertise != daemon.peer_address;
  if (advertises_others && !http_advertised.value.is_wildcard &&
      !peer_advertised.value.is_wildcard) {
    check_no_overlap("daemon", peer_advertised, http_advertised, problems);
  }
  for (const named_address& advertised : {http_advertised, peer_advertised}) {
    if (advertised.value.is_wildcard) continue;
    check_no_overlap("platform", log, advertised, problems);
    check_no_overlap("platform", list, advertised, problems);
  }
}

// Requires that [section] key is longer than [other_section] other_key.
struct minimum_time {
  std::string_view section;
  std::string_view key;
  milliseconds time;
  std::string_view other_section;
  std::string_view other_key;
  milliseconds other_time;
};

void check_times(const settings& value, problem_list* problems) {
  const minimum_time minimums[] = {
      {"peer", "silence_limit", value.peer.silence_limit, "peer",
       "heartbeat_interval", value.peer.heartbeat_interval},
      {"ownership", "takeover_after", value.ownership.takeover_after, "peer",
       "heartbeat_interval", value.peer.heartbeat_interval},
      {"worker", "task_lease", value.worker.task_lease, "worker",
       "call_timeout", value.worker.call_timeout},
  };
  for (const minimum_time& each : minimums) {
    if (each.time > each.other_time) continue;
    problems->add(each.section, each.key,
                  fmt::format("more than [{}] {} ({}ms)", each.other_section,
                              each.other_key, each.other_time.count()),
                  std::to_string(each.time.count()) + "ms");
  }
}

}  // namespace

void problem_list::add(std::string_view section, std::string_view key,
                       std::string_view expected, std::string_view found) {
  add_text(fmt::format("[{}] {}: expected {}, found '{}'", section, key,
                       expected, found));
}

void problem_list::add_text(std::string detail) {
  problems_->push_back({error::code::invalid_argument, "read settings", file_,
                        std::move(detail)});
}

void check_consistency(settings* value, problem_list* problems) {
  order_regions(&value->cell, problems);
  check_zones(*value, problems);
  check_addresses(value, problems);
  check_times(*value, problems);
}

}  // namespace ebonygrade::settings
