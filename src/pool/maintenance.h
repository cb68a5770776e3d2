// Waves of upkeep: which machines go down next, so that each has its upkeep in
// time, never too many at once, and little work is lost.
//
// A machine carries one worker at a time. Its upkeep ends all that runs there;
// a new worker joins the pool afterwards.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pool/pool.h"

namespace ebonygrade::pool {

// What the operator asks for.
struct maintenance_wave {
  std::uint64_t number = 0;
  std::vector<std::string> machines;
  milliseconds deadline{0};    // From the moment it was first read.
  std::uint32_t max_down = 1;  // Machines of the wave down at once.
};

enum class machine_state { up, moving, maintenance, down };

struct machine {
  std::string id;
  std::string service;  // The pool that it belongs to.
  machine_state state = machine_state::up;
  std::string worker;  // Empty while it has none.
};

// Progress of one wave.
struct wave_progress {
  maintenance_wave wave;
  steady_time due;
  std::set<std::string> begun;           // Machines whose upkeep has begun.
  std::set<std::string> in_maintenance;  // Of these, not seen up again.
  std::set<std::string> awaiting_reply;  // Ordered, without an answer.
  bool complete = false;
};

struct maintenance_state {
  std::map<std::uint64_t, wave_progress> waves;
  std::map<std::string, machine> machines;
  bool listed = false;  // The machines have been read.
};

struct maintenance_order {
  std::string machine;
  std::uint64_t wave = 0;
};

enum class maintenance_outcome {
  begun,    // Also if it was done before.
  busy,     // Not up, or leaving: try again later.
  refused,  // Not of this wave, or unknown: it counts as gone.
  fenced,
  unknown,
};

// A wave as read, and what the journal has of it. Machines that an earlier
// owner ordered without a known answer are returned, to be ordered again: the
// platform takes that for the same maintenance.
std::vector<maintenance_order> observe_wave(maintenance_state* maintenance,
                                            const maintenance_wave& wave,
                                            const wire::wave_record& record,
                                            steady_time now);
wire::wave_record record_of(const wave_progress& progress);
// The whole list of machines.
void observe_machines(maintenance_state* maintenance,
                      const std::vector<machine>& machines);
void observe_maintenance(maintenance_state* maintenance,
                         const maintenance_order& order,
                         maintenance_outcome answer);

// Orders to give now. Workers that are next get no starts, so that they empty;
// while there is time, only a worker that runs nothing is taken down.
std::vector<maintenance_order> decide_maintenance(
    maintenance_state* maintenance, pool_state* pool,
    milliseconds maintenance_time, steady_time now);

// Whether a wave is still to be worked on, so that machines must be listed.
bool has_incomplete_wave(const maintenance_state& maintenance);

}  // namespace ebonygrade::pool
