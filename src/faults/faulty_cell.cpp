#include "faults/faulty_cell.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "faults/cell_pvt.h"

namespace ebonygrade::faults {

namespace {

enum class action {
  deliver,
  time_out_start,
  duplicate,
  drop_message,
  deliver_oldest,  // Delivers several messages in the order of sending.
  disconnect_worker,
  reconnect_workers,
  partition,
  heal_partition,
  // Serves a shard although workers have not replied to the fence for the time
  // of a lease.
  time_out_fences,
  tick,
  place,
  submit,
  cancel,
  complete,
  expire_lease,
  freeze,
  thaw,
  kill,
  restart,
  log_outage,
  log_recovery,
  delay_intents,
  resume_intents,
  drain,
};

// The remainder of a code selects an entry. The number of an action's entries
// is its weight.
constexpr action kActions[] = {
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::deliver,
    action::tick,
    action::tick,
    action::tick,
    action::tick,
    action::place,
    action::place,
    action::place,
    action::submit,
    action::submit,
    action::submit,
    action::complete,
    action::time_out_start,
    action::drop_message,
    action::duplicate,
    action::cancel,
    action::expire_lease,
    action::freeze,
    action::thaw,
    action::kill,
    action::restart,
    action::restart,
    action::log_outage,
    action::log_recovery,
    action::disconnect_worker,
    action::disconnect_worker,
    action::reconnect_workers,
    action::delay_intents,
    action::delay_intents,
    action::resume_intents,
    action::partition,
    action::heal_partition,
    action::time_out_fences,
    action::time_out_fences,
    action::log_recovery,
    action::deliver_oldest,
    action::deliver_oldest,
    action::deliver_oldest,
    action::deliver_oldest,
    action::thaw,
    action::submit,
    action::place,
    action::tick,
    action::tick,
    action::drain,
};

constexpr milliseconds kShortTick{500};
constexpr milliseconds kLongTick{3500};
constexpr std::size_t kMaxMessagesInFlight = 64;
constexpr std::uint32_t kMaxDeliveredAtOnce = 16;
// One in this many drain actions takes effect.
constexpr std::uint32_t kDrainOneIn = 16;

}  // namespace

run_counts& run_counts::operator+=(const run_counts& other) {
  starts += other.starts;
  takeovers += other.takeovers;
  fenced_starts += other.fenced_starts;
  answered += other.answered;
  not_run += other.not_run;
  unknown += other.unknown;
  return *this;
}

cell::cell(fault injected, bool with_trace)
    : injected_(injected),
      with_trace_(with_trace),
      authoritative_claims_(
          ownership::make_claim_table({kRegion}, kShardCount)),
      daemons_(kDaemonCount),
      workers_(kWorkerCount) {
  for (int i = 0; i < kDaemonCount; ++i) {
    start_daemon(i);
  }
  for (int i = 0; i < 6; ++i) {
    tick(kShortTick);
    while (!network_.empty()) {
      deliver(0);
    }
  }
}

bool cell::is_delayed(const message& input) {
  auto is_unreachable = [this](const auto& each) {
    return daemons_[each.from.daemon].unreachable_workers.count(each.worker) >
           0;
  };
  if (const auto* fence = std::get_if<fence_message>(&input)) {
    return is_unreachable(*fence);
  }
  if (const auto* start = std::get_if<start_message>(&input)) {
    return is_unreachable(*start);
  }
  if (std::holds_alternative<intent_message>(input)) return intents_delayed_;
  const auto* stop = std::get_if<stop_message>(&input);
  return stop != nullptr && is_unreachable(*stop);
}

void cell::apply_action(std::uint32_t code) {
  action chosen = kActions[code % std::size(kActions)];
  std::uint32_t argument =
      code / static_cast<std::uint32_t>(std::size(kActions));
  int daemon_index = static_cast<int>(argument % kDaemonCount);
  std::uint32_t second_argument = argument / kDaemonCount;
  fake_daemon& daemon = daemons_[daemon_index];
  switch (chosen) {
    case action::deliver:
      if (!network_.empty()) deliver(argument % network_.size());
      return;
    case action::deliver_oldest:
      for (std::uint32_t i = 0; i < argument % kMaxDeliveredAtOnce; ++i) {
        if (!network_.empty()) deliver(0);
      }
      return;
    case action::time_out_start:
      if (!network_.empty()) time_out_start(argument % network_.size());
      return;
    case action::duplicate:
      if (network_.empty() || network_.size() >= kMaxMessagesInFlight) return;
      network_.push_back(network_[argument % network_.size()]);
      return;
    case action::drop_message:
      if (network_.empty()) return;
      time_out_start(argument % network_.size());
      // Daemons read worker events by offset, so events are never lost.
      if (std::holds_alternative<request_event>(
              network_[argument % network_.size()])) {
        return;
      }
      network_.erase(network_.begin() + argument % network_.size());
      return;
    case action::tick:
      tick(argument % 8 == 0 ? kLongTick : kShortTick);
      return;
    case action::place:
      place(daemon_index);
      return;
    case action::submit:
      submit(daemon_index, static_cast<int>(second_argument % kRequestIdCount));
      return;
    case action::cancel:
      cancel(daemon_index, static_cast<int>(second_argument % kRequestIdCount));
      return;
    case action::complete:
      end_task(argument, wire::completed);
      return;
    case action::expire_lease:
      end_task(argument, wire::lease_expired);
      return;
    case action::freeze:
      make_unresponsive(daemon, &fake_daemon::frozen);
      add_trace("freeze d" + std::to_string(daemon_index));
      return;
    case action::disconnect_worker:
      daemon.unreachable_workers.insert(
          static_cast<int>(second_argument % kWorkerCount));
      add_trace("disconnect d" + std::to_string(daemon_index) + " from w" +
                std::to_string(second_argument % kWorkerCount));
      return;
    case action::reconnect_workers:
      daemon.unreachable_workers.clear();
      return;
    case action::partition:
      make_unresponsive(daemon, &fake_daemon::partitioned);
      add_trace("partition d" + std::to_string(daemon_index));
      return;
    case action::heal_partition:
      daemon.partitioned = false;
      add_trace("heal partition of d" + std::to_string(daemon_index));
      return;
    case action::thaw:
      daemon.frozen = false;
      add_trace("thaw d" + std::to_string(daemon_index));
      return;
    case action::kill:
      if (daemon.alive) make_unresponsive(daemon, &fake_daemon::frozen);
      daemon.alive = false;
      add_trace("kill d" + std::to_string(daemon_index));
      return;
    case action::restart:
      if (!daemon.alive && log_available_) start_daemon(daemon_index);
      return;
    case action::log_outage:
      log_available_ = false;
      add_trace("log unavailable");
      return;
    case action::delay_intents:
      intents_delayed_ = true;
      return;
    case action::resume_intents:
      intents_delayed_ = false;
      return;
    case action::log_recovery:
      log_available_ = true;
      add_trace("log available");
      return;
    case action::time_out_fences:
      time_out_fences(daemon_index);
      return;
    case action::drain:
      if (second_argument % kDrainOneIn == 0 && daemon.alive && !daemon.frozen)
        step_ownership(daemon, ownership::drain{});
      return;
  }
}

run_result cell::result() const { return {violation_, counts_, trace_}; }

void cell::make_unresponsive(fake_daemon& daemon, bool fake_daemon::*cause) {
  if (!daemon.frozen && !daemon.partitioned) daemon.unresponsive_since = now_;
  daemon.*cause = true;
}

void cell::add_trace(const std::string& text) {
  if (with_trace_) trace_.push_back(text);
}

void cell::start_daemon(int index) {
  add_trace("start d" + std::to_string(index));
  fake_daemon fresh;
  fresh.id = {index, daemons_[index].id.incarnation + 1};
  fresh.started = now_;
  ownership::ownership_options options;
  options.handover_after = milliseconds(5000);
  options.self = "d" + std::to_string(index);
  options.incarnation = fresh.id.incarnation;
  fresh.ownership = ownership::make_state(
      options, ownership::make_claim_table({kRegion}, kShardCount));
  daemons_[index] = std::move(fresh);
  read_claims(daemons_[index]);
  step_ownership(daemons_[index], ownership::caught_up{});
}

void cell::tick(milliseconds by) {
  now_ += by;
  add_trace("tick " + std::to_string(by.count()) + " ms");
  for (fake_daemon& daemon : daemons_) {
    if (!daemon.alive || daemon.frozen) continue;
    if (log_available_ && !daemon.partitioned) read_claims(daemon);
    step_ownership(daemon, ownership::tick{members()});
    step_requests(daemon, requests::tick{});
    advance_fencing(daemon);
    check_quiesced(daemon);
  }
}

void cell::deliver(std::size_t index) {
  message delivered = std::move(network_[index]);
  network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  if (is_delayed(delivered)) {
    network_.push_back(std::move(delivered));
    return;
  }
  std::visit([this](const auto& each) { receive(each); }, delivered);
}

// The sender stops waiting for the reply to a start. The start may still
// arrive.
void cell::time_out_start(std::size_t index) {
  const auto* start = std::get_if<start_message>(&network_[index]);
  if (start == nullptr) return;
  fake_daemon* daemon = find_process(start->from);
  if (daemon == nullptr || daemon->frozen) return;
  job::attempt_key key = job::from_wire(start->task.key());
  if (daemon->pending_starts.erase(key) == 0) return;
  add_trace("timeout for the start of " + key.request_id);
  if (injected_ == fault::lost_reply_is_rejection) {
    step_requests(*daemon, requests::start_answered{key, wire::rejected});
  } else {
    step_requests(*daemon, requests::start_unanswered{key});
  }
}

// Returns the first daemon, from `first` on and wrapping around, that is alive,
// not frozen and meets the predicate `accepts`; null if there is none.
template <typename Wanted>
fake_daemon* cell::find_active_daemon(int first, Wanted&& accepts) {
  for (int i = 0; i < kDaemonCount; ++i) {
    fake_daemon& daemon = daemons_[(first + i) % kDaemonCount];
    if (daemon.alive && !daemon.frozen && accepts(daemon)) return &daemon;
  }
  return nullptr;
}

void cell::submit(int daemon_index, int id) {
  job::request request = make_request(id, now_);
  fake_daemon* found =
      find_active_daemon(daemon_index, [&](const fake_daemon& each) {
        return ownership::serving_epoch(each.ownership, request.home) != 0;
      });
  if (found == nullptr) return;
  fake_daemon& daemon = *found;
  job::epoch epoch = ownership::serving_epoch(daemon.ownership, request.home);
  std::uint64_t token = next_token_++;
  submissions_[token] = {request.id, false, false};
  add_trace("submit " + request.id + " to d" +
            std::to_string(daemon.id.daemon) + " as " + std::to_string(token));
  step_requests(daemon, requests::submitted{request, {"", token, true}, epoch});
}

void cell::cancel(int daemon_index, int id) {
  fake_daemon& daemon = daemons_[daemon_index];
  if (!daemon.alive || daemon.frozen) return;
  job::request request = make_request(id, now_);
  if (ownership::serving_epoch(daemon.ownership, request.home) == 0) return;
  add_trace("cancel " + request.id + " at d" + std::to_string(daemon_index));
  step_requests(daemon,
                requests::cancelled{request.id, {"", next_token_++, true}});
}

void cell::place(int daemon_index) {
  fake_daemon* found = find_active_daemon(
      daemon_index,
      [](const fake_daemon& each) { return !each.queue.empty(); });
  if (found == nullptr) return;
  fake_daemon& daemon = *found;
  queued_task task = daemon.queue.front();
  daemon.queue.pop_front();
  daemon.queue.push_back(task);
  job::epoch epoch = ownership::serving_epoch(daemon.ownership, task.home);
  if (epoch == 0) return;
  for (int worker = 0; worker < kWorkerCount; ++worker) {
    if (shard_of_worker(worker) != task.home) continue;
    if (daemon.used_slots[worker] >= kSlotsPerWorker) continue;
    auto fencing = daemon.fencing.find(task.home.shard);
    if (fencing != daemon.fencing.end() &&
        fencing->second.pending_workers.count(worker) > 0) {
      continue;
    }
    ++daemon.used_slots[worker];
    daemon.queue.pop_back();
    add_trace("place " + task.id + " on w" + std::to_string(worker) + " by d" +
              std::to_string(daemon.id.daemon));
    step_requests(daemon, requests::placed{task.id, task.task_index,
                                           worker_name(worker), epoch});
    return;
  }
}

void cell::end_task(std::uint32_t choice, wire::task_end end) {
  int index = static_cast<int>(choice % kWorkerCount);
  fake_worker& worker = workers_[index];
  std::vector<job::attempt_key> running;
  for (const auto& [key, task] : worker.tasks) {
    if (task.record.end() == wire::task_end_unspecified) running.push_back(key);
  }
  if (running.empty()) return;
  const job::attempt_key& key = running[choice / kWorkerCount % running.size()];
  worker.tasks[key].record.set_end(end);
  add_trace("w" + std::to_string(index) + " ends " + key.request_id);
  network_.push_back(request_event{
      worker.owner,
      requests::task_ended{key, end, 0, key.request_id, worker_name(index)}});
}

run_result run_schedule(const schedule& steps, fault injected,
                        bool with_trace) {
  cell cell(injected, with_trace);
  for (std::uint32_t code : steps) {
    cell.apply_action(code);
    if (cell.has_failed()) break;
  }
  return cell.result();
}

}  // namespace ebonygrade::faults
