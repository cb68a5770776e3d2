// One worker's tasks, leases, epoch and events, as wire/worker.proto has
// them. Pure: the time is passed in, and what breaks a promise is recorded in
// the ledger, not refused. Not thread safe.
//
// Sequences of events start at 1; `next` is that of the event to come.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "clock/clock.h"
#include "job/job.h"
#include "standin/worker/ledger.h"
#include "standin/worker/payload.h"
#include "wire/worker.pb.h"

namespace ebonygrade::standin::worker {

using clock::steady_time;

struct table_options {
  std::string id;
  job::resources capacity;
  milliseconds retention{60000};  // Of ended tasks, events and tombstones.
  milliseconds usage_lag{2000};   // Age of a task's usage when reported.
  std::size_t max_running = 10000;
  std::size_t max_ended = 20000;
};

struct running_task {
  wire::task_start start;
  job::epoch epoch = 0;
  behaviour plan;
  steady_time lease_end;
  steady_time work_end;  // steady_time::max(): runs until stopped.
  steady_time usage_due;
  bool throttled = false;
};

// An ended attempt, or the tombstone of one that must never start.
struct ended_task {
  wire::task_record record;
  bool never_started = false;
};

struct ended_entry {
  steady_time at;
  job::attempt_key key;
};

struct timed_event {
  steady_time at;
  wire::task_event event;
};

struct task_table {
  table_options options;
  std::uint64_t boot = 1;
  job::epoch epoch = 0;
  bool fail_all = false;  // Every task started from now on fails at once.
  bool frozen = false;    // Tasks make no progress; leases still run out.
  job::resources in_use;
  std::map<job::attempt_key, running_task> running;
  std::map<job::attempt_key, ended_task> ended;
  std::deque<ended_entry> ended_order;
  std::deque<timed_event> events;
  std::uint64_t next_event = 1;
};

wire::fence_reply fence(task_table& table, const wire::fence_request& request,
                        steady_time now);
wire::start_reply start(task_table& table, ledger_book& book,
                        const wire::start_request& request, steady_time now);
wire::renew_reply renew(task_table& table, const wire::renew_request& request,
                        steady_time now);
wire::stop_reply stop(task_table& table, ledger_book& book,
                      const wire::stop_request& request, steady_time now);
// Events after sequence `after`, and usage that is due.
wire::events_reply events(task_table& table, std::uint64_t after,
                          steady_time now);
// True if `events` would return an event.
bool has_events(const task_table& table, std::uint64_t after);

// Ends tasks whose work is done or whose lease ran out, and forgets what is
// beyond the retention.
void advance(task_table& table, ledger_book& book, steady_time now);
// When `advance` has something to end next; steady_time::max() if nothing.
steady_time next_due(const task_table& table);

// Loses all tasks, the epoch and the events, as a restart does.
void reboot(task_table& table, ledger_book& book);

}  // namespace ebonygrade::standin::worker
