#include "core/core.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <utility>

#include "clock/timer.h"
#include "core/core_pvt.h"
#include "events/events.h"

namespace ebonygrade::core {

namespace {

constexpr milliseconds kTickInterval{20};
constexpr milliseconds kSlowTickInterval{100};
constexpr milliseconds kDrainCheckInterval{50};
// A drain lasts at least this long, so that the load balancer can see that the
// daemon is not ready. Requests that arrive in the meantime are served.
constexpr milliseconds kMinDrainTime{2000};

ownership::claim_table make_claims(const core_options& options) {
  std::vector<std::string> names;
  for (const region& each : options.regions) names.push_back(each.name);
  return ownership::make_claim_table(names, options.shards_per_region);
}

std::string region_of(const core_options& options, const std::string& zone) {
  const std::optional<std::uint16_t> index = region_of_zone(options, zone);
  return index ? options.regions[*index].name : std::string();
}

membership::state make_membership(const clock::clock& clock,
                                  const core_options& options) {
  membership::options settings;
  settings.self = options.self;
  settings.incarnation = options.incarnation;
  settings.region = region_of(options, options.zone);
  for (const region& each : options.regions) {
    for (const std::string& zone : each.zones) {
      settings.zones.push_back({zone, each.name});
    }
  }
  settings.heartbeat_interval = options.heartbeat_interval;
  settings.cross_region_interval = 2 * options.heartbeat_interval;
  settings.unresponsive_limit = options.unresponsive_limit;
  return membership::make_state(settings, clock.now());
}

}  // namespace

core_state::core_state(const clock::clock& clock, const core_options& options,
                       const core_outputs& outputs)
    : clock(clock),
      options(options),
      region(region_of(options, options.zone)),
      api(outputs.api),
      workers(outputs.workers),
      platform(outputs.platform),
      peers(outputs.peers),
      ownership(ownership::make_state(options.ownership, make_claims(options))),
      membership(make_membership(clock, options)),
      last_log_reply(clock.now()),
      last_tick(clock.now()) {
  requests.options = options.requests;
  entry.options = options.entry;
  intents.flush_interval = options.intent_flush_interval;
  for (const ebonygrade::core::region& each : options.regions) {
    intents.regions.push_back(each.name);
  }
  shards.resize(options.regions.size());
  for (std::vector<shard_runtime>& each : shards) {
    each.resize(options.shards_per_region);
  }
}

shard_runtime& runtime(core_state& state, job::shard_id shard) {
  return state.shards[shard.region][shard.shard];
}

std::optional<std::uint16_t> region_index(const core_state& state,
                                          const std::string& name) {
  for (std::size_t i = 0; i < state.options.regions.size(); ++i) {
    if (state.options.regions[i].name == name) {
      return static_cast<std::uint16_t>(i);
    }
  }
  return std::nullopt;
}

std::optional<std::uint16_t> region_of_zone(const core_options& options,
                                            const std::string& zone) {
  for (std::size_t i = 0; i < options.regions.size(); ++i) {
    for (const std::string& each : options.regions[i].zones) {
      if (each == zone) return static_cast<std::uint16_t>(i);
    }
  }
  return std::nullopt;
}

bool is_ready(const core_state& state) {
  return state.list_known && state.claims_known && state.policy.has_value() &&
         !state.draining;
}

class scheduler::implementation {
 public:
  implementation(boost::asio::io_context& context, const clock::clock& clock,
                 const core_options& options, const core_outputs& outputs)
      : context_(context),
        state_(clock, options, outputs),
        tick_timer_(context),
        slow_timer_(context),
        drain_timer_(context) {}

  void start() {
    state_.platform.send(platform::follow{kClaimsStream, 0});
    state_.platform.send(platform::follow{kBundlesStream, 0});
    schedule_tick();
    schedule_slow_tick();
  }

  void handle(api::command&& command) {
    std::visit([this](auto&& each) { on(std::forward<decltype(each)>(each)); },
               std::move(command));
    schedule_round();
  }

  void handle(worker::report&& report) {
    on_worker_report(state_, std::move(report));
    schedule_round();
  }

  void handle(platform::report&& report) {
    std::visit([this](auto&& each) { on(std::forward<decltype(each)>(each)); },
               std::move(report));
    schedule_round();
  }

  void handle(peer::report&& report) {
    if (const peer::received* received = std::get_if<peer::received>(&report)) {
      on_peer_message(state_, received->message);
    } else if (const peer::traffic* traffic =
                   std::get_if<peer::traffic>(&report)) {
      count_traffic(*traffic);
    } else if (const peer::reconnected* reconnected =
                   std::get_if<peer::reconnected>(&report)) {
      state_.metrics.add(metrics::counter::peer_reconnects);
      events::emit(events::id::peer_reconnected, "link", reconnected->to,
                   "no contact for {} ms",
                   reconnected->unresponsive_for.count());
    } else {
      state_.metrics.add(metrics::counter::messages_dropped);
    }
    schedule_round();
  }

  void drain(milliseconds timeout,
             std::function<void(std::size_t)> on_drained) {
    drain_started_at_ = state_.clock.now();
    drain_deadline_ = drain_started_at_ + timeout;
    on_drained_ = std::move(on_drained);
    begin_drain();
    check_drain();
  }

  bool ready() const { return ready_.load(); }
  std::size_t open_requests() const { return open_requests_.load(); }

  void close() {
    tick_timer_.cancel();
    slow_timer_.cancel();
    drain_timer_.cancel();
    closed_ = true;
  }

 private:
  // ---- Commands from the HTTP server ------------------------------------

  void on(api::submit&& command) { on_submit(state_, std::move(command)); }
  void on(api::query&& command) { on_query(state_, std::move(command)); }
  void on(api::cancel&& command) { on_cancel(state_, std::move(command)); }
  void on(api::explain&& command) { on_explain(state_, command); }
  void on(api::publish&& command) { on_publish(state_, command); }
  void on(api::approve&& command) { on_approve(state_, command); }
  void on(api::roll&& command) { on_roll(state_, command); }
  void on(api::list_bundles&& command) { on_list_bundles(state_, command); }
  void on(api::show_cell&& command) { on_show_cell(state_, command); }
  void on(api::show_metrics&& command) {
    state_.api.send(api::text_reply{command.token, metrics_text(state_)});
  }
  void on(api::drain&& command) {
    begin_drain();
    state_.api.send(api::text_reply{command.token, "draining\n"});
  }

  // ---- Reports from the platform client ---------------------------------

  void on(platform::appended&& report) {
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::append_intents) {
      on_intents_appended(state_);
    }
  }

  void on(platform::append_failed&& report) {
    report_failed_append(state_, report);
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::append_intents) {
      on_intents_failed(state_);
    }
    if (call->purpose == call_purpose::append_operation) {
      on_operation_failed(state_, *call, report);
    }
  }

  void on(platform::records&& report) {
    state_.last_log_reply = state_.clock.now();
    if (report.stream == kClaimsStream) {
      on_claim_records(state_, report);
    } else if (report.stream == kBundlesStream) {
      on_bundle_records(state_, report);
    } else {
      on_intent_records(report);
    }
  }

  void on_intent_records(const platform::records& report) {
    for (const wire::record& record : report.entries) {
      for (const wire::intent& each : record.intent_batch().intents()) {
        const std::optional<std::uint16_t> region =
            region_index(state_, each.region());
        if (!region) continue;
        const job::shard_id home{*region,
                                 static_cast<std::uint16_t>(each.shard())};
        apply_request(state_, requests::intent_found{each.request_id(), home});
      }
    }
  }

  void on(platform::end_reached&& report) {
    state_.last_log_reply = state_.clock.now();
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::verify_claims) {
      on_intents_confirmed(state_);
    }
    if (call->purpose == call_purpose::read_intents) {
      on_intents_read(state_, *call, report.token);
    }
    if (call->purpose == call_purpose::recheck_ownership) {
      state_.ownership_uncertain = false;
      resume_workers(state_);
      apply_request(state_, requests::ownership_uncertain{false});
    }
  }

  // A failed read of claims after an append fails the intents of the append.
  // Any other read is retried until it succeeds, because no task may be started
  // without its result.
  void on(platform::read_failed&& report) {
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::verify_claims) {
      on_intents_failed(state_);
      return;
    }
    state_.calls[report.token] = *call;
    failed_reads_.push_back({report.token, call->stream});
  }

  void on(platform::list_read&& report) { on_list(state_, report.list); }

  void on(platform::log_reachability&& report) {
    state_.log_reachable = report.reachable;
    if (report.reachable) {
      events::emit(events::id::log_up, "log", "", "");
    } else {
      events::emit(events::id::log_down, report.cause);
    }
  }

  void retry_failed_reads() {
    for (platform::read_to_end& each : failed_reads_) {
      state_.platform.send(std::move(each));
    }
    failed_reads_.clear();
  }

  std::optional<platform_call> take_call(std::uint64_t token) {
    const auto found = state_.calls.find(token);
    if (found == state_.calls.end()) return std::nullopt;
    platform_call call = std::move(found->second);
    state_.calls.erase(found);
    return call;
  }

  void count_traffic(const peer::traffic& traffic) {
    metrics::traffic_label label;
    label.kind = traffic.kind;
    label.link = metrics::link_distance::same_region;
    if (traffic.link == "zone") label.link = metrics::link_distance::same_zone;
    if (traffic.link == "cross_region") {
      label.link = metrics::link_distance::cross_region;
    }
    label.flow_direction = metrics::direction::sent;
    state_.metrics.add_bytes(label, traffic.sent_bytes);
    label.flow_direction = metrics::direction::received;
    state_.metrics.add_bytes(label, traffic.received_bytes);
  }

  // ---- Timers and scheduling rounds ---------------------------------------

  // Runs one scheduling round after all events that are ready now.
  void schedule_round() {
    if (round_pending_) return;
    round_pending_ = true;
    boost::asio::post(context_, [this] {
      round_pending_ = false;
      run_scheduling_round(state_);
      flush_intents(state_);
      flush_outputs();
    });
  }

  void flush_outputs() {
    state_.api.flush();
    state_.workers.flush();
    state_.platform.flush();
    state_.peers.flush();
  }

  void schedule_tick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait([this](boost::system::error_code failed) {
      if (failed || closed_) return;
      tick_entry(state_);
      open_requests_.store(state_.entry.open.size());
      flush_intents(state_);
      run_scheduling_round(state_);
      flush_outputs();
      ready_.store(is_ready(state_));
      report_changes(state_);
      schedule_tick();
    });
  }

  void schedule_slow_tick() {
    slow_timer_.expires_after(kSlowTickInterval);
    slow_timer_.async_wait([this](boost::system::error_code failed) {
      if (failed || closed_) return;
      apply_request(state_, requests::tick{});
      check_ownership_certainty(state_);
      tick_membership(state_);
      if (state_.list_known && membership::is_settled(state_.membership)) {
        apply_ownership(
            state_, ownership::tick{membership::members(state_.membership)});
      }
      check_takeovers(state_);
      tick_operations(state_);
      retry_failed_reads();
      schedule_slow_tick();
    });
  }

  void begin_drain() {
    if (state_.draining) return;
    state_.draining = true;
    ready_.store(false);
    apply_ownership(state_, ownership::drain{});
  }

  bool owns_no_shards() const {
    for (const std::vector<shard_runtime>& region : state_.shards) {
      for (const shard_runtime& shard : region) {
        if (shard.phase != runtime_phase::none) return false;
      }
    }
    return true;
  }

  void check_drain() {
    const bool min_time_passed =
        state_.clock.now() - drain_started_at_ >= kMinDrainTime;
    const bool drained =
        min_time_passed && owns_no_shards() && state_.entry.open.empty();
    if (drained || state_.clock.now() >= drain_deadline_) {
      on_drained_(state_.entry.open.size());
      return;
    }
    drain_timer_.expires_after(kDrainCheckInterval);
    drain_timer_.async_wait([this](boost::system::error_code failed) {
      if (!failed && !closed_) check_drain();
    });
  }

  boost::asio::io_context& context_;
  core_state state_;
  clock::timer tick_timer_;
  clock::timer slow_timer_;
  clock::timer drain_timer_;
  std::atomic<bool> ready_{false};
  std::atomic<std::size_t> open_requests_{0};
  std::vector<platform::read_to_end> failed_reads_;
  bool round_pending_ = false;
  bool closed_ = false;
  steady_time drain_started_at_;
  steady_time drain_deadline_;
  std::function<void(std::size_t)> on_drained_;
};

scheduler::scheduler(boost::asio::io_context& context,
                     const clock::clock& clock, const core_options& options,
                     const core_outputs& outputs)
    : implementation_(
          std::make_unique<implementation>(context, clock, options, outputs)) {}

scheduler::~scheduler() = default;

void scheduler::start() { implementation_->start(); }
void scheduler::handle(api::command&& command) {
  implementation_->handle(std::move(command));
}
void scheduler::handle(worker::report&& report) {
  implementation_->handle(std::move(report));
}
void scheduler::handle(platform::report&& report) {
  implementation_->handle(std::move(report));
}
void scheduler::handle(peer::report&& report) {
  implementation_->handle(std::move(report));
}
void scheduler::drain(milliseconds timeout,
                      std::function<void(std::size_t)> on_drained) {
  implementation_->drain(timeout, std::move(on_drained));
}
bool scheduler::ready() const { return implementation_->ready(); }
std::size_t scheduler::open_requests() const {
  return implementation_->open_requests();
}
void scheduler::close() { implementation_->close(); }

}  // namespace ebonygrade::core
