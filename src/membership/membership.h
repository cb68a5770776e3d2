// Which daemons exist and which of them are alive, as seen by this daemon.
//
// The platform's list names the daemons that exist; heartbeats show which are
// alive. The functions are pure and work on a `state` value: pass in each list,
// each received heartbeat and a regular tick, send the heartbeats that `tick`
// returns, and read the result with `members`, `peers` and `capacity_views`.
// Daemons may disagree about who is alive without harm, because ownership is
// decided by the epochs in the log.
//
// A daemon exchanges heartbeats with its neighbours only: all daemons of a
// small region, a few of a large one (see neighbours.h), and, if it is a border
// daemon, the border daemons of other regions. Daemons that start, become
// unresponsive, recover or leave are announced to all others by rumours, which
// are carried in heartbeats. A daemon that isn't a neighbour counts as alive
// until a rumour reports it as unresponsive.
//
// A daemon is judged unresponsive only by daemons of its own region, so regions
// that lose their connection don't declare each other's daemons dead. The only
// daemon of a region is judged by the border daemons of other regions, with a
// longer limit.
//
// A daemon whose own ticks were interrupted judges no other daemon
// unresponsive until it has run for a full `unresponsive_limit` again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "job/job.h"
#include "ownership/ownership.h"
#include "peer/link.h"
#include "wire/peer.pb.h"
#include "wire/platform.pb.h"

namespace ebonygrade::membership {

using clock::milliseconds;
using clock::steady_time;

struct zone_location {
  std::string zone;
  std::string region;
};

struct options {
  std::string self;  // Daemon id.
  std::uint64_t incarnation = 0;
  std::string region;
  std::vector<zone_location> zones;  // Every zone of the cell.
  milliseconds heartbeat_interval{1000};
  milliseconds cross_region_interval{2000};
  // A daemon without a sign of life for this long is unresponsive.
  milliseconds unresponsive_limit{2000};
  // The limit for the only daemon of a region.
  milliseconds sole_daemon_unresponsive_limit{10000};
  // The limit for a daemon from which no heartbeat is known, neither directly
  // nor by a rumour. Applies while this daemon receives heartbeats from fewer
  // than half of its neighbours: their lists may not name this daemon yet.
  milliseconds first_contact_limit{15000};
  // A longer gap between ticks means that this daemon was suspended.
  milliseconds suspension_threshold{1000};
  // Minimum time between a heartbeat and an early one that carries new rumours.
  milliseconds early_heartbeat_interval{200};
  std::size_t full_mesh_limit = 6;  // Largest region where all are neighbours.
  std::size_t ring_count = 3;       // Each ring gives two neighbours.
  std::size_t border_count = 2;     // Border daemons in each region.
  std::size_t max_rumours = 8;      // In one heartbeat.
  std::size_t max_daemons = 1000;   // Any further daemons are ignored.
};

// What this daemon reports about itself in heartbeats.
struct local_status {
  std::uint64_t claims_offset = 0;
  std::uint64_t bundle_roll = 0;
  bool leaving = false;
  wire::room_summary capacity;
};

// ---- State --------------------------------------------------------------

// Time since this daemon's start. A suspension counts as
// `suspension_threshold`, however long it was.
using running_time = milliseconds;

// One daemon other than this one.
struct daemon_state {
  wire::daemon_vm vm;
  std::string region;
  bool listed = false;
  bool neighbour = false;
  running_time neighbour_since{0};
  std::uint64_t incarnation = 0;  // 0: no heartbeat or rumour received yet.
  // Highest heartbeat sequence known, from heartbeats and rumours.
  std::uint64_t latest_sequence = 0;
  // Highest sequence of the heartbeats received from the daemon itself.
  std::uint64_t last_direct_sequence = 0;
  bool leaving = false;
  std::optional<running_time> alive_since;  // Unset: no sign of life yet.
  running_time last_seen{0};  // Last sign of life: a heartbeat or a rumour.
  std::optional<running_time> last_heartbeat;      // Received from it directly.
  std::optional<running_time> unresponsive_since;  // Unset: not unresponsive.
  // Higher limit after wrong judgements; 0: the usual limit applies.
  milliseconds raised_limit{0};
  std::uint64_t claims_offset = 0;
  std::uint64_t bundle_roll = 0;
  wire::room_summary capacity;
  wire::room_summary region_capacity;
  // How many more rounds of heartbeats carry the rumour about this daemon.
  std::uint32_t rumour_repeats_left = 0;
};

struct state {
  options settings;
  local_status local;
  std::map<std::string, daemon_state> daemons;  // By id, without self.
  std::uint64_t list_version = 0;
  bool list_read = false;
  bool self_listed = false;      // In the latest list.
  bool self_was_listed = false;  // In any list so far.
  bool self_listed_leaving = false;
  std::uint64_t sequence = 0;  // Of the latest heartbeat sent.
  running_time uptime{0};
  running_time resumed_at{0};  // End of the last suspension.
  running_time last_heartbeat_sent{0};
  running_time last_cross_region_sent{0};
  steady_time last_tick;
  bool early_heartbeat_wanted = false;  // A new rumour is due to be sent.
  bool border = false;                  // This daemon is a border daemon.
  // Daemon for the next anti-entropy rumour: an index modulo the size of
  // `daemons`.
  std::size_t next_anti_entropy = 0;
};

state make_state(options settings, steady_time now);

// ---- Inputs -------------------------------------------------------------

void set_local(state& state, local_status local);

// Applies a complete list. A list older than the latest one and a list without
// daemons are ignored.
void apply_list(state& state, const wire::vm_list& list);

// `message` contains a heartbeat. Outdated and repeated ones are ignored.
void apply_heartbeat(state& state, const wire::envelope& message);

struct outgoing {
  std::string to;
  wire::heartbeat heartbeat;
};

// Advances the time and returns the heartbeats that are due. To be called
// about every 100 ms.
std::vector<outgoing> tick(state& state, steady_time now);

// ---- Views --------------------------------------------------------------

// Every daemon, this one included, sorted by id.
std::vector<ownership::member> members(const state& state);

// The daemons to keep links to.
std::vector<peer::peer_address> peers(const state& state);

// False until this daemon has run for `unresponsive_limit` after a suspension.
// Until then its knowledge of other daemons may be outdated, and it should
// start nothing because of that knowledge.
bool is_settled(const state& state);

// Free capacity of a daemon or region, with the age of the report.
struct capacity_view {
  std::string id;  // Daemon that reported it.
  std::string zone;
  std::string region;
  bool whole_region = false;  // `capacity` is an estimate for the region.
  wire::room_summary capacity;
  milliseconds age{0};
};

// Free capacity of the neighbours in this region, and of other regions as
// reported by their border daemons.
std::vector<capacity_view> capacity_views(const state& state);

// The neighbour with the latest bundle roll, if that is later than the local
// one.
std::optional<std::string> newer_bundle_source(const state& state);

}  // namespace ebonygrade::membership
