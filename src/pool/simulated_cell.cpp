#include "pool/simulated_cell.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::pool {

namespace {

constexpr char kQueue[] = "queue-a";
constexpr char kService[] = "service-a";
constexpr std::uint32_t kAttempts = 3;
constexpr milliseconds kRoundEvery{20};
constexpr milliseconds kPollEvery{150};
constexpr milliseconds kCallTimeout{600};
constexpr milliseconds kOutage{3000};
constexpr milliseconds kLease{6000};

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

simulated_cell::simulated_cell(const cell_options& options)
    : options_(options),
      random_(static_cast<std::mt19937::result_type>(options.seed)) {
  queue_policy policy;
  policy.service = kService;
  policy.attempts = kAttempts;
  policy.stretch = 2;
  policy.target = milliseconds(1000);
  queues_[kQueue] = policy;
  simulated_worker::behaviour behaviour;
  behaviour.failure_rate = options.failure_rate;
  for (std::size_t i = 0; i < options.workers; ++i) {
    std::string id = "w" + std::to_string(i);
    workers_[id] = std::make_unique<simulated_worker>(
        id, resources{4000, 4000, 0}, behaviour, &ledger_, &gangs_,
        options.seed + i);
  }
  submit_jobs();
  begin_owner();
  std::function<void()> claims = [this] {
    if (!faulty()) return;
    begin_owner();
    at(options_.takeover_every + random_delay(0, 1000), repeating_events_[0]);
  };
  std::function<void()> crashes = [this] {
    if (!faulty()) return;
    std::size_t which = random_() % workers_.size();
    std::next(workers_.begin(), static_cast<std::ptrdiff_t>(which))
        ->second->crash(now_);
    at(random_delay(200, 1500), [this, which] {
      observe_worker_entry(
          &owner_->state,
          std::next(workers_.begin(), static_cast<std::ptrdiff_t>(which))
              ->second->entry(),
          now_);
    });
    at(options_.crash_every, repeating_events_[1]);
  };
  std::function<void()> outages = [this] {
    if (!faulty()) return;
    journal_down_until_ = now_ + kOutage;
    at(options_.outage_every, repeating_events_[2]);
  };
  repeating_events_ = {claims, crashes, outages};
  if (options.takeover_every.count() > 0) at(options.takeover_every, claims);
  if (options.crash_every.count() > 0) at(options.crash_every, crashes);
  if (options.outage_every.count() > 0) at(options.outage_every, outages);
}

void simulated_cell::at(milliseconds delay, event what) {
  events_.emplace(now_ + delay, std::move(what));
}

bool simulated_cell::chance(double share) {
  std::uniform_real_distribution<double> draw(0, 1);
  return faulty() && draw(random_) < share;
}

milliseconds simulated_cell::random_delay(std::int64_t low, std::int64_t high) {
  std::uniform_int_distribution<std::int64_t> draw(low, high);
  return milliseconds(draw(random_));
}

void simulated_cell::apply(const jobs::record& record) {
  jobs::record numbered = record;
  numbered.offset = offset_++;
  jobs::change change = jobs::apply(&table_, numbered);
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
    job.set_accepted_ms(wall_.time_since_epoch().count());
    bool gang = random_() % 3 == 0;
    *job.add_steps() = make_step(1 + random_() % 4, 1000, gang);
    if (random_() % 2 == 0) {
      wire::step_definition second = make_step(1 + random_() % 3, 1500, false);
      second.add_after(0);
      *job.add_steps() = second;
    }
    ledger_.add_job(id, job, kAttempts);
    apply({jobs::submission_key(id), job.SerializeAsString(), 0});
  }
}

void simulated_cell::begin_owner() {
  if (owner_ && !chance(options_.surviving_owner)) owner_->alive = false;
  std::shared_ptr<owner> result = std::make_shared<owner>();
  result->epoch = ++epoch_;
  result->state.epoch = result->epoch;
  result->state.limits.lease = kLease;
  set_queues(&result->state, queues_);
  observe_journal_write(&result->state, now_);
  for (const std::pair<const std::string, jobs::entry>& each : table_.jobs) {
    add_job(&result->state, each.first, each.second, now_);
  }
  owner_ = result;
  for (const std::pair<const std::string, std::unique_ptr<simulated_worker>>&
           each : workers_) {
    observe_worker_entry(&result->state, each.second->entry(), now_);
    poll(result, each.first);
  }
  round(result);
}

void simulated_cell::round(std::shared_ptr<owner> owner) {
  if (!owner->alive || owner->state.superseded) return;
  decisions result = decide(&owner->state, now_, wall_);
  owner->state.job_events.clear();
  owner->state.worker_events.clear();
  for (const start_order& each : result.repeated_starts)
    send_start(owner, each);
  for (const stop_order& each : result.stops) send_stop(owner, each);
  write(owner);
  at(kRoundEvery, [this, owner] { round(owner); });
}

void simulated_cell::write(std::shared_ptr<owner> owner) {
  if (owner->writing || now_ < journal_down_until_) return;
  journal_batch batch = take_batch(&owner->state, now_);
  owner->writing = true;
  steady_time sent = now_;
  at(random_delay(2, 30), [this, owner, sent, batch = std::move(batch)] {
    // The store rejects records of an epoch below the newest.
    if (owner->epoch < epoch_) {
      owner->state.superseded = true;
      return;
    }
    for (const jobs::record& each : batch.records) apply(each);
    at(random_delay(1, 10), [this, owner, sent, batch] {
      if (!owner->alive) return;
      owner->writing = false;
      observe_journal_write(&owner->state, sent);
      for (const start_order& each :
           observe_batch_written(&owner->state, batch, now_)) {
        send_start(owner, each);
      }
    });
  });
}

void simulated_cell::deliver(const std::string& worker, std::uint64_t token,
                             std::function<void()> call,
                             std::function<void()> answered,
                             std::function<void()> unanswered) {
  if (chance(options_.message_loss)) {
    at(kCallTimeout, std::move(unanswered));
    return;
  }
  std::int64_t connected_to = workers_[worker]->incarnation_ms();
  if (chance(options_.late_delivery)) {
    at(random_delay(2000, 12000),
       [this, worker, token, connected_to, call = std::move(call)] {
         const simulated_worker& target = *workers_[worker];
         bool too_early = target.incarnation_ms() != connected_to &&
                          target.polled_token() < token;
         if (!too_early || options_.late_first_calls) call();
       });
    at(kCallTimeout, std::move(unanswered));
    return;
  }
  at(random_delay(1, 40),
     [this, worker, connected_to, call = std::move(call),
      answered = std::move(answered), unanswered = std::move(unanswered)] {
       // A crash resets the connections.
       if (workers_[worker]->incarnation_ms() != connected_to) {
         return unanswered();
       }
       call();
       if (chance(options_.reply_loss)) {
         at(kCallTimeout, unanswered);
       } else {
         at(random_delay(1, 40), answered);
       }
     });
}

void simulated_cell::poll(std::shared_ptr<owner> owner,
                          const std::string& worker) {
  if (!owner->alive || owner->state.superseded) return;
  steady_time sent = now_;
  std::int64_t incarnation = workers_[worker]->incarnation_ms();
  std::int64_t& answered_by = owner->answered_by[worker];
  bool connected = std::exchange(answered_by, 0) == incarnation;
  if (!connected) observe_connection_lost(&owner->state, worker);
  worker_time until =
      connected ? grant_lease(&owner->state, worker, now_) : worker_time(0);
  std::uint64_t acked = connected ? owner->state.workers[worker].acked_end : 0;
  std::shared_ptr<worker_report> report = std::make_shared<worker_report>();
  std::shared_ptr<bool> accepted = std::make_shared<bool>(false);
  std::uint64_t token = fencing_token(owner->state, worker);
  deliver(
      worker, token,
      [this, worker, token, until, acked, report, accepted] {
        *accepted =
            workers_[worker]->poll(token, acked, until, now_, report.get());
      },
      [this, owner, worker, token, report, accepted, sent, incarnation,
       connected] {
        if (!owner->alive) return;
        if (!*accepted) {
          observe_poll_fenced(&owner->state, worker, token);
          at(kPollEvery, [this, owner, worker] { poll(owner, worker); });
          return;
        }
        observe_worker_report(&owner->state, worker, *report, token, sent, now_,
                              wall_);
        owner->answered_by[worker] = incarnation;
        at(connected ? kPollEvery : milliseconds(0),
           [this, owner, worker] { poll(owner, worker); });
      },
      [this, owner, worker] { poll(owner, worker); });
}

void simulated_cell::send_start(std::shared_ptr<owner> owner,
                                const start_order& order) {
  std::shared_ptr<start_outcome> answer =
      std::make_shared<start_outcome>(start_outcome::unknown);
  deliver(
      order.worker, order.fencing_token,
      [this, order, answer] {
        *answer =
            workers_[order.worker]->start(order, order.fencing_token, now_);
      },
      [this, owner, order, answer] {
        if (owner->alive) {
          observe_start(&owner->state, order, *answer, now_);
        }
      },
      [this, owner, order] {
        if (owner->alive) {
          observe_start(&owner->state, order, start_outcome::unknown, now_);
        }
      });
}

void simulated_cell::send_stop(std::shared_ptr<owner> owner,
                               const stop_order& order) {
  std::shared_ptr<bool> done = std::make_shared<bool>(false);
  deliver(
      order.worker, order.fencing_token,
      [this, order, done] {
        *done = workers_[order.worker]->stop(order.task, order.run,
                                             order.fencing_token, now_);
      },
      [this, owner, order, done] {
        if (owner->alive) observe_stop(&owner->state, order, *done, now_);
      },
      [] {});
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
  while (!events_.empty() && now_ < end && !open_jobs().empty()) {
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
  }
}

}  // namespace ebonygrade::pool
