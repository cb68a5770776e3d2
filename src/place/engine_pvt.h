// Private header: state of the placement engine and the functions that its
// source files share. Workers, jobs, teams, queues and running tasks are kept
// in flat arrays and addressed by index. Names are mapped to indices once, when
// they enter the engine. A "job" is the engine's state of one request.
//
// Waiting jobs of equal team, class and resources per task form a queue in
// order of submission. Each team has a heap of its queues that aren't blocked.
// One heap holds the teams with at least one such queue. A queue whose head
// can't be placed is blocked until enough capacity is released or its retry
// time comes.
#pragma once

#include <array>
#include <boost/container/small_vector.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "place/capacity_index_pvt.h"
#include "place/indexed_heap_pvt.h"
#include "place/place.h"
#include "place/random_pvt.h"

namespace ebonygrade::place {

inline constexpr std::size_t kResourceCount = 4;
// Amounts of the resources in the order of job::resources, wide enough for
// sums.
using amounts = std::array<std::int64_t, kResourceCount>;

amounts to_amounts(const job::resources& value);
void add(amounts* total, const job::resources& value, std::int64_t times = 1);

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const;
};
using name_map = boost::unordered_flat_map<std::string, std::uint32_t,
                                           string_hash, std::equal_to<>>;

// A quarantined worker gets no tasks. After the quarantine it is on probation.
enum class worker_health : std::uint8_t { healthy, quarantined, probation };

// A worker on probation runs one task at a time until one completes.
struct worker_state {
  std::string id;
  job::resources capacity;
  job::resources free;
  std::uint32_t zone = 0;
  std::uint32_t rack = 0;
  std::uint32_t running = 0;
  std::uint32_t first_task = kNone;  // Head of its list of running_state.
  std::uint32_t failures = 0;        // Consecutive failed tasks.
  steady_time quarantined_until;
  milliseconds quarantine_time{0};
  worker_health health = worker_health::healthy;
  bool present = false;
  bool leaving = false;
  bool reserved = false;  // By the active reservation.
  bool probing = false;   // On probation, with a task running.
};

struct running_state {
  std::uint32_t job = kNone;
  std::uint32_t task_index = 0;
  std::uint32_t worker = kNone;
  std::uint32_t next = kNone;  // In the list of the worker.
  std::uint32_t previous = kNone;
  steady_time started = steady_time::min();  // min: unknown.
  steady_time preempted_at = steady_time::min();
  bool preempted = false;
  bool stop_sent = false;  // The checkpoint took too long.
};

struct job_state {
  std::string id;
  std::uint32_t team = 0;
  job::job_class kind = job::job_class::batch;
  bool idempotent = true;
  std::uint16_t preemptions = 0;
  job::resources per_task;
  boost::container::small_vector<std::uint32_t, 2> waiting;
  std::uint32_t running = 0;
  std::uint32_t queue = kNone;  // kNone: no task waits.
  std::uint32_t previous = kNone;
  std::uint32_t next = kNone;
  milliseconds expected_runtime{0};
  steady_time deadline = steady_time::max();
  steady_time submitted;
  std::unique_ptr<spread_counts> spread;
  // Used to tell a job that fails on every worker from a worker that fails
  // every task.
  std::uint32_t completions = 0;
  std::uint32_t last_failed_on = kNone;
  bool failed_on_several = false;
};

// Why a queue is blocked; `backoff` is the retry delay of a gang.
enum class block_reason : std::uint8_t { none, capacity, quota, backoff };

struct queue_state {
  std::uint32_t team = 0;
  job::job_class kind = job::job_class::batch;
  job::resources need;
  std::uint32_t head = kNone;
  std::uint32_t tail = kNone;
  std::size_t tasks = 0;      // Waiting tasks.
  std::int32_t priority = 0;  // Of the class, raised by ageing of the head.
  block_reason blocked = block_reason::none;
  bool is_in_blocked_list = false;  // In engine::blocked_queues.
  steady_time retry_at;             // Set if blocked for capacity or backoff.
};

// Order of the queues of a team. With a packing weight of at least
// kPackingThreshold, larger tasks go first within a priority, and smaller ones
// fill the capacity that is left. Otherwise `size` is 0. Then the earlier
// deadline goes first, then the older job.
struct queue_key {
  std::int32_t priority = 0;
  float size = 0;  // Dominant share of the capacity that one task needs.
  steady_time deadline;
  steady_time submitted;

  bool operator<(const queue_key& other) const {
    if (priority != other.priority) return priority > other.priority;
    if (size != other.size) return size > other.size;
    if (deadline != other.deadline) return deadline < other.deadline;
    return submitted < other.submitted;
  }
};

// Order of the teams: by priority of the best queue, then teams within their
// quota before borrowers, then the smallest weighted dominant share.
struct team_key {
  std::int32_t priority = 0;
  bool is_borrowing = false;
  float share = 0;

  bool operator<(const team_key& other) const {
    if (priority != other.priority) return priority > other.priority;
    if (is_borrowing != other.is_borrowing) return other.is_borrowing;
    return share < other.share;
  }
};

// Moving averages of what the tasks of one team and class needed.
struct observed_demand {
  double runtime_ms = 0;                           // 0: no data.
  double runtime_ratio = 0;                        // Measured to declared.
  std::array<double, kResourceCount> use_ratio{};  // Used to declared.
};

struct team_state {
  bundle::team_policy policy;
  bool is_known = false;  // Named by the bundle in force.
  amounts used{};
  float share = 0;          // Dominant share divided by the weight.
  std::size_t waiting = 0;  // Waiting tasks.
  indexed_heap<queue_key> queues;
  // A queue is blocked by the quota, and no task of the team has ended since.
  bool has_quota_blocked = false;
  std::array<observed_demand, job::kJobClassCount> observed;
};

// What the jobs of one queue have in common.
struct task_shape {
  std::uint32_t team = 0;
  job::job_class kind = job::job_class::batch;
  job::resources need;

  friend bool operator==(const task_shape&, const task_shape&) = default;
};
struct task_shape_hash {
  std::size_t operator()(const task_shape& value) const;
};

// The number of workers of equal capacity.
struct capacity_group {
  job::resources capacity;
  std::size_t workers = 0;
};

// The failed reservations of a waiting job.
struct reservation_history {
  std::uint32_t failed = 0;
  steady_time last_failure;
};

// Workers reserved for one job that needs more free capacity than there is.
struct reservation {
  std::uint32_t job = kNone;
  steady_time ready_at;  // When the capacity is predicted to be free.
  steady_time until;     // End of the reservation.
  std::vector<std::uint32_t> workers;
};

// The preemption of tasks of one worker in favour of a waiting queue.
struct pending_preemption {
  std::uint32_t queue = kNone;
  std::uint32_t worker = kNone;
  std::uint32_t tasks_left = 0;  // Preempted tasks that haven't ended.
};

struct engine {
  explicit engine(const engine_options& options) : random(options.seed) {}

  random_source random;
  bundle::policy policy;
  steady_time now{};  // Latest time that a caller passed.
  // free_workers, free_jobs, free_running and free_queues below hold indices of
  // unused elements.

  std::vector<worker_state> workers;
  std::vector<std::uint32_t> free_workers;
  name_map worker_by_id;
  name_map zones;
  name_map racks;
  capacity_index free_index;
  std::size_t worker_count = 0;
  std::vector<capacity_group> capacity_groups;
  std::vector<std::uint32_t> quarantined;
  amounts capacity{};
  amounts free{};  // Of all workers, also those that accept no tasks.
  std::array<double, kResourceCount> per_capacity{};  // 1 / capacity.
  bool shares_stale = true;
  double quota_share = 1.0;
  // Per resource, the most that was free on any worker when it released
  // capacity since the last scheduling round.
  job::resources largest_released;
  bool any_released = false;

  std::vector<job_state> jobs;
  std::vector<std::uint32_t> free_jobs;
  name_map job_by_id;
  std::vector<running_state> running;
  std::vector<std::uint32_t> free_running;
  // Index into `running` by (job << 32 | task index).
  boost::unordered_flat_map<std::uint64_t, std::uint32_t> running_by_task;
  std::size_t running_count = 0;
  std::size_t waiting_count = 0;
  std::array<std::size_t, job::kJobClassCount> class_waiting{};

  std::vector<team_state> teams;
  name_map team_by_name;
  indexed_heap<team_key> ready_teams;
  std::vector<std::uint32_t> team_positions;

  std::vector<queue_state> queues;
  std::vector<std::uint32_t> free_queues;
  boost::unordered_flat_map<task_shape, std::uint32_t, task_shape_hash>
      queue_by_shape;
  std::vector<std::uint32_t> queue_positions;
  std::vector<std::uint32_t> blocked_queues;
  steady_time next_priority_refresh{};
  steady_time gang_try_window_start{};
  int failed_gang_tries = 0;  // Since gang_try_window_start.
  bool unblock_all = false;

  indexed_heap<steady_time> deadlines;
  std::vector<std::uint32_t> deadline_positions;

  reservation active_reservation;
  // By request id.
  boost::unordered_flat_map<std::string, reservation_history>
      failed_reservations;
  std::vector<pending_preemption> preemptions;
  // Number of preemptions by request id, kept also after the job has left the
  // engine. The oldest entries are dropped, in the order of the second member.
  boost::unordered_flat_map<std::string, std::uint16_t> preemption_counts;
  std::deque<std::string> preemption_count_order;

  // Rate of starts, from which the retry_after of refusals is derived.
  double starts_per_second = 0;
  std::size_t starts_counted = 0;
  steady_time rate_window_start{};
  steady_time next_retry_at{};
};

inline const bundle::class_policy& class_policy_of(const engine& e,
                                                   job::job_class kind) {
  return e.policy.classes[static_cast<std::size_t>(kind)];
}

// ---- teams.cpp ----------------------------------------------------------

// Returns the index of the team, which is added if it is new.
std::uint32_t intern_team(engine* e, std::string_view name);
// Recomputes the share of one team.
void update_share(engine* e, std::uint32_t team);
// The largest fraction, over the resources, that `amount` is of the capacity of
// all workers.
double dominant_share(const engine& e, const amounts& amount);
// Recomputes the shares of all teams if the capacity or the policy changed.
void update_all_shares(engine* e);
// Updates the team's entry in the heap of ready teams.
void update_ready_team(engine* e, std::uint32_t team);
// Adds `times` the amount to the usage of the team; `times` may be negative.
void charge(engine* e, std::uint32_t team, const job::resources& amount,
            std::int64_t times);
// True if `times` more tasks would bring the team over its quota.
bool exceeds_quota(const engine& e, std::uint32_t team,
                   const job::resources& need, std::int64_t times);

// ---- queues.cpp ---------------------------------------------------------

std::uint32_t find_job(const engine& e, std::string_view id);
std::uint32_t make_job(engine* e, std::string_view id);
// Frees the job's state if none of its tasks waits or runs.
void free_job_if_unused(engine* e, std::uint32_t job);
// Adds the job to the queue of its shape, or removes it from there.
void link_job(engine* e, std::uint32_t job);
void unlink_job(engine* e, std::uint32_t job);
// Removes all waiting tasks of the job and returns their number.
std::size_t drop_waiting(engine* e, std::uint32_t job);
void block_queue(engine* e, std::uint32_t queue, block_reason reason);
// Unblocks the queues whose cause of blocking may be gone.
void unblock_queues(engine* e);
// Recomputes the priorities that ageing raises, at most once in an interval
// unless forced.
void refresh_priorities(engine* e, bool force);
// Updates the queue's priority and its entry in the heap of the team.
void update_queue(engine* e, std::uint32_t queue);

// ---- admission.cpp ------------------------------------------------------

// A delay after which a refused caller should retry. The delays are staggered
// such that refused callers return at the rate at which tasks start.
milliseconds staggered_retry_after(engine* e, steady_time now);
// Updates the rate of starts.
void update_start_rate(engine* e, std::size_t starts, steady_time now);

// ---- workers.cpp --------------------------------------------------------

// Updates the worker in the index, or removes it if it accepts no tasks.
void refresh_worker(engine* e, std::uint32_t worker);
// Records the free amounts of the worker for `unblock_queues`.
void record_released_capacity(engine* e, std::uint32_t worker);
// Counts a failure or success of the worker, and starts or ends its quarantine.
void update_worker_health(engine* e, std::uint32_t worker, std::uint32_t job,
                          wire::task_end end, steady_time now);
// Puts workers on probation whose quarantine has ended.
void expire_quarantines(engine* e, steady_time now);

// ---- running.cpp --------------------------------------------------------

std::uint32_t find_running(const engine& e, std::uint32_t job,
                           std::uint32_t task_index);
// Allocates the task's resources on the worker.
void add_running(engine* e, std::uint32_t job, std::uint32_t task_index,
                 std::uint32_t worker, steady_time started);
// Releases the task's resources. The job's state is kept.
void remove_running(engine* e, std::uint32_t running);
// Predicted run time of the job's tasks; 0 if unknown.
milliseconds estimate_runtime(const engine& e, const job_state& job);
void record_runtime(engine* e, const job_state& job, milliseconds measured);

// ---- gang.cpp -----------------------------------------------------------

// Places all waiting tasks of a gang, or none. Returns whether it did.
bool place_gang(engine* e, std::uint32_t job, decisions* out);

// ---- reservation.cpp ----------------------------------------------------

// Reserves workers for a job that can't be placed, unless there is another
// reservation or the job has to wait before its next one.
void try_reservation(engine* e, std::uint32_t job);
// Ends or prolongs the active reservation once its time is up.
void expire_reservation(engine* e, steady_time now);
void release_reservation(engine* e);
// Whether the job may use the reserved workers: it is the holder, has a higher
// priority, or should end before the holder can start.
bool may_use_reserved(const engine& e, std::uint32_t job,
                      std::int32_t priority);

// ---- preempt.cpp --------------------------------------------------------

// Preempts tasks of lower priority, such that waiting tasks of the queue fit.
void try_preemption(engine* e, std::uint32_t queue, decisions* out);
// Stops preempted tasks that haven't ended within the grace period of their
// checkpoint.
void escalate_preemptions(engine* e, decisions* out);
// To be called when a preempted task ends.
void record_preempted_end(engine* e, const running_state& task);

// ---- decide.cpp ---------------------------------------------------------

// The best worker for one task of the job; kNone if no worker fits.
std::uint32_t find_worker(engine* e, std::uint32_t job, std::int32_t priority);
// Starts the job's next waiting task on the worker.
void start_next_task(engine* e, std::uint32_t job, std::uint32_t worker,
                     decisions* out);
// Removes the job from its queue, once its last waiting task has started.
void dequeue_job(engine* e, std::uint32_t job);

}  // namespace ebonygrade::place
