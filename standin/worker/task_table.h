// The tasks, leases, epoch and events of one worker, as defined by
// wire/worker.proto. No I/O; the time is passed in. Starts that violate a
// guarantee of the system are recorded in the ledger, not refused. Not thread
// safe.
//
// Sequence numbers of events start at 1; `next` is the number of the next
// event.
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
  milliseconds usage_lag{2000};   // Before a task's first usage report, and
                                  // between its reports.
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

// An ended attempt, or the tombstone of an attempt that was stopped before its
// start and must never start.
struct ended_task {
  wire::task_record record;
  bool never_started = false;
};

struct ended_entry {
  steady_time time;
  job::attempt_key key;
};

struct timed_event {
  steady_time time;
  wire::task_event event;
};

struct task_table {
  table_options options;
  std::uint64_t boot = 1;
  job::epoch epoch = 0;
  bool fail_all = false;  // Tasks that are started fail at once.
  bool frozen = false;    // Tasks make no progress; leases still expire.
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
// Events after sequence number `after`, and the usage reports that are due.
wire::events_reply events(task_table& table, std::uint64_t after,
                          steady_time now);
// True if `events` would return an event.
bool has_events(const task_table& table, std::uint64_t after);

// Ends tasks whose work has ended or whose lease has expired, and drops ended
// tasks and events that are older than the retention time.
void advance(task_table& table, ledger_book& book, steady_time now);
// Time of the next end of a task by `advance`; steady_time::max() if there is
// none.
steady_time next_due(const task_table& table);

// Drops all tasks, the epoch and the events, as a restart of the worker does.
void reboot(task_table& table, ledger_book& book);

}  // namespace ebonygrade::standin::worker
