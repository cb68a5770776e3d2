// A pool with an owner and workers, without I/O, for unit tests.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "pool/pool.h"
#include "pool/recorded_leases.h"

namespace ebonygrade::pool {

inline constexpr char kQueue[] = "queue-a";
inline constexpr char kService[] = "service-a";

struct test_pool {
  pool_state state;
  jobs::table table;  // Content of the journal.
  steady_time now = steady_time(std::chrono::hours(1));
  unix_time wall = unix_time(milliseconds(1'800'000'000'000));
  std::uint64_t offset = 0;
  queue_policy policy;

  test_pool() {
    policy.service = kService;
    policy.attempts = 2;
    policy.stretch = 2;
    policy.target = milliseconds(1000);
    set_queues(&state, {{kQueue, policy}});
    continue_pool_time(&state, milliseconds(0), now);
    observe_journal_write(&state, now);
  }

  void advance(milliseconds by) {
    now += by;
    wall += by;
  }

  void apply(const jobs::record& record) {
    jobs::record numbered = record;
    numbered.offset = offset++;
    jobs::apply(&table, numbered);
  }

  static wire::step_definition step(std::uint32_t count,
                                    std::uint32_t cpu_milli) {
    wire::step_definition out;
    out.set_count(count);
    out.set_cpu_milli(cpu_milli);
    out.set_memory_mb(100);
    out.set_estimate_ms(1000);
    return out;
  }

  void submit(const std::string& id,
              const std::vector<wire::step_definition>& steps,
              const char* queue = kQueue) {
    wire::job_submission job;
    job.set_queue(queue);
    job.set_service(kService);
    job.set_accepted_ms(wall.time_since_epoch().count());
    for (const wire::step_definition& each : steps) *job.add_steps() = each;
    apply({jobs::submission_key(id), job.SerializeAsString(), 0});
    add_job(&state, id, table.jobs[id], now);
  }

  void add_worker(const std::string& id, std::int64_t cpu_milli = 4000) {
    worker_entry entry;
    entry.id = id;
    entry.service = kService;
    entry.address = "127.0.0.1:1";
    entry.capacity = {cpu_milli, 10000, 0};
    entry.incarnation_ms = 1;
    observe_worker_entry(&state, entry, now);
    report(id, {});
  }

  // The worker has restarted under its id, and its entry is read.
  void read_restart(const std::string& id, std::int64_t incarnation_ms = 2) {
    worker_entry entry = state.workers.at(id).entry;
    entry.incarnation_ms = incarnation_ms;
    observe_worker_entry(&state, entry, now);
  }

  void report(const std::string& id, worker_report report) {
    report.clock = worker_time(now.time_since_epoch() / milliseconds(1));
    if (report.incarnation_ms == 0) report.incarnation_ms = 1;
    steady_time sent = now - milliseconds(1);
    std::uint64_t token = fencing_token(state, id);
    observe_worker_report(&state, id, report, token, sent, now, wall);
  }

  // Runs one scheduling round and writes its records to the journal.
  std::vector<start_order> round(decisions* out = nullptr) {
    decisions result = decide(&state, now, wall);
    journal_batch batch = take_batch(&state, now);
    for (const jobs::record& each : batch.records) apply(each);
    observe_journal_write(&state, now);
    std::vector<start_order> starts = observe_batch_written(&state, batch, now);
    if (out != nullptr) *out = std::move(result);
    return starts;
  }

  void confirm(const std::vector<start_order>& starts) {
    for (const start_order& each : starts) {
      observe_start(&state, each, start_outcome::running, now);
    }
  }

  // Replaces the owner by a later one that knows only the journal.
  void take_over() {
    pool_state fresh;
    fresh.limits = state.limits;
    fresh.near.settings = state.near.settings;
    state = std::move(fresh);
    set_queues(&state, {{kQueue, policy}});
    continue_pool_time(&state, table.pool_time, now);
    observe_journal_write(&state, now);
    wire::ownership_record claim;
    claim.set_epoch(table.owner.record.epoch() + 1);
    apply({jobs::kOwnerKey, claim.SerializeAsString(), 0});
    restore_leases(&state, table);
    for (const std::pair<const std::string, jobs::entry>& each : table.jobs) {
      add_job(&state, each.first, each.second, now);
      if (each.second.cancelled) cancel_job(&state, each.first, wall);
    }
  }

  void release() {
    wire::ownership_record record;
    record.set_epoch(table.owner.record.epoch());
    record.set_released(true);
    std::vector<wire::worker_lease> leases = release_leases(&state, now);
    record.mutable_leases()->Add(leases.begin(), leases.end());
    apply({jobs::kOwnerKey, record.SerializeAsString(), 0});
  }

  jobs::state job_state(const std::string& id) const {
    return jobs::state_of(*jobs::find(table, id));
  }
};

inline reported_end reported_end_of(std::uint64_t number,
                                    const start_order& start, end_kind kind) {
  return {number, start.task, start.run, kind, {}};
}

inline reported_run reported_run_of(const start_order& start,
                                    std::uint32_t percent = 10) {
  return {start.task, start.run, {}, percent};
}

}  // namespace ebonygrade::pool
