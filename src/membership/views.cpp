#include <algorithm>
#include <limits>
#include <utility>

#include "membership/membership_pvt.h"

namespace ebonygrade::membership {

namespace {

// Reports older than this say nothing about room any more.
constexpr milliseconds kMaxCapacityAge{10000};

bool has_fresh_capacity(const state& state, const daemon_state& daemon) {
  return daemon.last_heartbeat && !daemon.unresponsive_since &&
         state.uptime - *daemon.last_heartbeat <= kMaxCapacityAge;
}

milliseconds unresponsive_time(const state& state, const daemon_state& daemon) {
  if (!daemon.unresponsive_since) return milliseconds(0);
  return state.uptime - std::max(*daemon.unresponsive_since, state.resumed_at);
}

ownership::member to_member(const state& state, const std::string& id,
                            const daemon_state& daemon) {
  ownership::member member;
  member.id = id;
  member.region = daemon.region;
  member.leaving =
      daemon.leaving || !daemon.listed || daemon.vm.state() == wire::leaving;
  member.unresponsive_for = unresponsive_time(state, daemon);
  if (daemon.alive_since && !daemon.unresponsive_since) {
    member.alive_for = state.uptime - *daemon.alive_since;
  }
  return member;
}

ownership::member self_member(const state& state) {
  ownership::member member;
  member.id = state.settings.self;
  member.region = state.settings.region;
  member.leaving = state.local.leaving || state.self_listed_leaving;
  member.alive_for = state.uptime;
  return member;
}

std::int32_t plus_scaled(std::int32_t sum, double factor, std::int32_t value) {
  constexpr double kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(kMost, sum + factor * value));
}

void add_scaled(const wire::resources& value, double factor,
                wire::resources* sum) {
  sum->set_millicores(
      plus_scaled(sum->millicores(), factor, value.millicores()));
  sum->set_memory_mb(plus_scaled(sum->memory_mb(), factor, value.memory_mb()));
  sum->set_accelerators(
      plus_scaled(sum->accelerators(), factor, value.accelerators()));
  sum->set_slots(plus_scaled(sum->slots(), factor, value.slots()));
}

void update_maximum(const wire::resources& value, wire::resources* most) {
  most->set_millicores(std::max(most->millicores(), value.millicores()));
  most->set_memory_mb(std::max(most->memory_mb(), value.memory_mb()));
  most->set_accelerators(std::max(most->accelerators(), value.accelerators()));
  most->set_slots(std::max(most->slots(), value.slots()));
}

}  // namespace

std::vector<ownership::member> members(const state& state) {
  std::vector<ownership::member> found;
  if (state.self_was_listed) found.push_back(self_member(state));
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.region.empty()) continue;
    found.push_back(to_member(state, id, daemon));
  }
  std::sort(found.begin(), found.end(),
            [](const ownership::member& a, const ownership::member& b) {
              return a.id < b.id;
            });
  return found;
}

std::vector<peer::peer_address> peers(const state& state) {
  std::vector<peer::peer_address> found;
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.vm.peer_address().empty()) continue;
    found.push_back(
        {id, daemon.vm.peer_address(), daemon.vm.zone(), daemon.region});
  }
  return found;
}

bool is_settled(const state& state) {
  return state.uptime - state.resumed_at >= state.settings.silence_limit;
}

std::vector<capacity_view> capacity_views(const state& state) {
  std::vector<capacity_view> found;
  for (const auto& [id, daemon] : state.daemons) {
    if (!has_fresh_capacity(state, daemon) || daemon.leaving) continue;
    bool crosses = daemon.region != state.settings.region;
    capacity_view view;
    view.id = id;
    view.zone = daemon.vm.zone();
    view.region = daemon.region;
    view.whole_region = crosses;
    view.capacity = crosses ? daemon.region_capacity : daemon.capacity;
    view.age = state.uptime - *daemon.last_heartbeat;
    found.push_back(std::move(view));
  }
  return found;
}

std::optional<std::string> newer_bundle_source(const state& state) {
  std::optional<std::string> best;
  std::uint64_t roll = state.local.bundle_roll;
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.unresponsive_since || daemon.bundle_roll <= roll) continue;
    if (daemon.vm.peer_address().empty()) continue;
    best = id;
    roll = daemon.bundle_roll;
  }
  return best;
}

wire::room_summary estimate_region_capacity(const state& state) {
  std::vector<const wire::room_summary*> known{&state.local.capacity};
  double live = 1;
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.region != state.settings.region || daemon.unresponsive_since)
      continue;
    ++live;
    if (has_fresh_capacity(state, daemon)) known.push_back(&daemon.capacity);
  }
  double factor = live / static_cast<double>(known.size());
  wire::room_summary estimate;
  for (const wire::room_summary* each : known) {
    add_scaled(each->free(), factor, estimate.mutable_free());
    update_maximum(each->largest_free(), estimate.mutable_largest_free());
    estimate.set_queued(estimate.queued() +
                        static_cast<std::uint32_t>(factor * each->queued()));
  }
  return estimate;
}

}  // namespace ebonygrade::membership
