#include "poold/maintenance_runner.h"

#include <utility>

#include "events/events.h"
#include "platform/machines.h"

namespace ebonygrade::poold {

namespace {

// Applies while a wave is open. The platform accepts tens of list calls per
// second from all daemons together.
constexpr milliseconds kListDelay{500};
// Daemons that follow the journal claim the pool no earlier than this after
// they have read the owner's last append: when it is 500 ms old and a probe of
// the owner has timed out. A daemon that has just started may be faster. The
// platform may not check fencing tokens.
constexpr milliseconds kMaxAppendAge{800};
constexpr std::size_t kConnections = 2;

http::client_options machine_options() {
  http::client_options options;
  options.connections = kConnections;
  return options;
}

}  // namespace

maintenance_runner::maintenance_runner(
    boost::asio::io_context& context, store_client& store,
    const clock::clock& clock, const node_settings& settings,
    std::uint64_t fencing_token, pool::pool_state& pool, journal_writer journal)
    : clock_(clock),
      settings_(settings),
      fencing_token_(fencing_token),
      pool_(pool),
      journal_(std::move(journal)),
      machines_(context, settings.machines_address, machine_options()),
      // The fencing token keeps an earlier owner from publishing old status.
      status_(std::make_shared<appender>(
          context, store, std::string(platform::kStatusTopic),
          platform::producer{"upkeep", fencing_token, 0})),
      timer_(context) {}

void maintenance_runner::stop() {
  stopped_ = true;
  timer_.cancel();
  status_->stop();
}

void maintenance_runner::on_wave(const pool::maintenance_wave& wave,
                                 const wire::wave_record& record) {
  if (stopped_) return;
  bool is_new = maintenance_.waves.count(wave.number) == 0;
  for (const pool::maintenance_order& each :
       pool::observe_wave(&maintenance_, wave, record, clock_.now())) {
    if (may_order()) {
      send(each);
    } else {
      // It is repeated after a new record.
      pool::observe_maintenance(&maintenance_, each,
                                pool::maintenance_outcome::unknown,
                                clock_.now());
    }
  }
  if (is_new) publish_status(wave.number, record.complete());
  if (!running_ && pool::has_incomplete_wave(maintenance_)) {
    running_ = true;
    run();
  }
}

bool maintenance_runner::may_order() const {
  return clock_.now() - pool_.last_journal_write <= kMaxAppendAge;
}

void maintenance_runner::run_after(milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (!failed && !self->stopped_) self->run();
      });
}

void maintenance_runner::run() {
  if (!pool::has_incomplete_wave(maintenance_)) {
    running_ = false;
    return;
  }
  listed_.clear();
  list_asked_ = clock_.now();
  list({});
}

void maintenance_runner::list(const std::string& page_token) {
  machines_.call("list machines", platform::encode_list_machines(page_token),
                 [self = shared_from_this()](http::call_result&& result) {
                   if (self->stopped_) return;
                   if (result.has_error()) return self->run_after(kListDelay);
                   error::result<platform::machine_page> page =
                       platform::decode_machines(*result);
                   if (page.has_error()) return self->run_after(kListDelay);
                   self->listed_.insert(self->listed_.end(),
                                        page->machines.begin(),
                                        page->machines.end());
                   if (!page->next_page_token.empty()) {
                     return self->list(page->next_page_token);
                   }
                   pool::observe_machines(&self->maintenance_, self->listed_,
                                          self->list_asked_);
                   self->order_maintenance();
                   self->run_after(kListDelay);
                 });
}

void maintenance_runner::order_maintenance() {
  std::vector<std::uint64_t> open;
  for (const std::pair<const std::uint64_t, pool::wave_progress>& each :
       maintenance_.waves) {
    if (!each.second.complete) open.push_back(each.first);
  }
  for (const pool::maintenance_order& each : pool::decide_maintenance(
           &maintenance_, &pool_, settings_.upkeep_time, clock_.now())) {
    record_and_send(each);
  }
  for (std::uint64_t wave : open) {
    if (!maintenance_.waves[wave].complete) continue;
    record_wave(wave, [self = shared_from_this(), wave](bool) {
      // Maintenance of every machine has begun, even if this write failed.
      self->publish_status(wave, true);
    });
  }
}

void maintenance_runner::record_wave(std::uint64_t wave,
                                     std::function<void(bool)> handler) {
  jobs::record record;
  record.key = jobs::wave_key(std::to_string(wave));
  record.value = pool::record_of(maintenance_.waves[wave]).SerializeAsString();
  journal_(record, std::move(handler));
}

void maintenance_runner::record_and_send(const pool::maintenance_order& order) {
  record_wave(order.wave, [self = shared_from_this(), order](bool written) {
    if (self->stopped_) return;
    if (written && self->may_order()) return self->send(order);
    // The order was not sent, so it may be issued again.
    pool::observe_maintenance(&self->maintenance_, order,
                              pool::maintenance_outcome::busy,
                              self->clock_.now());
  });
}

void maintenance_runner::send(const pool::maintenance_order& order) {
  machines_.call(
      "upkeep",
      platform::encode_maintenance_order(order, settings_.id, fencing_token_),
      [self = shared_from_this(), order](http::call_result&& result) {
        if (self->stopped_) return;
        pool::maintenance_outcome outcome = pool::maintenance_outcome::unknown;
        if (result.has_value()) {
          outcome = platform::decode_maintenance_reply(*result);
        }
        events::emit(events::id::upkeep_ordered, "upkeep", order.machine,
                     "wave={} answer={}", order.wave,
                     static_cast<int>(outcome));
        pool::observe_maintenance(&self->maintenance_, order, outcome,
                                  self->clock_.now());
        if (outcome == pool::maintenance_outcome::begun) {
          self->record_wave(order.wave, [](bool) {});
        }
      });
}

void maintenance_runner::publish_status(std::uint64_t wave, bool complete) {
  jobs::record status;
  status.key = std::string(platform::kWaveKeyPrefix) + std::to_string(wave);
  status.value = platform::encode_wave_status(wave, complete);
  unpublished_.push_back(std::move(status));
  flush_status();
}

void maintenance_runner::flush_status() {
  if (stopped_ || unpublished_.empty() || !status_->idle()) return;
  status_->write(
      std::exchange(unpublished_, {}), [] { return true; },
      [self = shared_from_this()](write_outcome) {
        // If fenced, a later owner publishes the status.
        self->flush_status();
      });
}

}  // namespace ebonygrade::poold
