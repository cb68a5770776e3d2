#include "core/core.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "core/core_pvt.h"

namespace ebonygrade::core {

namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kSlowTick{100};
constexpr milliseconds kDrainCheck{50};

ownership::claim_table make_claims(const core_options& options) {
  std::vector<std::string> names;
  for (const region& each : options.regions) names.push_back(each.name);
  return ownership::make_claim_table(names, options.shards_per_region);
}

std::string region_of(const core_options& options, const std::string& zone) {
  const std::optional<std::uint16_t> index = region_of_zone(options, zone);
  return index ? options.regions[*index].name : std::string();
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
      ownership(
          ownership::make_state(options.ownership, make_claims(options))) {
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
        heartbeat_timer_(context),
        drain_timer_(context) {}

  void start() {
    state_.platform.send(platform::follow{kClaimsStream, 0});
    state_.platform.send(platform::follow{kBundlesStream, 0});
    schedule_tick();
    schedule_slow_tick();
    schedule_heartbeat();
  }

  void handle(api::command&& command) {
    std::visit([this](auto&& each) { on(std::forward<decltype(each)>(each)); },
               std::move(command));
    decide_soon();
  }

  void handle(worker::report&& report) {
    on_worker_report(state_, std::move(report));
    decide_soon();
  }

  void handle(platform::report&& report) {
    std::visit([this](auto&& each) { on(std::forward<decltype(each)>(each)); },
               std::move(report));
    decide_soon();
  }

  void handle(peer::report&& report) {
    if (const peer::received* received = std::get_if<peer::received>(&report)) {
      on_peer_message(state_, received->message);
    }
    decide_soon();
  }

  void drain(milliseconds limit, std::function<void(std::size_t)> done) {
    drain_until_ = state_.clock.now() + limit;
    drain_done_ = std::move(done);
    begin_drain();
    check_drain();
  }

  bool ready() const { return ready_.load(); }

  void close() {
    tick_timer_.cancel();
    slow_timer_.cancel();
    heartbeat_timer_.cancel();
    drain_timer_.cancel();
    closed_ = true;
  }

 private:
  // ---- Commands of the HTTP server --------------------------------------

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
    state_.api.send(api::text_reply{command.token, ""});
  }
  void on(api::drain&& command) {
    begin_drain();
    state_.api.send(api::text_reply{command.token, "draining\n"});
  }

  // ---- Reports of the platform client -----------------------------------

  void on(platform::appended&& report) {
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::append_intents) {
      on_intents_appended(state_);
    }
  }

  void on(platform::append_failed&& report) {
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
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::confirm_claims) {
      on_intents_confirmed(state_);
    }
    if (call->purpose == call_purpose::read_intents) {
      on_intents_read(state_, *call, report.token);
    }
  }

  // A read is repeated until it succeeds: nothing may be given out on a guess.
  void on(platform::read_failed&& report) {
    const std::optional<platform_call> call = take_call(report.token);
    if (!call) return;
    if (call->purpose == call_purpose::confirm_claims) {
      on_intents_failed(state_);
      return;
    }
    state_.calls[report.token] = *call;
    state_.platform.send(platform::read_to_end{report.token, call->stream});
  }

  void on(platform::list_read&& report) { on_list(state_, report.list); }

  void on(platform::log_reachable&& report) {
    state_.log_reachable = report.reachable;
  }

  std::optional<platform_call> take_call(std::uint64_t token) {
    const auto found = state_.calls.find(token);
    if (found == state_.calls.end()) return std::nullopt;
    platform_call call = std::move(found->second);
    state_.calls.erase(found);
    return call;
  }

  // ---- Time ---------------------------------------------------------------

  // Decides once after all events that are ready now.
  void decide_soon() {
    if (decision_pending_) return;
    decision_pending_ = true;
    boost::asio::post(context_, [this] {
      decision_pending_ = false;
      decide(state_);
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
    tick_timer_.expires_after(kTick);
    tick_timer_.async_wait([this](boost::system::error_code failed) {
      if (failed || closed_) return;
      tick_entry(state_);
      flush_intents(state_);
      decide(state_);
      flush_outputs();
      ready_.store(is_ready(state_));
      schedule_tick();
    });
  }

  void schedule_slow_tick() {
    slow_timer_.expires_after(kSlowTick);
    slow_timer_.async_wait([this](boost::system::error_code failed) {
      if (failed || closed_) return;
      apply_request(state_, requests::tick{});
      if (state_.list_known) {
        apply_ownership(state_, ownership::tick{present_members(state_)});
      }
      check_takeovers(state_);
      tick_operations(state_);
      schedule_slow_tick();
    });
  }

  void schedule_heartbeat() {
    heartbeat_timer_.expires_after(state_.options.heartbeat_interval);
    heartbeat_timer_.async_wait([this](boost::system::error_code failed) {
      if (failed || closed_) return;
      send_heartbeats(state_);
      schedule_heartbeat();
    });
  }

  void begin_drain() {
    if (state_.draining) return;
    state_.draining = true;
    ready_.store(false);
    send_heartbeats(state_);
    apply_ownership(state_, ownership::drain{});
  }

  bool owns_nothing() const {
    for (const std::vector<shard_runtime>& region : state_.shards) {
      for (const shard_runtime& shard : region) {
        if (shard.phase != takeover_phase::none) return false;
      }
    }
    return true;
  }

  void check_drain() {
    const bool finished = owns_nothing() && state_.entry.open.empty();
    if (finished || state_.clock.now() >= drain_until_) {
      drain_done_(state_.entry.open.size());
      return;
    }
    drain_timer_.expires_after(kDrainCheck);
    drain_timer_.async_wait([this](boost::system::error_code failed) {
      if (!failed && !closed_) check_drain();
    });
  }

  boost::asio::io_context& context_;
  core_state state_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer slow_timer_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer drain_timer_;
  std::atomic<bool> ready_{false};
  bool decision_pending_ = false;
  bool closed_ = false;
  steady_time drain_until_;
  std::function<void(std::size_t)> drain_done_;
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
void scheduler::drain(milliseconds limit,
                      std::function<void(std::size_t)> done) {
  implementation_->drain(limit, std::move(done));
}
bool scheduler::ready() const { return implementation_->ready(); }
void scheduler::close() { implementation_->close(); }

}  // namespace ebonygrade::core
