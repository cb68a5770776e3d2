// One round of decisions: the steps that wait, the workers that are open to
// them, and what has been taken of these so far. Shared by the sources of this
// slice.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "pool/pool.h"

namespace ebonygrade::pool {

// How much a caller still gains from the job.
enum class tier { in_time, late, no_value };

struct candidate_step {
  pool::tier tier = pool::tier::in_time;
  std::uint32_t priority = 0;
  unix_time deadline;
  unix_time value_ends;
  pool::job* job = nullptr;
  step_state* step = nullptr;
  const queue_policy* policy = nullptr;
};

// A worker that takes starts now.
struct available_worker {
  std::int64_t free_cpu = 0;  // When the round began; it only shrinks.
  pool::worker* worker = nullptr;
};

struct scheduling_round {
  pool_state* pool = nullptr;
  steady_time now;
  unix_time wall;
  decisions* out = nullptr;
  std::vector<available_worker> available;     // The most room first.
  std::unordered_set<const worker*> reserved;  // For a gang that waits.
  std::int64_t free_cpu = 0;                   // Of all open workers.
  // Processor room that steps looked at so far will take once they have their
  // advice. What can't be placed for another reason holds up nobody.
  std::int64_t cpu_awaiting_advice = 0;
};

scheduling_round begin_round(pool_state* pool, decisions* out, steady_time now,
                             unix_time wall);

// A worker that could take tasks of the step, and how many.
struct placement_option {
  pool::worker* worker = nullptr;
  std::string_view ticket;
  resources free;
  std::uint32_t slots = 0;  // Tasks that fit.
  bool near_data = true;
  // Set by sort_by_preference().
  bool fast_enough = true;
  int speed_rank = 0;  // The lowest first.
};

// Whom to count as an option: with a valid ticket only, or whoever the advice
// allows, so far as it is known.
enum class ticket_mode { required, ignored };

// Workers with room for a task of the step; none counts for more than
// `max_slots`.
std::vector<placement_option> find_options(const scheduling_round& round,
                                           const candidate_step& candidate,
                                           ticket_mode mode,
                                           std::uint32_t max_slots);
// The best first: near the data; fast enough for the step's objective, and of
// these the slower ones, which leaves the fast ones to those that need them;
// then best fit, the least processor time left over.
void sort_by_preference(const scheduling_round& round,
                        const candidate_step& candidate,
                        std::vector<placement_option>* options);
// Time that the rest of the job may take to meet its objective, or to be worth
// anything if it is late, over the estimate of that rest.
double affordable_slowdown(const scheduling_round& round,
                           const candidate_step& candidate);
std::uint32_t total_slots(const std::vector<placement_option>& options);

// Takes starts now.
bool is_available(const worker& worker, steady_time now);
// Service and label of the worker are those that the step asks for, and it
// could hold a task if it were empty.
bool is_eligible(const worker& worker, const job& job,
                 const wire::step_definition& step);
// The advice service has ruled the worker out for the step.
bool is_denied(const step_state& step, const std::string& worker);
resources free_resources_of(const worker& worker);
std::uint32_t count_slots(const resources& free, const resources& need,
                          std::uint32_t max_slots);

bool any_placed(const step_state& step);
std::uint32_t count_waiting_tasks(const step_state& step);

// Asks which workers may run the step, if that is worth asking now.
void request_advice(scheduling_round* round, const candidate_step& candidate);

}  // namespace ebonygrade::pool
