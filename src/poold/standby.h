// Decides which daemons hold a copy of the journal.
//
// The owner and a few standbys in each region follow the journal; all other
// daemons pass their callers' requests to the owner. Load pattern: with a copy
// in every daemon, the traffic at the store and between regions grows with the
// number of daemons times the work, and the link between regions fills first.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// A daemon as it announces itself to the owner.
struct daemon_info {
  std::string id;
  std::string peer_address;
  std::string zone;
  std::string region;
  double cpu_share = 1;          // Fraction of a core that the VM provides.
  bool follows_journal = false;  // Holds a copy of the journal.
  double slowdown = 0;           // As announced; 0: not measured.
};

struct announced_daemon {
  daemon_info daemon;
  steady_time last_contact;
};

// Returns the ids of the daemons that hold a copy of the journal beside the
// owner: all of them in a small cell, else a few in each region. Among the
// daemons of a region, those with the CPU share of an owner come first, then
// those on machines that aren't slow, then those that hold a copy already, then
// those in another zone.
std::set<std::string> choose_standbys(const std::vector<daemon_info>& daemons);

// How long a daemon without a copy waits for a confirmed owner until it
// becomes a standby. Standbys need up to two seconds to replace an owner, so a
// daemon that has been in contact with an owner waits longer than a daemon that
// has just started. `spread` in [0, 1) keeps daemons from loading the journal
// at the same time after all of them have restarted.
milliseconds standby_delay(bool had_owner,
                           std::optional<milliseconds> min_round_trip,
                           double cpu_share, double spread);

// The time until a daemon without a confirmed owner becomes a standby.
struct standby_wait {
  std::optional<steady_time> due;  // Empty: not waiting.
  steady_time observed_at;
};

// Advances the wait; called at short intervals. Returns whether the daemon is
// to become a standby. A daemon that can't read the directory can't tell
// whether there is another owner, and over a full link the journal would add to
// the load. `directory_age` is the time since the sending of the last
// successful read of the directory: one lost read pauses the wait, an outage
// ends it. `delay` is the length of a wait that begins now.
bool advance_standby_wait(standby_wait* wait, bool owner_unconfirmed,
                          milliseconds directory_age, milliseconds delay,
                          steady_time now);

// The daemons that are in contact with an owner. Not thread-safe.
class daemon_registry {
 public:
  explicit daemon_registry(steady_time now) : created_(now) {}

  void record(const daemon_info& daemon, steady_time now);
  // Whether the daemon is to hold a copy of the journal. While the registry is
  // new, each daemon keeps its role.
  bool is_standby(const std::string& daemon, steady_time now);
  // Peer addresses of daemons that may relay store calls of the given daemon:
  // a bounded number, and the same ones while no daemon comes or goes.
  std::vector<std::string> relays_for(const std::string& daemon,
                                      steady_time now) const;
  // All daemons with the time of their last announcement.
  std::vector<announced_daemon> announced() const;

 private:
  void choose(steady_time now);

  steady_time created_;
  steady_time chosen_at_;
  std::map<std::string, announced_daemon> daemons_;
  std::set<std::string> standbys_;
};

}  // namespace ebonygrade::poold
