// Requests of owned shards: executes the effects of requests::step, runs the
// scheduling rounds of the placement engines, and commits intents.
#include <algorithm>
#include <utility>

#include "core/core_pvt.h"

namespace ebonygrade::core {

namespace {

place::engine* engine_of_worker(core_state& state, const std::string& worker) {
  const auto found = state.shard_of_worker.find(worker);
  if (found == state.shard_of_worker.end()) return nullptr;
  return runtime(state, found->second).engine.get();
}

place::task_group to_group(const requests::enqueue& effect, steady_time now) {
  place::task_group group;
  group.id = effect.request.id;
  group.team = effect.request.team;
  group.kind = effect.request.kind;
  group.idempotent = effect.request.idempotent;
  group.per_task = effect.request.per_task;
  group.tasks = effect.tasks;
  group.expected_runtime = effect.request.expected_runtime;
  group.deadline = effect.request.deadline;
  group.submitted = now;
  return group;
}

void on_effect(core_state& state, const requests::enqueue& effect) {
  shard_runtime& shard = runtime(state, effect.request.home);
  if (shard.engine == nullptr) return;
  if (!state.policy) {
    apply_request(state, requests::admission_refused{
                             effect.request.id, "no bundle is in force yet",
                             state.options.requests.retry_after});
    return;
  }
  const place::admission admission = place::enqueue(
      *shard.engine, to_group(effect, state.clock.now()), state.clock.now());
  if (admission.accepted) return;
  if (admission.retry_after > milliseconds(0)) {
    report_overload(state, effect.request.id, admission.reason);
  }
  apply_request(state,
                requests::admission_refused{effect.request.id, admission.reason,
                                            admission.retry_after});
}

void on_effect(core_state& state, const requests::withdraw& effect) {
  for (std::vector<shard_runtime>& region : state.shards) {
    for (shard_runtime& shard : region) {
      if (shard.engine != nullptr) place::withdraw(*shard.engine, effect.id);
    }
  }
}

void on_effect(core_state& state, const requests::release_resources& effect) {
  place::engine* engine = engine_of_worker(state, effect.worker);
  if (engine == nullptr) return;
  place::task_ended(*engine, effect.id, effect.task_index, effect.end,
                    state.clock.now());
}

void on_effect(core_state& state, const requests::adopt_task& effect) {
  place::engine* engine = engine_of_worker(state, effect.worker);
  if (engine == nullptr) return;
  place::running_task task;
  task.id = effect.task.key().request_id();
  task.task_index = effect.task.key().task_index();
  task.team = effect.task.team();
  task.kind = job::class_from_wire(effect.task.class_());
  task.idempotent = effect.task.idempotent();
  task.per_task = job::from_wire(effect.task.resources());
  task.worker = effect.worker;
  place::adopt_task(*engine, task);
}

void on_effect(core_state& state, const requests::write_intent& effect) {
  intents::add(state.intents,
               {effect.id, effect.home, runtime(state, effect.home).epoch});
}

void on_effect(core_state& state, const requests::send_start& effect) {
  const auto found = state.shard_of_worker.find(effect.worker);
  if (found != state.shard_of_worker.end()) {
    ++runtime(state, found->second).starts_in_flight;
  }
  state.metrics.add(metrics::counter::starts_sent);
  state.workers.send(worker::start{effect.worker, effect.epoch, effect.task});
}

void on_effect(core_state& state, const requests::send_stop& effect) {
  const auto found = state.shard_of_worker.find(effect.worker);
  if (found == state.shard_of_worker.end()) return;
  const job::epoch epoch = runtime(state, found->second).epoch;
  state.metrics.add(metrics::counter::stops_sent);
  state.workers.send(
      worker::stop{effect.worker, epoch, effect.key, wire::stop});
}

void on_effect(core_state& state, const requests::reply& effect) {
  if (effect.to.peer.empty()) {
    on_entry_reply(state, effect);
    return;
  }
  wire::envelope message;
  message.mutable_forward_reply()->set_token(effect.to.token);
  message.mutable_forward_reply()->set_wrong_owner(effect.wrong_owner);
  *message.mutable_forward_reply()->mutable_outcome() = effect.outcome;
  send_to_peer(state, effect.to.peer, std::move(message));
}

void on_effect(core_state& state, const requests::task_started& effect) {
  state.metrics.record_wait({effect.team, effect.kind}, effect.waited);
}

void on_effect(core_state& state, const requests::request_final& effect) {
  state.metrics.record_outcome({effect.team, effect.kind}, effect.outcome);
}

void stop_for_preemption(core_state& state,
                         const place::preemption& preemption) {
  const auto found = state.requests.by_id.find(preemption.id);
  if (found == state.requests.by_id.end()) return;
  if (preemption.task_index >= found->second.tasks.size()) return;
  const requests::task_state& task = found->second.tasks[preemption.task_index];
  if (task.phase != requests::task_phase::running) return;
  const auto shard = state.shard_of_worker.find(preemption.worker);
  if (shard == state.shard_of_worker.end()) return;
  // The task may have been started under an earlier epoch, but the worker only
  // accepts the current one.
  const job::epoch epoch = runtime(state, shard->second).epoch;
  const job::attempt_key key{preemption.id, preemption.task_index,
                             task.attempt};
  state.workers.send(
      worker::stop{preemption.worker, epoch, key, preemption.mode});
}

void apply_effects(core_state& state, const place::decisions& decisions,
                   job::epoch epoch) {
  for (const place::placement& each : decisions.starts) {
    apply_request(
        state, requests::placed{each.id, each.task_index, each.worker, epoch});
  }
  for (const place::drop& each : decisions.drops) {
    apply_request(state, requests::admission_refused{each.id, each.reason,
                                                     each.retry_after});
  }
  for (const place::preemption& each : decisions.preemptions) {
    state.metrics.add(metrics::counter::preemptions);
    stop_for_preemption(state, each);
  }
}

// A quiescing shard is owned until its release is in the log.
bool holds_epoch(const core_state& state, job::shard_id shard,
                 job::epoch epoch) {
  const shard_runtime& owned = state.shards[shard.region][shard.shard];
  const bool active = owned.phase == runtime_phase::serving ||
                      owned.phase == runtime_phase::quiescing;
  return active && owned.epoch == epoch;
}

}  // namespace

void apply_request(core_state& state, const requests::event& event) {
  const std::vector<requests::effect> effects =
      requests::step(state.requests, event, state.clock.now());
  for (const requests::effect& effect : effects) {
    std::visit([&state](const auto& each) { on_effect(state, each); }, effect);
  }
}

void run_scheduling_round(core_state& state) {
  if (state.workers_suspended) return;
  for (std::vector<shard_runtime>& region : state.shards) {
    for (shard_runtime& shard : region) {
      if (shard.phase != runtime_phase::serving) continue;
      const std::size_t max_starts =
          std::min(kMaxStartsPerRound, state.workers.free_space() / 2);
      if (max_starts == 0) return;
      const steady_time started = state.clock.now();
      const place::decisions decisions =
          place::decide(*shard.engine, started, max_starts);
      state.metrics.record_decision(state.clock.now() - started);
      apply_effects(state, decisions, shard.epoch);
    }
  }
}

void flush_intents(core_state& state) {
  wire::record record;
  if (!intents::take_batch(state.intents, state.clock.now(),
                           record.mutable_intent_batch())) {
    return;
  }
  record.mutable_writer()->set_daemon(state.options.self);
  record.mutable_writer()->set_incarnation(state.ownership.options.incarnation);
  record.mutable_writer()->set_sequence(state.next_sequence++);
  const std::uint64_t token = state.next_token++;
  const std::string stream = intents::stream_name(
      state.options.self, state.ownership.options.incarnation);
  state.calls[token] = {call_purpose::append_intents, {}, stream, 0};
  state.metrics.add(metrics::counter::log_appends);
  state.platform.send(platform::append{token, stream, std::move(record)});
}

void on_intents_appended(core_state& state) {
  intents::on_appended(state.intents);
  const std::uint64_t token = state.next_token++;
  state.calls[token] = {call_purpose::verify_claims, {}, kClaimsStream, 0};
  state.platform.send(platform::read_to_end{token, kClaimsStream});
}

void on_intents_failed(core_state& state) {
  for (const intents::pending_intent& each :
       intents::on_failed(state.intents)) {
    apply_request(state, requests::intent_failed{
                             each.id, "the log does not take the intent"});
  }
  check_handovers(state);
}

void on_intents_confirmed(core_state& state) {
  for (const intents::pending_intent& each :
       intents::on_claims_read(state.intents)) {
    if (holds_epoch(state, each.home, each.epoch)) {
      apply_request(state, requests::intent_durable{each.id});
      continue;
    }
    apply_request(
        state, requests::intent_failed{each.id, "the shard has a new owner"});
  }
  check_handovers(state);
}

}  // namespace ebonygrade::core
