// Which daemons exist and which are alive, as this daemon sees it.
//
// The platform's list says who exists; heartbeats say who is alive. Pure
// functions over a `state` value: feed it the list, the heartbeats received
// and ticks, send what `tick` returns, and read `members`, `peers`, `rooms`.
// It decides nothing: ownership is decided by epochs in the log, so members
// may disagree without harm.
//
// A daemon exchanges heartbeats with its neighbours only: all daemons of a
// small region, a few of a large one (see neighbours.h), and the borders of
// other regions if it is a border itself. What a neighbour knows that others
// may not (a daemon that came, went silent, was heard again or is leaving)
// travels as rumours in heartbeats. A daemon that is not a neighbour is taken
// to be alive until a rumour says that it is silent.
//
// Only daemons of its own region judge a daemon silent. So when regions lose
// each other, neither takes the other's daemons for dead. The only daemon of a
// region is judged by the borders of the others, after a longer silence.
//
// After a gap between its own ticks a daemon judges nobody silent until it has
// run for a full silence limit again.
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
  milliseconds silence_limit{2000};
  milliseconds sole_daemon_silence_limit{
      10000};  // Of the only daemon of a region.
  // Of a daemon that nobody has heard yet, while this one hears fewer than
  // half of its neighbours: the others' lists may not name this daemon yet.
  milliseconds first_contact_limit{15000};
  milliseconds pause_threshold{1000};  // A longer gap between ticks is a pause.
  milliseconds early_heartbeat_interval{
      200};                         // Least time between early heartbeats.
  std::size_t full_mesh_limit = 6;  // Largest region where all are neighbours.
  std::size_t ring_count = 3;       // Two neighbours each.
  std::size_t border_count = 2;     // Daemons of a region that speak to others.
  std::size_t max_rumours = 8;      // In one heartbeat.
  std::size_t max_daemons = 1000;   // Of the list; further ones are ignored.
};

// What this daemon tells of itself.
struct local_status {
  std::uint64_t claims_offset = 0;
  std::uint64_t bundle_roll = 0;
  bool leaving = false;
  wire::room_summary capacity;
};

// ---- State --------------------------------------------------------------

// Time that this daemon has been running, without its own pauses.
using running_time = milliseconds;

// One daemon other than this one.
struct daemon_state {
  wire::daemon_vm vm;
  std::string region;
  bool listed = false;
  bool neighbour = false;
  running_time neighbour_since{0};
  std::uint64_t incarnation = 0;  // 0: never heard of.
  std::uint64_t latest_sequence =
      0;  // Latest that anyone is known to have heard.
  std::uint64_t last_direct_sequence = 0;  // Latest heard here.
  bool leaving = false;
  std::optional<running_time> alive_since;     // Unset: no sign of life yet.
  running_time last_seen{0};                   // Heard, or said to be heard.
  std::optional<running_time> last_heartbeat;  // Last heartbeat from it.
  std::optional<running_time> unresponsive_since;  // Set while judged silent.
  milliseconds raised_limit{
      0};  // Limit after wrong judgements; 0: the usual one.
  std::uint64_t claims_offset = 0;
  std::uint64_t bundle_roll = 0;
  wire::room_summary capacity;
  wire::room_summary region_capacity;
  std::uint32_t rumour_repeats_left =
      0;  // Times to repeat the rumour about it.
};

struct state {
  options settings;
  local_status local;
  std::map<std::string, daemon_state> daemons;  // By id, without self.
  std::uint64_t list_version = 0;
  bool list_read = false;
  bool self_listed = false;
  bool self_was_listed = false;
  bool self_listed_leaving = false;
  std::uint64_t sequence = 0;  // Of own heartbeats.
  running_time uptime{0};
  running_time resumed_at{0};  // End of the last pause.
  running_time last_heartbeat_sent{0};
  running_time last_cross_region_sent{0};
  steady_time last_tick;
  bool early_heartbeat_wanted =
      false;  // A rumour waits that others should hear soon.
  bool border = false;
  std::size_t next_anti_entropy = 0;
};

state make_state(options settings, steady_time now);

// ---- Inputs -------------------------------------------------------------

void set_local(state& state, local_status local);

// Takes over the whole list. An older version than the one known and a list
// without daemons are ignored.
void apply_list(state& state, const wire::vm_list& list);

// `message` holds a heartbeat. Stale and repeated ones are ignored.
void apply_heartbeat(state& state, const wire::envelope& message);

struct outgoing {
  std::string to;
  wire::heartbeat heartbeat;
};

// Time passes; call it every 100 ms or so. Returns the heartbeats due.
std::vector<outgoing> tick(state& state, steady_time now);

// ---- Views --------------------------------------------------------------

// Every daemon, this one included, by id.
std::vector<ownership::member> members(const state& state);

// Daemons to hold links to.
std::vector<peer::peer_address> peers(const state& state);

// False for a silence limit after this daemon has paused: what it knew of the
// others may be out of date, so it should start nothing on account of it.
bool is_settled(const state& state);

// Room of a daemon or region, with the age of the report.
struct capacity_view {
  std::string id;  // Of the daemon that reported it.
  std::string zone;
  std::string region;
  bool whole_region = false;  // An estimate for the whole region.
  wire::room_summary capacity;
  milliseconds age{0};
};

// Room of the neighbours, and of other regions by their borders.
std::vector<capacity_view> capacity_views(const state& state);

// A neighbour whose bundle roll is later than the local one, if any: the one
// with the latest.
std::optional<std::string> newer_bundle_source(const state& state);

}  // namespace ebonygrade::membership
