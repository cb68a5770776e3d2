// State of the placement engine and the steps its files share. Not for
// outside. Everything is held in flat arrays addressed by small integers;
// names are looked up once, when they enter.
//
// Waiting jobs of equal team, class and size form a queue in order of
// submission. Each team has a heap of its queues, and one heap holds the
// teams that have a queue whose head might be placed now. A queue whose head
// found no room is blocked until enough room is given back.
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

#include "place/indexed_heap_pvt.h"
#include "place/place.h"
#include "place/random_pvt.h"
#include "place/room_index_pvt.h"

namespace ebonygrade::place {

inline constexpr std::size_t kResourceCount = 4;
using amounts = std::array<std::int64_t, kResourceCount>;

amounts to_amounts(const job::resources& value);
void add(amounts* total, const job::resources& value, std::int64_t times = 1);

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const;
};
using name_map = boost::unordered_flat_map<std::string, std::uint32_t,
                                           string_hash, std::equal_to<>>;

enum class worker_health : std::uint8_t { healthy, quarantined, probation };

struct worker_state {
  std::string id;
  job::resources capacity;
  job::resources free;
  std::uint32_t zone = 0;
  std::uint32_t rack = 0;
  std::uint32_t running = 0;
  std::uint32_t first_task = kNone;  // Chain through running_state.
  std::uint32_t failures = 0;        // In a row.
  steady_time quarantined_until;
  milliseconds quarantine_time{0};
  worker_health health = worker_health::healthy;
  bool present = false;
  bool leaving = false;
  bool held = false;     // By the reservation.
  bool probing = false;  // On probation, with a task running.
};

struct running_state {
  std::uint32_t job = kNone;
  std::uint32_t task_index = 0;
  std::uint32_t worker = kNone;
  std::uint32_t next = kNone;  // On the same worker.
  std::uint32_t previous = kNone;
  steady_time started = steady_time::min();  // min: not known.
  steady_time preempted_at = steady_time::min();
  bool preempted = false;
  bool stop_sent = false;
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
  // Tell a job that fails everywhere from a worker that fails everything.
  std::uint32_t completions = 0;
  std::uint32_t last_failed_on = kNone;
  bool failed_on_several = false;
};

enum class block_reason : std::uint8_t { none, room, quota, pause };

struct queue_state {
  std::uint32_t team = 0;
  job::job_class kind = job::job_class::batch;
  job::resources need;
  std::uint32_t head = kNone;
  std::uint32_t tail = kNone;
  std::size_t tasks = 0;  // Waiting.
  std::int32_t level = 0;
  block_reason blocked = block_reason::none;
  bool is_listed = false;  // In engine::blocked_queues.
  steady_time retry_at;    // When blocked by room or pause.
};

// Within a level, where packing comes first, larger tasks go first: small ones
// fill what they leave. Otherwise `size` is 0 and the older job goes first.
struct queue_key {
  std::int32_t level = 0;
  float size = 0;  // Dominant share of the capacity that one task needs.
  steady_time deadline;
  steady_time submitted;

  bool operator<(const queue_key& other) const {
    if (level != other.level) return level > other.level;
    if (size != other.size) return size > other.size;
    if (deadline != other.deadline) return deadline < other.deadline;
    return submitted < other.submitted;
  }
};

struct team_key {
  std::int32_t level = 0;
  bool is_borrowing = false;
  float share = 0;

  bool operator<(const team_key& other) const {
    if (level != other.level) return level > other.level;
    if (is_borrowing != other.is_borrowing) return other.is_borrowing;
    return share < other.share;
  }
};

// What tasks of one team and class were seen to need, as averages.
struct experience {
  double runtime_ms = 0;                           // 0: none seen.
  double runtime_ratio = 0;                        // Measured to declared.
  std::array<double, kResourceCount> use_ratio{};  // Used to declared.
};

struct team_state {
  bundle::team_policy policy;
  bool is_known = false;  // Named by the bundle in force.
  amounts used{};
  float share = 0;  // Dominant share over weight.
  std::size_t waiting = 0;
  indexed_heap<queue_key> queues;
  bool has_quota_blocked = false;
  std::array<experience, job::kJobClassCount> seen;
};

struct shape {
  std::uint32_t team = 0;
  job::job_class kind = job::job_class::batch;
  job::resources need;

  friend bool operator==(const shape&, const shape&) = default;
};
struct shape_hash {
  std::size_t operator()(const shape& value) const;
};

// Workers of equal capacity.
struct capacity_group {
  job::resources capacity;
  std::size_t workers = 0;
};

// Failed reservations of a waiting job.
struct hold_history {
  std::uint32_t failed = 0;
  steady_time last_end;
};

// Workers kept free for one job that needs more room than there is.
struct reservation {
  std::uint32_t job = kNone;
  steady_time ready_at;  // When the room should be there.
  steady_time until;
  std::vector<std::uint32_t> workers;
};

// The tasks that were asked to stop for one waiting queue.
struct pending_preemption {
  std::uint32_t queue = kNone;
  std::uint32_t worker = kNone;
  std::uint32_t tasks_left = 0;
};

struct engine {
  explicit engine(const engine_options& options) : random(options.seed) {}

  random_source random;
  bundle::policy policy;
  steady_time now{};  // Latest time seen.

  std::vector<worker_state> workers;
  std::vector<std::uint32_t> free_workers;
  name_map worker_by_id;
  name_map zones;
  name_map racks;
  room_index rooms;
  std::size_t worker_count = 0;
  std::vector<capacity_group> capacity_groups;
  std::vector<std::uint32_t> quarantined;
  amounts capacity{};
  amounts free{};  // Of all workers, also those that take nothing new.
  std::array<double, kResourceCount> per_capacity{};  // 1 / capacity.
  bool shares_stale = true;
  double quota_share = 1.0;
  // Largest room given back on one worker since the last decision.
  job::resources given_back;
  bool any_given_back = false;

  std::vector<job_state> jobs;
  std::vector<std::uint32_t> free_jobs;
  name_map job_by_id;
  std::vector<running_state> running;
  std::vector<std::uint32_t> free_running;
  // (job << 32 | task index) to running.
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
  boost::unordered_flat_map<shape, std::uint32_t, shape_hash> queue_by_shape;
  std::vector<std::uint32_t> queue_positions;
  std::vector<std::uint32_t> blocked_queues;
  steady_time next_level_refresh{};
  steady_time gang_tries_since{};
  int gang_tries = 0;  // That failed since then.
  bool unblock_all = false;

  indexed_heap<steady_time> deadlines;
  std::vector<std::uint32_t> deadline_positions;

  reservation held;
  // By job id.
  boost::unordered_flat_map<std::string, hold_history> failed_holds;
  std::vector<pending_preemption> preemptions;
  // How often a job was preempted, also after it left the engine; bounded.
  boost::unordered_flat_map<std::string, std::uint16_t> preempted_jobs;
  std::deque<std::string> preempted_order;

  // Start rate, for the time to come back told with a refusal.
  double starts_per_second = 0;
  std::size_t starts_counted = 0;
  steady_time rate_since{};
  steady_time next_return{};
};

inline const bundle::class_policy& class_policy_of(const engine& e,
                                                   job::job_class kind) {
  return e.policy.classes[static_cast<std::size_t>(kind)];
}

// ---- teams.cpp ----------------------------------------------------------

std::uint32_t intern_team(engine* e, std::string_view name);
// Recomputes the share of one team, or of all after capacity changed.
void update_share(engine* e, std::uint32_t team);
// Largest share of the cell's capacity that the amount is of any resource.
double dominant_share(const engine& e, const amounts& amount);
void update_all_shares(engine* e);
// Puts the team at its place among the teams that are ready.
void update_ready(engine* e, std::uint32_t team);
void charge(engine* e, std::uint32_t team, const job::resources& amount,
            std::int64_t times);
// True if the team would use more than its quota with `times` more tasks.
bool exceeds_quota(const engine& e, std::uint32_t team,
                   const job::resources& need, std::int64_t times);

// ---- queues.cpp ---------------------------------------------------------

std::uint32_t find_job(const engine& e, std::string_view id);
std::uint32_t make_job(engine* e, std::string_view id);
// Frees the job's state if nothing of it waits or runs.
void free_job_if_done(engine* e, std::uint32_t job);
void link_job(engine* e, std::uint32_t job);
void unlink_job(engine* e, std::uint32_t job);
// Takes all waiting tasks of the job out of the queue.
std::size_t drop_waiting(engine* e, std::uint32_t job);
void block_queue(engine* e, std::uint32_t queue, block_reason reason);
// Makes queues ready again whose cause of blocking may be gone.
void unblock_queues(engine* e);
// Recomputes the priorities that rise with waiting.
void refresh_levels(engine* e, bool force);
void update_queue(engine* e, std::uint32_t queue);

// ---- admission.cpp ------------------------------------------------------

// A time to come back, such that refused callers return at the rate at which
// tasks start.
milliseconds spread_return(engine* e, steady_time now);
// Counts starts for the rate.
void count_starts(engine* e, std::size_t starts, steady_time now);

// ---- workers.cpp --------------------------------------------------------

// Puts the worker into the index, or takes it out, as its state demands.
void refresh_worker(engine* e, std::uint32_t worker);
void note_given_back(engine* e, std::uint32_t worker);
void note_end(engine* e, std::uint32_t worker, std::uint32_t job,
              wire::task_end end, steady_time now);
void end_quarantines(engine* e, steady_time now);

// ---- running.cpp --------------------------------------------------------

std::uint32_t find_running(const engine& e, std::uint32_t job,
                           std::uint32_t task_index);
// Reserves room on the worker for the task.
void add_running(engine* e, std::uint32_t job, std::uint32_t task_index,
                 std::uint32_t worker, steady_time started);
// Gives the room back. The job's state stays.
void remove_running(engine* e, std::uint32_t running);
// Run time to expect of the job's tasks.
milliseconds estimate_runtime(const engine& e, const job_state& job);
void learn_runtime(engine* e, const job_state& job, milliseconds measured);

// ---- gang.cpp -----------------------------------------------------------

// Places all waiting tasks of a gang, or none.
bool place_gang(engine* e, std::uint32_t job, decisions* out);

// ---- reservation.cpp ----------------------------------------------------

// Reserves workers for the job if it has waited long enough for room.
void consider_reservation(engine* e, std::uint32_t job);
void expire_reservation(engine* e, steady_time now);
void release_reservation(engine* e);
// Whether the job may use workers held for another.
bool may_use_held(const engine& e, std::uint32_t job, std::int32_t level);

// ---- preempt.cpp --------------------------------------------------------

// Lists tasks to stop so that one task of the queue's head fits.
void consider_preemption(engine* e, std::uint32_t queue, decisions* out);
// Stops what was asked to checkpoint too long ago.
void escalate_preemptions(engine* e, decisions* out);
void note_preempted_end(engine* e, const running_state& task);

// ---- decide.cpp ---------------------------------------------------------

// Best worker for one task of the job; kNone if there is none.
std::uint32_t find_worker(engine* e, std::uint32_t job, std::int32_t level);
// Takes the job's next waiting task and reserves room for it on the worker.
void start_next_task(engine* e, std::uint32_t job, std::uint32_t worker,
                     decisions* out);
// To be called when the job's last waiting task was started.
void finish_starts(engine* e, std::uint32_t job);

}  // namespace ebonygrade::place
