#include "standin/worker/task_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ebonygrade::standin::worker {

namespace {

constexpr std::size_t kMaxEventsPerReply = 1000;
constexpr std::int32_t kFailedExitCode = 1;

bool raise_epoch(task_table& table, job::epoch epoch) {
  if (epoch < table.epoch) return false;
  table.epoch = epoch;
  return true;
}

wire::task_record to_record(const running_task& task) {
  wire::task_record record;
  *record.mutable_key() = task.start.key();
  *record.mutable_resources() = task.start.resources();
  record.set_epoch(task.epoch);
  record.set_idempotent(task.start.idempotent());
  record.set_team(task.start.team());
  record.set_class_(task.start.class_());
  return record;
}

void drop_oldest_ended(task_table& table) {
  table.ended.erase(table.ended_order.front().key);
  table.ended_order.pop_front();
}

void add_ended(task_table& table, const job::attempt_key& key,
               ended_task&& ended, steady_time now) {
  table.ended[key] = std::move(ended);
  table.ended_order.push_back({now, key});
  if (table.ended_order.size() > table.options.max_ended)
    drop_oldest_ended(table);
}

void add_event(task_table& table, const wire::task_record& record,
               steady_time now) {
  table.events.push_back({now, wire::task_event()});
  wire::task_event& event = table.events.back().event;
  event.set_sequence(table.next_event++);
  *event.mutable_key() = record.key();
  event.set_end(record.end());
  event.set_exit_code(record.exit_code());
  event.set_output(record.output());
  if (table.events.size() > table.options.max_ended) table.events.pop_front();
}

void end_task(task_table& table, ledger_book& book,
              std::map<job::attempt_key, running_task>::iterator task,
              wire::task_end end, steady_time now) {
  const job::attempt_key key = task->first;
  ended_task ended{to_record(task->second), false};
  ended.record.set_end(end);
  if (end == wire::completed || end == wire::failed) {
    ended.record.set_exit_code(task->second.plan.exit_code);
    ended.record.set_output(
        make_output(task->second.plan, key.request_id, key.task_index));
  }
  table.in_use -= job::from_wire(task->second.start.resources());
  table.running.erase(task);
  record_end(book, key, end);
  add_event(table, ended.record, now);
  add_ended(table, key, std::move(ended), now);
}

wire::task_end natural_end(const running_task& task) {
  return task.plan.exit_code == 0 ? wire::completed : wire::failed;
}

steady_time planned_end(const wire::task_start& task, const behaviour& plan,
                        steady_time now) {
  if (plan.run_time) return now + *plan.run_time;
  return task.class_() == wire::service ? steady_time::max() : now;
}

void start_new(task_table& table, ledger_book& book,
               const job::attempt_key& key, const wire::task_start& task,
               steady_time now) {
  running_task added;
  added.start = task;
  added.epoch = table.epoch;
  added.plan = parse_payload(task.payload());
  bool fails = table.fail_all || added.plan.fail_worker == table.options.id;
  if (fails) {
    added.plan.exit_code = kFailedExitCode;
    added.plan.run_time = milliseconds(0);
  }
  added.lease_end = now + milliseconds(task.lease_ms());
  added.work_end = planned_end(task, added.plan, now);
  added.usage_due = now + table.options.usage_lag;
  table.in_use += job::from_wire(task.resources());
  record_start(book, table.options.id, key, task.idempotent(), table.in_use,
               table.options.capacity);
  auto running = table.running.emplace(key, std::move(added)).first;
  bool ends_now = running->second.work_end <= now && !table.frozen;
  if (ends_now)
    end_task(table, book, running, natural_end(running->second), now);
}

wire::start_status start_one(task_table& table, ledger_book& book,
                             const wire::task_start& task, steady_time now) {
  job::attempt_key key = job::from_wire(task.key());
  if (table.running.count(key) > 0) return wire::started;
  auto ended = table.ended.find(key);
  if (ended != table.ended.end()) {
    return ended->second.never_started ? wire::revoked : wire::started;
  }
  if (table.running.size() >= table.options.max_running) return wire::rejected;
  start_new(table, book, key, task, now);
  return wire::started;
}

// A throttled task gets half the processor time, so the rest of its work takes
// twice as long.
void throttle(running_task& task, steady_time now) {
  if (task.throttled) return;
  task.throttled = true;
  if (task.work_end != steady_time::max()) {
    task.work_end += task.work_end - now;
  }
}

wire::stop_status stop_one(task_table& table, ledger_book& book,
                           const wire::attempt_key& wire_key,
                           wire::stop_mode mode, steady_time now) {
  job::attempt_key key = job::from_wire(wire_key);
  auto running = table.running.find(key);
  if (running != table.running.end()) {
    if (mode == wire::throttle) {
      throttle(running->second, now);
      return wire::throttled;
    }
    end_task(table, book, running, wire::stopped, now);
    return wire::stop_confirmed;
  }
  auto ended = table.ended.find(key);
  if (ended != table.ended.end()) {
    return ended->second.never_started ? wire::never_started
                                       : wire::already_ended;
  }
  if (mode == wire::throttle) return wire::already_ended;
  ended_task tombstone;
  *tombstone.record.mutable_key() = wire_key;
  tombstone.never_started = true;
  add_ended(table, key, std::move(tombstone), now);
  return wire::never_started;
}

wire::resources usage_of(const running_task& task) {
  wire::resources used = task.start.resources();
  if (task.plan.used_millicores)
    used.set_millicores(*task.plan.used_millicores);
  if (task.plan.used_memory_mb) used.set_memory_mb(*task.plan.used_memory_mb);
  if (task.throttled) used.set_millicores(used.millicores() / 2);
  return used;
}

steady_time due_time(const running_task& task, bool frozen) {
  return frozen ? task.lease_end : std::min(task.lease_end, task.work_end);
}

}  // namespace

wire::fence_reply fence(task_table& table, const wire::fence_request& request,
                        steady_time) {
  wire::fence_reply reply;
  reply.set_accepted(raise_epoch(table, request.epoch()));
  reply.set_epoch(table.epoch);
  reply.set_boot(table.boot);
  *reply.mutable_capacity() = job::to_wire(table.options.capacity);
  reply.set_next_event(table.next_event);
  for (const auto& [key, task] : table.running) {
    *reply.add_tasks() = to_record(task);
  }
  for (const auto& [key, task] : table.ended) {
    if (!task.never_started) *reply.add_tasks() = task.record;
  }
  return reply;
}

wire::start_reply start(task_table& table, ledger_book& book,
                        const wire::start_request& request, steady_time now) {
  bool accepted = raise_epoch(table, request.epoch());
  wire::start_reply reply;
  reply.set_epoch(table.epoch);
  for (const wire::task_start& task : request.tasks()) {
    wire::start_result* result = reply.add_results();
    *result->mutable_key() = task.key();
    if (accepted) {
      result->set_status(start_one(table, book, task, now));
    } else {
      result->set_status(wire::fenced);
      record_fenced(book);
    }
  }
  return reply;
}

wire::renew_reply renew(task_table& table, const wire::renew_request& request,
                        steady_time now) {
  wire::renew_reply reply;
  reply.set_accepted(raise_epoch(table, request.epoch()));
  if (reply.accepted()) {
    steady_time lease_end = now + milliseconds(request.lease_ms());
    for (auto& [key, task] : table.running) task.lease_end = lease_end;
  }
  reply.set_epoch(table.epoch);
  reply.set_boot(table.boot);
  reply.set_running(static_cast<std::uint32_t>(table.running.size()));
  return reply;
}

wire::stop_reply stop(task_table& table, ledger_book& book,
                      const wire::stop_request& request, steady_time now) {
  bool accepted = raise_epoch(table, request.epoch());
  wire::stop_reply reply;
  reply.set_epoch(table.epoch);
  for (const wire::attempt_key& key : request.keys()) {
    wire::stop_result* result = reply.add_results();
    *result->mutable_key() = key;
    result->set_status(accepted
                           ? stop_one(table, book, key, request.mode(), now)
                           : wire::stop_fenced);
  }
  return reply;
}

bool has_events(const task_table& table, std::uint64_t after) {
  return !table.events.empty() && table.next_event > after + 1;
}

wire::events_reply events(task_table& table, std::uint64_t after,
                          steady_time now) {
  wire::events_reply reply;
  reply.set_boot(table.boot);
  auto first = std::partition_point(table.events.begin(), table.events.end(),
                                    [after](const timed_event& entry) {
                                      return entry.event.sequence() <= after;
                                    });
  std::uint64_t next = table.next_event;
  for (auto i = first; i != table.events.end(); ++i) {
    if (reply.events_size() >= static_cast<int>(kMaxEventsPerReply)) {
      next = i->event.sequence();
      break;
    }
    *reply.add_events() = i->event;
  }
  reply.set_next(next);
  for (auto& [key, task] : table.running) {
    if (task.usage_due > now) continue;
    task.usage_due = now + table.options.usage_lag;
    wire::task_usage* usage = reply.add_usage();
    *usage->mutable_key() = task.start.key();
    *usage->mutable_used() = usage_of(task);
  }
  return reply;
}

void advance(task_table& table, ledger_book& book, steady_time now) {
  std::vector<job::attempt_key> due_keys;
  for (const auto& [key, task] : table.running) {
    if (due_time(task, table.frozen) <= now) due_keys.push_back(key);
  }
  for (const job::attempt_key& key : due_keys) {
    auto task = table.running.find(key);
    bool work_ended = !table.frozen && task->second.work_end <= now &&
                      task->second.work_end <= task->second.lease_end;
    wire::task_end end =
        work_ended ? natural_end(task->second) : wire::lease_expired;
    end_task(table, book, task, end, now);
  }
  while (!table.ended_order.empty() &&
         table.ended_order.front().time + table.options.retention <= now) {
    drop_oldest_ended(table);
  }
  while (!table.events.empty() &&
         table.events.front().time + table.options.retention <= now) {
    table.events.pop_front();
  }
}

steady_time next_due(const task_table& table) {
  steady_time first = steady_time::max();
  for (const auto& [key, task] : table.running) {
    first = std::min(first, due_time(task, table.frozen));
  }
  return first;
}

void reboot(task_table& table, ledger_book& book) {
  for (const auto& [key, task] : table.running) {
    record_end(book, key, wire::task_end_unspecified);
  }
  table.running.clear();
  table.ended.clear();
  table.ended_order.clear();
  table.events.clear();
  table.in_use = {};
  table.epoch = 0;
  table.next_event = 1;
  ++table.boot;
}

}  // namespace ebonygrade::standin::worker
