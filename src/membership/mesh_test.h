// Membership states of several daemons, connected by a simulated network
// without delay, for tests and benchmarks. `run` advances the time.
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
    bool suspended = false;
    std::uint64_t sent_bytes = 0;          // Of envelopes with heartbeats.
    std::uint64_t sent = 0;                // Heartbeats.
    std::uint64_t received = 0;            // Heartbeats.
    std::uint64_t cross_region_bytes = 0;  // Included in sent_bytes.
    std::uint64_t cross_region_sent = 0;   // Included in sent.
  };
  using delivery_rule =
      std::function<bool(const std::string& from, const std::string& to)>;

  explicit mesh(std::vector<zone_location> zones) : zones_(std::move(zones)) {}

  // Starts a daemon or a new incarnation of it, without adding it to the list.
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

  // Add a daemon to the list or remove it. `publish` makes the change visible.
  void list(const std::string& id, const std::string& zone) {
    wire::daemon_vm& vm = listed_[id];
    vm.set_id(id);
    vm.set_zone(zone);
    vm.set_peer_address("address of " + id);
  }
  void unlist(const std::string& id) { listed_.erase(id); }

  // Applies the current list to all daemons, or to `only` if given.
  void publish(const std::string& only = "") {
    wire::vm_list current;
    current.set_version(++version_);
    for (const auto& [id, vm] : listed_) *current.add_daemons() = vm;
    for (auto& [id, each] : nodes_) {
      if (only.empty() || only == id) apply_list(each.membership, current);
    }
  }

  void run(milliseconds duration) {
    for (milliseconds elapsed{0}; elapsed < duration; elapsed += kStep) {
      now += kStep;
      step();
    }
  }

  node& at(const std::string& id) { return nodes_.at(id); }
  std::map<std::string, node>& nodes() { return nodes_; }

  // The member `id` as `observer` sees it; with an empty id if `observer`
  // doesn't know the member.
  ownership::member observed_member(const std::string& observer,
                                    const std::string& id) {
    for (ownership::member& each : members(at(observer).membership)) {
      if (each.id == id) return each;
    }
    return {};
  }

  options defaults;
  std::uint64_t next_incarnation = 1;
  delivery_rule delivers = [](const std::string&, const std::string&) {
    return true;
  };
  steady_time now{std::chrono::hours(1)};

 private:
  static constexpr milliseconds kStep{100};

  void step() {
    for (auto& [id, each] : nodes_) {
      if (!each.running || each.suspended) continue;
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
    std::map<std::string, node>::iterator receiver = nodes_.find(message.to);
    count(envelope, receiver, sender);
    if (receiver == nodes_.end() || !delivers(from, message.to)) return;
    if (!receiver->second.running || receiver->second.suspended) return;
    ++receiver->second.received;
    apply_heartbeat(receiver->second.membership, envelope);
  }

  void count(const wire::envelope& envelope,
             std::map<std::string, node>::iterator receiver, node& sender) {
    sender.sent_bytes += envelope.ByteSizeLong();
    ++sender.sent;
    if (receiver == nodes_.end() || receiver->second.region == sender.region) {
      return;
    }
    sender.cross_region_bytes += envelope.ByteSizeLong();
    ++sender.cross_region_sent;
  }

  std::vector<zone_location> zones_;
  std::map<std::string, node> nodes_;
  std::map<std::string, wire::daemon_vm> listed_;
  std::uint64_t version_ = 0;
};

}  // namespace ebonygrade::membership
