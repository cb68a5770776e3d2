#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership/membership_pvt.h"
#include "membership/neighbours.h"

namespace ebonygrade::membership {

namespace {

// Neighbours that this daemon did not choose but that chose this daemon.
constexpr std::size_t kMaxReciprocalNeighbours = 32;

std::string region_of(const state& state, const std::string& zone) {
  for (const zone_location& each : state.settings.zones) {
    if (each.zone == zone) return each.region;
  }
  return {};
}

std::vector<std::string> listed_daemons(const state& state,
                                        const std::string& region,
                                        bool only_alive) {
  std::vector<std::string> ids;
  if (region == state.settings.region && state.self_listed) {
    ids.push_back(state.settings.self);
  }
  for (const auto& [id, daemon] : state.daemons) {
    if (!daemon.listed || daemon.region != region) continue;
    if (only_alive && (daemon.unresponsive_since || daemon.leaving)) continue;
    ids.push_back(id);
  }
  return ids;
}

std::set<std::string> all_regions(const state& state) {
  std::set<std::string> regions;
  for (const zone_location& each : state.settings.zones) {
    regions.insert(each.region);
  }
  return regions;
}

// True if `daemon` sent a heartbeat recently, so this daemon is among its
// neighbours.
bool is_reciprocal_neighbour(const state& state, const daemon_state& daemon) {
  if (!daemon.last_heartbeat) return false;
  return state.uptime - *daemon.last_heartbeat <
         2 * state.settings.unresponsive_limit;
}

void set_neighbour(state& state, daemon_state& daemon, bool neighbour) {
  if (neighbour && !daemon.neighbour) daemon.neighbour_since = state.uptime;
  daemon.neighbour = neighbour;
}

void add_borders(const state& state, std::set<std::string>* neighbours) {
  for (const std::string& region : all_regions(state)) {
    if (region == state.settings.region) continue;
    std::vector<std::string> borders = border_daemons(
        listed_daemons(state, region, true), state.settings.border_count);
    neighbours->insert(borders.begin(), borders.end());
  }
}

bool is_border(const state& state) {
  std::vector<std::string> borders =
      border_daemons(listed_daemons(state, state.settings.region, true),
                     state.settings.border_count);
  return std::find(borders.begin(), borders.end(), state.settings.self) !=
         borders.end();
}

// Start of the current time without a sign of life of `daemon`.
running_time unseen_since(const state& state, const daemon_state& daemon) {
  return std::max({daemon.last_seen, daemon.neighbour_since, state.resumed_at});
}

// True if this daemon has received heartbeats from at least half of its
// neighbours in its own region.
bool has_contact_with_half(const state& state) {
  std::size_t neighbours = 0;
  std::size_t contacted = 0;
  for (const auto& [id, daemon] : state.daemons) {
    if (!daemon.neighbour || daemon.region != state.settings.region) continue;
    ++neighbours;
    if (daemon.last_heartbeat) ++contacted;
  }
  return 2 * contacted >= neighbours;
}

// Time without a sign of life after which this daemon judges `daemon`
// unresponsive; nullopt if only other daemons may judge it.
std::optional<milliseconds> unresponsive_limit_for(const state& state,
                                                   const daemon_state& daemon) {
  if (!daemon.neighbour || !daemon.listed) return std::nullopt;
  // Other daemons have contact with `daemon` and this one never had: `daemon`
  // may not know this daemon's address yet.
  if (daemon.incarnation > 0 && !daemon.last_heartbeat) return std::nullopt;
  if (daemon.region == state.settings.region) {
    if (daemon.incarnation == 0 && !has_contact_with_half(state)) {
      return state.settings.first_contact_limit;
    }
    return std::max(state.settings.unresponsive_limit, daemon.raised_limit);
  }
  if (listed_daemons(state, daemon.region, false).size() > 1) {
    return std::nullopt;
  }
  return std::max(state.settings.sole_daemon_unresponsive_limit,
                  daemon.raised_limit);
}

void detect_unresponsive(state& state) {
  for (auto& [id, daemon] : state.daemons) {
    if (daemon.unresponsive_since) continue;
    std::optional<milliseconds> limit = unresponsive_limit_for(state, daemon);
    running_time since = unseen_since(state, daemon);
    if (!limit || state.uptime - since < *limit) continue;
    // Set back by `unresponsive_limit` only, even after a longer limit, so that
    // other daemons have time to contradict.
    daemon.unresponsive_since =
        state.uptime - state.settings.unresponsive_limit;
    queue_rumour(state, daemon);
  }
}

void remove_unlisted(state& state) {
  std::erase_if(state.daemons, [&](const auto& entry) {
    const daemon_state& daemon = entry.second;
    return !daemon.listed && state.uptime - unseen_since(state, daemon) >=
                                 state.settings.unresponsive_limit;
  });
}

void advance_time(state& state, steady_time now) {
  milliseconds gap =
      std::chrono::duration_cast<milliseconds>(now - state.last_tick);
  state.last_tick += gap;
  state.uptime += std::min(gap, state.settings.suspension_threshold);
  if (gap > state.settings.suspension_threshold) {
    state.resumed_at = state.uptime;
  }
}

wire::heartbeat make_heartbeat(const state& state,
                               const std::vector<wire::rumour>& rumours) {
  wire::heartbeat heartbeat;
  heartbeat.set_sequence(state.sequence);
  heartbeat.set_claims_offset(state.local.claims_offset);
  heartbeat.set_bundle_roll(state.local.bundle_roll);
  heartbeat.set_leaving(state.local.leaving || state.self_listed_leaving);
  *heartbeat.mutable_room() = state.local.capacity;
  for (const wire::rumour& each : rumours) *heartbeat.add_rumours() = each;
  return heartbeat;
}

void add_outgoing(const state& state, bool cross_region,
                  const wire::heartbeat& heartbeat,
                  std::vector<outgoing>* messages) {
  for (const auto& [id, daemon] : state.daemons) {
    if (!daemon.neighbour || daemon.vm.peer_address().empty()) continue;
    bool crosses_regions = daemon.region != state.settings.region;
    if (crosses_regions == cross_region) messages->push_back({id, heartbeat});
  }
}

void update_listed_daemon(state& state, const wire::daemon_vm& vm) {
  if (vm.id() == state.settings.self) {
    state.self_listed = true;
    state.self_was_listed = true;
    state.self_listed_leaving = vm.state() == wire::leaving;
    return;
  }
  bool known = state.daemons.count(vm.id()) > 0;
  if (!known && state.daemons.size() >= state.settings.max_daemons) return;
  daemon_state& daemon = state.daemons[vm.id()];
  daemon.vm = vm;
  daemon.region = region_of(state, vm.zone());
  daemon.listed = true;
}

}  // namespace

state make_state(options settings, steady_time now) {
  state initial;
  initial.settings = std::move(settings);
  initial.last_tick = now;
  initial.resumed_at = -initial.settings.unresponsive_limit;
  initial.last_heartbeat_sent = -initial.settings.heartbeat_interval;
  initial.last_cross_region_sent = -initial.settings.cross_region_interval;
  return initial;
}

void set_local(state& state, local_status local) {
  state.local = std::move(local);
}

void apply_list(state& state, const wire::vm_list& list) {
  if (list.daemons_size() == 0) return;
  if (state.list_read && list.version() < state.list_version) return;
  state.list_read = true;
  state.list_version = list.version();
  state.self_listed = false;
  for (auto& [id, daemon] : state.daemons) daemon.listed = false;
  for (const wire::daemon_vm& vm : list.daemons()) {
    update_listed_daemon(state, vm);
  }
  if (!state.self_listed) state.self_listed_leaving = state.self_was_listed;
  refresh_neighbours(state);
}

void refresh_neighbours(state& state) {
  std::set<std::string> chosen = ring_neighbours(
      state.settings.self, listed_daemons(state, state.settings.region, false),
      state.settings.full_mesh_limit, state.settings.ring_count);
  state.border = is_border(state);
  if (state.border) add_borders(state, &chosen);
  std::size_t reciprocal_count = 0;
  for (auto& [id, daemon] : state.daemons) {
    bool neighbour = chosen.count(id) > 0;
    if (!neighbour && is_reciprocal_neighbour(state, daemon) &&
        reciprocal_count < kMaxReciprocalNeighbours) {
      neighbour = true;
      ++reciprocal_count;
    }
    set_neighbour(state, daemon, neighbour);
  }
}

void apply_heartbeat(state& state, const wire::envelope& message) {
  const std::string& id = message.from();
  if (id.empty() || id == state.settings.self) return;
  bool known = state.daemons.count(id) > 0;
  if (!known && state.daemons.size() >= state.settings.max_daemons) return;
  daemon_state& daemon = state.daemons[id];
  const wire::heartbeat& heartbeat = message.heartbeat();
  if (message.incarnation() < daemon.incarnation) return;
  bool same_incarnation = message.incarnation() == daemon.incarnation;
  if (same_incarnation && heartbeat.sequence() <= daemon.last_direct_sequence) {
    return;
  }
  if (!same_incarnation || heartbeat.sequence() > daemon.latest_sequence) {
    record_alive(state, daemon, message.incarnation(), heartbeat.sequence());
    daemon.raised_limit = milliseconds(0);
  }
  daemon.last_direct_sequence = heartbeat.sequence();
  daemon.last_heartbeat = state.uptime;
  daemon.claims_offset = heartbeat.claims_offset();
  daemon.bundle_roll = heartbeat.bundle_roll();
  daemon.capacity = heartbeat.room();
  daemon.region_capacity = heartbeat.region_room();
  if (heartbeat.leaving() && !daemon.leaving) {
    daemon.leaving = true;
    queue_rumour(state, daemon);
  }
  for (const wire::rumour& each : heartbeat.rumours()) {
    apply_rumour(state, each);
  }
}

std::vector<outgoing> tick(state& state, steady_time now) {
  advance_time(state, now);
  detect_unresponsive(state);
  remove_unlisted(state);
  const options& settings = state.settings;
  milliseconds since_last = state.uptime - state.last_heartbeat_sent;
  bool early = state.early_heartbeat_wanted &&
               since_last >= settings.early_heartbeat_interval;
  if (!early && since_last < settings.heartbeat_interval) return {};
  state.last_heartbeat_sent = state.uptime;
  refresh_neighbours(state);
  ++state.sequence;
  std::vector<wire::rumour> rumours = take_rumours(state);
  std::vector<outgoing> messages;
  wire::heartbeat heartbeat = make_heartbeat(state, rumours);
  add_outgoing(state, false, heartbeat, &messages);
  milliseconds since_cross_region = state.uptime - state.last_cross_region_sent;
  if (early || since_cross_region >= settings.cross_region_interval) {
    state.last_cross_region_sent = state.uptime;
    *heartbeat.mutable_region_room() = estimate_region_capacity(state);
    add_outgoing(state, true, heartbeat, &messages);
  }
  return messages;
}

}  // namespace ebonygrade::membership
