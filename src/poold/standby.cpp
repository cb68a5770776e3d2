#include "poold/standby.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "poold/claim_delay.h"
#include "poold/handover.h"

namespace ebonygrade::poold {

namespace {

// Longer than two waits and an interval of the directory's reads, as the age
// counts from the sending of a read.
constexpr milliseconds kMaxDirectoryAge{2400};
// Longer by the timeout and the retry of one read.
constexpr milliseconds kDirectoryOutage{4500};
// In a cell with at most this many daemons beside the owner, all are standbys.
constexpr std::size_t kMaxSmallCell = 9;
constexpr std::size_t kStandbysPerRegion = 2;
// Three missed announcements. The announcement interval is 1 s.
constexpr milliseconds kContactTimeout{3200};
// Two announcements of every daemon.
constexpr milliseconds kRegistryWarmUp{2200};
constexpr milliseconds kChoiceInterval{500};
constexpr std::size_t kMaxRelays = 8;

constexpr milliseconds kDelayAfterStart{500};
// Longer than a takeover by a standby.
constexpr milliseconds kDelayAfterOwnerLoss{2500};
constexpr milliseconds kMaxSpread{500};
// Daemons with too little CPU for an owner wait for all others.
constexpr milliseconds kLowCpuDelay{2500};
constexpr milliseconds kLowCpuSpread{3000};

bool has_owner_cpu(const daemon_info& daemon) {
  return daemon.cpu_share >= kMinOwnerCpuShare;
}

// Picks the next standby of a region; null if none is left.
const daemon_info* next_standby(const std::vector<const daemon_info*>& region,
                                const std::set<std::string>& chosen,
                                const std::set<std::string>& zones) {
  const daemon_info* best = nullptr;
  auto rank = [&](const daemon_info& each) {
    return std::make_tuple(has_owner_cpu(each), each.slowdown < kSlowRatio,
                           each.follows_journal, zones.count(each.zone) == 0,
                           each.cpu_share);
  };
  for (const daemon_info* each : region) {
    if (chosen.count(each->id) > 0) continue;
    if (best == nullptr || rank(*each) > rank(*best)) best = each;
  }
  return best;
}

}  // namespace

std::set<std::string> choose_standbys(const std::vector<daemon_info>& daemons) {
  std::set<std::string> chosen;
  if (daemons.size() <= kMaxSmallCell) {
    for (const daemon_info& each : daemons) chosen.insert(each.id);
    return chosen;
  }
  std::map<std::string, std::vector<const daemon_info*>> regions;
  for (const daemon_info& each : daemons) {
    regions[each.region].push_back(&each);
  }
  for (const std::pair<const std::string, std::vector<const daemon_info*>>&
           region : regions) {
    std::set<std::string> zones;
    for (std::size_t i = 0; i < kStandbysPerRegion; ++i) {
      const daemon_info* next = next_standby(region.second, chosen, zones);
      if (next == nullptr) break;
      chosen.insert(next->id);
      zones.insert(next->zone);
    }
  }
  return chosen;
}

milliseconds standby_delay(bool had_owner,
                           std::optional<milliseconds> min_round_trip,
                           double cpu_share, double spread) {
  bool low_cpu = cpu_share < kMinOwnerCpuShare;
  milliseconds base = had_owner ? kDelayAfterOwnerLoss : kDelayAfterStart;
  milliseconds width = low_cpu ? kLowCpuSpread : kMaxSpread;
  if (low_cpu) base += kLowCpuDelay;
  return base + claim_delay(min_round_trip, kMinOwnerCpuShare) +
         std::chrono::duration_cast<milliseconds>(width * spread);
}

bool advance_standby_wait(standby_wait* wait, bool owner_unconfirmed,
                          milliseconds directory_age, milliseconds delay,
                          steady_time now) {
  steady_time previous = std::exchange(wait->observed_at, now);
  if (!owner_unconfirmed || directory_age > kDirectoryOutage) {
    wait->due.reset();
    return false;
  }
  bool paused = directory_age > kMaxDirectoryAge;
  if (!wait->due) {
    if (!paused) wait->due = now + delay;
    return false;
  }
  if (paused) *wait->due += now - previous;
  return now >= *wait->due;
}

void daemon_registry::record(const daemon_info& daemon, steady_time now) {
  daemons_[daemon.id] = {daemon, now};
}

void daemon_registry::choose(steady_time now) {
  chosen_at_ = now;
  std::vector<daemon_info> alive;
  for (std::map<std::string, announced_daemon>::iterator each =
           daemons_.begin();
       each != daemons_.end();) {
    if (now - each->second.last_contact > kContactTimeout) {
      each = daemons_.erase(each);
      continue;
    }
    alive.push_back(each->second.daemon);
    ++each;
  }
  standbys_ = choose_standbys(alive);
}

bool daemon_registry::is_standby(const std::string& daemon, steady_time now) {
  if (now - created_ < kRegistryWarmUp) {
    std::map<std::string, announced_daemon>::const_iterator found =
        daemons_.find(daemon);
    return found != daemons_.end() && found->second.daemon.follows_journal;
  }
  if (chosen_at_ == steady_time() || now - chosen_at_ >= kChoiceInterval) {
    choose(now);
  }
  return standbys_.count(daemon) > 0;
}

std::vector<std::string> daemon_registry::relays_for(const std::string& daemon,
                                                     steady_time now) const {
  std::vector<std::string> relays;
  std::map<std::string, announced_daemon>::const_iterator each =
      daemons_.upper_bound(daemon);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (each == daemons_.end()) each = daemons_.begin();
    bool alive = now - each->second.last_contact <= kContactTimeout;
    // An append through a slow machine takes as long as one to a slow store.
    bool slow = each->second.daemon.slowdown >= kSlowRatio;
    if (alive && !slow && each->first != daemon) {
      relays.push_back(each->second.daemon.peer_address);
    }
    if (relays.size() == kMaxRelays) break;
    ++each;
  }
  return relays;
}

std::vector<announced_daemon> daemon_registry::announced() const {
  std::vector<announced_daemon> out;
  for (const std::pair<const std::string, announced_daemon>& each : daemons_) {
    out.push_back(each.second);
  }
  return out;
}

}  // namespace ebonygrade::poold
