// What the owners of a simulated cell read in the journal.
#include <memory>
#include <string>

#include "pool/simulated_cell.h"

namespace ebonygrade::pool {

namespace {

constexpr milliseconds kReadEvery{200};
constexpr milliseconds kReadTime{40};
constexpr milliseconds kLongestCalm{3000};  // Between two lags of a copy.

}  // namespace

void simulated_cell::cancel_one() {
  if (now_ < journal_down_until_) return;
  std::string id = cancellations_.choose(table_);
  if (id.empty()) return;
  ++reached_.cancellations;
  wire::job_cancellation cancellation;
  cancellation.set_accepted_ms(wall_.time_since_epoch().count());
  apply({jobs::cancellation_key(id), cancellation.SerializeAsString(), 0});
  cancellations_.acknowledge(id, now_);
}

bool simulated_cell::can_read(const owner& owner) const {
  return now_ >= owner.copy_lags_until && now_ >= journal_down_until_ &&
         !is_cut(owner.journal_cuts.calls) &&
         !is_cut(owner.journal_cuts.replies);
}

void simulated_cell::read_journal(std::shared_ptr<owner> owner) {
  if (!owner->alive || owner->state.superseded) return;
  if (can_read(*owner)) {
    steady_time sent = time_of(*owner);
    std::size_t end = cancellations_.acknowledged().size();
    arrive_in(
        cancellations_.draw(milliseconds(2), kReadTime), owner,
        [this, owner, sent, end] { observe_read(owner.get(), sent, end); });
  }
  after(kReadEvery, owner, [this, owner] { read_journal(owner); });
}

void simulated_cell::observe_read(owner* owner, steady_time sent,
                                  std::size_t end) {
  for (; owner->cancellations_read < end; ++owner->cancellations_read) {
    const std::string& id =
        cancellations_.acknowledged()[owner->cancellations_read];
    std::unordered_map<std::string, job>::const_iterator known =
        owner->state.jobs.find(id);
    bool ended =
        known == owner->state.jobs.end() || known->second.outcome != wire::OPEN;
    if (ended && owner == owner_.get()) {
      cancellations_.observe_ended_before(id);
    }
    cancel_job(&owner->state, id, wall_of(*owner));
  }
  if (cancellations_.has_fault(cancellation_fault::copy_taken_as_current)) {
    return;
  }
  observe_journal_read(&owner->state, sent);
}

void simulated_cell::observe_unread_ends() {
  const std::vector<std::string>& acknowledged = cancellations_.acknowledged();
  for (std::size_t i = owner_->cancellations_read; i < acknowledged.size();
       ++i) {
    if (ended_.count(acknowledged[i]) > 0) {
      cancellations_.observe_ended_before(acknowledged[i]);
    }
  }
}

void simulated_cell::cancel_known(owner* owner) {
  owner->cancellations_read = cancellations_.acknowledged().size();
  if (cancellations_.has_fault(cancellation_fault::forgotten_at_takeover)) {
    return;
  }
  for (const std::pair<const std::string, jobs::entry>& each : table_.jobs) {
    if (each.second.cancelled) {
      cancel_job(&owner->state, each.first, wall_of(*owner));
    }
  }
}

void simulated_cell::lag_copy() {
  milliseconds lag = cancellations_.draw_lag();
  owner_->copy_lags_until = now_ + lag;
  at(lag + cancellations_.draw(milliseconds(0), kLongestCalm), [this] {
    if (faulty()) lag_copy();
  });
}

void simulated_cell::check_cancelled_runs() {
  bool taken_over = std::exchange(checked_epoch_, epoch_) != epoch_;
  bool reads = can_read(*owner_);
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    std::vector<std::pair<task_key, std::uint32_t>> runs =
        each.second->active_runs();
    if (runs.empty()) continue;
    const link_cuts& cuts = owner_->worker_cuts[each.first];
    bool cut = is_cut(cuts.calls) || is_cut(cuts.replies);
    for (const std::pair<task_key, std::uint32_t>& run : runs) {
      bool unread = !reads && !cancellations_.is_known(
                                  run.first.job, owner_->cancellations_read);
      cancellations_.check_run(each.first, run.first, run.second,
                               taken_over || owner_->paused || cut || unread,
                               now_, &ledger_);
    }
  }
  cancellations_.finish_checks();
}

}  // namespace ebonygrade::pool
