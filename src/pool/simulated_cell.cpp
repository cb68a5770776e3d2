#include "pool/simulated_cell.h"

#include <algorithm>
#include <utility>

#include "pool/recorded_leases.h"

namespace ebonygrade::pool {

namespace {

constexpr char kQueue[] = "queue-a";
constexpr char kService[] = "service-a";
constexpr std::uint32_t kAttempts = 3;
constexpr milliseconds kRoundEvery{20};
constexpr milliseconds kPollEvery{150};
constexpr milliseconds kCallTimeout{600};
// Without a reset, a poll waits for its own time as well.
constexpr milliseconds kSilentCallTimeout{1700};
constexpr milliseconds kOutage{3000};
constexpr milliseconds kLease{6000};
constexpr milliseconds kAppendTimeout{200};
constexpr milliseconds kTakeoverDelay{2000};
constexpr double kSlowClock = 0.98;
constexpr milliseconds kOccurrenceInterval{250};
constexpr resources kCapacity{4000, 4000, 0};

wire::step_definition make_step(std::uint32_t count, std::uint32_t cpu_milli,
                                bool gang) {
  wire::step_definition step;
  step.set_count(count);
  step.set_cpu_milli(cpu_milli);
  step.set_memory_mb(100);
  step.set_estimate_ms(1000);
  step.set_gang(gang);
  return step;
}

}  // namespace

situations operator+(const situations& a, const situations& b) {
  return {a.woken_superseded + b.woken_superseded,
          a.superseded_extensions + b.superseded_extensions,
          a.superseded_starts + b.superseded_starts,
          a.confirmed_late + b.confirmed_late,
          a.leases_passed + b.leases_passed,
          a.silent_restarts + b.silent_restarts,
          a.jumps + b.jumps,
          a.resubmitted_after_end + b.resubmitted_after_end,
          a.accepted_again + b.accepted_again,
          a.deadly_crashes + b.deadly_crashes,
          a.deadly_given_up + b.deadly_given_up,
          a.sound_given_up + b.sound_given_up,
          a.resizes + b.resizes,
          a.held_rounds + b.held_rounds,
          a.cancellations + b.cancellations,
          a.cancelled_starts + b.cancelled_starts,
          a.cancelled_runs + b.cancelled_runs,
          a.outdated_rounds + b.outdated_rounds,
          a.departures + b.departures,
          a.returns + b.returns,
          a.unread_ends + b.unread_ends,
          a.departed_runs + b.departed_runs,
          a.departed_active + b.departed_active,
          a.departed_gangs + b.departed_gangs,
          std::max(a.longest_gang_wait, b.longest_gang_wait),
          a.releases + b.releases,
          a.known_leases + b.known_leases,
          a.recorded_leases + b.recorded_leases,
          a.deleted_leases + b.deleted_leases};
}

simulated_cell::simulated_cell(const cell_options& options)
    : options_(options),
      random_(static_cast<std::mt19937::result_type>(options.seed)),
      lapse_random_(static_cast<std::mt19937::result_type>(~options.seed)),
      tenants_(options.tenants),
      cancellations_(options.cancellations, options.seed),
      departures_(options.departures, options.seed) {
  queue_policy policy;
  policy.service = kService;
  policy.attempts = kAttempts;
  policy.stretch = 2;
  policy.target = milliseconds(1000);
  queues_[kQueue] = policy;
  behaviour_.failure_rate = options.failure_rate;
  behaviour_.task_time = options.task_time;
  behaviour_.reports_progress = options.reports_progress;
  behaviour_.ends_per_report = options.ends_per_report;
  for (std::size_t i = 0; i < options.workers; ++i) {
    std::string id = "w" + std::to_string(i);
    bool slow = options.slow_workers && i % 2 == 1;
    behaviour_.clock_rate = slow ? kSlowClock : 1;
    workers_[id] = std::make_unique<simulated_worker>(
        id, kCapacity, behaviour_, &ledger_, &gangs_, options.seed + i);
    announced_[id] = workers_[id]->incarnation_ms();
  }
  submit_jobs();
  if (departures_.present()) begin_departures();
  begin_owner(false);
  std::function<void()> claims = [this] {
    if (!faulty()) return;
    bool survives = chance(options_.surviving_owner);
    if (options_.released > 0 && lapse_chance(options_.released)) {
      release();
    } else {
      begin_owner(survives);
    }
    at(options_.takeover_every + random_delay(0, 1000), repeating_events_[0]);
  };
  std::function<void()> crashes = [this] {
    if (!faulty()) return;
    if (options_.crash_share > 0) {
      crash_many();
    } else {
      crash_one();
    }
    at(options_.crash_every, repeating_events_[1]);
  };
  std::function<void()> outages = [this] {
    if (!faulty()) return;
    journal_down_until_ = now_ + kOutage;
    at(options_.outage_every, repeating_events_[2]);
  };
  std::function<void()> lapses = [this] {
    if (!faulty()) return;
    lapse_soon();
    at(options_.lapse_every + lapse_delay(0, 5000), repeating_events_[3]);
  };
  std::function<void()> jumps = [this] {
    if (!faulty()) return;
    ++reached_.jumps;
    milliseconds jump = lapse_chance(0.5) ? lapse_delay(1000, 20000)
                                          : lapse_delay(30000, 600000);
    owner_->jumped += lapse_chance(0.5) ? jump : -jump;
    at(options_.jump_every + lapse_delay(0, 1000), repeating_events_[4]);
  };
  std::function<void()> resubmissions = [this] {
    if (!faulty()) return;
    resubmit();
    at(options_.resubmit_every, repeating_events_[5]);
  };
  std::function<void()> resizes = [this] {
    if (!faulty()) return;
    resize_one();
    at(options_.resize_every, repeating_events_[6]);
  };
  std::function<void()> quota_changes = [this] {
    if (!faulty()) return;
    change_quotas();
    at(options_.tenants.change_every, repeating_events_[7]);
  };
  std::function<void()> cancels = [this] {
    if (!faulty()) return;
    cancel_one();
    at(cancellations_.draw_interval(), repeating_events_[8]);
  };
  repeating_events_ = {claims,        crashes, outages,       lapses, jumps,
                       resubmissions, resizes, quota_changes, cancels};
  if (options.takeover_every.count() > 0) at(options.takeover_every, claims);
  if (options.crash_every.count() > 0) at(options.crash_every, crashes);
  if (options.outage_every.count() > 0) at(options.outage_every, outages);
  if (options.lapse_every.count() > 0) {
    at(lapse_delay(1000, 8000), lapses);
  }
  if (options.jump_every.count() > 0) at(options.jump_every, jumps);
  if (options.resize_every.count() > 0) at(options.resize_every, resizes);
  if (options.tenants.change_every.count() > 0) {
    at(options.tenants.change_every, quota_changes);
  }
  if (cancellations_.present()) at(cancellations_.draw_interval(), cancels);
  if (cancellations_.copies_lag()) lag_copy();
  if (options.resubmit_every.count() > 0) {
    at(options.resubmit_every, resubmissions);
  }
}

void simulated_cell::crash_one() {
  std::size_t which = random_() % workers_.size();
  simulated_worker* worker =
      std::next(workers_.begin(), static_cast<std::ptrdiff_t>(which))
          ->second.get();
  if (worker->is_down(now_)) return;
  worker->crash(now_);
  announce_restart(worker, random_delay(200, 1500));
}

void simulated_cell::crash_many() {
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    simulated_worker* worker = each.second.get();
    if (!lapse_chance(options_.crash_share) || worker->is_down(now_)) continue;
    ++reached_.silent_restarts;
    milliseconds down = lapse_delay(500, 900);
    worker->crash(now_, down);
    if (lapse_chance(0.5)) {
      draw_cuts(&owner_->worker_cuts[each.first], milliseconds(0));
    }
    announce_restart(worker, down + lapse_delay(0, 1500));
  }
}

void simulated_cell::announce_restart(simulated_worker* worker,
                                      milliseconds delay) {
  announced_[worker->entry().id] = worker->incarnation_ms();
  at(delay, [this, worker] { announce(worker->entry(), milliseconds(0)); });
}

void simulated_cell::announce(const worker_entry& entry, milliseconds delay) {
  // Heartbeats tell of it.
  if (departures_.present()) return;
  at(delay, [this, entry] {
    arrive(owner_, [this, owner = owner_, entry] {
      observe_worker_entry(&owner->state, entry, time_of(*owner));
    });
  });
}

void simulated_cell::resize_one() {
  std::map<std::string, std::unique_ptr<simulated_worker>>::iterator chosen =
      std::next(workers_.begin(),
                lapse_delay(0, std::ssize(workers_) - 1).count());
  if (chosen->second->is_down(now_)) return;
  ++reached_.resizes;
  // Not below what the largest task needs, or its job would never start.
  std::int64_t share = lapse_delay(2, 4).count();
  resources size{kCapacity.cpu_milli * share / 4,
                 kCapacity.memory_mb * share / 4, kCapacity.gpus};
  if (lapse_chance(options_.stale_entries)) {
    announce(chosen->second->entry(), lapse_delay(1500, 6000));
  }
  chosen->second->resize(size, now_);
  announce(chosen->second->entry(), lapse_delay(100, 1500));
}

void simulated_cell::change_quotas() {
  tenants_.change(now_);
  arrive(owner_, [this, owner = owner_] { tenants_.set(&owner->state); });
}

void simulated_cell::watch_crashes() {
  std::vector<std::string> crashed;
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    if (is_replaced(each.first)) continue;
    if (announced_[each.first] != each.second->incarnation_ms()) {
      crashed.push_back(each.first);
    }
  }
  for (const std::string& id : crashed) {
    ++reached_.deadly_crashes;
    simulated_worker* worker = workers_[id].get();
    announced_[id] = worker->incarnation_ms();
    if (lapse_delay(0, 1).count() == 0) {
      replace(id);
    } else {
      announce(worker->entry(), behaviour_.down_time + lapse_delay(0, 1000));
    }
  }
}

void simulated_cell::replace(const std::string& crashed) {
  workers_[crashed]->retire();
  resources capacity = workers_[crashed]->capacity();
  at(behaviour_.down_time, [this, crashed, capacity] {
    replaced_.insert(crashed);
    std::string id = crashed + "'";
    workers_[id] = std::make_unique<simulated_worker>(
        id, capacity, behaviour_, &ledger_, &gangs_, options_.seed);
    announced_[id] = workers_[id]->incarnation_ms();
    announce(workers_[id]->entry(), milliseconds(0));
    at(milliseconds(0), [this, id] {
      arrive(owner_, [this, owner = owner_, id] { poll(owner, id); });
    });
  });
}

void simulated_cell::at(milliseconds delay, event what) {
  events_.emplace(now_ + delay, std::move(what));
}

void simulated_cell::arrive(const std::shared_ptr<owner>& owner, event what) {
  if (!owner->alive) return;
  if (owner->paused) {
    owner->waiting.push_back(std::move(what));
  } else {
    what();
  }
}

void simulated_cell::arrive_in(milliseconds delay,
                               const std::shared_ptr<owner>& owner,
                               event what) {
  at(delay, [this, owner, what = std::move(what)] { arrive(owner, what); });
}

void simulated_cell::after(milliseconds delay,
                           const std::shared_ptr<owner>& owner, event what) {
  at(delay, [this, owner, what = std::move(what)] {
    if (owner->alive && owner->paused && owner->suspended) {
      owner->stopped_timers.emplace_back(
          std::chrono::duration_cast<milliseconds>(now_ - owner->paused_at),
          what);
    } else {
      arrive(owner, what);
    }
  });
}

void simulated_cell::pause(const std::shared_ptr<owner>& owner,
                           milliseconds time) {
  if (owner->paused) return;
  owner->paused = true;
  owner->suspended = options_.pause == pause_kind::suspension;
  owner->paused_at = now_;
  at(time, [this, owner] { resume(owner); });
}

void simulated_cell::resume(const std::shared_ptr<owner>& owner) {
  owner->paused = false;
  if (!owner->alive) return;
  if (owner->epoch < epoch_) ++reached_.woken_superseded;
  if (owner->suspended && !options_.clock_counts_suspension) {
    owner->uncounted +=
        std::chrono::duration_cast<milliseconds>(now_ - owner->paused_at);
  }
  for (event& each : owner->waiting) {
    arrive_in(milliseconds(0), owner, std::move(each));
  }
  for (std::pair<milliseconds, event>& each : owner->stopped_timers) {
    after(each.first, owner, std::move(each.second));
  }
  owner->waiting.clear();
  owner->stopped_timers.clear();
}

void simulated_cell::lapse_soon() {
  if (lapse_chance(0.5)) {
    lapse_at_start_ = true;
  } else {
    lapse();
  }
}

void simulated_cell::lapse() {
  std::shared_ptr<owner> owner = owner_;
  // Within a lease of 6 s, runs go on until the owner wakes.
  milliseconds time =
      lapse_chance(0.7) ? lapse_delay(3000, 6000) : lapse_delay(6000, 10000);
  bool pauses = options_.pause != pause_kind::none && lapse_chance(0.7);
  if (pauses) pause(owner, time);
  if (!pauses || lapse_chance(0.6)) {
    draw_cuts(&owner->journal_cuts, pauses ? time : milliseconds(0));
  }
  if (lapse_chance(0.5)) {
    split_workers(owner.get(), kTakeoverDelay);
  } else {
    cut_workers(owner.get(), kTakeoverDelay);
  }
  // Right after an append of the old owner is the worst time for a claim.
  milliseconds claim = lapse_chance(0.3)
                           ? lapse_delay(0, 30)
                           : kTakeoverDelay + lapse_delay(-500, 500);
  at(claim, [this, owner] {
    if (owner_ == owner) begin_owner(true);
  });
}

simulated_cell::cut simulated_cell::draw_cut(milliseconds latest) {
  steady_time begin = now_ + lapse_delay(0, latest.count());
  return {begin, begin + lapse_delay(5000, 30000)};
}

void simulated_cell::draw_cuts(link_cuts* cuts, milliseconds latest) {
  cut drawn = draw_cut(latest);
  std::int64_t direction = lapse_delay(0, 3).count();
  if (direction != 1) cuts->calls = drawn;
  if (direction != 0) cuts->replies = drawn;
}

void simulated_cell::cut_workers(owner* owner, milliseconds latest) {
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    if (!lapse_chance(options_.cut_workers)) continue;
    draw_cuts(&owner->worker_cuts[each.first], latest);
  }
}

void simulated_cell::split_workers(owner* owner, milliseconds latest) {
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    if (lapse_chance(options_.cut_workers)) {
      draw_cuts(&owner->worker_cuts[each.first], latest);
    } else {
      cut_from_next_owner_.insert(each.first);
    }
  }
}

bool simulated_cell::lapse_chance(double share) {
  std::uniform_real_distribution<double> draw(0, 1);
  return faulty() && draw(lapse_random_) < share;
}

milliseconds simulated_cell::lapse_delay(std::int64_t low, std::int64_t high) {
  std::uniform_int_distribution<std::int64_t> draw(low, high);
  return milliseconds(draw(lapse_random_));
}

bool simulated_cell::chance(double share) {
  std::uniform_real_distribution<double> draw(0, 1);
  return faulty() && draw(random_) < share;
}

milliseconds simulated_cell::random_delay(std::int64_t low, std::int64_t high) {
  std::uniform_int_distribution<std::int64_t> draw(low, high);
  return milliseconds(draw(random_));
}

bool simulated_cell::is_visible(const std::string& job) const {
  std::map<std::string, steady_time>::const_iterator ended = ended_.find(job);
  return ended == ended_.end() || now_ - ended->second < limits().status_time;
}

void simulated_cell::apply(const jobs::record& record) {
  if (record.key.starts_with(jobs::silent_worker_key(""))) {
    ++(record.value.empty() ? reached_.deleted_leases
                            : reached_.recorded_leases);
  }
  jobs::record numbered = record;
  numbered.offset = offset_++;
  std::string id = record.key.substr(1);
  bool known = jobs::find(table_, id) != nullptr;
  jobs::change change = jobs::apply(&table_, numbered);
  const jobs::entry* job = jobs::find(table_, id);
  if (job != nullptr && job->progress.outcome() != wire::OPEN) {
    ended_.try_emplace(id, now_);
  }
  if (known && job == nullptr && is_visible(id)) {
    ledger_.report_violation("deleted while it is visible: " + id);
  }
  if (change.kind != jobs::change_kind::progressed) return;
  bool started = table_.jobs[change.job].progress.started();
  if (started && !ledger_.job_started(change.job)) {
    ledger_.report_violation("recorded as started before any start: " +
                             change.job);
  }
}

void simulated_cell::submit_jobs() {
  for (std::size_t i = 0; i < options_.jobs; ++i) {
    std::string id = "job" + std::to_string(i);
    wire::job_submission job;
    job.set_queue(kQueue);
    job.set_service(kService);
    job.set_tenant(tenants_.tenant_of(i));
    unix_time accepted =
        wall_ + options_.submit_every * static_cast<std::int64_t>(i);
    job.set_accepted_ms(accepted.time_since_epoch().count());
    bool gang = random_() % 3 == 0;
    *job.add_steps() = make_step(1 + random_() % 4, 1000, gang);
    if (random_() % 2 == 0) {
      wire::step_definition second = make_step(1 + random_() % 3, 1500, false);
      second.add_after(0);
      *job.add_steps() = second;
    }
    if (options_.repeats > 0) {
      job.set_repeats(options_.repeats);
      job.set_first_due_ms(accepted.time_since_epoch().count());
      job.set_interval_ms(kOccurrenceInterval.count());
    }
    ledger_.add_job(id, job, kAttempts);
    if (options_.deadly_share > 0 && lapse_chance(options_.deadly_share)) {
      std::uint32_t step = static_cast<std::uint32_t>(
          lapse_delay(0, job.steps_size() - 1).count());
      std::uint32_t count = job.steps(static_cast<int>(step)).count();
      ledger_.add_deadly_task(
          {id, 0, step,
           static_cast<std::uint32_t>(lapse_delay(0, count - 1).count())});
    }
    submissions_[id] = job.SerializeAsString();
    milliseconds delay = options_.submit_every * static_cast<std::int64_t>(i);
    if (delay.count() == 0) {
      apply({jobs::submission_key(id), submissions_[id], 0});
    } else {
      at(delay, [this, id] { submit(id); });
    }
  }
}

void simulated_cell::submit(const std::string& id) {
  apply({jobs::submission_key(id), submissions_.at(id), 0});
  arrive(owner_, [this, id, owner = owner_] {
    const jobs::entry* job = jobs::find(table_, id);
    if (job != nullptr) add_job(&owner->state, id, *job, time_of(*owner));
  });
}

void simulated_cell::resubmit() {
  std::map<std::string, std::string>::const_iterator chosen =
      std::next(submissions_.begin(),
                lapse_delay(0, std::ssize(submissions_) - 1).count());
  const std::string& id = chosen->first;
  if (!is_visible(id)) return;
  if (ended_.count(id) > 0) ++reached_.resubmitted_after_end;
  if (jobs::find(table_, id) != nullptr) return;
  ++reached_.accepted_again;
  submit(id);
}

void simulated_cell::begin_owner(bool old_survives) {
  if (owner_ && !old_survives) owner_->alive = false;
  std::shared_ptr<owner> result = std::make_shared<owner>();
  result->epoch = ++epoch_;
  result->state.epoch = result->epoch;
  result->state.limits.lease = kLease;
  set_queues(&result->state, queues_);
  tenants_.set(&result->state);
  if (cut_from_next_owner_.empty()) {
    cut_workers(result.get(), lapse_chance(0.5) ? milliseconds(0) : kLease);
  }
  for (const std::string& worker :
       std::exchange(cut_from_next_owner_, std::set<std::string>())) {
    draw_cuts(&result->worker_cuts[worker], milliseconds(0));
  }
  wire::ownership_record claim;
  claim.set_epoch(epoch_);
  apply({jobs::kOwnerKey, claim.SerializeAsString(), 0});
  reached_.known_leases +=
      table_.released_leases.size() + table_.silent_workers.size();
  observe_journal_write(&result->state, now_);
  continue_pool_time(&result->state, table_.pool_time, now_);
  restore_leases(&result->state, table_);
  for (const known_job* each : jobs_to_add(result->state, table_)) {
    add_job(&result->state, each->first, each->second, now_);
  }
  if (cancellations_.present()) {
    if (owner_) observe_unread_ends();
    cancel_known(result.get());
    read_journal(result);
  }
  owner_ = result;
  if (departures_.present()) {
    load_directory(result);
    return round(result);
  }
  if (options_.directory_delay.count() == 0) {
    begin_observing_workers(result);
  } else {
    after(options_.directory_delay, result,
          [this, result] { begin_observing_workers(result); });
  }
  round(result);
}

void simulated_cell::begin_observing_workers(
    const std::shared_ptr<owner>& owner) {
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    if (is_replaced(each.first)) continue;
    observe_worker_entry(&owner->state, each.second->entry(), time_of(*owner));
    poll(owner, each.first);
  }
}

void simulated_cell::release() {
  std::shared_ptr<owner> owner = owner_;
  if (owner->paused || owner->writing || now_ < journal_down_until_ ||
      is_cut(owner->journal_cuts.calls)) {
    return begin_owner(true);
  }
  ++reached_.releases;
  owner->writing = true;
  journal_batch batch = take_batch(&owner->state, time_of(*owner));
  wire::ownership_record released;
  released.set_epoch(owner->epoch);
  released.set_released(true);
  std::vector<wire::worker_lease> leases =
      release_leases(&owner->state, time_of(*owner));
  released.mutable_leases()->Add(leases.begin(), leases.end());
  batch.records.push_back({jobs::kOwnerKey, released.SerializeAsString(), 0});
  at(random_delay(2, 30), [this, owner, batch = std::move(batch)] {
    if (owner != owner_) return;
    for (const jobs::record& each : batch.records) apply(each);
    // It polls and sends until it learns that it has released the pool.
    at(random_delay(1, 300), [this, owner] {
      if (owner == owner_) begin_owner(false);
    });
  });
}

void simulated_cell::round(std::shared_ptr<owner> owner) {
  if (!owner->alive || owner->state.superseded) return;
  tenants_.check_usage(owner->state, &ledger_);
  tenants_.miscount(&owner->state);
  if (is_outdated(owner->state, time_of(*owner))) ++reached_.outdated_rounds;
  decisions result = decide(&owner->state, time_of(*owner), wall_of(*owner));
  for (const std::pair<const std::string, tenant_state>& each :
       owner->state.tenants) {
    if (each.second.held_steps > 0) ++reached_.held_rounds;
  }
  owner->state.tenant_events.clear();
  check_passed(*owner);
  owner->state.job_events.clear();
  owner->state.worker_events.clear();
  for (const start_order& each : result.repeated_starts)
    send_start(owner, each);
  for (const stop_order& each : result.stops) send_stop(owner, each);
  for (const std::string& each : result.departed) {
    if (owner->links.count(each) > 0) owner->links[each] = false;
  }
  write(owner);
  after(kRoundEvery, owner, [this, owner] { round(owner); });
}

void simulated_cell::check_passed(const owner& owner) {
  if (owner.epoch < epoch_) return;
  for (const job_event& each : owner.state.job_events) {
    bool departed = each.detail.find(" reason=departed ") != std::string::npos;
    bool passed =
        each.detail.find(" reason=lease_passed ") != std::string::npos;
    if (!departed && !passed) continue;
    ++(departed ? reached_.departed_runs : reached_.leases_passed);
    for (const std::pair<task_key, std::uint32_t>& run :
         workers_[each.worker]->active_runs()) {
      const task_key& task = run.first;
      bool same = task.job == each.job &&
                  each.detail.find(" step=" + std::to_string(task.step) +
                                   " task=" + std::to_string(task.index) +
                                   " run=" + std::to_string(run.second) +
                                   " ") != std::string::npos;
      if (!same) continue;
      if (departed) ++reached_.departed_active;
      ledger_.report_violation("taken as over while it runs: " + each.job +
                               " " + each.detail + " on " + each.worker);
    }
  }
}

void simulated_cell::write(std::shared_ptr<owner> owner) {
  if (owner->writing || now_ < journal_down_until_) return;
  owner->writing = true;
  std::shared_ptr<append> sent = std::make_shared<append>();
  sent->batch = take_batch(&owner->state, time_of(*owner));
  sent->sent = time_of(*owner);
  send_append(owner, sent);
  if (sent->batch.starts.empty() || owner != owner_) return;
  if (std::exchange(lapse_at_start_, false)) {
    at(lapse_delay(0, 30), [this] { lapse(); });
  }
}

void simulated_cell::send_append(const std::shared_ptr<owner>& owner,
                                 const std::shared_ptr<append>& sent) {
  event repeat = [this, owner, sent] { send_append(owner, sent); };
  if (is_cut(owner->journal_cuts.calls)) {
    return after(kAppendTimeout, owner, repeat);
  }
  at(random_delay(2, 30), [this, owner, sent, repeat] {
    // The store rejects records of an epoch below the newest.
    bool rejected = owner->epoch < epoch_;
    if (!rejected && !std::exchange(sent->applied, true)) {
      for (const jobs::record& each : sent->batch.records) apply(each);
    }
    if (is_cut(owner->journal_cuts.replies)) {
      return after(kAppendTimeout, owner, repeat);
    }
    if (rejected) {
      return arrive(owner, [owner] { owner->state.superseded = true; });
    }
    arrive_in(random_delay(1, 10), owner,
              [this, owner, sent] { observe_reply(owner, *sent); });
  });
}

void simulated_cell::observe_reply(const std::shared_ptr<owner>& owner,
                                   const append& sent) {
  owner->writing = false;
  if (!sent.batch.starts.empty() && owner->epoch < epoch_) {
    ++reached_.confirmed_late;
  }
  observe_journal_write(&owner->state, sent.sent);
  tenants_.miscount(&owner->state);
  for (const start_order& each :
       observe_batch_written(&owner->state, sent.batch, time_of(*owner))) {
    send_start(owner, each);
  }
}

void simulated_cell::carry_out(const owner& owner, const std::string& worker,
                               const std::function<void()>& call) {
  workers_[worker]->tick(now_);
  const simulated_worker& target = *workers_[worker];
  if (target.is_down(now_)) return;
  worker_time lease = target.lease();
  std::uint64_t starts = ledger_.starts();
  call();
  if (owner.epoch == epoch_) return;
  if (target.lease() > lease) ++reached_.superseded_extensions;
  if (ledger_.starts() > starts) ++reached_.superseded_starts;
}

void simulated_cell::deliver(const std::shared_ptr<owner>& owner,
                             const std::string& worker, std::uint64_t token,
                             std::function<void()> call,
                             std::function<void()> answered,
                             std::function<void()> unanswered) {
  const link_cuts& cuts = owner->worker_cuts[worker];
  if (chance(options_.message_loss) || is_cut(cuts.calls)) {
    return after(kCallTimeout, owner, std::move(unanswered));
  }
  if (meets_cut(owner, worker, unanswered, kCallTimeout)) return;
  std::int64_t connected_to = workers_[worker]->incarnation_ms();
  if (chance(options_.late_delivery)) {
    at(random_delay(2000, 12000),
       [this, owner, worker, token, connected_to, call = std::move(call)] {
         const simulated_worker& target = *workers_[worker];
         bool too_early = target.incarnation_ms() != connected_to &&
                          target.polled_token() < token;
         if (!too_early || options_.late_first_calls) {
           carry_out(*owner, worker, call);
         }
       });
    return after(kCallTimeout, owner, std::move(unanswered));
  }
  at(random_delay(1, 40),
     [this, owner, worker, connected_to, call = std::move(call),
      answered = std::move(answered), unanswered = std::move(unanswered)] {
       // A deadly task may crash the worker before the call arrives.
       workers_[worker]->tick(now_);
       bool crashed = workers_[worker]->incarnation_ms() != connected_to ||
                      workers_[worker]->is_down(now_);
       if (crashed && options_.crash_share > 0) {
         return after(kSilentCallTimeout, owner, unanswered);
       }
       if (crashed && departures_.present()) {
         return lose_contact(owner, worker, unanswered);
       }
       // A crash resets the connections.
       if (crashed) {
         return arrive(owner, [this, owner, worker, unanswered] {
           observe_contact_lost(&owner->state, worker, time_of(*owner));
           unanswered();
         });
       }
       carry_out(*owner, worker, call);
       if (meets_cut(owner, worker, unanswered, kCallTimeout)) return;
       bool lost = chance(options_.reply_loss) ||
                   is_cut(owner->worker_cuts[worker].replies);
       if (lost) {
         after(kCallTimeout, owner, unanswered);
       } else {
         arrive_in(random_delay(1, 40), owner, answered);
       }
     });
}

void simulated_cell::poll(std::shared_ptr<owner> owner,
                          const std::string& worker) {
  if (!owner->alive || owner->state.superseded) return;
  if (!keeps_link(owner.get(), worker)) return;
  steady_time sent = time_of(*owner);
  if (is_replaced(worker)) {
    std::int64_t known = owner->state.workers[worker].entry.incarnation_ms;
    return arrive_in(random_delay(1, 40), owner, [this, owner, worker, known] {
      observe_worker_replaced(&owner->state, worker, known,
                              workers_[worker]->entry().address,
                              time_of(*owner));
    });
  }
  std::int64_t incarnation = workers_[worker]->incarnation_ms();
  std::int64_t& answered_by = owner->answered_by[worker];
  bool connected = std::exchange(answered_by, 0) == incarnation;
  if (!connected) observe_connection_lost(&owner->state, worker);
  worker_time until = connected
                          ? grant_lease(&owner->state, worker, time_of(*owner))
                          : worker_time(0);
  std::uint64_t acked = connected ? owner->state.workers[worker].acked_end : 0;
  std::shared_ptr<worker_report> report = std::make_shared<worker_report>();
  std::shared_ptr<bool> accepted = std::make_shared<bool>(false);
  std::uint64_t token = fencing_token(owner->state, worker);
  deliver(
      owner, worker, token,
      [this, worker, token, until, acked, report, accepted] {
        *accepted =
            workers_[worker]->poll(token, acked, until, now_, report.get());
      },
      [this, owner, worker, token, report, accepted, sent, incarnation,
       connected] {
        if (!*accepted) {
          observe_poll_fenced(&owner->state, worker, token);
          after(kPollEvery, owner,
                [this, owner, worker] { poll(owner, worker); });
          return;
        }
        observe_worker_report(&owner->state, worker, *report, token, sent,
                              time_of(*owner), wall_of(*owner));
        owner->answered_by[worker] = incarnation;
        after(connected ? kPollEvery : milliseconds(0), owner,
              [this, owner, worker] { poll(owner, worker); });
      },
      [this, owner, worker] { poll(owner, worker); });
}

void simulated_cell::send_start(std::shared_ptr<owner> owner,
                                const start_order& order) {
  std::shared_ptr<start_outcome> answer =
      std::make_shared<start_outcome>(start_outcome::unknown);
  steady_time sent = now_;
  deliver(
      owner, order.worker, order.fencing_token,
      [this, order, answer, sent] {
        std::uint64_t starts = ledger_.starts();
        *answer =
            workers_[order.worker]->start(order, order.fencing_token, now_);
        if (ledger_.starts() == starts) return;
        cancellations_.check_start(order.worker, order.task, order.run, sent,
                                   now_, &ledger_);
        departures_.observe_start(workers_[order.worker]->entry(), order.task,
                                  sent, now_, &ledger_);
      },
      [this, owner, order, answer] {
        observe_start(&owner->state, order, *answer, time_of(*owner));
      },
      [this, owner, order] {
        observe_start(&owner->state, order, start_outcome::unknown,
                      time_of(*owner));
      });
}

void simulated_cell::send_stop(std::shared_ptr<owner> owner,
                               const stop_order& order) {
  if (cancellations_.has_fault(cancellation_fault::stops_not_sent)) return;
  std::shared_ptr<bool> done = std::make_shared<bool>(false);
  deliver(
      owner, order.worker, order.fencing_token,
      [this, order, done] {
        *done = workers_[order.worker]->stop(order.task, order.run,
                                             order.fencing_token, now_);
      },
      [this, owner, order, done] {
        observe_stop(&owner->state, order, *done, time_of(*owner));
      },
      [this, order] {
        cancellations_.excuse(order.worker, order.task, order.run, now_);
      });
}

std::vector<std::string> simulated_cell::open_jobs() const {
  std::vector<std::string> open;
  for (const std::pair<const std::string, jobs::entry>& each : table_.jobs) {
    if (each.second.progress.outcome() == wire::OPEN) {
      open.push_back(each.first);
    }
  }
  return open;
}

std::vector<std::string> simulated_cell::wrongly_failed() const {
  std::vector<std::string> wrong;
  for (const std::pair<const std::string, jobs::entry>& each : table_.jobs) {
    bool failed = each.second.progress.outcome() == wire::FAILED;
    if (failed && !ledger_.may_be_given_up(each.first)) {
      wrong.push_back(each.first);
    }
  }
  return wrong;
}

std::vector<std::string> simulated_cell::wrongly_complete() const {
  std::vector<std::string> wrong;
  for (const std::pair<const std::string, jobs::entry>& each : table_.jobs) {
    bool complete = each.second.progress.outcome() == wire::COMPLETE;
    bool failed = each.second.progress.outcome() == wire::FAILED;
    if (complete && !ledger_.job_done(each.first)) wrong.push_back(each.first);
    // A completion that a crash lost before its acknowledgement doesn't count.
    if (failed && ledger_.job_acknowledged(each.first)) {
      wrong.push_back(each.first);
    }
  }
  return wrong;
}

void simulated_cell::run(milliseconds limit) {
  steady_time end = now_ + limit;
  bool submits =
      options_.submit_every.count() > 0 || options_.resubmit_every.count() > 0;
  while (!events_.empty() && now_ < end &&
         (!open_jobs().empty() || (submits && faulty()) ||
          cancellations_.has_active_runs())) {
    std::multimap<steady_time, event>::iterator first = events_.begin();
    milliseconds passed = std::chrono::duration_cast<milliseconds>(
        std::max(first->first, now_) - now_);
    now_ += passed;
    wall_ += passed;
    event next = std::move(first->second);
    events_.erase(first);
    next();
    for (std::pair<const std::string, std::unique_ptr<simulated_worker>>& each :
         workers_) {
      each.second->tick(now_);
    }
    tenants_.check_starts(workers_, now_, &ledger_);
    if (cancellations_.present()) check_cancelled_runs();
    if (options_.deadly_share > 0) watch_crashes();
  }
  observe_unread_ends();
  cancellations_.check_outcomes(table_, &ledger_);
  reached_.cancelled_starts = cancellations_.starts_after();
  reached_.cancelled_runs = cancellations_.runs_after();
  reached_.departed_gangs = departures_.gangs_restarted();
  reached_.longest_gang_wait = departures_.longest_wait();
  for (const std::pair<const std::string, jobs::entry>& each : table_.jobs) {
    if (each.second.progress.outcome() != wire::FAILED) continue;
    if (ledger_.has_deadly_task(each.first)) {
      ++reached_.deadly_given_up;
    } else {
      ++reached_.sound_given_up;
    }
  }
}

}  // namespace ebonygrade::pool
