#include <algorithm>
#include <limits>
#include <utility>

#include "membership/membership_pvt.h"

namespace ebonygrade::membership {

namespace {

// Older reports no longer describe the free capacity.
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

std::int32_t add_scaled_value(std::int32_t sum, double factor,
                              std::int32_t value) {
  constexpr double kMax = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(kMax, sum + factor * value));
}

void add_scaled_resources(const wire::resources& value, double factor,
                          wire::resources* sum) {
  sum->set_millicores(
      add_scaled_value(sum->millicores(), factor, value.millicores()));
  sum->set_memory_mb(
      add_scaled_value(sum->memory_mb(), factor, value.memory_mb()));
  sum->set_accelerators(
      add_scaled_value(sum->accelerators(), factor, value.accelerators()));
  sum->set_slots(add_scaled_value(sum->slots(), factor, value.slots()));
}

void update_maximum(const wire::resources& value, wire::resources* maximum) {
  maximum->set_millicores(std::max(maximum->millicores(), value.millicores()));
  maximum->set_memory_mb(std::max(maximum->memory_mb(), value.memory_mb()));
  maximum->set_accelerators(
      std::max(maximum->accelerators(), value.accelerators()));
  maximum->set_slots(std::max(maximum->slots(), value.slots()));
}

}  // namespace

std::vector<ownership::member> members(const state& state) {
  std::vector<ownership::member> result;
  if (state.self_was_listed) result.push_back(self_member(state));
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.region.empty()) continue;
    result.push_back(to_member(state, id, daemon));
  }
  std::sort(result.begin(), result.end(),
            [](const ownership::member& a, const ownership::member& b) {
              return a.id < b.id;
            });
  return result;
}

std::vector<peer::peer_address> peers(const state& state) {
  std::vector<peer::peer_address> result;
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.vm.peer_address().empty()) continue;
    result.push_back(
        {id, daemon.vm.peer_address(), daemon.vm.zone(), daemon.region});
  }
  return result;
}

bool is_settled(const state& state) {
  return state.uptime - state.resumed_at >= state.settings.unresponsive_limit;
}

std::vector<capacity_view> capacity_views(const state& state) {
  std::vector<capacity_view> result;
  for (const auto& [id, daemon] : state.daemons) {
    if (!has_fresh_capacity(state, daemon) || daemon.leaving) continue;
    bool other_region = daemon.region != state.settings.region;
    capacity_view view;
    view.id = id;
    view.zone = daemon.vm.zone();
    view.region = daemon.region;
    view.whole_region = other_region;
    view.capacity = other_region ? daemon.region_capacity : daemon.capacity;
    view.age = state.uptime - *daemon.last_heartbeat;
    result.push_back(std::move(view));
  }
  return result;
}

std::optional<std::string> newer_bundle_source(const state& state) {
  std::optional<std::string> source;
  std::uint64_t latest_roll = state.local.bundle_roll;
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.unresponsive_since || daemon.bundle_roll <= latest_roll)
      continue;
    if (daemon.vm.peer_address().empty()) continue;
    source = id;
    latest_roll = daemon.bundle_roll;
  }
  return source;
}

wire::room_summary estimate_region_capacity(const state& state) {
  std::vector<const wire::room_summary*> known{&state.local.capacity};
  double alive = 1;
  for (const auto& [id, daemon] : state.daemons) {
    if (daemon.region != state.settings.region || daemon.unresponsive_since)
      continue;
    ++alive;
    if (has_fresh_capacity(state, daemon)) known.push_back(&daemon.capacity);
  }
  double factor = alive / static_cast<double>(known.size());
  wire::room_summary estimate;
  for (const wire::room_summary* each : known) {
    add_scaled_resources(each->free(), factor, estimate.mutable_free());
    update_maximum(each->largest_free(), estimate.mutable_largest_free());
    estimate.set_queued(estimate.queued() +
                        static_cast<std::uint32_t>(factor * each->queued()));
  }
  return estimate;
}

}  // namespace ebonygrade::membership
