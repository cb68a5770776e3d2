#include "poold/upkeep_duty.h"

#include <utility>

#include "events/events.h"
#include "platform/machines.h"

namespace ebonygrade::poold {

namespace {

// Between two lists of the machines, while a wave is open. The platform takes
// tens of readings a second from all daemons together.
constexpr milliseconds kListPause{500};
constexpr std::size_t kConnections = 2;

http::client_options machine_options() {
  http::client_options options;
  options.connections = kConnections;
  return options;
}

}  // namespace

upkeep_duty::upkeep_duty(boost::asio::io_context& context, store& store,
                         const clock::clock& clock,
                         const node_settings& settings, std::uint64_t fence,
                         pool::pool_state& pool, journal_writer journal)
    : clock_(clock),
      settings_(settings),
      fence_(fence),
      pool_(pool),
      journal_(std::move(journal)),
      machines_(context, settings.machines_address, machine_options()),
      // The fencing token keeps an earlier owner from telling old news.
      status_(std::make_shared<appender>(
          context, store, std::string(platform::kStatusTopic),
          platform::producer{"upkeep", fence, 0})),
      timer_(context) {}

void upkeep_duty::stop() {
  stopped_ = true;
  timer_.cancel();
  status_->stop();
}

void upkeep_duty::on_wave(const pool::maintenance_wave& wave,
                          const wire::wave_record& record) {
  if (stopped_) return;
  bool is_new = upkeep_.waves.count(wave.number) == 0;
  for (const pool::maintenance_order& each :
       pool::observe_wave(&upkeep_, wave, record, clock_.now())) {
    send(each);
  }
  if (is_new) tell(wave.number, record.complete());
  if (!running_ && pool::has_incomplete_wave(upkeep_)) {
    running_ = true;
    run();
  }
}

void upkeep_duty::run_after(milliseconds pause) {
  timer_.expires_after(pause);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code e) {
    if (!e && !self->stopped_) self->run();
  });
}

void upkeep_duty::run() {
  if (!pool::has_incomplete_wave(upkeep_)) {
    running_ = false;
    return;
  }
  listed_.clear();
  list({});
}

void upkeep_duty::list(const std::string& page_token) {
  machines_.call("list machines", platform::encode_list_machines(page_token),
                 [self = shared_from_this()](http::call_result&& result) {
                   if (self->stopped_) return;
                   if (result.has_error()) return self->run_after(kListPause);
                   error::result<platform::machine_page> page =
                       platform::decode_machines(*result);
                   if (page.has_error()) return self->run_after(kListPause);
                   self->listed_.insert(self->listed_.end(),
                                        page->machines.begin(),
                                        page->machines.end());
                   if (!page->next.empty()) return self->list(page->next);
                   pool::observe_machines(&self->upkeep_, self->listed_);
                   self->decide();
                   self->run_after(kListPause);
                 });
}

void upkeep_duty::decide() {
  std::vector<std::uint64_t> open;
  for (const std::pair<const std::uint64_t, pool::wave_progress>& each :
       upkeep_.waves) {
    if (!each.second.complete) open.push_back(each.first);
  }
  for (const pool::maintenance_order& each : pool::decide_maintenance(
           &upkeep_, &pool_, settings_.upkeep_time, clock_.now())) {
    order(each);
  }
  for (std::uint64_t wave : open) {
    if (!upkeep_.waves[wave].complete) continue;
    record(wave, [self = shared_from_this(), wave](bool) {
      // Each machine has begun, whether or not the journal says so.
      self->tell(wave, true);
    });
  }
}

void upkeep_duty::record(std::uint64_t wave,
                         std::function<void(bool)> handler) {
  jobs::record record;
  record.key = jobs::wave_key(std::to_string(wave));
  record.value = pool::record_of(upkeep_.waves[wave]).SerializeAsString();
  journal_(record, std::move(handler));
}

void upkeep_duty::order(const pool::maintenance_order& order) {
  record(order.wave, [self = shared_from_this(), order](bool written) {
    if (self->stopped_) return;
    if (written) return self->send(order);
    // Nothing has left this daemon.
    pool::observe_maintenance(&self->upkeep_, order,
                              pool::maintenance_outcome::busy);
  });
}

void upkeep_duty::send(const pool::maintenance_order& order) {
  machines_.call(
      "upkeep", platform::encode_upkeep(order, settings_.id, fence_),
      [self = shared_from_this(), order](http::call_result&& result) {
        if (self->stopped_) return;
        pool::maintenance_outcome answer = pool::maintenance_outcome::unknown;
        if (result.has_value()) answer = platform::decode_upkeep(*result);
        events::emit(events::id::upkeep_ordered, "upkeep", order.machine,
                     "wave={} answer={}", order.wave, static_cast<int>(answer));
        if (answer == pool::maintenance_outcome::unknown)
          return self->send(order);
        pool::observe_maintenance(&self->upkeep_, order, answer);
        if (answer == pool::maintenance_outcome::begun) {
          self->record(order.wave, [](bool) {});
        }
      });
}

void upkeep_duty::tell(std::uint64_t wave, bool complete) {
  jobs::record status;
  status.key = std::string(platform::kUpkeepKeyPrefix) + std::to_string(wave);
  status.value = platform::encode_wave_status(wave, complete);
  untold_.push_back(std::move(status));
  write_status();
}

void upkeep_duty::write_status() {
  if (stopped_ || untold_.empty() || !status_->idle()) return;
  status_->write(
      std::exchange(untold_, {}), [] { return true; },
      [self = shared_from_this()](write_outcome) {
        // Fenced: a later owner tells it.
        self->write_status();
      });
}

}  // namespace ebonygrade::poold
