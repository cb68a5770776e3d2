#include <algorithm>

#include "faults/cell_pvt.h"

namespace ebonygrade::faults {

int fake_worker::running() const {
  int count = 0;
  for (const auto& [key, task] : tasks) {
    if (task.record.end() == wire::task_end_unspecified) ++count;
  }
  return count;
}

void cell::fail(const std::string& text) {
  if (violation_.empty()) violation_ = text;
  note("VIOLATION: " + text);
}

// ---- To workers ----------------------------------------------------------

void cell::receive(const fence_message& input) {
  fake_worker& worker = workers_[input.worker];
  if (input.epoch < worker.epoch) {
    network_.push_back(fence_answer{
        input.from, input.worker, input.shard, worker.epoch, {}, false});
    return;
  }
  worker.epoch = input.epoch;
  worker.owner = input.from;
  fence_answer answer{input.from, input.worker, input.shard, input.epoch, {}};
  for (const auto& [key, task] : worker.tasks) {
    answer.tasks.push_back(task.record);
  }
  network_.push_back(std::move(answer));
}

void cell::answer_start(const start_message& input, wire::start_status status) {
  network_.push_back(request_event{
      input.from,
      requests::start_answered{job::from_wire(input.task.key()), status}});
}

void cell::receive(const start_message& input) {
  fake_worker& worker = workers_[input.worker];
  job::attempt_key key = job::from_wire(input.task.key());
  if (input.epoch < worker.epoch && injected_ != fault::no_epoch_check) {
    ++counts_.fenced_starts;
    answer_start(input, wire::fenced);
    return;
  }
  if (input.task.idempotent() && input.epoch < worker.lapsed_below) return;
  if (worker.revoked.count(key) > 0) {
    answer_start(input, wire::revoked);
    return;
  }
  if (worker.tasks.count(key) == 0) run_task(input);
  answer_start(input, wire::started);
}

void cell::run_task(const start_message& input) {
  fake_worker& worker = workers_[input.worker];
  job::attempt_key key = job::from_wire(input.task.key());
  note("w" + std::to_string(input.worker) + " runs " + key.request_id + "/" +
       std::to_string(key.task_index) + " under " +
       std::to_string(input.epoch));
  judge_start(input);
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

// ---- To daemons ----------------------------------------------------------

void cell::receive(const fence_answer& input) {
  fake_daemon* at = find(input.to);
  if (at == nullptr) return;
  if (at->frozen) {
    network_.push_back(input);
    return;
  }
  auto found = at->fencing.find(input.shard.shard);
  if (found == at->fencing.end()) return;
  if (input.epoch > found->second.epoch) {
    own(*at, ownership::fenced_by_worker{input.shard, input.epoch});
    return;
  }
  if (!input.accepted || input.epoch != found->second.epoch) return;
  if (found->second.unanswered.erase(input.worker) == 0) return;
  note("d" + std::to_string(input.to.daemon) + " has fenced w" +
       std::to_string(input.worker) + " under " + std::to_string(input.epoch) +
       ", " + std::to_string(input.tasks.size()) + " tasks");
  for (const wire::task_record& each : input.tasks) {
    handle(*at,
           requests::task_found{each, worker_name(input.worker), input.shard});
  }
  finish_fencing(*at);
}

void cell::receive(const request_event& input) {
  fake_daemon* at = find(input.to);
  if (at == nullptr) return;
  if (at->frozen) {
    network_.push_back(input);
    return;
  }
  if (const auto* answer =
          std::get_if<requests::start_answered>(&input.event)) {
    at->unanswered.erase(answer->key);
  }
  handle(*at, input.event);
}

void cell::receive(const intent_message& input) {
  if (log_up_) intents_[input.from].push_back({input.id, input.home});
  network_.push_back(
      intent_answer{input.from, input.id, input.home, input.epoch, log_up_});
}

void cell::receive(const intent_answer& input) {
  fake_daemon* at = find(input.to);
  if (at == nullptr) return;
  if (at->frozen) {
    network_.push_back(input);
    return;
  }
  bool durable = input.written;
  if (injected_ != fault::no_claims_read) {
    if (log_up_) read_claims(*at);
    durable =
        durable && log_up_ &&
        ownership::serving_epoch(at->ownership, input.home) == input.epoch;
  }
  if (durable) {
    handle(*at, requests::intent_durable{input.id});
  } else {
    handle(*at, requests::intent_failed{input.id, "the log is down"});
  }
}

// ---- The judge -----------------------------------------------------------

void cell::judge_start(const start_message& input) {
  job::attempt_key key = job::from_wire(input.task.key());
  fake_worker& worker = workers_[input.worker];
  if (worker.running() >= kSlots) {
    fail("w" + std::to_string(input.worker) + " is over-committed");
  }
  if (input.epoch < worker.epoch) fail("a stale start took effect");
  if (epoch_owner_[input.epoch] != input.from) {
    fail("a start of " + key.request_id + " under another daemon's epoch");
  }
  for (const fake_worker& other : workers_) {
    for (const auto& [other_key, task] : other.tasks) {
      if (task.record.end() != wire::task_end_unspecified) continue;
      if (other_key.request_id != key.request_id) continue;
      if (other_key.task_index != key.task_index) continue;
      fail(key.request_id + " runs in two places");
    }
  }
  int runs = ++runs_[{key.request_id, key.task_index}];
  if (!input.task.idempotent() && runs > 1) {
    fail(key.request_id + " is non-idempotent and runs again");
  }
  for (std::uint64_t token : input.submissions) {
    submission& each = submissions_[token];
    each.ran = true;
    if (each.told_not_run) {
      fail(key.request_id + " runs after submission " + std::to_string(token) +
           " was told not_run");
    }
  }
}

void cell::judge_not_run(const fake_daemon& at, std::uint64_t token) {
  submission& each = submissions_[token];
  each.told_not_run = true;
  if (each.ran) {
    fail(each.id + " ran and submission " + std::to_string(token) +
         " was told not_run");
  }
  // The daemon that owns the home speaks for every earlier submission too.
  job::shard_id home = at.requests.by_id.count(each.id) > 0
                           ? at.requests.by_id.at(each.id).request.home
                           : job::shard_id{};
  const ownership::claim_state& owner = truth_.shards[0][home.shard];
  bool speaks = owner.owner == "d" + std::to_string(at.id.daemon) &&
                owner.incarnation == at.id.incarnation;
  if (!speaks) return;
  for (const auto& [task, runs] : runs_) {
    if (task.first == each.id)
      fail(each.id + " ran before and is told not_run");
  }
}

}  // namespace ebonygrade::faults
