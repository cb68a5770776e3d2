// Callers' records at the owner: which are accepted, and which are refused as
// the store is slow.
#include <algorithm>
#include <iterator>
#include <utility>

#include "events/events.h"
#include "poold/append_pacing.h"
#include "poold/owner.h"

namespace ebonygrade::poold {

namespace {

// Callers' records in one append, which also limits its time on a slow store. A
// larger record is sent alone.
constexpr std::size_t kMaxCallerBytes = 1 << 20;
// Limits the rate of log lines about refused callers.
constexpr milliseconds kRefusalLogInterval{1000};
// An append that the store rejects for longer is stalled, and callers get a
// 503. Bridges a restart of the store.
constexpr milliseconds kStallTimeout{350};

}  // namespace

bool owner::journal_reachable() const {
  return confirms_journal(
      store_.pace(),
      {journal_->begun(), last_write_, pool_.last_journal_write,
       !journal_->idle() && !journal_->is_rejected(), journal_->state()},
      clock_.now());
}

std::chrono::seconds owner::retry_after() const {
  return poold::retry_after(journal_->predicted());
}

void owner::write(jobs::record record, write_handler handler,
                  bool maybe_stored) {
  if (!admission_ || stopped_ || releasing_ ||
      !is_acceptable(milliseconds(0))) {
    return queue_write(std::move(record), std::move(handler));
  }
  admission_->offer(
      record, maybe_stored, clock_.now(), wall_now(),
      [this, record, handler](std::optional<std::chrono::seconds> retry_after) {
        if (retry_after) return handler({owner_reply::rejected, *retry_after});
        queue_write(record, handler);
      });
}

void owner::on_journal_read(steady_time current_as_of) {
  journal_current_as_of_ = current_as_of;
  pool::observe_journal_read(&pool_, current_as_of);
  if (!admission_ || stopped_) return;
  admission_->settle(current_as_of, clock_.now(), wall_now());
}

void owner::queue_write(jobs::record record, write_handler handler) {
  if (stopped_ || releasing_) return handler(owner_reply::refused);
  caller_write made{std::move(record), std::move(handler), clock_.now()};
  // The record may have to wait behind an append that makes no progress.
  if (!is_acceptable(milliseconds(0))) return refuse(std::move(made));
  caller_writes_.push_back(std::move(made));
  schedule_flush();
}

std::vector<owner::caller_write> owner::take_callers() {
  std::size_t bytes = 0;
  std::vector<caller_write>::iterator end = caller_writes_.begin();
  for (; end != caller_writes_.end(); ++end) {
    bytes += end->record.key.size() + end->record.value.size();
    if (end != caller_writes_.begin() && bytes > kMaxCallerBytes) break;
  }
  std::vector<caller_write> taken(
      std::make_move_iterator(caller_writes_.begin()),
      std::make_move_iterator(end));
  caller_writes_.erase(caller_writes_.begin(), end);
  return taken;
}

bool owner::is_acceptable(milliseconds waited) const {
  if (journal_->is_rejected() && clock_.now() - last_flush_ > kStallTimeout) {
    return false;
  }
  return journal_->state() != store_state::silent &&
         is_in_time(waited, journal_->predicted());
}

void owner::refuse(caller_write refused) {
  ++refused_writes_;
  steady_time now = clock_.now();
  if (now - refusal_logged_ >= kRefusalLogInterval) {
    refusal_logged_ = now;
    events::emit(
        events::id::append_delayed, "refuse", "",
        "epoch={} state={} predicted_ms={} waited_ms={} refused={}", epoch_,
        static_cast<int>(journal_->state()), journal_->predicted().count(),
        std::chrono::duration_cast<milliseconds>(now - last_flush_).count(),
        refused_writes_);
  }
  refused.handler(owner_reply::unavailable);
}

void owner::refuse_late_callers() {
  steady_time now = clock_.now();
  for (caller_write& each : std::exchange(caller_writes_, {})) {
    milliseconds waited =
        std::chrono::duration_cast<milliseconds>(now - each.arrived);
    if (is_acceptable(std::max(waited, milliseconds(1)))) {
      caller_writes_.push_back(std::move(each));
    } else {
      refuse(std::move(each));
    }
  }
}

void owner::fail_queued_callers(owner_reply reply) {
  for (const caller_write& each : std::exchange(caller_writes_, {})) {
    each.handler(reply);
  }
}

}  // namespace ebonygrade::poold
