// A simulated worker for tests, with the behaviour that the platform specifies.
// It keeps the highest fencing token, accepts leases, runs tasks, reports ends
// until they are acknowledged, and loses all state in a crash. It records its
// runs in a ledger, which checks the owners' orders.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "pool/pool.h"

namespace ebonygrade::pool {

// Record of all runs in the cell, and of the rules that were violated.
class ledger {
 public:
  // Adds a job that may run.
  void add_job(const std::string& id, const wire::job_submission& job,
               std::uint32_t attempts);
  // The task crashes each worker that starts it.
  void add_deadly_task(const task_key& task) { deadly_.insert(task); }
  bool is_deadly(const task_key& task) const { return deadly_.count(task) > 0; }
  bool has_deadly_task(const std::string& job) const;
  // A worker has crashed under the task.
  void record_crash(const task_key& task) { ++crashes_[task]; }
  std::uint32_t crashes(const task_key& task) const;
  // Whether the job may be given up: a task has used up its attempts, or two
  // workers have crashed under it.
  bool may_be_given_up(const std::string& job) const;
  void record_start(const std::string& worker, const task_key& task,
                    std::uint32_t run);
  void record_end(const std::string& worker, const task_key& task,
                  std::uint32_t run, end_kind kind);
  // Records that an owner acknowledged the end. A task must not start again
  // after a run completed whose end is acknowledged, at that time or later. If
  // a crash lost the end before that, the task may run again. It may also have
  // started again before the acknowledgement if the worker's lease lapsed after
  // the end.
  void record_acknowledged(const reported_end& end, bool lapsed);
  void report_violation(std::string text) {
    violations_.push_back(std::move(text));
  }

  bool is_done(const task_key& task) const {
    std::map<task_key, std::set<std::uint32_t>>::const_iterator found =
        done_.find(task);
    return found != done_.end() && !found->second.empty();
  }
  bool job_done(const std::string& id) const;
  const std::string& tenant_of(const std::string& job) const {
    return jobs_.at(job).submission.tenant();
  }
  // Whether a worker has begun a task of the job.
  bool job_started(const std::string& id) const {
    return started_jobs_.count(id) > 0;
  }
  // Whether all tasks completed and their ends were acknowledged.
  bool job_acknowledged(const std::string& id) const;
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t starts() const { return starts_; }
  const task_key& last_start() const { return last_start_; }

 private:
  struct known_job {
    wire::job_submission submission;
    std::uint32_t attempts = 1;
  };
  void check_attempts(const task_key& task, std::uint32_t attempts);
  void check_crashes(const task_key& task, std::uint32_t run);
  std::uint32_t occurrences(const std::string& id) const;
  bool step_done(const std::string& id, std::uint32_t occurrence,
                 std::uint32_t step) const;

  std::map<std::string, known_job> jobs_;
  std::set<std::string> started_jobs_;
  // Active runs of each task, with their workers.
  std::map<task_key, std::set<std::pair<std::string, std::uint32_t>>> alive_;
  std::map<task_key, std::set<std::uint32_t>> done_;  // Completed runs.
  std::set<task_key> done_acknowledged_;
  // Completed runs after which the task was started again.
  std::set<std::pair<task_key, std::uint32_t>> started_after_;
  std::map<task_key, std::set<std::uint32_t>> failed_;
  std::map<task_key, std::set<std::uint32_t>> failed_acknowledged_;
  // The failed runs before each start of a task.
  std::map<task_key, std::vector<std::set<std::uint32_t>>> before_starts_;
  std::set<task_key> deadly_;
  std::map<task_key, std::uint32_t> crashes_;
  // Starts of a deadly task after the last crash that is allowed.
  std::map<task_key, std::uint32_t> starts_after_crashes_;
  std::vector<std::string> violations_;
  task_key last_start_;
  std::uint64_t starts_ = 0;
};

class simulated_worker;

// Gangs across workers. The work begins when all members have started; the
// members complete together, and the others end as broken when one ends in
// another way.
class gang_registry {
 public:
  void join(simulated_worker* worker, const task_key& task, std::uint32_t run,
            std::uint32_t count, steady_time now, milliseconds work);
  void leave(simulated_worker* worker, const task_key& task, std::uint32_t run);
  // Time at which the gang completes; max() while members are missing.
  steady_time ends_at(const task_key& task, std::uint32_t run) const;
  std::vector<std::pair<simulated_worker*, task_key>> others(
      const task_key& task, std::uint32_t run) const;

 private:
  struct gang {
    std::map<task_key, simulated_worker*> members;
    std::uint32_t count = 0;
    steady_time ends_at = steady_time::max();
  };
  // Job, occurrence, step and run.
  using name =
      std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>;
  static name name_of(const task_key& task, std::uint32_t run);

  std::map<name, gang> gangs_;
};

class simulated_worker {
 public:
  struct behaviour {
    double failure_rate = 0;  // Share of runs that fail.
    milliseconds task_time{1000};
    milliseconds stop_time{100};
    milliseconds longest_lease{6000};
    milliseconds gang_wait{3000};  // Timeout for missing members.
    double clock_rate = 1;
    bool reports_progress = false;  // Else all runs are at 50%.
    std::size_t ends_per_report = 500;
    // Until a deadly task crashes the worker, and until that is back.
    milliseconds crash_after{10};
    milliseconds down_time{3000};
  };

  simulated_worker(std::string id, resources capacity, behaviour behaviour,
                   ledger* ledger, gang_registry* gangs, std::uint64_t seed);

  worker_entry entry() const;
  std::int64_t incarnation_ms() const { return incarnation_ms_; }
  // The highest fencing token of the polls that this incarnation has answered.
  std::uint64_t polled_token() const { return polled_token_; }
  worker_time lease() const { return lease_; }
  std::vector<std::pair<task_key, std::uint32_t>> active_runs() const;
  // What each active run uses, those that are being stopped included.
  std::vector<std::pair<task_key, resources>> needs_of_runs() const;
  // Ends the tasks that are due and those whose lease has expired.
  void tick(steady_time now);
  // The worker is back, as another incarnation, after `down`.
  void crash(steady_time now, milliseconds down = milliseconds(0));
  bool is_down(steady_time now) const { return now < born_; }
  // Another worker has its machine, and this one never comes back.
  void retire() { born_ = steady_time::max(); }
  // It says that it leaves, exits with all that it runs, and may come back as
  // another incarnation.
  void drain() { draining_ = true; }
  void leave(steady_time now);
  void come_back(steady_time now) { born_ = now; }
  std::size_t unread_ends() const { return ends_.size(); }
  // Active runs that are members of gangs.
  std::vector<task_key> gang_members() const;
  void resize(resources capacity, steady_time now);
  resources capacity() const { return capacities_.back().second; }
  // Ends a gang member because another member has ended.
  void end_member(const task_key& task, std::uint32_t run, end_kind kind);

  start_outcome start(const start_order& order, std::uint64_t fence,
                      steady_time now);
  bool stop(const task_key& task, std::uint32_t run, std::uint64_t fence,
            steady_time now);
  // Handles a worker poll. False if the call is fenced.
  bool poll(std::uint64_t fence, std::uint64_t acked, worker_time until,
            steady_time now, worker_report* out);

 private:
  struct active_run {
    std::uint32_t run = 0;
    resources need;
    steady_time ends_at;
    bool stopping = false;
    bool gang = false;
    steady_time began;
    steady_time crashes_at = steady_time::max();
  };

  worker_time clock(steady_time now) const;
  std::uint32_t percent(const task_key& task, const active_run& run,
                        steady_time now) const;
  void end(const task_key& task, end_kind kind);
  // Begins the next incarnation, without what it ran and knew.
  void restart(steady_time born);
  bool due(const task_key& task, const active_run& run, steady_time now) const;
  bool accept_fence(std::uint64_t fence);
  void extend_lease(worker_time until, steady_time now);
  end_kind outcome();
  // The most that has counted as its capacity lately. An owner can't know at
  // once that it has shrunk.
  resources counted_capacity(steady_time now) const;

  std::string id_;
  // With the time from which each holds; the last one is the present one.
  std::vector<std::pair<steady_time, resources>> capacities_;
  behaviour behaviour_;
  ledger* ledger_;
  gang_registry* gangs_;
  std::mt19937 random_;
  std::int64_t incarnation_ms_ = 1;
  steady_time born_;
  bool draining_ = false;
  std::uint64_t fence_ = 0;
  std::uint64_t polled_token_ = 0;
  worker_time lease_{0};
  std::map<task_key, active_run> runs_;
  // Highest run of each task that was stopped or has ended here.
  std::map<task_key, std::uint32_t> closed_runs_;
  std::vector<reported_end> ends_;
  std::uint64_t next_end_ = 1;
  // Ends up to this number were listed when the lease lapsed.
  std::uint64_t lapsed_end_ = 0;
  // Ends up to this number are not listed, later ones included.
  std::uint64_t acked_end_ = 0;
};

}  // namespace ebonygrade::pool
