// Connects near_wait.h to the scheduling rounds: what is known of the near
// racks, and the functions that decide.cpp and ends.cpp call. These do nothing
// for steps without a near rack. The forecasts of runs and of a gang's room are
// for reservations, too.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pool/round_pvt.h"

namespace ebonygrade::pool {

// A time at which resources of a worker become free, or are taken if negative.
struct room_change {
  steady_time at;
  resources freed;
};

// What is known of a worker's room in the near future.
struct worker_room {
  std::size_t placements = 0;        // Of the worker, when this was built.
  std::vector<room_change> changes;  // Ends of its runs, the first ones first.
  std::vector<room_change> claims;   // By waiting tasks, in any order.
};

// Data of one scheduling round on the racks. Built as far as it is needed.
struct near_round {
  bool has_racks = false;
  std::unordered_map<std::string, std::vector<worker*>> racks;
  std::unordered_map<const worker*, worker_room> rooms;
  // Where a gang that has just been considered waits for room.
  std::vector<worker*> awaited;
  std::size_t changes_searched = 0;
  std::size_t events = 0;
};

// A forecast with what it rests on.
struct found_room {
  bool has_workers = false;  // Some may run the task, with or without room.
  std::optional<near_forecast> forecast;
  // The worker of the forecast, or those on which a gang will have room.
  std::vector<worker*> workers;
};

// Null unless the settings ask for waits.
std::shared_ptr<near_round> begin_near_round(const pool_state& pool);

// Expected run time of a task of the step on the worker.
std::chrono::duration<double, std::milli> expected_run_time(
    const scheduling_round& round, const worker& worker,
    const wire::step_definition& step);
// When the run is expected to end; max() if it lasts.
steady_time expected_end(const scheduling_round& round, const worker& worker,
                         const placement& placed);

// Resources that a run frees at its expected end.
struct release {
  steady_time at;
  std::size_t worker = 0;  // Index in the caller's list.
  resources freed;
};
// How many members of the gang may run on one worker.
std::uint32_t max_members_per_worker(const candidate_step& candidate);
// Adds resources that come free to `free`, the earliest first, until the
// workers have room for the gang. Returns how many releases that takes; if any,
// these are the first of `releases`, which is sorted by time. Nothing if all of
// them don't suffice.
std::optional<std::size_t> release_until_fits(const candidate_step& candidate,
                                              std::vector<release>* releases,
                                              std::vector<resources>* free);

// When room for one task of the step comes free on the rack. Tasks that wait
// already, which come before it, keep their claims.
found_room find_task_room(const scheduling_round& round,
                          const candidate_step& candidate, const task& task,
                          const std::string& rack);
// When one rack has room for all tasks of the gang: any rack, or `rack` if it
// isn't empty.
found_room find_gang_room(const scheduling_round& round,
                          const candidate_step& candidate,
                          const std::string& rack);
// Later forecasts of this round leave the room on the worker to the task.
void claim_room(const scheduling_round& round, const candidate_step& candidate,
                const found_room& room);

// Whether the task doesn't take the best option that there is, as it waits for
// a place near its data.
bool waits_for_near(const scheduling_round& round,
                    const candidate_step& candidate, task* task,
                    const placement_option& best);
// The same for a gang and the options of its members.
bool gang_waits_for_near(const scheduling_round& round,
                         const candidate_step& candidate,
                         const std::vector<placement_option*>& chosen);
// Takes the placement of a task into account, or of a gang's members, and ends
// their wait.
void observe_place(const scheduling_round& round,
                   const candidate_step& candidate, task* task,
                   const std::vector<placement_option*>& chosen);
// The options on the gang's data rack if they hold the gang, else all of them.
std::vector<placement_option> prefer_data_rack(
    const scheduling_round& round, const candidate_step& candidate,
    const std::vector<placement_option>& options, std::uint32_t count);
// Moves near workers to the front, up to half of the first `count`, for a
// request to the advice service: nothing waits for a worker without a ticket,
// and requests in large pools name a small part of the workers.
void name_near_workers(const scheduling_round& round,
                       const wire::step_definition& step, std::size_t count,
                       std::vector<const worker*>* workers);
// Keeps the room that a waiting gang has been forecast from the steps after it.
// A waiting gang reserves nothing elsewhere.
void reserve_near_room(scheduling_round* round,
                       const candidate_step& candidate);
// Whether all waiting tasks of the step wait by a decision of this round. They
// have tickets for far and near workers, and new ones wouldn't be used.
bool all_wait_for_near(const scheduling_round& round,
                       const candidate_step& candidate);

}  // namespace ebonygrade::pool
