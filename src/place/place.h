// Placement engine: decides which waiting task starts next, and on which
// worker, under the policy bundle in force. An engine schedules only on the
// workers that were added to it: those of the shards that this daemon owns.
// The API is free functions over an `engine` value. The engine does no I/O,
// reads no clock and is deterministic for a given seed. It is not thread safe.
//
// Every placement allocates the declared resources on the worker until
// `task_ended` releases them. The sum of the allocations never exceeds the
// worker's capacity.
//
// In all types below, `id` is the id of a request unless noted otherwise.
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
  std::string id;  // Id of the worker.
  std::string zone;
  std::string rack;
  job::resources capacity;
};

// Tasks of one request to be queued.
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

// Result of `enqueue`.
struct admission {
  bool accepted = true;
  std::string reason;           // Set if refused.
  milliseconds retry_after{0};  // Set if refused; 0: the tasks can never run.
};

// A task to be started on a worker.
struct placement {
  std::string id;
  std::uint32_t task_index = 0;
  std::string worker;
};

// A request whose waiting tasks the engine removed from the queue because its
// deadline passed.
struct drop {
  std::string id;
  std::string reason;
  milliseconds retry_after{0};
};

// A running task to be stopped in favour of one of higher priority.
struct preemption {
  std::string id;
  std::uint32_t task_index = 0;
  std::string worker;
  wire::stop_mode mode = wire::checkpoint;
};

// Result of one scheduling round.
struct decisions {
  std::vector<placement> starts;
  std::vector<drop> drops;
  std::vector<preemption> preemptions;
};

// A task that runs on a worker already, to be added by `adopt_task`.
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
  std::uint64_t seed = 1;  // Of the random choices.
};

struct engine;
struct engine_deleter {
  void operator()(engine* value) const;
};
using engine_ptr = std::unique_ptr<engine, engine_deleter>;

engine_ptr make_engine(const engine_options& options);

// Puts the policy of a bundle in force. Waiting and running tasks are kept.
void apply_policy(engine& engine, const bundle::policy& policy);

// Sets the fraction of each quota, from 0 to 1, that this engine may use.
// Quotas apply to the whole cell, while the engine sees only its own workers.
// A task that alone needs more than the fraction starts only while its team
// uses none of the resource on this engine. The initial fraction is 1.
void set_quota_share(engine& engine, double share);

// Workers are added and removed along with their shards. `add_worker` updates
// a worker that exists. Removing a worker also removes its running tasks from
// the engine. A leaving worker gets no new tasks.
void add_worker(engine& engine, const worker_spec& worker);
void remove_worker(engine& engine, std::string_view worker);
void set_leaving(engine& engine, std::string_view worker, bool leaving);

// Adds tasks to the queue, or refuses them at once. Tasks of the request that
// wait or run already are skipped.
admission enqueue(engine& engine, const task_group& group, steady_time now);
// Removes the request's waiting tasks from the queue and returns their number.
std::size_t withdraw(engine& engine, std::string_view id);
// Allocates the resources of a task that is already running. Does nothing if
// the worker is unknown or the task is known to run.
void adopt_task(engine& engine, const running_task& task);
// Releases the resources of a task. `end` decides on the quarantine of failing
// workers; `task_end_unspecified` means that the task never started.
void task_ended(engine& engine, std::string_view id, std::uint32_t task_index,
                wire::task_end end, steady_time now);
// Updates the observed usage of the team and class by what the worker reported
// for one of their tasks.
void record_usage(engine& engine, std::string_view id, std::uint32_t task_index,
                  const job::resources& used);

// Runs a scheduling round that decides up to `max_starts` starts. All starts of
// a gang are in one result; a gang of more than `max_starts` tasks starts in a
// round of its own.
decisions decide(engine& engine, steady_time now, std::size_t max_starts);

// Totals over the engine, for status summaries and metrics. The free amounts
// cover only workers that accept tasks.
struct engine_summary {
  job::resources free;
  job::resources capacity;
  // Free amounts of the worker with the largest sum of free millicores and MB.
  job::resources largest_free;
  std::size_t queued = 0;   // Waiting tasks.
  std::size_t running = 0;  // Running tasks.
  std::size_t workers = 0;
};
engine_summary summarise(const engine& engine);

// Returns a text for operators that states why the request waits.
std::string explain(const engine& engine, std::string_view id, steady_time now);

}  // namespace ebonygrade::place
