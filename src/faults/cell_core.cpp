#include <algorithm>
#include <string>

#include "faults/cell_pvt.h"

namespace ebonygrade::faults {

job::shard_id shard_of_worker(int worker) {
  return {0, static_cast<std::uint16_t>(worker % kShards)};
}

int worker_index(const std::string& name) { return std::stoi(name.substr(1)); }

std::string worker_name(int worker) { return "w" + std::to_string(worker); }

// Ids differ in home, idempotence, class, deadline and number of tasks.
job::request make_request(int id, steady_time now) {
  job::request request;
  request.id = "r" + std::to_string(id);
  request.team = "team";
  request.home = {0, static_cast<std::uint16_t>(id % kShards)};
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

fake_daemon* cell::find(const process_id& id) {
  fake_daemon& at = daemons_[id.daemon];
  return at.alive && at.id == id ? &at : nullptr;
}

job::epoch cell::epoch_of(const fake_daemon& at, int worker) const {
  job::shard_id shard = shard_of_worker(worker);
  return at.ownership.local_shards[shard.region][shard.shard].epoch;
}

std::vector<ownership::member> cell::members() const {
  std::vector<ownership::member> found;
  for (const fake_daemon& at : daemons_) {
    ownership::member member;
    member.id = "d" + std::to_string(at.id.daemon);
    member.region = kRegion;
    member.leaving = at.ownership.draining;
    bool silent = !at.alive || at.frozen || at.cut_off;
    steady_time since = silent ? at.silent_since : at.started;
    milliseconds time = std::chrono::duration_cast<milliseconds>(now_ - since);
    (silent ? member.unresponsive_for : member.alive_for) = time;
    found.push_back(member);
  }
  return found;
}

void cell::own(fake_daemon& at, const ownership::event& input) {
  for (const ownership::effect& each :
       ownership::step(at.ownership, input, now_)) {
    carry_out(at, each);
  }
}

void cell::handle(fake_daemon& at, const requests::event& input) {
  for (const requests::effect& each :
       requests::step(at.requests, input, now_)) {
    carry_out(at, each);
  }
}

void cell::read_claims(fake_daemon& at) {
  while (at.ownership.claims.next_offset < claims_.size()) {
    std::uint64_t offset = at.ownership.claims.next_offset;
    own(at, ownership::record_read{claims_[offset], offset});
  }
}

void cell::append(const wire::record& record) {
  if (!log_up_) return;
  std::uint64_t offset = claims_.size();
  claims_.push_back(record);
  ownership::apply(truth_, record, offset);
  if (!record.has_claim()) return;
  const wire::writer& writer = record.writer();
  epoch_owner_[offset + 1] = {std::stoi(writer.daemon().substr(1)),
                              writer.incarnation()};
}

void cell::carry_out(fake_daemon& at, const ownership::effect& effect) {
  if (const auto* append_it = std::get_if<ownership::append_record>(&effect)) {
    append(append_it->record);
  } else if (const auto* fence = std::get_if<ownership::fence_shard>(&effect)) {
    begin_fencing(at, *fence);
  } else if (const auto* serve = std::get_if<ownership::serve_shard>(&effect)) {
    bool complete = at.fencing[serve->shard.shard].unanswered.empty();
    handle(at, requests::home_shard_serving{serve->shard, complete});
  } else if (const auto* drop = std::get_if<ownership::drop_shard>(&effect)) {
    drop_shard(at, drop->shard);
  }
}

void cell::begin_fencing(fake_daemon& at,
                         const ownership::fence_shard& effect) {
  ++counts_.takeovers;
  note("d" + std::to_string(at.id.daemon) + " claimed shard " +
       std::to_string(effect.shard.shard) + " under " +
       std::to_string(effect.epoch));
  fencing_state state;
  state.epoch = effect.epoch;
  state.previous = effect.previous;
  for (int worker = 0; worker < kWorkers; ++worker) {
    if (shard_of_worker(worker) != effect.shard) continue;
    state.unanswered.insert(worker);
  }
  at.fencing[effect.shard.shard] = state;
  if (injected_ == fault::serve_before_fencing) {
    at.fencing[effect.shard.shard].unanswered.clear();
  }
}

void cell::give_up_fences(int daemon) {
  fake_daemon& at = daemons_[daemon];
  if (!at.alive || at.frozen) return;
  finish_fencing(at);
  for (auto& [shard, state] : at.fencing) {
    if (state.given_up || !state.intents_read) continue;
    state.given_up = true;
    note("d" + std::to_string(daemon) + " gives up fences of shard " +
         std::to_string(shard));
    for (int worker : state.unanswered) {
      lapse_leases(worker, state.epoch);
    }
  }
  finish_fencing(at);
}

// Idempotent tasks lapse without renewal; others are left to run on, which is
// the harder case.
void cell::lapse_leases(int index, job::epoch epoch) {
  fake_worker& worker = workers_[index];
  worker.lapsed_below = std::max(worker.lapsed_below, epoch);
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
    } else if (const auto* answer = std::get_if<fence_answer>(&each)) {
      if (answer->to == wanted.from && answer->worker == wanted.worker) {
        return true;
      }
    }
  }
  return false;
}

// Sends the fences again that have no answer, and serves what is complete.
void cell::finish_fencing(fake_daemon& at) {
  std::map<std::uint16_t, fencing_state> pending = at.fencing;
  for (auto& [shard, state] : pending) {
    job::shard_id id{0, shard};
    if (!state.intents_read && log_up_) {
      if (injected_ != fault::intents_not_read) read_intents(at, shard, state);
      at.fencing[shard].intents_read = true;
      state.intents_read = true;
    }
    for (int worker : state.unanswered) {
      fence_message fence{at.id, worker, id, state.epoch};
      if (!is_in_flight(fence)) network_.push_back(fence);
    }
    bool complete = state.unanswered.empty();
    if (!state.intents_read || !(complete || state.given_up)) continue;
    if (!state.served) {
      at.fencing[shard].served = true;
      own(at, ownership::reconciled{id, state.epoch});
    }
    if (complete) at.fencing.erase(shard);
  }
}

void cell::read_intents(fake_daemon& at, std::uint16_t shard,
                        const fencing_state& fencing) {
  std::set<process_id> writers;
  for (const ownership::earlier_owner& each : fencing.previous.earlier_owners) {
    writers.insert({std::stoi(each.daemon.substr(1)), each.incarnation});
  }
  for (const process_id& writer : writers) {
    for (const intent_entry& each : intents_[writer]) {
      if (each.home.shard != shard) continue;
      handle(at, requests::intent_found{each.id, each.home});
    }
  }
}

void cell::drop_shard(fake_daemon& at, job::shard_id shard) {
  note("d" + std::to_string(at.id.daemon) + " drops shard " +
       std::to_string(shard.shard));
  at.fencing.erase(shard.shard);
  handle(at, requests::shard_lost{shard});
  std::erase_if(at.queue,
                [&](const waiting_task& each) { return each.home == shard; });
  for (int worker = 0; worker < kWorkers; ++worker) {
    if (shard_of_worker(worker) == shard) at.used.erase(worker);
  }
}

void cell::check_quiesced(fake_daemon& at) {
  for (std::uint16_t shard = 0; shard < kShards; ++shard) {
    if (at.ownership.local_shards[0][shard].phase !=
        ownership::shard_phase::quiescing) {
      continue;
    }
    bool waits = false;
    for (const job::attempt_key& key : at.unanswered) {
      waits = waits || shard_of_worker(at.worker_of[key]).shard == shard;
    }
    if (!waits) own(at, ownership::quiesced{{0, shard}});
  }
}

void cell::carry_out(fake_daemon& at, const requests::effect& effect) {
  if (const auto* queue = std::get_if<requests::enqueue>(&effect)) {
    for (std::uint32_t task : queue->tasks) {
      at.queue.push_back({queue->request.id, task, queue->request.home});
    }
  } else if (const auto* out = std::get_if<requests::withdraw>(&effect)) {
    std::erase_if(at.queue,
                  [&](const waiting_task& each) { return each.id == out->id; });
  } else if (const auto* room =
                 std::get_if<requests::release_resources>(&effect)) {
    int worker = worker_index(room->worker);
    if (at.used[worker] > 0) --at.used[worker];
  } else if (const auto* room = std::get_if<requests::adopt_task>(&effect)) {
    ++at.used[worker_index(room->worker)];
  } else if (const auto* intent =
                 std::get_if<requests::write_intent>(&effect)) {
    job::epoch epoch = ownership::serving_epoch(at.ownership, intent->home);
    network_.push_back(intent_message{at.id, intent->id, intent->home, epoch});
  } else if (const auto* start = std::get_if<requests::send_start>(&effect)) {
    job::attempt_key key = job::from_wire(start->task.key());
    int worker = worker_index(start->worker);
    at.unanswered.insert(key);
    at.worker_of[key] = worker;
    start_message sent{at.id, worker, start->epoch, start->task, {}};
    for (const requests::waiter& each :
         at.requests.by_id.at(key.request_id).waiters) {
      sent.submissions.insert(each.token);
    }
    network_.push_back(std::move(sent));
  } else if (const auto* stop = std::get_if<requests::send_stop>(&effect)) {
    int worker = worker_index(stop->worker);
    if (injected_ == fault::stop_always_confirms) {
      network_.push_back(request_event{
          at.id, requests::stop_answered{stop->key, wire::stop_confirmed}});
      return;
    }
    network_.push_back(
        stop_message{at.id, worker, epoch_of(at, worker), stop->key});
  } else if (const auto* reply = std::get_if<requests::reply>(&effect)) {
    take_reply(at, *reply);
  }
}

void cell::take_reply(fake_daemon& at, const requests::reply& reply) {
  auto found = submissions_.find(reply.to.token);
  if (found == submissions_.end() || reply.wrong_owner) return;
  note("told " + std::to_string(reply.to.token) + ": " +
       wire::outcome_kind_Name(reply.outcome.kind()));
  switch (reply.outcome.kind()) {
    case wire::answered:
      ++counts_.answered;
      if (reply.outcome.answers_size() !=
          static_cast<int>(at.requests.by_id.at(reply.id).tasks.size())) {
        fail("an answer of " + reply.id + " is not whole");
      }
      return;
    case wire::not_run:
      ++counts_.not_run;
      judge_not_run(at, reply.to.token);
      return;
    case wire::unknown:
      ++counts_.unknown;
      return;
    default:
      return;
  }
}

}  // namespace ebonygrade::faults
