// Membership states of several daemons joined by a fake network without
// delay, for tests and measurements. Time is advanced by hand.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace ebonygrade::membership {

class mesh {
 public:
  struct node {
    state membership;
    std::string region;
    std::uint64_t incarnation = 1;
    bool running = true;
    bool paused = false;
    std::uint64_t sent_bytes = 0;  // Of envelopes with heartbeats.
    std::uint64_t sent = 0;        // Heartbeats.
    std::uint64_t received = 0;
    std::uint64_t cross_region_bytes = 0;  // Part of sent_bytes.
    std::uint64_t cross_region_sent = 0;   // Part of sent.
  };
  using filter =
      std::function<bool(const std::string& from, const std::string& to)>;

  explicit mesh(std::vector<zone_location> zones) : zones_(std::move(zones)) {}

  // Starts a daemon, or a new incarnation of it; it isn't listed by that.
  void start(const std::string& id, const std::string& region) {
    node& started = nodes_[id];
    options settings = defaults;
    settings.self = id;
    settings.incarnation = next_incarnation++;
    settings.region = region;
    settings.zones = zones_;
    started.membership = make_state(settings, now);
    started.region = region;
    started.incarnation = settings.incarnation;
    started.running = true;
  }

  // Puts a daemon on the list, or takes it off. Takes effect by `publish`.
  void list(const std::string& id, const std::string& zone) {
    wire::daemon_vm& vm = listed_[id];
    vm.set_id(id);
    vm.set_zone(zone);
    vm.set_peer_address("address of " + id);
  }
  void unlist(const std::string& id) { listed_.erase(id); }

  // Shows the present list to all daemons, or to one.
  void publish(const std::string& only = "") {
    wire::vm_list value;
    value.set_version(++version_);
    for (const auto& [id, vm] : listed_) *value.add_daemons() = vm;
    for (auto& [id, each] : nodes_) {
      if (only.empty() || only == id) apply_list(each.membership, value);
    }
  }

  void run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      now += kStep;
      step();
    }
  }

  node& at(const std::string& id) { return nodes_.at(id); }
  std::map<std::string, node>& nodes() { return nodes_; }

  // What `observer` sees of `id`; an empty id if it isn't a member there.
  ownership::member observed_member(const std::string& observer,
                                    const std::string& id) {
    for (ownership::member& each : members(at(observer).membership)) {
      if (each.id == id) return each;
    }
    return {};
  }

  options defaults;
  std::uint64_t next_incarnation = 1;
  filter delivers = [](const std::string&, const std::string&) { return true; };
  steady_time now{std::chrono::hours(1)};

 private:
  static constexpr milliseconds kStep{100};

  void step() {
    for (auto& [id, each] : nodes_) {
      if (!each.running || each.paused) continue;
      for (outgoing& message : tick(each.membership, now)) {
        deliver(id, each, std::move(message));
      }
    }
  }

  void deliver(const std::string& from, node& sender, outgoing&& message) {
    wire::envelope envelope;
    envelope.set_from(from);
    envelope.set_incarnation(sender.incarnation);
    *envelope.mutable_heartbeat() = std::move(message.heartbeat);
    std::map<std::string, node>::iterator to = nodes_.find(message.to);
    count(envelope, to, sender);
    if (to == nodes_.end() || !delivers(from, message.to)) return;
    if (!to->second.running || to->second.paused) return;
    ++to->second.received;
    apply_heartbeat(to->second.membership, envelope);
  }

  void count(const wire::envelope& envelope,
             std::map<std::string, node>::iterator to, node& sender) {
    sender.sent_bytes += envelope.ByteSizeLong();
    ++sender.sent;
    if (to == nodes_.end() || to->second.region == sender.region) return;
    sender.cross_region_bytes += envelope.ByteSizeLong();
    ++sender.cross_region_sent;
  }

  std::vector<zone_location> zones_;
  std::map<std::string, node> nodes_;
  std::map<std::string, wire::daemon_vm> listed_;
  std::uint64_t version_ = 0;
};

}  // namespace ebonygrade::membership
