// Planning of maintenance waves. It selects the machines to take down next, so
// that each machine is maintained before the deadline, the limit of machines
// that are down at once is kept, and little work is lost.
//
// A machine hosts one worker at a time. Maintenance ends all runs of the
// worker; a new worker joins the pool afterwards.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pool/pool.h"

namespace ebonygrade::pool {

// A wave as the operator requested it.
struct maintenance_wave {
  std::uint64_t number = 0;
  std::vector<std::string> machines;
  milliseconds deadline{0};    // From the first read of the wave.
  std::uint32_t max_down = 1;  // Limit of machines down at once.
};

enum class machine_state { up, moving, maintenance, down };

struct machine {
  std::string id;
  std::string service;  // The pool that it belongs to.
  machine_state state = machine_state::up;
  std::string worker;  // Empty while it has none.
};

// An order whose outcome is not known. Its machine counts as down.
struct pending_order {
  bool awaiting_reply = false;
  // An earlier copy of the order got no reply and may have been applied.
  bool maybe_applied = false;
};

// Progress of one wave.
struct wave_progress {
  maintenance_wave wave;
  steady_time read_at;
  steady_time due;
  std::set<std::string> begun;  // Machines whose maintenance has begun.
  // Subset that is not up again, with the time at which that was known.
  std::map<std::string, steady_time> in_maintenance;
  std::map<std::string, pending_order> ordered;  // By machine.
  bool complete = false;
};

struct maintenance_state {
  std::map<std::uint64_t, wave_progress> waves;
  std::map<std::string, machine> machines;
  bool listed = false;    // The list of machines has been read.
  steady_time listed_at;  // When that list was requested.
};

struct maintenance_order {
  std::string machine;
  std::uint64_t wave = 0;
};

enum class maintenance_outcome {
  begun,    // Also if this order had begun the maintenance before.
  busy,     // The machine isn't up or is leaving; retry later.
  refused,  // The machine is unknown or not in the wave; counts as gone.
  fenced,
  unknown,  // No reply; the order may have been applied.
};

// Records a wave and its progress from the journal. Returns orders of an
// earlier owner whose outcome is unknown, to be sent again. The platform treats
// a repeated order as the same maintenance.
std::vector<maintenance_order> observe_wave(maintenance_state* maintenance,
                                            const maintenance_wave& wave,
                                            const wire::wave_record& record,
                                            steady_time now);
wire::wave_record record_of(const wave_progress& progress);
// Replaces the list of machines with a complete new one, whose first page was
// requested at `asked`. Maintenance that began later doesn't show in it.
void observe_machines(maintenance_state* maintenance,
                      const std::vector<machine>& machines, steady_time asked);
void observe_maintenance(maintenance_state* maintenance,
                         const maintenance_order& order,
                         maintenance_outcome outcome, steady_time now);

// Returns the orders to send now, including repetitions of those in doubt. The
// next workers of a wave get no starts, so
// that they become idle. While enough time is left, only idle workers are taken
// down.
std::vector<maintenance_order> decide_maintenance(
    maintenance_state* maintenance, pool_state* pool,
    milliseconds maintenance_time, steady_time now);

// Whether some wave is incomplete, so that the list of machines is needed.
bool has_incomplete_wave(const maintenance_state& maintenance);

}  // namespace ebonygrade::pool
