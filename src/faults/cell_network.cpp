#include <algorithm>

#include "faults/cell_pvt.h"

namespace ebonygrade::faults {

int fake_worker::running_count() const {
  int count = 0;
  for (const auto& [key, task] : tasks) {
    if (task.record.end() == wire::task_end_unspecified) ++count;
  }
  return count;
}

void cell::report_violation(const std::string& text) {
  if (violation_.empty()) violation_ = text;
  add_trace("VIOLATION: " + text);
}

// ---- Messages to workers -------------------------------------------------

void cell::receive(const fence_message& input) {
  fake_worker& worker = workers_[input.worker];
  if (input.epoch < worker.epoch) {
    network_.push_back(fence_reply{
        input.from, input.worker, input.shard, worker.epoch, {}, false});
    return;
  }
  worker.epoch = input.epoch;
  worker.owner = input.from;
  fence_reply reply{input.from, input.worker, input.shard, input.epoch, {}};
  for (const auto& [key, task] : worker.tasks) {
    reply.tasks.push_back(task.record);
  }
  network_.push_back(std::move(reply));
}

void cell::reply_to_start(const start_message& input,
                          wire::start_status status) {
  network_.push_back(request_event{
      input.from,
      requests::start_answered{job::from_wire(input.task.key()), status}});
}

void cell::receive(const start_message& input) {
  fake_worker& worker = workers_[input.worker];
  job::attempt_key key = job::from_wire(input.task.key());
  if (input.epoch < worker.epoch && injected_ != fault::no_epoch_check) {
    ++counts_.fenced_starts;
    reply_to_start(input, wire::fenced);
    return;
  }
  if (input.task.idempotent() && input.epoch < worker.expired_below_epoch)
    return;
  if (worker.revoked.count(key) > 0) {
    reply_to_start(input, wire::revoked);
    return;
  }
  if (worker.tasks.count(key) == 0) run_task(input);
  reply_to_start(input, wire::started);
}

void cell::run_task(const start_message& input) {
  fake_worker& worker = workers_[input.worker];
  job::attempt_key key = job::from_wire(input.task.key());
  add_trace("w" + std::to_string(input.worker) + " runs " + key.request_id +
            "/" + std::to_string(key.task_index) + " under " +
            std::to_string(input.epoch));
  check_start(input);
  worker_task task;
  *task.record.mutable_key() = input.task.key();
  *task.record.mutable_resources() = input.task.resources();
  task.record.set_epoch(input.epoch);
  task.record.set_idempotent(input.task.idempotent());
  task.record.set_class_(input.task.class_());
  task.submissions = input.submissions;
  worker.tasks[key] = std::move(task);
  ++counts_.starts;
}

void cell::receive(const stop_message& input) {
  fake_worker& worker = workers_[input.worker];
  wire::stop_status status = wire::never_started;
  if (input.epoch < worker.epoch) {
    status = wire::stop_fenced;
  } else if (worker.tasks.count(input.key) == 0) {
    worker.revoked.insert(input.key);
  } else {
    wire::task_record& record = worker.tasks[input.key].record;
    bool runs = record.end() == wire::task_end_unspecified;
    status = runs ? wire::stop_confirmed : wire::already_ended;
    if (runs) record.set_end(wire::stopped);
  }
  network_.push_back(
      request_event{input.from, requests::stop_answered{input.key, status}});
}

// ---- Messages to daemons -------------------------------------------------

void cell::receive(const fence_reply& input) {
  fake_daemon* daemon = find_process(input.to);
  if (daemon == nullptr) return;
  if (daemon->frozen) {
    network_.push_back(input);
    return;
  }
  auto found = daemon->fencing.find(input.shard.shard);
  if (found == daemon->fencing.end()) return;
  if (input.epoch > found->second.epoch) {
    step_ownership(*daemon,
                   ownership::fenced_by_worker{input.shard, input.epoch});
    return;
  }
  if (!input.accepted || input.epoch != found->second.epoch) return;
  if (found->second.pending_workers.erase(input.worker) == 0) return;
  add_trace("d" + std::to_string(input.to.daemon) + " fenced w" +
            std::to_string(input.worker) + " under " +
            std::to_string(input.epoch) + ", " +
            std::to_string(input.tasks.size()) + " tasks");
  for (const wire::task_record& each : input.tasks) {
    step_requests(*daemon, requests::task_found{each, worker_name(input.worker),
                                                input.shard});
  }
  advance_fencing(*daemon);
}

void cell::receive(const request_event& input) {
  fake_daemon* daemon = find_process(input.to);
  if (daemon == nullptr) return;
  if (daemon->frozen) {
    network_.push_back(input);
    return;
  }
  if (const auto* answer =
          std::get_if<requests::start_answered>(&input.event)) {
    daemon->pending_starts.erase(answer->key);
  }
  step_requests(*daemon, input.event);
}

void cell::receive(const intent_message& input) {
  if (log_available_) intents_[input.from].push_back({input.id, input.home});
  network_.push_back(intent_reply{input.from, input.id, input.home, input.epoch,
                                  log_available_});
}

void cell::receive(const intent_reply& input) {
  fake_daemon* daemon = find_process(input.to);
  if (daemon == nullptr) return;
  if (daemon->frozen) {
    network_.push_back(input);
    return;
  }
  bool durable = input.written;
  if (injected_ != fault::no_claims_read) {
    if (log_available_) read_claims(*daemon);
    durable =
        durable && log_available_ &&
        ownership::serving_epoch(daemon->ownership, input.home) == input.epoch;
  }
  if (durable) {
    step_requests(*daemon, requests::intent_durable{input.id});
  } else {
    step_requests(*daemon,
                  requests::intent_failed{input.id, "the log is unavailable"});
  }
}

// ---- Invariant checks ----------------------------------------------------

void cell::check_start(const start_message& input) {
  job::attempt_key key = job::from_wire(input.task.key());
  fake_worker& worker = workers_[input.worker];
  if (worker.running_count() >= kSlotsPerWorker) {
    report_violation("w" + std::to_string(input.worker) + " is over-committed");
  }
  if (input.epoch < worker.epoch)
    report_violation("a worker accepted a start with an outdated epoch");
  if (epoch_owner_[input.epoch] != input.from) {
    report_violation("a start of " + key.request_id +
                     " has the epoch of another daemon");
  }
  for (const fake_worker& other : workers_) {
    for (const auto& [other_key, task] : other.tasks) {
      if (task.record.end() != wire::task_end_unspecified) continue;
      if (other_key.request_id != key.request_id) continue;
      if (other_key.task_index != key.task_index) continue;
      report_violation(key.request_id + " runs twice at the same time");
    }
  }
  int runs = ++runs_[{key.request_id, key.task_index}];
  if (!input.task.idempotent() && runs > 1) {
    report_violation(key.request_id +
                     " is non-idempotent but runs more than once");
  }
  for (std::uint64_t token : input.submissions) {
    submission& each = submissions_[token];
    each.ran = true;
    if (each.replied_not_run) {
      report_violation(key.request_id + " runs after submission " +
                       std::to_string(token) + " got the outcome not_run");
    }
  }
}

void cell::check_not_run(const fake_daemon& daemon, std::uint64_t token) {
  submission& each = submissions_[token];
  each.replied_not_run = true;
  if (each.ran) {
    report_violation(each.id + " ran and submission " + std::to_string(token) +
                     " got the outcome not_run");
  }
  // An outcome from the owner of the home shard covers every earlier submission
  // of the request too.
  job::shard_id home = daemon.requests.by_id.count(each.id) > 0
                           ? daemon.requests.by_id.at(each.id).request.home
                           : job::shard_id{};
  const ownership::claim_state& owner =
      authoritative_claims_.shards[0][home.shard];
  bool is_owner = owner.owner == "d" + std::to_string(daemon.id.daemon) &&
                  owner.incarnation == daemon.id.incarnation;
  if (!is_owner) return;
  for (const auto& [task, runs] : runs_) {
    if (task.first == each.id)
      report_violation(each.id + " ran before its owner replied not_run");
  }
}

}  // namespace ebonygrade::faults
