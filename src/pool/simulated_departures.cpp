#include "pool/simulated_departures.h"

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <utility>

#include "pool/simulated_cell.h"

namespace ebonygrade::pool {

namespace {

constexpr milliseconds kHeartbeat{1500};
constexpr milliseconds kDrainTime{2500};
constexpr milliseconds kExpiry = 3 * kHeartbeat;
constexpr milliseconds kExpireEvery{100};
constexpr milliseconds kReadEvery{100};
constexpr milliseconds kReadRetry{300};
constexpr milliseconds kStoreRetry{100};
constexpr milliseconds kPollRetry{200};
constexpr milliseconds kLongestCutService{10000};
// A call that takes longer was held up by the network.
constexpr milliseconds kLongestDelivery{40};

milliseconds time_between(steady_time from, steady_time to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

}  // namespace

// ---- State ------------------------------------------------------------------

simulated_departures::simulated_departures(const departure_options& options,
                                           std::uint64_t seed)
    : options_(options),
      random_(static_cast<std::mt19937::result_type>(seed * 104729 + 31)) {}

milliseconds simulated_departures::draw(std::int64_t low, std::int64_t high) {
  std::uniform_int_distribution<std::int64_t> draw(low, high);
  return milliseconds(draw(random_));
}

milliseconds simulated_departures::draw_interval(milliseconds average) {
  return draw(average.count() / 2, average.count() * 3 / 2);
}

bool simulated_departures::chance(double share) {
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(random_) < share;
}

milliseconds simulated_departures::draw_read_time() {
  milliseconds time = draw(1, 20);
  if (options_.slowest_read.count() > 0 && chance(0.1)) {
    time += draw(0, options_.slowest_read.count());
  }
  return time;
}

void simulated_departures::write(const worker_entry& entry, steady_time now) {
  listed_[entry.id] = {entry, now, true};
  records_.push_back({entry.id, false, entry});
}

void simulated_departures::remove(const std::string& worker) {
  if (listed_.erase(worker) > 0) records_.push_back({worker, true, {}});
}

void simulated_departures::spoil(const std::string& worker) {
  std::map<std::string, listing>::iterator found = listed_.find(worker);
  if (found == listed_.end()) return;
  found->second.readable = false;
  records_.push_back({worker, false, {}});
}

void simulated_departures::expire(steady_time now) {
  if (store_is_down(now) && !expires_while_down_) return;
  std::vector<std::string> expired;
  for (const std::pair<const std::string, listing>& each : listed_) {
    if (now - each.second.accepted >= kExpiry) expired.push_back(each.first);
  }
  for (const std::string& each : expired) remove(each);
}

std::vector<worker_entry> simulated_departures::entries() const {
  std::vector<worker_entry> entries;
  for (const std::pair<const std::string, listing>& each : listed_) {
    if (each.second.readable) entries.push_back(each.second.entry);
  }
  return entries;
}

void simulated_departures::begin_outage(steady_time now, milliseconds time) {
  down_until_ = now + time;
  expires_while_down_ = chance(0.5);
}

bool simulated_departures::accept_drain(const worker_entry& entry,
                                        steady_time now) {
  if (!entry.draining) return false;
  drain& known = drains_[entry.id];
  if (known.incarnation_ms == entry.incarnation_ms) return false;
  known = {entry.incarnation_ms, now};
  return true;
}

void simulated_departures::draw_cut(const std::string& worker,
                                    steady_time now) {
  cut_off cut;
  cut.begin = now + draw(0, 6000);
  cut.end = cut.begin + draw(1000, 12000);
  std::int64_t from = draw(0, 3).count();
  cut.from_owner = from != 0;
  cut.from_store = from != 1;
  cut.refuses = chance(0.6);
  cuts_[worker] = cut;
}

const simulated_departures::cut_off* simulated_departures::cut_of(
    const std::string& worker, steady_time now) const {
  std::map<std::string, cut_off>::const_iterator found = cuts_.find(worker);
  bool cut = found != cuts_.end() && found->second.begin <= now &&
             now < found->second.end;
  return cut ? &found->second : nullptr;
}

std::vector<std::string> simulated_departures::draining() const {
  std::vector<std::string> ids;
  for (const std::pair<const std::string, listing>& each : listed_) {
    if (each.second.entry.draining) ids.push_back(each.first);
  }
  return ids;
}

void simulated_departures::record_exit(const std::string& worker,
                                       const std::vector<task_key>& members,
                                       steady_time now) {
  drains_.erase(worker);
  for (const task_key& each : members) {
    waiting_[{each.job, each.occurrence, each.step}] = now;
  }
}

void simulated_departures::observe_start(const worker_entry& worker,
                                         const task_key& task, steady_time sent,
                                         steady_time now, ledger* ledger) {
  std::map<gang, steady_time>::iterator waited =
      waiting_.find({task.job, task.occurrence, task.step});
  if (waited != waiting_.end()) {
    ++gangs_restarted_;
    longest_wait_ = std::max(longest_wait_, time_between(waited->second, now));
    waiting_.erase(waited);
  }
  std::map<std::string, drain>::const_iterator drain = drains_.find(worker.id);
  if (drain == drains_.end()) return;
  if (drain->second.incarnation_ms != worker.incarnation_ms) return;
  steady_time begun = std::min(now, sent + kLongestDelivery);
  if (begun - drain->second.accepted <= kDrainTime) return;
  ledger->report_violation(
      "started on a draining worker: " + task.job + " on " + worker.id +
      " after " +
      std::to_string(time_between(drain->second.accepted, begun).count()) +
      " ms");
}

// ---- Cell -------------------------------------------------------------------

void simulated_cell::begin_departures() {
  const departure_options& options = options_.departures;
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    departures_.write(each.second->entry(), now_);
    beat(each.first);
  }
  expire_entries();
  repeat_departures(options.every, [this] { drain_one(); });
  repeat_departures(options.reset_every, [this] { reset_one(); });
  repeat_departures(options.outage_every, [this] {
    milliseconds time = departures_.draw(1000, 8000);
    departures_.begin_outage(now_, time);
    journal_down_until_ = now_ + time;
  });
  repeat_departures(options.spoilt_every, [this] {
    std::vector<std::string> draining = departures_.draining();
    if (draining.empty() || departures_.store_is_down(now_)) return;
    departures_.spoil(draining[static_cast<std::size_t>(
        departures_.draw(0, std::ssize(draining) - 1).count())]);
  });
}

void simulated_cell::repeat_departures(milliseconds every, event what) {
  if (every.count() == 0) return;
  at(departures_.draw_interval(every), [this, every, what = std::move(what)] {
    if (!faulty()) return;
    what();
    repeat_departures(every, what);
  });
}

void simulated_cell::expire_entries() {
  departures_.expire(now_);
  at(kExpireEvery, [this] { expire_entries(); });
}

void simulated_cell::beat(const std::string& worker) {
  at(departures_.draw(kHeartbeat.count() - 100, kHeartbeat.count()),
     [this, worker] {
       if (gone_.count(worker) > 0) return;
       write_entry(worker);
       beat(worker);
     });
}

void simulated_cell::write_entry(const std::string& worker) {
  bool held_up = faulty() && departures_.chance(0.05);
  at(departures_.draw(5, held_up ? 1000 : 60), [this, worker] {
    if (workers_[worker]->is_down(now_) || departures_.store_is_down(now_)) {
      return;
    }
    const simulated_departures::cut_off* cut = cut_of(worker);
    if (cut != nullptr && cut->from_store) return;
    worker_entry entry = workers_[worker]->entry();
    departures_.write(entry, now_);
    if (!departures_.accept_drain(entry, now_)) return;
    bool is_cut = departures_.chance(options_.departures.cut_share);
    if (is_cut) departures_.draw_cut(worker, now_);
    milliseconds longest =
        is_cut ? kLongestCutService : options_.departures.longest_service;
    at(kDrainTime + departures_.draw(0, longest.count()),
       [this, worker, incarnation = entry.incarnation_ms] {
         exit_worker(worker, incarnation);
       });
  });
}

void simulated_cell::drain_one() {
  std::vector<std::string> serving;
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    bool serves = !each.second->is_down(now_) &&
                  !each.second->entry().draining &&
                  departures_.is_listed(each.first);
    if (serves) serving.push_back(each.first);
  }
  if (serving.size() < 2) return;
  const std::string& id = serving[static_cast<std::size_t>(
      departures_.draw(0, std::ssize(serving) - 1).count())];
  workers_[id]->drain();
  write_entry(id);
}

void simulated_cell::reset_one() {
  std::vector<std::string> draining = departures_.draining();
  if (draining.empty()) return;
  const std::string& id = draining[static_cast<std::size_t>(
      departures_.draw(0, std::ssize(draining) - 1).count())];
  arrive(owner_, [this, owner = owner_, id] {
    owner->answered_by[id] = 0;
    observe_contact_lost(&owner->state, id, time_of(*owner));
  });
}

void simulated_cell::exit_worker(const std::string& id,
                                 std::int64_t incarnation_ms) {
  simulated_worker* worker = workers_[id].get();
  worker->tick(now_);
  // It has crashed meanwhile.
  if (worker->incarnation_ms() != incarnation_ms) return;
  ++reached_.departures;
  std::vector<task_key> members;
  if (cut_of(id) == nullptr) members = worker->gang_members();
  reached_.unread_ends += worker->unread_ends();
  departures_.record_exit(id, members, now_);
  worker->leave(now_);
  if (cut_of(id) == nullptr || !cut_of(id)->from_store) {
    at(departures_.draw(0, 300),
       [this, id, incarnation_ms] { withdraw_entry(id, incarnation_ms + 1); });
  }
  if (departures_.chance(options_.departures.return_share)) {
    at(departures_.draw(500, 8000), [this, id] {
      ++reached_.returns;
      workers_[id]->come_back(now_);
      announced_[id] = workers_[id]->incarnation_ms();
      write_entry(id);
    });
    return;
  }
  gone_.insert(id);
  at(departures_.draw(0, 1000), [this] { join_worker(); });
}

void simulated_cell::withdraw_entry(const std::string& id,
                                    std::int64_t incarnation_ms) {
  // It is back, or its entry has expired.
  if (!workers_[id]->is_down(now_) ||
      workers_[id]->incarnation_ms() != incarnation_ms) {
    return;
  }
  if (!departures_.store_is_down(now_)) return departures_.remove(id);
  at(kStoreRetry,
     [this, id, incarnation_ms] { withdraw_entry(id, incarnation_ms); });
}

void simulated_cell::join_worker() {
  std::string id = "n" + std::to_string(workers_.size());
  workers_[id] = std::make_unique<simulated_worker>(
      id, workers_.begin()->second->capacity(), behaviour_, &ledger_, &gangs_,
      options_.seed + workers_.size());
  announced_[id] = workers_[id]->incarnation_ms();
  write_entry(id);
  beat(id);
}

const simulated_departures::cut_off* simulated_cell::cut_of(
    const std::string& worker) const {
  return faulty() ? departures_.cut_of(worker, now_) : nullptr;
}

bool simulated_cell::meets_cut(const std::shared_ptr<owner>& owner,
                               const std::string& worker, event unanswered,
                               milliseconds timeout) {
  const simulated_departures::cut_off* cut = cut_of(worker);
  if (cut == nullptr || !cut->from_owner) return false;
  if (cut->refuses) {
    lose_contact(owner, worker, std::move(unanswered));
  } else {
    after(timeout, owner, std::move(unanswered));
  }
  return true;
}

void simulated_cell::lose_contact(const std::shared_ptr<owner>& owner,
                                  const std::string& worker, event then) {
  arrive_in(departures_.draw(1, 40), owner,
            [this, owner, worker, then = std::move(then)] {
              observe_contact_lost(&owner->state, worker, time_of(*owner));
              after(kPollRetry, owner, then);
            });
}

void simulated_cell::load_directory(const std::shared_ptr<owner>& owner) {
  for (const worker_entry& each : departures_.entries()) {
    if (observe_worker_entry(&owner->state, each, time_of(*owner))) {
      open_link(owner, each.id);
    }
  }
  owner->entries_read = departures_.records().size();
  owner->directory_ended_at = time_of(*owner);
  if (!departures_.has_fault(departure_fault::copy_taken_as_current)) {
    observe_directory_read(&owner->state, time_of(*owner));
  }
  read_directory(owner);
}

void simulated_cell::read_directory(std::shared_ptr<owner> owner) {
  if (!owner->alive || owner->state.superseded) return;
  steady_time sent = time_of(*owner);
  event retry = [this, owner] { read_directory(owner); };
  if (is_cut(owner->journal_cuts.calls)) return after(kReadRetry, owner, retry);
  at(departures_.draw_read_time(), [this, owner, sent, retry] {
    if (departures_.store_is_down(now_) ||
        is_cut(owner->journal_cuts.replies)) {
      return after(kReadRetry, owner, retry);
    }
    std::size_t end = departures_.records().size();
    arrive_in(departures_.draw_read_time(), owner, [this, owner, sent, end] {
      observe_directory(owner, sent, end);
      after(kReadEvery, owner, [this, owner] { read_directory(owner); });
    });
  });
}

void simulated_cell::observe_directory(const std::shared_ptr<owner>& owner,
                                       steady_time sent, std::size_t end) {
  steady_time now = time_of(*owner);
  for (; owner->entries_read < end; ++owner->entries_read) {
    const simulated_record& record = departures_.records()[owner->entries_read];
    if (!record.removed && record.entry.id.empty()) {
      observe_worker_unlisted(&owner->state, record.worker);
      continue;
    }
    if (record.removed) {
      std::unordered_map<std::string, worker>::iterator known =
          owner->state.workers.find(record.worker);
      if (departures_.has_fault(departure_fault::age_ignored) &&
          known != owner->state.workers.end()) {
        known->second.entry_written_after = now;
      }
      observe_worker_removed(&owner->state, record.worker, now);
      continue;
    }
    steady_time written_after = owner->directory_ended_at;
    if (departures_.has_fault(departure_fault::waits_for_lease)) {
      written_after = {};
    }
    if (observe_worker_entry(&owner->state, record.entry, now, written_after)) {
      open_link(owner, record.worker);
    }
  }
  owner->directory_ended_at = sent;
  if (departures_.has_fault(departure_fault::copy_taken_as_current)) return;
  observe_directory_read(&owner->state, sent);
}

void simulated_cell::open_link(const std::shared_ptr<owner>& owner,
                               const std::string& worker) {
  if (owner->links.count(worker) > 0) {
    owner->links[worker] = true;
    return;
  }
  owner->links[worker] = true;
  at(milliseconds(0), [this, owner, worker] {
    arrive(owner, [this, owner, worker] { poll(owner, worker); });
  });
}

bool simulated_cell::keeps_link(owner* owner, const std::string& worker) {
  if (!departures_.present() || owner->links[worker]) return true;
  owner->links.erase(worker);
  return false;
}

}  // namespace ebonygrade::pool
