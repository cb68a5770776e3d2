// Placement: which waiting task starts next, and on which worker, under the
// policy bundle in force. Knows the workers of the shards that this daemon
// owns and nothing else. Free functions over an `engine` value; no I/O, no
// clock, deterministic for a seed. Not thread safe.
//
// Every placement reserves the declared resources on the worker until
// `task_ended` gives them back; the sum never exceeds the worker's capacity.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bundle/bundle.h"
#include "job/job.h"

namespace ebonygrade::place {

using clock::milliseconds;
using clock::steady_time;

struct worker_spec {
  std::string id;
  std::string zone;
  std::string rack;
  job::resources capacity;
};

// Waiting tasks of one request.
struct task_group {
  std::string id;
  std::string team;
  job::job_class kind = job::job_class::batch;
  bool idempotent = true;
  job::resources per_task;
  std::vector<std::uint32_t> tasks;  // Indices of the tasks to place.
  milliseconds expected_runtime{0};
  steady_time deadline = steady_time::max();
  steady_time submitted;
};

struct admission {
  bool accepted = true;
  std::string reason;           // When refused.
  milliseconds retry_after{0};  // When refused; 0: can never run.
};

struct placement {
  std::string id;
  std::uint32_t task_index = 0;
  std::string worker;
};

// A waiting request that will not be placed any more.
struct drop {
  std::string id;
  std::string reason;
  milliseconds retry_after{0};
};

// A running task to be stopped for a more important one.
struct preemption {
  std::string id;
  std::uint32_t task_index = 0;
  std::string worker;
  wire::stop_mode mode = wire::checkpoint;
};

struct decisions {
  std::vector<placement> starts;
  std::vector<drop> drops;
  std::vector<preemption> preemptions;
};

// A task that holds room on a worker.
struct running_task {
  std::string id;
  std::uint32_t task_index = 0;
  std::string team;
  job::job_class kind = job::job_class::batch;
  bool idempotent = true;
  job::resources per_task;
  std::string worker;
};

struct engine_options {
  std::uint64_t seed = 1;
};

struct engine;
struct engine_deleter {
  void operator()(engine* value) const;
};
using engine_ptr = std::unique_ptr<engine, engine_deleter>;

engine_ptr make_engine(const engine_options& options);

// Puts a bundle in force; waiting and running tasks are kept.
void apply_policy(engine& engine, const bundle::policy& policy);

// The part of each quota that this engine gives out, from 0 to 1: quotas are
// for the cell, and the engine sees only its own workers. A task larger than
// that part is started while its team uses nothing here. 1 at first.
void set_quota_share(engine& engine, double share);

// Workers come and go with their shards. Removing a worker forgets the tasks
// that hold room there. A leaving worker is given nothing new.
void add_worker(engine& engine, const worker_spec& worker);
void remove_worker(engine& engine, std::string_view worker);
void set_leaving(engine& engine, std::string_view worker, bool leaving);

// Takes tasks into the queue, or refuses them at once.
admission enqueue(engine& engine, const task_group& group, steady_time now);
// Takes the request's waiting tasks out; returns how many there were.
std::size_t withdraw(engine& engine, std::string_view id);
// Counts a task that is already running as holding room.
void adopt_task(engine& engine, const running_task& task);
// Gives back the room of a task. `end` feeds quarantine of failing workers;
// task_end_unspecified means that it never started.
void task_ended(engine& engine, std::string_view id, std::uint32_t task_index,
                wire::task_end end, steady_time now);
// Feeds what a task really used, as the worker reported it.
void record_usage(engine& engine, std::string_view id, std::uint32_t task_index,
                  const job::resources& used);

// Decides up to `most` starts. A gang's starts are all in one result, even if
// it alone has more tasks than `most`.
decisions decide(engine& engine, steady_time now, std::size_t most);

// Totals for summaries and metrics.
struct engine_summary {
  job::resources free;
  job::resources capacity;
  job::resources largest_free;  // Most free on a single worker.
  std::size_t queued = 0;       // Tasks.
  std::size_t running = 0;
  std::size_t workers = 0;
};
engine_summary summarise(const engine& engine);

// Says why a waiting request waits, in words an operator can act on.
std::string explain(const engine& engine, std::string_view id, steady_time now);

}  // namespace ebonygrade::place
