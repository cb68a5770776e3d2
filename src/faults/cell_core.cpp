#include <algorithm>
#include <string>

#include "faults/cell_pvt.h"

namespace ebonygrade::faults {

job::shard_id shard_of_worker(int worker) {
  return {0, static_cast<std::uint16_t>(worker % kShardCount)};
}

int worker_index(const std::string& name) { return std::stoi(name.substr(1)); }

std::string worker_name(int worker) { return "w" + std::to_string(worker); }

// Derives the home shard, idempotence, class, deadline and number of tasks from
// the id.
job::request make_request(int id, steady_time now) {
  job::request request;
  request.id = "r" + std::to_string(id);
  request.team = "team";
  request.home = {0, static_cast<std::uint16_t>(id % kShardCount)};
  request.idempotent = id >= 3;
  request.per_task.slots = 1;
  if (id == 2) request.task_count = 2;
  if (id == 5) {
    request.kind = job::job_class::gang;
    request.task_count = 2;
  }
  if (id == 1 || id == 4) request.deadline = now + milliseconds(3000);
  return request;
}

fake_daemon* cell::find_process(const process_id& id) {
  fake_daemon& daemon = daemons_[id.daemon];
  return daemon.alive && daemon.id == id ? &daemon : nullptr;
}

job::epoch cell::epoch_of(const fake_daemon& daemon, int worker) const {
  job::shard_id shard = shard_of_worker(worker);
  return daemon.ownership.local_shards[shard.region][shard.shard].epoch;
}

std::vector<ownership::member> cell::members() const {
  std::vector<ownership::member> found;
  for (const fake_daemon& daemon : daemons_) {
    ownership::member member;
    member.id = "d" + std::to_string(daemon.id.daemon);
    member.region = kRegion;
    member.leaving = daemon.ownership.draining;
    bool unresponsive = !daemon.alive || daemon.frozen || daemon.partitioned;
    steady_time since =
        unresponsive ? daemon.unresponsive_since : daemon.started;
    milliseconds time = std::chrono::duration_cast<milliseconds>(now_ - since);
    (unresponsive ? member.unresponsive_for : member.alive_for) = time;
    found.push_back(member);
  }
  return found;
}

void cell::step_ownership(fake_daemon& daemon, const ownership::event& input) {
  for (const ownership::effect& each :
       ownership::step(daemon.ownership, input, now_)) {
    execute(daemon, each);
  }
}

void cell::step_requests(fake_daemon& daemon, const requests::event& input) {
  for (const requests::effect& each :
       requests::step(daemon.requests, input, now_)) {
    execute(daemon, each);
  }
}

void cell::read_claims(fake_daemon& daemon) {
  while (daemon.ownership.claims.next_offset < claims_.size()) {
    std::uint64_t offset = daemon.ownership.claims.next_offset;
    step_ownership(daemon, ownership::record_read{claims_[offset], offset});
  }
}

void cell::append(const wire::record& record) {
  if (!log_available_) return;
  std::uint64_t offset = claims_.size();
  claims_.push_back(record);
  ownership::apply(authoritative_claims_, record, offset);
  if (!record.has_claim()) return;
  const wire::writer& writer = record.writer();
  epoch_owner_[offset + 1] = {std::stoi(writer.daemon().substr(1)),
                              writer.incarnation()};
}

void cell::execute(fake_daemon& daemon, const ownership::effect& effect) {
  if (const auto* appended = std::get_if<ownership::append_record>(&effect)) {
    append(appended->record);
  } else if (const auto* fence = std::get_if<ownership::fence_shard>(&effect)) {
    begin_fencing(daemon, *fence);
  } else if (const auto* serve = std::get_if<ownership::serve_shard>(&effect)) {
    bool complete = daemon.fencing[serve->shard.shard].pending_workers.empty();
    step_requests(daemon, requests::home_shard_serving{serve->shard, complete});
  } else if (const auto* drop = std::get_if<ownership::drop_shard>(&effect)) {
    drop_shard(daemon, drop->shard);
  }
}

void cell::begin_fencing(fake_daemon& daemon,
                         const ownership::fence_shard& effect) {
  ++counts_.takeovers;
  add_trace("d" + std::to_string(daemon.id.daemon) + " claimed shard " +
            std::to_string(effect.shard.shard) + " under " +
            std::to_string(effect.epoch));
  fencing_state state;
  state.epoch = effect.epoch;
  state.previous = effect.previous;
  for (int worker = 0; worker < kWorkerCount; ++worker) {
    if (shard_of_worker(worker) != effect.shard) continue;
    state.pending_workers.insert(worker);
  }
  daemon.fencing[effect.shard.shard] = state;
  if (injected_ == fault::serve_before_fencing) {
    daemon.fencing[effect.shard.shard].pending_workers.clear();
  }
}

void cell::time_out_fences(int daemon_index) {
  fake_daemon& daemon = daemons_[daemon_index];
  if (!daemon.alive || daemon.frozen) return;
  advance_fencing(daemon);
  for (auto& [shard, state] : daemon.fencing) {
    if (state.timed_out || !state.intents_read) continue;
    state.timed_out = true;
    add_trace("d" + std::to_string(daemon_index) +
              " times out fences of shard " + std::to_string(shard));
    for (int worker : state.pending_workers) {
      expire_leases(worker, state.epoch);
    }
  }
  advance_fencing(daemon);
}

// Ends idempotent tasks of earlier epochs, whose leases are no longer renewed.
// Other tasks continue to run, which is the harder case for the new owner.
void cell::expire_leases(int index, job::epoch epoch) {
  fake_worker& worker = workers_[index];
  worker.expired_below_epoch = std::max(worker.expired_below_epoch, epoch);
  for (auto& [key, task] : worker.tasks) {
    if (!task.record.idempotent()) continue;
    if (task.record.end() != wire::task_end_unspecified) continue;
    if (task.record.epoch() >= epoch) continue;
    task.record.set_end(wire::lease_expired);
    network_.push_back(request_event{
        worker.owner, requests::task_ended{key, wire::lease_expired, 0, "",
                                           worker_name(index)}});
  }
}

bool cell::is_in_flight(const fence_message& wanted) const {
  for (const message& each : network_) {
    if (const auto* fence = std::get_if<fence_message>(&each)) {
      if (fence->from == wanted.from && fence->worker == wanted.worker &&
          fence->epoch == wanted.epoch) {
        return true;
      }
    } else if (const auto* reply = std::get_if<fence_reply>(&each)) {
      if (reply->to == wanted.from && reply->worker == wanted.worker) {
        return true;
      }
    }
  }
  return false;
}

// Repeats fence messages that are neither in flight nor replied to, and serves
// the shards whose fencing is complete or timed out.
void cell::advance_fencing(fake_daemon& daemon) {
  std::map<std::uint16_t, fencing_state> pending = daemon.fencing;
  for (auto& [shard, state] : pending) {
    job::shard_id id{0, shard};
    if (!state.intents_read && log_available_) {
      if (injected_ != fault::no_intents_read)
        read_intents(daemon, shard, state);
      daemon.fencing[shard].intents_read = true;
      state.intents_read = true;
    }
    for (int worker : state.pending_workers) {
      fence_message fence{daemon.id, worker, id, state.epoch};
      if (!is_in_flight(fence)) network_.push_back(fence);
    }
    bool complete = state.pending_workers.empty();
    if (!state.intents_read || !(complete || state.timed_out)) continue;
    if (!state.served) {
      daemon.fencing[shard].served = true;
      step_ownership(daemon, ownership::reconciled{id, state.epoch});
    }
    if (complete) daemon.fencing.erase(shard);
  }
}

void cell::read_intents(fake_daemon& daemon, std::uint16_t shard,
                        const fencing_state& fencing) {
  std::set<process_id> writers;
  for (const ownership::earlier_owner& each : fencing.previous.earlier_owners) {
    writers.insert({std::stoi(each.daemon.substr(1)), each.incarnation});
  }
  for (const process_id& writer : writers) {
    for (const intent_entry& each : intents_[writer]) {
      if (each.home.shard != shard) continue;
      step_requests(daemon, requests::intent_found{each.id, each.home});
    }
  }
}

void cell::drop_shard(fake_daemon& daemon, job::shard_id shard) {
  add_trace("d" + std::to_string(daemon.id.daemon) + " drops shard " +
            std::to_string(shard.shard));
  daemon.fencing.erase(shard.shard);
  step_requests(daemon, requests::shard_lost{shard});
  std::erase_if(daemon.queue,
                [&](const queued_task& each) { return each.home == shard; });
  for (int worker = 0; worker < kWorkerCount; ++worker) {
    if (shard_of_worker(worker) == shard) daemon.used_slots.erase(worker);
  }
}

void cell::check_quiesced(fake_daemon& daemon) {
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    if (daemon.ownership.local_shards[0][shard].phase !=
        ownership::shard_phase::quiescing) {
      continue;
    }
    bool is_waiting = false;
    for (const job::attempt_key& key : daemon.pending_starts) {
      is_waiting =
          is_waiting || shard_of_worker(daemon.worker_of[key]).shard == shard;
    }
    if (!is_waiting) step_ownership(daemon, ownership::quiesced{{0, shard}});
  }
}

void cell::execute(fake_daemon& daemon, const requests::effect& effect) {
  if (const auto* queue = std::get_if<requests::enqueue>(&effect)) {
    for (std::uint32_t task : queue->tasks) {
      daemon.queue.push_back({queue->request.id, task, queue->request.home});
    }
  } else if (const auto* withdrawn = std::get_if<requests::withdraw>(&effect)) {
    std::erase_if(daemon.queue, [&](const queued_task& each) {
      return each.id == withdrawn->id;
    });
  } else if (const auto* released =
                 std::get_if<requests::release_resources>(&effect)) {
    int worker = worker_index(released->worker);
    if (daemon.used_slots[worker] > 0) --daemon.used_slots[worker];
  } else if (const auto* adopted = std::get_if<requests::adopt_task>(&effect)) {
    ++daemon.used_slots[worker_index(adopted->worker)];
  } else if (const auto* intent =
                 std::get_if<requests::write_intent>(&effect)) {
    job::epoch epoch = ownership::serving_epoch(daemon.ownership, intent->home);
    network_.push_back(
        intent_message{daemon.id, intent->id, intent->home, epoch});
  } else if (const auto* start = std::get_if<requests::send_start>(&effect)) {
    job::attempt_key key = job::from_wire(start->task.key());
    int worker = worker_index(start->worker);
    daemon.pending_starts.insert(key);
    daemon.worker_of[key] = worker;
    start_message outgoing{daemon.id, worker, start->epoch, start->task, {}};
    for (const requests::waiter& each :
         daemon.requests.by_id.at(key.request_id).waiters) {
      outgoing.submissions.insert(each.token);
    }
    network_.push_back(std::move(outgoing));
  } else if (const auto* stop = std::get_if<requests::send_stop>(&effect)) {
    int worker = worker_index(stop->worker);
    if (injected_ == fault::stop_always_confirmed) {
      network_.push_back(request_event{
          daemon.id, requests::stop_answered{stop->key, wire::stop_confirmed}});
      return;
    }
    network_.push_back(
        stop_message{daemon.id, worker, epoch_of(daemon, worker), stop->key});
  } else if (const auto* reply = std::get_if<requests::reply>(&effect)) {
    record_reply(daemon, *reply);
  }
}

void cell::record_reply(fake_daemon& daemon, const requests::reply& reply) {
  auto found = submissions_.find(reply.to.token);
  if (found == submissions_.end() || reply.wrong_owner) return;
  add_trace("reply to submission " + std::to_string(reply.to.token) + ": " +
            wire::outcome_kind_Name(reply.outcome.kind()));
  switch (reply.outcome.kind()) {
    case wire::answered:
      ++counts_.answered;
      if (reply.outcome.answers_size() !=
          static_cast<int>(daemon.requests.by_id.at(reply.id).tasks.size())) {
        report_violation("the answers of " + reply.id +
                         " don't cover every task");
      }
      return;
    case wire::not_run:
      ++counts_.not_run;
      check_not_run(daemon, reply.to.token);
      return;
    case wire::unknown:
      ++counts_.unknown;
      return;
    default:
      return;
  }
}

}  // namespace ebonygrade::faults
