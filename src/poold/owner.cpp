#include "poold/owner.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "events/events.h"
#include "platform/discovery.h"
#include "pool/recorded_leases.h"
#include "poold/round_pacing.h"
#include "poold/tenant_reports.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kLoadEventInterval{1000};
// Records that arrive within this interval share one append.
constexpr milliseconds kMinFlushInterval{20};
// Other daemons claim the pool after several missed heartbeats.
constexpr milliseconds kHeartbeatInterval{200};
// Rejected appends with callers' records are retried for this long: enough to
// bridge a few rejections, and short relative to every latency target.
constexpr milliseconds kRetryPeriod{150};
// Discovery records change with a worker's state and with its heartbeats.
constexpr milliseconds kDiscoveryReadInterval{250};
// Short, so that a copy without changes stays recent.
constexpr milliseconds kDiscoveryWait{400};
// Subtracted from a ticket's validity for the latency of the reply.
constexpr milliseconds kTicketValidityMargin{60};

pool::limits make_limits(const node_settings& settings) {
  pool::limits limits;
  limits.lease = settings.lease;
  limits.status_time = settings.status_time;
  limits.cancel_time = settings.cancel_time;
  limits.drain_time = settings.drain_time;
  limits.heartbeat = settings.worker_heartbeat;
  return limits;
}

pool::near_wait_settings make_near_wait(const node_settings& settings) {
  pool::near_wait_settings result;
  result.longest = settings.near_wait;
  result.far_factor = settings.far_factor;
  result.restore_time = settings.restore_time;
  return result;
}

}  // namespace

owner::owner(
    boost::asio::io_context& context, store_client& store,
    const clock::clock& clock, const node_settings& settings,
    measurements& measurements, std::uint64_t epoch,
    std::function<void()> on_superseded,
    std::function<void(const jobs::record&)> on_record,
    std::function<void(std::uint64_t, std::uint64_t, steady_time)> on_appended)
    : context_(context),
      store_(store),
      clock_(clock),
      settings_(settings),
      measurements_(measurements),
      epoch_(epoch),
      on_superseded_(std::move(on_superseded)),
      on_record_(std::move(on_record)),
      on_appended_(std::move(on_appended)),
      // The claim was the first append of the epoch.
      journal_(std::make_shared<appender>(
          context, store, std::string(platform::kJournalTopic),
          platform::producer{kOwnerProducer, epoch, 1})),
      advice_dispatcher_(context, clock, settings.advice_address),
      daemons_(clock.now()),
      round_timer_(context),
      flush_timer_(context) {
  pool_.limits = make_limits(settings);
  pool_.near.settings = make_near_wait(settings);
  pool_.epoch = epoch;
  pool_.admission.enabled = settings.admission_enabled;
  if (settings.admission_enabled) {
    admission_ =
        std::make_unique<admission_gate>(pool_, measurements, clock.now());
  }
}

pool::unix_time owner::wall_now() const {
  return std::chrono::time_point_cast<milliseconds>(clock_.wall_now());
}

void owner::start(const jobs::table& table, const pool::manifest& manifest,
                  steady_time claimed) {
  steady_time now = clock_.now();
  last_write_ = now;
  pool::observe_journal_write(&pool_, claimed);
  // Not from `claimed`: the former owner may have written until the claim was
  // in the journal.
  pool::continue_pool_time(&pool_, table.pool_time, now);
  pool::set_queues(&pool_, pool::policies(manifest));
  pool::set_tenants(&pool_, manifest.tenants, settings_.quota_excess);
  pool::restore_leases(&pool_, table);
  for (const pool::known_job* each : pool::jobs_to_add(pool_, table)) {
    pool::add_job(&pool_, each->first, each->second, now);
    if (each->second.cancelled) {
      pool::cancel_job(&pool_, each->first, wall_now());
    }
  }
  // The journal is all that is known of the workers.
  std::size_t unverified = 0;
  milliseconds freed_within{0};
  for (const std::pair<const std::string, pool::worker>& each : pool_.workers) {
    unverified += each.second.placements.size();
    freed_within = std::max(
        freed_within,
        std::chrono::duration_cast<milliseconds>(each.second.lease_end - now));
  }
  events::emit(events::id::pool_taken, "take over", "",
               "epoch={} jobs={} placed_on={} workers unverified_runs={} "
               "freed_within_ms={}",
               epoch_, pool_.jobs.size(), pool_.workers.size(), unverified,
               freed_within.count());
  start_discovery();
  start_maintenance();
  schedule_round();
}

void owner::start_maintenance() {
  if (settings_.machines_address.empty()) return;
  std::weak_ptr<owner> weak = weak_from_this();
  maintenance_ = std::make_shared<maintenance_runner>(
      context_, store_, clock_, settings_, epoch_, pool_,
      [weak](const jobs::record& record, std::function<void(bool)> handler) {
        std::shared_ptr<owner> self = weak.lock();
        if (!self) return handler(false);
        self->write(record, [handler](owner_reply reply) {
          handler(reply == owner_reply::written);
        });
      });
}

void owner::on_wave(const pool::maintenance_wave& wave,
                    const jobs::table& table) {
  if (!maintenance_) return;
  std::unordered_map<std::string, wire::wave_record>::const_iterator known =
      table.waves.find(std::to_string(wave.number));
  maintenance_->on_wave(
      wave, known == table.waves.end() ? wire::wave_record() : known->second);
}

void owner::stop() {
  stopped_ = true;
  fail_queued_callers(owner_reply::refused);
  if (admission_) admission_->stop();
  round_timer_.cancel();
  flush_timer_.cancel();
  journal_->stop();
  if (maintenance_) maintenance_->stop();
  if (discovery_) discovery_->stop();
  if (departures_) departures_->stop();
  for (std::pair<const std::string, std::shared_ptr<worker_link>>& each :
       links_) {
    each.second->stop();
  }
}

void owner::step_down() {
  if (stopped_) return;
  stop();
  boost::asio::post(context_,
                    [self = shared_from_this()] { self->on_superseded_(); });
}

void owner::on_change(const jobs::table& table, const jobs::change& change) {
  if (stopped_) return;
  std::unordered_map<std::string, jobs::entry>::const_iterator found =
      table.jobs.find(change.job);
  if (found == table.jobs.end()) return;
  if (change.kind == jobs::change_kind::submitted) {
    pool::add_job(&pool_, change.job, found->second, clock_.now());
    if (admission_) admission_->on_submission(change.job, clock_.now());
  }
  if (found->second.cancelled) {
    pool::cancel_job(&pool_, change.job, wall_now());
  }
  schedule_round();
}

void owner::on_manifest(const pool::manifest& manifest) {
  pool::set_queues(&pool_, pool::policies(manifest));
  pool::set_tenants(&pool_, manifest.tenants, settings_.quota_excess);
  schedule_round();
}

void owner::record_daemon(const daemon_info& daemon) {
  daemons_.record(daemon, clock_.now());
  advice_dispatcher_.record_daemon(daemon.id, daemon.peer_address);
  if (admission_) admission_->on_daemon(daemon.id, clock_.now());
}

// ---- Workers ----------------------------------------------------------------

void owner::start_discovery() {
  follower_options options;
  options.topic = platform::kDiscoveryTopic;
  options.max_wait = kDiscoveryWait;
  options.read_interval = kDiscoveryReadInterval;
  std::weak_ptr<owner> weak = weak_from_this();
  topic_follower::handlers handlers;
  handlers.on_snapshot = [weak](const std::vector<jobs::record>& records) {
    if (std::shared_ptr<owner> self = weak.lock()) {
      self->on_discovery_records(records, true);
    }
  };
  handlers.on_records = [weak](const std::vector<jobs::record>& records) {
    if (std::shared_ptr<owner> self = weak.lock()) {
      self->on_discovery_records(records, false);
    }
  };
  discovery_ = std::make_shared<topic_follower>(
      context_, store_, clock_, std::move(options), std::move(handlers));
  discovery_->start();
}

void owner::on_discovery_records(const std::vector<jobs::record>& records,
                                 bool all) {
  if (stopped_) return;
  // Of the entries of a load nothing is known.
  if (all) directory_ended_at_ = {};
  std::unordered_set<std::string> seen;
  for (const jobs::record& each : records) {
    seen.insert(each.key);
    on_discovery_record(each);
  }
  if (all) {
    for (const std::pair<const std::string, pool::worker>& each :
         pool_.workers) {
      if (seen.count(each.first) == 0) {
        pool::observe_worker_unlisted(&pool_, each.first);
      }
    }
    std::erase_if(unreadable_entries_,
                  [&](const std::string& key) { return seen.count(key) == 0; });
  }
  directory_ended_at_ = discovery_->current_as_of();
  if (!directory_loaded_) {
    trace_departures(records.size());
  } else if (departures_ && all) {
    // The records between the two loads are lost.
    departures_->finish("the directory was loaded again");
  } else if (departures_) {
    departures_->add(records);
  }
  directory_loaded_ = true;
  schedule_round();
}

void owner::trace_departures(std::size_t entries) {
  std::unordered_set<std::string> workers = pool::workers_to_trace(pool_);
  if (workers.empty()) return;
  departure_history_options options;
  options.end = discovery_->next();
  options.entries = entries;
  options.heartbeat = settings_.worker_heartbeat;
  std::weak_ptr<owner> weak = weak_from_this();
  departures_ = std::make_shared<departure_history>(
      store_, clock_, options, std::move(workers),
      [weak](const pool::departure& each) {
        std::shared_ptr<owner> self = weak.lock();
        if (!self || self->stopped_) return false;
        if (!pool::observe_departure(&self->pool_, each, self->clock_.now())) {
          return false;
        }
        // Its lost connection is the other half of the proof.
        self->open_link(each.worker, each.address);
        self->schedule_round();
        return true;
      });
  departures_->start();
}

void owner::on_discovery_record(const jobs::record& record) {
  if (record.value.empty()) {
    unreadable_entries_.erase(record.key);
    pool::observe_worker_removed(&pool_, record.key, clock_.now());
    return;
  }
  error::result<pool::worker_entry> entry =
      platform::decode_worker_entry(record.key, record.value);
  if (entry.has_error()) return on_unreadable_entry(record.key, entry.error());
  unreadable_entries_.erase(record.key);
  if (pool::observe_worker_entry(&pool_, *entry, clock_.now(),
                                 directory_ended_at_)) {
    open_link(entry->id, entry->address);
  }
}

void owner::on_unreadable_entry(const std::string& key,
                                const error::failure& cause) {
  if (unreadable_entries_.insert(key).second) {
    events::emit(events::id::worker_entry_unreadable, "observe", key, "{}",
                 cause.detail);
  }
  pool::observe_worker_unlisted(&pool_, key);
}

void owner::open_link(const std::string& worker, const std::string& address) {
  std::shared_ptr<worker_link>& link = links_[worker];
  if (link && link->address() == address) return;
  if (link) link->stop();
  worker_link::handlers handlers;
  handlers.prepare_poll = [this](const std::string& name, bool connected) {
    platform::worker_poll_request poll_request;
    if (!connected) pool::observe_connection_lost(&pool_, name);
    poll_request.fencing_token = pool::fencing_token(pool_, name);
    if (connected) {
      poll_request.lease_until = pool::grant_lease(&pool_, name, clock_.now());
    }
    std::unordered_map<std::string, pool::worker>::const_iterator known =
        pool_.workers.find(name);
    if (known != pool_.workers.end()) {
      // Another incarnation numbers its ends anew.
      if (connected) poll_request.acked_end = known->second.acked_end;
      poll_request.incarnation_ms = known->second.entry.incarnation_ms;
    }
    return poll_request;
  };
  handlers.on_poll_result = [this](const platform::worker_poll_request& request,
                                   const platform::worker_poll_reply* reply,
                                   steady_time sent) {
    on_worker_poll(request, reply, sent);
  };
  handlers.on_contact_lost = [this](const std::string& name) {
    pool::observe_contact_lost(&pool_, name, clock_.now());
  };
  link = std::make_shared<worker_link>(context_, clock_, worker, address,
                                       std::move(handlers));
  link->start();
}

void owner::close_link(const std::string& worker) {
  std::unordered_map<std::string, std::shared_ptr<worker_link>>::iterator
      found = links_.find(worker);
  if (found == links_.end()) return;
  found->second->stop();
  links_.erase(found);
}

void owner::on_worker_poll(const platform::worker_poll_request& request,
                           const platform::worker_poll_reply* reply,
                           steady_time sent) {
  if (stopped_) return;
  if (reply == nullptr) return;
  const std::string& worker = request.worker;
  switch (reply->outcome) {
    case platform::worker_poll_outcome::answered:
      pool::observe_worker_report(&pool_, worker, reply->report,
                                  request.fencing_token, sent, clock_.now(),
                                  wall_now());
      break;
    case platform::worker_poll_outcome::fenced:
      pool::observe_poll_fenced(&pool_, worker, request.fencing_token);
      if (!pool_.superseded) break;
      events::emit(events::id::worker_superseded, "hold", worker,
                   "epoch={} has been superseded", epoch_);
      return step_down();
    case platform::worker_poll_outcome::other_incarnation: {
      std::uint64_t lost_before = pool_.counters.lost_runs;
      std::string address = links_.at(worker)->address();
      bool replaced = pool::observe_worker_replaced(
          &pool_, worker, request.incarnation_ms, address, clock_.now());
      events::emit(events::id::worker_rebooted, "hold", worker,
                   "its address belongs to another worker: address={} "
                   "incarnation={} dropped={}",
                   address, request.incarnation_ms,
                   pool_.counters.lost_runs - lost_before);
      // The next entry of the worker opens it again.
      if (replaced) close_link(worker);
      break;
    }
    case platform::worker_poll_outcome::unhealthy:
    case platform::worker_poll_outcome::unreadable:
      break;
  }
  schedule_round();
}

// ---- Scheduling rounds ------------------------------------------------------

void owner::schedule_round() {
  schedule_round_at(std::max(clock_.now(), last_round_ + round_interval_));
}

void owner::schedule_round_at(steady_time when) {
  if (stopped_ || when >= next_round_) return;
  next_round_ = when;
  round_timer_.expires_at(when);
  round_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (failed || self->stopped_) return;
        self->next_round_ = steady_time::max();
        self->run_round();
      });
}

void owner::watch_isolation(steady_time now) {
  bool was_isolated = isolated_since_ != steady_time();
  if (pool::is_isolated(pool_, now) == was_isolated) return;
  if (was_isolated) {
    events::emit(events::id::owner_confirmed, "decide", "",
                 "epoch={} isolated_ms={}", epoch_,
                 std::chrono::duration_cast<milliseconds>(
                     now - std::exchange(isolated_since_, {}))
                     .count());
    return;
  }
  isolated_since_ =
      pool_.last_journal_write + pool::isolation_limit(pool_.limits);
  events::emit(
      events::id::owner_isolated, "decide", "", "epoch={} age_ms={}", epoch_,
      std::chrono::duration_cast<milliseconds>(now - pool_.last_journal_write)
          .count());
}

void owner::watch_copies(steady_time now) {
  bool was_outdated = outdated_since_ != steady_time();
  if (pool::is_outdated(pool_, now) == was_outdated) return;
  if (was_outdated) {
    events::emit(events::id::owner_current, "decide", "",
                 "epoch={} outdated_ms={} rounds={}", epoch_,
                 std::chrono::duration_cast<milliseconds>(
                     now - std::exchange(outdated_since_, {}))
                     .count(),
                 pool_.counters.outdated_rounds);
    return;
  }
  outdated_since_ = now;
  events::emit(events::id::owner_outdated, "decide", "",
               "epoch={} journal_age_ms={} directory_age_ms={} "
               "waiting_steps={}",
               epoch_, pool::journal_age(pool_, now).count(),
               pool::directory_age(pool_, now).count(),
               pool_.waiting_steps.size());
}

void owner::run_round() {
  last_round_ = clock_.now();
  round_processor_begun_ = thread_processor_time();
  watch_isolation(last_round_);
  if (pool_.superseded) return step_down();
  if (discovery_->loaded()) {
    pool::observe_directory_read(&pool_, discovery_->current_as_of());
  }
  watch_copies(last_round_);
  refuse_late_callers();
  on_journal_read(journal_current_as_of_);
  pool_.advice_daemons = advice_dispatcher_.available_daemons();
  if (!releasing_) send_orders(pool::decide(&pool_, clock_.now(), wall_now()));
  emit_job_events();
  emit_worker_events();
  emit_forgotten_jobs();
  emit_tenant_events(&pool_);
  measure_round(last_round_);
  emit_load(last_round_);
  schedule_flush();
  schedule_round_at(last_round_ + std::max<std::chrono::microseconds>(
                                      kMaxRoundInterval, round_interval_));
}

void owner::measure_round(steady_time begun) {
  std::chrono::microseconds taken =
      std::chrono::duration_cast<std::chrono::microseconds>(clock_.now() -
                                                            begun);
  longest_round_ = std::max(longest_round_, taken);
  round_time_.elapsed += taken;
  round_time_.processor += thread_processor_time() - round_processor_begun_;
  round_interval_ = round_interval(taken);
}

void owner::emit_load(steady_time now) {
  if (now - load_emitted_at_ < kLoadEventInterval) return;
  load_emitted_at_ = now;
  const pool::load_summary& load = pool_.load;
  pool::unconfirmed_starts unconfirmed =
      pool::count_unconfirmed_starts(pool_, now);
  events::emit(
      events::id::pool_load, "decide", "",
      "epoch={} workers={} available={} free={} reserved_workers={} "
      "reserved_free={} waiting={} advice={} advice_requests={} in_time={} "
      "late={} no_value={} unconfirmed_starts={} unconfirmed_jobs={} "
      "oldest_unconfirmed_ms={} round_ms={:.1f} journal_age_ms={} "
      "directory_age_ms={}",
      epoch_, pool_.workers.size(), load.available_workers, load.free_cpu_milli,
      load.reserved_workers, load.reserved_free_cpu_milli,
      load.waiting_cpu_milli, load.waiting_for_advice_milli,
      pool_.pending_advice_requests, load.waiting_in_time, load.waiting_late,
      load.waiting_without_value, unconfirmed.runs, unconfirmed.jobs,
      unconfirmed.oldest.count(),
      std::chrono::duration<double, std::milli>(
          std::exchange(longest_round_, {}))
          .count(),
      pool::journal_age(pool_, now).count(),
      pool::directory_age(pool_, now).count());
}

void owner::record_latency(const pool::job_event& event) {
  std::unordered_map<std::string, pool::job>::const_iterator job =
      pool_.jobs.find(event.job);
  if (!event.since_accepted || job == pool_.jobs.end()) return;
  const std::string& queue = job->second.submission->queue();
  if (event.kind == pool::job_event_kind::placed) {
    measurements_.first_start_times.record(queue, *event.since_accepted);
  } else {
    measurements_.job_times.record(queue, *event.since_accepted);
  }
}

void owner::emit_job_events() {
  for (const pool::job_event& each : std::exchange(pool_.job_events, {})) {
    record_latency(each);
    if (admission_) admission_->on_job_event(each);
    switch (each.kind) {
      case pool::job_event_kind::placed:
        events::emit(events::id::task_placed, "decide", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::run_ended:
      case pool::job_event_kind::run_lost:
        events::emit(events::id::task_ended, "observe", each.worker,
                     "job={} {}", each.job, each.detail);
        break;
      case pool::job_event_kind::step_done:
        events::emit(events::id::step_done, "observe", each.worker, "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::job_ended:
        events::emit(events::id::job_ended, "observe", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::suspected:
        events::emit(events::id::task_suspected, "observe", each.worker,
                     "job={} {}", each.job, each.detail);
        break;
      case pool::job_event_kind::cleared:
        events::emit(events::id::task_cleared, "observe", each.worker,
                     "job={} {}", each.job, each.detail);
        break;
      case pool::job_event_kind::given_up:
        events::emit(events::id::job_given_up, "decide", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::near_wait_begun:
        events::emit(events::id::near_wait_begun, "decide", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::near_wait_ended:
        events::emit(events::id::near_wait_ended, "decide", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::step_waits:
        events::emit(events::id::step_waits, "decide", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::reservation_yielded:
        events::emit(events::id::reservation_yielded, "decide", "", "job={} {}",
                     each.job, each.detail);
        break;
      case pool::job_event_kind::worker_avoided:
        events::emit(events::id::worker_avoided, "decide", each.worker,
                     "job={} {}", each.job, each.detail);
        break;
    }
  }
}

void owner::emit_worker_events() {
  for (const pool::worker_event& each :
       std::exchange(pool_.worker_events, {})) {
    switch (each.kind) {
      case pool::worker_event_kind::restarted:
        events::emit(events::id::worker_restarted, "observe", each.worker, "{}",
                     each.detail);
        break;
      case pool::worker_event_kind::run_unexpected:
        events::emit(events::id::run_unexpected, "observe", each.worker, "{}",
                     each.detail);
        break;
      case pool::worker_event_kind::entry_outdated:
        events::emit(events::id::worker_entry_outdated, "observe", each.worker,
                     "{}", each.detail);
        break;
      case pool::worker_event_kind::removed:
        events::emit(events::id::worker_removed, "observe", each.worker, "{}",
                     each.detail);
        break;
      case pool::worker_event_kind::crashed:
        events::emit(events::id::worker_crashed, "observe", each.worker, "{}",
                     each.detail);
        break;
    }
  }
}

void owner::emit_forgotten_jobs() {
  for (const pool::forgotten_job& each :
       std::exchange(pool_.forgotten_jobs, {})) {
    events::emit(events::id::job_forgotten, "flush", "",
                 "job={} outcome={} age_ms={} forgotten={}", each.job,
                 each.outcome.empty() ? "-" : each.outcome, each.age.count(),
                 pool_.counters.forgotten_jobs);
  }
}

void owner::send_orders(const pool::decisions& orders) {
  for (const pool::start_order& each : orders.repeated_starts) {
    send_start(each);
  }
  for (const pool::stop_order& each : orders.stops) send_stop(each);
  for (const pool::advice_request& each : orders.advice) request_advice(each);
  for (const std::string& each : orders.departed) close_link(each);
}

void owner::send_start(const pool::start_order& order) {
  std::unordered_map<std::string, std::shared_ptr<worker_link>>::iterator link =
      links_.find(order.worker);
  if (link == links_.end()) {
    pool::observe_start(&pool_, order, pool::start_outcome::unknown,
                        clock_.now());
    return;
  }
  link->second->send_start(
      order, [self = shared_from_this(), order](pool::start_outcome outcome) {
        if (self->stopped_) return;
        if (outcome != pool::start_outcome::running) {
          events::emit(events::id::start_refused, "start", order.worker,
                       "job={} step={} task={} run={} answer={}",
                       order.task.job, order.task.step, order.task.index,
                       order.run, static_cast<int>(outcome));
        }
        pool::observe_start(&self->pool_, order, outcome, self->clock_.now());
        self->schedule_round();
      });
}

void owner::send_stop(const pool::stop_order& order) {
  std::unordered_map<std::string, std::shared_ptr<worker_link>>::iterator link =
      links_.find(order.worker);
  if (link == links_.end()) return;
  link->second->send_stop(
      order, [self = shared_from_this(), order](bool confirmed) {
        if (self->stopped_) return;
        pool::observe_stop(&self->pool_, order, confirmed, self->clock_.now());
      });
}

void owner::request_advice(const pool::advice_request& request) {
  std::weak_ptr<owner> weak = weak_from_this();
  advice_dispatcher_.submit(
      request,
      [weak, request](std::optional<std::vector<pool::ticket>> tickets) {
        std::shared_ptr<owner> self = weak.lock();
        if (!self || self->stopped_) return;
        steady_time now = self->clock_.now();
        pool::observe_advice(&self->pool_, request, tickets.has_value(),
                             tickets.value_or(std::vector<pool::ticket>()),
                             now + request.validity - kTicketValidityMargin,
                             now);
        self->schedule_round();
      });
}

// ---- Journal ----------------------------------------------------------------

void owner::schedule_flush() {
  if (flush_scheduled_ || stopped_ || !journal_->idle()) return;
  flush_scheduled_ = true;
  flush_timer_.expires_at(
      std::max(clock_.now(), last_flush_ + kMinFlushInterval));
  flush_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (failed || self->stopped_) return;
        self->flush_scheduled_ = false;
        self->flush();
      });
}

void owner::flush() {
  if (!journal_->idle()) return;
  last_flush_ = clock_.now();
  pool::journal_batch batch = pool::take_batch(&pool_, clock_.now());
  bool release_now = releasing_ && on_released_ != nullptr;
  bool heartbeat_due = clock_.now() - last_write_ >= kHeartbeatInterval;
  std::vector<caller_write> callers = take_callers();
  if (batch.records.empty() && callers.empty() && !heartbeat_due &&
      !release_now) {
    apply_written(batch);
    return;
  }
  if (batch.records.empty() && callers.empty()) {
    batch.records.push_back(ownership_record(release_now));
  } else if (release_now) {
    batch.records.push_back(ownership_record(true));
  }
  send(std::move(batch), std::move(callers), release_now);
}

void owner::send(pool::journal_batch batch, std::vector<caller_write> callers,
                 bool releases) {
  std::vector<jobs::record> records = batch.records;
  for (const caller_write& each : callers) records.push_back(each.record);
  // The owner's own records are retried without limit; callers don't wait.
  bool has_callers = !callers.empty();
  steady_time sent = clock_.now();
  steady_time retry_until = sent + kRetryPeriod;
  std::size_t count = records.size();
  journal_->write(
      std::move(records),
      [this, has_callers, retry_until] {
        return !has_callers || clock_.now() < retry_until;
      },
      [self = shared_from_this(), batch = std::move(batch),
       callers = std::move(callers), releases, count,
       sent](write_outcome outcome) mutable {
        if (outcome == write_outcome::written && !self->stopped_) {
          pool::observe_journal_write(&self->pool_, sent);
          std::uint64_t first = self->journal_->last_offset();
          self->on_appended_(first, first + count, sent);
          std::uint64_t offset = first;
          for (jobs::record& each : batch.records) {
            each.offset = offset++;
            self->on_record_(each);
          }
          for (caller_write& each : callers) each.record.offset = offset++;
        }
        self->reply_to_callers(callers, outcome);
        if (outcome != write_outcome::abandoned) {
          return self->on_written(batch, outcome, releases);
        }
        if (!self->stopped_) self->send(std::move(batch), {}, releases);
      });
}

jobs::record owner::ownership_record(bool released) {
  wire::ownership_record record;
  record.set_daemon(settings_.id);
  record.set_epoch(epoch_);
  record.set_peer_address(settings_.peer_address);
  record.set_released(released);
  if (released) {
    std::vector<wire::worker_lease> leases =
        pool::release_leases(&pool_, clock_.now());
    record.mutable_leases()->Add(leases.begin(), leases.end());
  }
  return {jobs::kOwnerKey, record.SerializeAsString(), 0};
}

void owner::on_written(const pool::journal_batch& batch, write_outcome outcome,
                       bool releases) {
  if (stopped_) return;
  if (outcome != write_outcome::written) {
    events::emit(events::id::claim_lost, "append", "",
                 "epoch={} was fenced by a later owner", epoch_);
    return step_down();
  }
  last_write_ = clock_.now();
  if (releases) return finish_release();
  apply_written(batch);
  schedule_round();
  schedule_flush();
}

void owner::reply_to_callers(const std::vector<caller_write>& callers,
                             write_outcome outcome) {
  for (const caller_write& each : callers) {
    switch (outcome) {
      case write_outcome::written:
        on_record_(each.record);
        each.handler(owner_reply::written);
        break;
      case write_outcome::abandoned:
        each.handler(owner_reply::unavailable);
        break;
      case write_outcome::fenced:
        // An earlier attempt than the fenced one may have been written.
        each.handler(owner_reply::unknown);
        break;
    }
  }
}

void owner::apply_written(const pool::journal_batch& batch) {
  for (const pool::start_order& each :
       pool::observe_batch_written(&pool_, batch, clock_.now())) {
    send_start(each);
  }
  for (const pool::applied_end& each : batch.ends_to_acknowledge) {
    std::unordered_map<std::string, std::shared_ptr<worker_link>>::iterator
        link = links_.find(each.worker);
    if (link != links_.end()) link->second->on_ends_recorded();
  }
}

void owner::release(std::function<void()> done) {
  releasing_ = true;
  on_released_ = std::move(done);
  schedule_flush();
}

void owner::finish_release() {
  events::emit(events::id::pool_released, "release", "", "epoch={}", epoch_);
  stop();
  std::function<void()> done = std::exchange(on_released_, nullptr);
  done();
}

}  // namespace ebonygrade::poold
