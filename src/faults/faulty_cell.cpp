#include "faults/faulty_cell.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "faults/cell_pvt.h"

namespace ebonygrade::faults {

namespace {

// Actions by weight: the code's remainder picks one.
enum class action {
  deliver,
  time_out,
  duplicate,
  lose,
  deliver_oldest,  // Several.
  part_from_worker,
  join_workers,
  cut_off,
  join,
  give_up_fences,  // Serve although workers have not answered for a lease.
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
  log_return,
  delay_intents,
  pass_intents,
  drain,
};

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
    action::time_out,
    action::lose,
    action::duplicate,
    action::cancel,
    action::expire_lease,
    action::freeze,
    action::thaw,
    action::kill,
    action::restart,
    action::restart,
    action::log_outage,
    action::log_return,
    action::part_from_worker,
    action::part_from_worker,
    action::join_workers,
    action::delay_intents,
    action::delay_intents,
    action::pass_intents,
    action::cut_off,
    action::join,
    action::give_up_fences,
    action::give_up_fences,

    action::log_return,
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
constexpr std::size_t kMaxInFlight = 64;
constexpr std::uint32_t kMaxBurst = 16;
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
      truth_(ownership::make_claim_table({kRegion}, kShards)),
      daemons_(kDaemons),
      workers_(kWorkers) {
  for (int i = 0; i < kDaemons; ++i) {
    start_daemon(i);
  }
  for (int i = 0; i < 6; ++i) {
    tick(kShortTick);
    while (!network_.empty()) {
      deliver(0);
    }
  }
}

bool cell::is_blocked(const message& input) {
  auto parted = [this](const auto& each) {
    return daemons_[each.from.daemon].unreachable.count(each.worker) > 0;
  };
  if (const auto* fence = std::get_if<fence_message>(&input)) {
    return parted(*fence);
  }
  if (const auto* start = std::get_if<start_message>(&input)) {
    return parted(*start);
  }
  if (std::holds_alternative<intent_message>(input)) return intents_delayed_;
  const auto* stop = std::get_if<stop_message>(&input);
  return stop != nullptr && parted(*stop);
}

void cell::act(std::uint32_t code) {
  action chosen = kActions[code % std::size(kActions)];
  std::uint32_t rest = code / static_cast<std::uint32_t>(std::size(kActions));
  int daemon = static_cast<int>(rest % kDaemons);
  std::uint32_t more = rest / kDaemons;
  fake_daemon& at = daemons_[daemon];
  switch (chosen) {
    case action::deliver:
      if (!network_.empty()) deliver(rest % network_.size());
      return;
    case action::deliver_oldest:
      for (std::uint32_t i = 0; i < rest % kMaxBurst; ++i) {
        if (!network_.empty()) deliver(0);
      }
      return;
    case action::time_out:
      if (!network_.empty()) time_out(rest % network_.size());
      return;
    case action::duplicate:
      if (network_.empty() || network_.size() >= kMaxInFlight) return;
      network_.push_back(network_[rest % network_.size()]);
      return;
    case action::lose:
      if (network_.empty()) return;
      time_out(rest % network_.size());
      // A worker's events are read by offset and not lost.
      if (std::holds_alternative<request_event>(
              network_[rest % network_.size()])) {
        return;
      }
      network_.erase(network_.begin() + rest % network_.size());
      return;
    case action::tick:
      tick(rest % 8 == 0 ? kLongTick : kShortTick);
      return;
    case action::place:
      place(daemon);
      return;
    case action::submit:
      submit(daemon, static_cast<int>(more % kRequestIds));
      return;
    case action::cancel:
      cancel(daemon, static_cast<int>(more % kRequestIds));
      return;
    case action::complete:
      end_task(rest, wire::completed);
      return;
    case action::expire_lease:
      end_task(rest, wire::lease_expired);
      return;
    case action::freeze:
      silence(at, &fake_daemon::frozen);
      note("freeze d" + std::to_string(daemon));
      return;
    case action::part_from_worker:
      at.unreachable.insert(static_cast<int>(more % kWorkers));
      note("part d" + std::to_string(daemon) + " from w" +
           std::to_string(more % kWorkers));
      return;
    case action::join_workers:
      at.unreachable.clear();
      return;
    case action::cut_off:
      silence(at, &fake_daemon::cut_off);
      note("cut off d" + std::to_string(daemon));
      return;
    case action::join:
      at.cut_off = false;
      note("join d" + std::to_string(daemon));
      return;
    case action::thaw:
      at.frozen = false;
      note("thaw d" + std::to_string(daemon));
      return;
    case action::kill:
      if (at.alive) silence(at, &fake_daemon::frozen);
      at.alive = false;
      note("kill d" + std::to_string(daemon));
      return;
    case action::restart:
      if (!at.alive && log_up_) start_daemon(daemon);
      return;
    case action::log_outage:
      log_up_ = false;
      note("log down");
      return;
    case action::delay_intents:
      intents_delayed_ = true;
      return;
    case action::pass_intents:
      intents_delayed_ = false;
      return;
    case action::log_return:
      log_up_ = true;
      note("log up");
      return;
    case action::give_up_fences:
      give_up_fences(daemon);
      return;
    case action::drain:
      if (more % kDrainOneIn == 0 && at.alive && !at.frozen)
        own(at, ownership::drain{});
      return;
  }
}

run_result cell::result() const { return {violation_, counts_, trace_}; }

void cell::silence(fake_daemon& at, bool fake_daemon::*cause) {
  if (!at.frozen && !at.cut_off) at.silent_since = now_;
  at.*cause = true;
}

void cell::note(const std::string& text) {
  if (with_trace_) trace_.push_back(text);
}

void cell::start_daemon(int index) {
  note("start d" + std::to_string(index));
  fake_daemon fresh;
  fresh.id = {index, daemons_[index].id.incarnation + 1};
  fresh.started = now_;
  ownership::ownership_options options;
  options.handover_after = milliseconds(5000);
  options.self = "d" + std::to_string(index);
  options.incarnation = fresh.id.incarnation;
  fresh.ownership = ownership::make_state(
      options, ownership::make_claim_table({kRegion}, kShards));
  daemons_[index] = std::move(fresh);
  read_claims(daemons_[index]);
  own(daemons_[index], ownership::caught_up{});
}

void cell::tick(milliseconds by) {
  now_ += by;
  note("tick " + std::to_string(by.count()) + " ms");
  for (fake_daemon& at : daemons_) {
    if (!at.alive || at.frozen) continue;
    if (log_up_ && !at.cut_off) read_claims(at);
    own(at, ownership::tick{members()});
    handle(at, requests::tick{});
    finish_fencing(at);
    check_quiesced(at);
  }
}

void cell::deliver(std::size_t index) {
  message taken = std::move(network_[index]);
  network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  if (is_blocked(taken)) {
    network_.push_back(std::move(taken));
    return;
  }
  std::visit([this](const auto& each) { receive(each); }, taken);
}

// The sender gives up waiting; the message may still arrive.
void cell::time_out(std::size_t index) {
  const auto* start = std::get_if<start_message>(&network_[index]);
  if (start == nullptr) return;
  fake_daemon* at = find(start->from);
  if (at == nullptr || at->frozen) return;
  job::attempt_key key = job::from_wire(start->task.key());
  if (at->unanswered.erase(key) == 0) return;
  note("no answer to the start of " + key.request_id);
  if (injected_ == fault::unanswered_is_rejected) {
    handle(*at, requests::start_answered{key, wire::rejected});
  } else {
    handle(*at, requests::start_unanswered{key});
  }
}

// The first daemon from `first` on that may act and that `wanted` accepts, or
// null.
template <typename Wanted>
fake_daemon* cell::pick(int first, Wanted&& wanted) {
  for (int i = 0; i < kDaemons; ++i) {
    fake_daemon& at = daemons_[(first + i) % kDaemons];
    if (at.alive && !at.frozen && wanted(at)) return &at;
  }
  return nullptr;
}

void cell::submit(int daemon, int id) {
  job::request request = make_request(id, now_);
  fake_daemon* found = pick(daemon, [&](const fake_daemon& each) {
    return ownership::serving_epoch(each.ownership, request.home) != 0;
  });
  if (found == nullptr) return;
  fake_daemon& at = *found;
  job::epoch epoch = ownership::serving_epoch(at.ownership, request.home);
  std::uint64_t token = next_token_++;
  submissions_[token] = {request.id, false, false};
  note("submit " + request.id + " to d" + std::to_string(at.id.daemon) +
       " as " + std::to_string(token));
  handle(at, requests::submitted{request, {"", token, true}, epoch});
}

void cell::cancel(int daemon, int id) {
  fake_daemon& at = daemons_[daemon];
  if (!at.alive || at.frozen) return;
  job::request request = make_request(id, now_);
  if (ownership::serving_epoch(at.ownership, request.home) == 0) return;
  note("cancel " + request.id + " at d" + std::to_string(daemon));
  handle(at, requests::cancelled{request.id, {"", next_token_++, true}});
}

void cell::place(int daemon) {
  fake_daemon* found =
      pick(daemon, [](const fake_daemon& each) { return !each.queue.empty(); });
  if (found == nullptr) return;
  fake_daemon& at = *found;
  waiting_task task = at.queue.front();
  at.queue.pop_front();
  at.queue.push_back(task);
  job::epoch epoch = ownership::serving_epoch(at.ownership, task.home);
  if (epoch == 0) return;
  for (int worker = 0; worker < kWorkers; ++worker) {
    if (shard_of_worker(worker) != task.home) continue;
    if (at.used[worker] >= kSlots) continue;
    auto fencing = at.fencing.find(task.home.shard);
    if (fencing != at.fencing.end() &&
        fencing->second.unanswered.count(worker) > 0) {
      continue;
    }
    ++at.used[worker];
    at.queue.pop_back();
    note("place " + task.id + " on w" + std::to_string(worker) + " by d" +
         std::to_string(at.id.daemon));
    handle(at, requests::placed{task.id, task.task_index, worker_name(worker),
                                epoch});
    return;
  }
}

void cell::end_task(std::uint32_t choice, wire::task_end end) {
  int index = static_cast<int>(choice % kWorkers);
  fake_worker& worker = workers_[index];
  std::vector<job::attempt_key> running;
  for (const auto& [key, task] : worker.tasks) {
    if (task.record.end() == wire::task_end_unspecified) running.push_back(key);
  }
  if (running.empty()) return;
  const job::attempt_key& key = running[choice / kWorkers % running.size()];
  worker.tasks[key].record.set_end(end);
  note("w" + std::to_string(index) + " ends " + key.request_id);
  network_.push_back(request_event{
      worker.owner,
      requests::task_ended{key, end, 0, key.request_id, worker_name(index)}});
}

run_result run_schedule(const schedule& steps, fault injected,
                        bool with_trace) {
  cell cell(injected, with_trace);
  for (std::uint32_t code : steps) {
    cell.act(code);
    if (cell.has_failed()) break;
  }
  return cell.result();
}

}  // namespace ebonygrade::faults
