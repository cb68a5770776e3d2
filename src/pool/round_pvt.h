// One scheduling round: the waiting steps, the available workers, and what the
// round has reserved so far. Shared by the sources of the pool's scheduler.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "pool/pool.h"
#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

// The value that a result still has for the caller.
enum class tier { in_time, late, no_value };

struct candidate_step {
  pool::tier tier = pool::tier::in_time;
  std::uint32_t priority = 0;
  unix_time deadline;
  unix_time value_ends;  // A later result has no value.
  pool::job* job = nullptr;
  step_state* step = nullptr;
  const queue_policy* policy = nullptr;
  // Set by describe_to_tenant(), in a pool with tenants.
  tenant_state* tenant = nullptr;
  bool over_share = false;
  std::uint32_t waiting_tasks = 0;
  resources waiting_need;  // Of all tasks that wait.
};

// A worker that may get starts in this round.
struct available_worker {
  std::int64_t free_cpu = 0;  // At the start of the round; an upper bound.
  pool::worker* worker = nullptr;
};

struct near_round;  // See near_wait_pvt.h.

// What a waiting gang keeps of a worker; see reservations_pvt.h.
struct reservation {
  const pool::job* holder = nullptr;
  // Used only while most of the pool is unused: when the gang is expected to
  // have its room, and what is left beside it at that time.
  steady_time start;
  resources spare;
};

struct scheduling_round {
  pool_state* pool = nullptr;
  steady_time now;
  unix_time wall;
  decisions* out = nullptr;
  std::vector<available_worker> available;  // Most free CPU first.
  // For waiting gangs.
  std::unordered_map<const worker*, reservation> reserved;
  task_ref first_holder;  // The first gang that reserved.
  // More than half of the CPU of the available workers is free.
  bool mostly_unused = false;
  // Jobs with nothing running may use reserved workers.
  bool yields = false;
  // Reservations keep such a job from starting, and most of the pool is unused.
  bool keeps_idle_job = false;
  std::int64_t free_cpu = 0;           // Of all available workers.
  std::int64_t reserved_free_cpu = 0;  // Of the reserved ones.
  // CPU that earlier steps of this round will use once they have advice. Steps
  // that can't be placed for other reasons are not counted, so that they don't
  // keep later steps from requesting advice.
  std::int64_t cpu_awaiting_advice = 0;
  // Null if no task waits for a near place.
  std::shared_ptr<near_round> near;
  std::unordered_set<const step_state*> waits_to_report;
};

scheduling_round begin_round(pool_state* pool, decisions* out, steady_time now,
                             unix_time wall);

// Run time of a step's slowest task relative to its estimate.
inline constexpr double kSlowestTaskFactor = 1.3;

// A worker that can run tasks of a step, and how many.
struct placement_option {
  pool::worker* worker = nullptr;
  std::string_view ticket;
  resources free;
  std::uint32_t slots = 0;  // Number of tasks that fit.
  bool near_data = true;
  // Set by sort_by_preference().
  bool fast_enough = true;
  bool avoided = false;  // Held for a gang.
  int speed_rank = 0;    // Lowest first.
};

// Whether an option needs a valid ticket. Without this, all workers count that
// are not known to be denied.
enum class ticket_mode { required, ignored };

// Returns the workers with capacity for a task of the step, with at most
// `max_slots` slots each.
std::vector<placement_option> find_options(const scheduling_round& round,
                                           const candidate_step& candidate,
                                           ticket_mode mode,
                                           std::uint32_t max_slots);
// Sorts the best option first, by these criteria:
// - the worker is near the data;
// - it is fast enough for the step's objective;
// - no gang collects room on it;
// - best fit: the least free CPU.
void sort_by_preference(const scheduling_round& round,
                        const candidate_step& candidate,
                        std::vector<placement_option>* options);
// The time left until the job's objective, or until the end of its value if the
// job is late, relative to the estimate of its remaining critical path.
double affordable_slowdown(const scheduling_round& round,
                           const candidate_step& candidate);
std::uint32_t total_slots(const std::vector<placement_option>& options);
// Whether the step would have room for a task, or for all tasks of a gang,
// without the reservations of this round.
bool is_kept_by_reservations(const scheduling_round& round,
                             const candidate_step& candidate);

// Whether the worker may get starts now.
bool is_available(const worker& worker, steady_time now);
// Whether the worker has the required service and label, and enough capacity
// for a task when idle.
bool is_eligible(const worker& worker, const job& job,
                 const wire::step_definition& step);
// Whether the advice service has denied the worker for the step.
bool is_denied(const step_state& step, const std::string& worker);
resources free_resources_of(const worker& worker);
std::uint32_t count_slots(const resources& free, const resources& need,
                          std::uint32_t max_slots);

bool any_placed(const step_state& step);
std::uint32_t count_waiting_tasks(const step_state& step);

// A worker on which a gang may collect room, with the number of the gang's
// tasks that fit there.
struct collectable_worker {
  std::uint32_t expected = 0;  // Soon, counting a part of the runs as ended.
  std::uint32_t free = 0;      // Now.
  // Now, but for backfilled runs. A worker that has some stays reserved.
  std::uint32_t kept_free = 0;
  pool::worker* worker = nullptr;
};

// The workers on which a gang may collect room, the most room first. With
// advice only granted workers count: room held for a reply that denies most of
// its workers stays idle while other steps wait.
std::vector<collectable_worker> collectable_workers(
    const scheduling_round& round, const candidate_step& candidate);
// How many of the first workers are needed for a gang of so many tasks; 0 if
// all of them don't suffice.
std::size_t count_to_collect(const std::vector<collectable_worker>& workers,
                             std::uint32_t tasks);

// Whether nothing but trials may start on the worker.
inline bool is_emptied(const worker& worker, steady_time now) {
  return now < worker.emptied_until;
}
// Whether a task of the step waits for its trial.
bool awaits_trial(const step_state& step);
// The first option whose worker has no runs; null if there is none.
placement_option* idle_option(std::vector<placement_option>* options);
// The option on which the suspected task runs next: alone, so that another
// crash proves that the task is the cause, and so that nothing else is lost. If
// no worker is idle, one of them is emptied. A task that has waited for too
// long runs where it disturbs least. Returns null if it has to wait.
placement_option* choose_for_trial(const scheduling_round& round,
                                   const wire::step_definition& step,
                                   task* task,
                                   std::vector<placement_option>* options);

// Makes a forecast of the load for admission control, if that is enabled and
// the last one is old. `waiting` are the steps in the order of placement.
void update_admission_load(const scheduling_round& round,
                           const std::vector<candidate_step>& waiting);

enum class wait_reason;  // See step_wait.h.
// Why no request for advice may be sent for the step now, whatever workers it
// would name. Nothing if one may be sent.
std::optional<wait_reason> advice_hindrance(const scheduling_round& round,
                                            const candidate_step& candidate);
// Requests advice for the step, if a request is useful now.
void request_advice(scheduling_round* round, const candidate_step& candidate);

}  // namespace ebonygrade::pool
