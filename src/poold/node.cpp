#include "poold/node.h"

#include <algorithm>
#include <utility>

#include "events/events.h"
#include "platform/machines.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kOperatorWait{600};
constexpr milliseconds kOperatorReadInterval{250};
// Without a reply from the store for this long, the daemon is not ready.
constexpr milliseconds kStoreTimeout{2500};
// The platform's load balancer stops sending new connections after two failed
// readiness checks, one second apart.
constexpr milliseconds kBalancerRemovalTime{2300};
// Reserved at the end of the drain for the last replies.
constexpr milliseconds kLastRepliesMargin{700};
constexpr std::size_t kAdviceConnections = 28;
constexpr milliseconds kAdviceTimeout{20000};
constexpr std::size_t kMaxBodyBytes = 256 << 10;
constexpr std::size_t kMaxHeaderBytes = 16 << 10;
constexpr std::size_t kMaxConnections = 2500;

http::server_options caller_options() {
  http::server_options options;
  options.max_header_bytes = kMaxHeaderBytes;
  options.max_body_bytes = kMaxBodyBytes;
  options.max_connections = kMaxConnections;
  options.read_timeout = milliseconds(3000);
  options.idle_timeout = milliseconds(15000);
  return options;
}

http::client_options advice_options() {
  http::client_options options;
  options.connections = kAdviceConnections;
  options.call_timeout = kAdviceTimeout;
  return options;
}

// The manifest counts as confirmed since the send time of a read, so that a
// short limit for its age needs short reads.
follower_options operator_options(const node_settings& settings) {
  constexpr int kReadsPerLimit = 4;
  follower_options options{std::string(platform::kOperatorTopic), kOperatorWait,
                           kOperatorReadInterval};
  if (!settings.strict_revoke) return options;
  milliseconds longest = settings.revoke_time / kReadsPerLimit;
  options.max_wait = std::min(options.max_wait, longest);
  options.read_interval = std::min(options.read_interval, longest);
  return options;
}

}  // namespace

node::node(boost::asio::io_context& context, const clock::clock& clock,
           node_settings settings)
    : context_(context),
      clock_(clock),
      settings_(std::move(settings)),
      store_(context, settings_.store_address, clock),
      callers_(context, caller_options(),
               [this](http::request&& request, http::responder respond) {
                 job_api_->handle(std::move(request), std::move(respond));
               }),
      readiness_(context, {},
                 [this](http::request&&, http::responder respond) {
                   respond(http::text_response(
                       is_ready() ? http::status::ok
                                  : http::status::service_unavailable,
                       "text/plain", ""));
                 }),
      peers_(context, caller_options(),
             [this](http::request&& request, http::responder respond) {
               handle_peer(std::move(request), std::move(respond));
             }),
      tick_timer_(context),
      drain_timer_(context),
      random_(std::random_device{}()) {
  if (settings_.advice_address.empty()) return;
  advice_client_ = std::make_unique<http::client>(
      context, settings_.advice_address, advice_options());
}

node::~node() {
  if (owner_) owner_->stop();
  if (job_api_) job_api_->stop();
  if (journal_) journal_->stop();
  if (directory_) directory_->stop();
  if (directory_writer_) directory_writer_->stop();
  if (operator_) operator_->stop();
}

error::result<void> node::start() {
  owner_calls calls;
  calls.write = [this](const jobs::record& record, milliseconds timeout,
                       write_handler handler) {
    write_through_owner(record, timeout, std::move(handler));
  };
  calls.fetch_end = [this](const std::string& job, std::function<void()> then) {
    fetch_end(job, std::move(then));
  };
  calls.forward = [this](const wire::job_query& query, milliseconds timeout,
                         std::function<void(forward_result)> handler) {
    forward_query(query, timeout, std::move(handler));
  };
  calls.tell_cancelled = [this](const wire::recorded_cancellations& told) {
    tell_owner(told);
  };
  calls.not_started = [this](const std::string& queue) {
    return find_length(reported_queues_, queue, clock_.now());
  };
  calls.retry_after = [this] {
    return owner_ ? owner_->retry_after() : owner_retry_after_;
  };
  job_api_ = std::make_shared<job_api>(context_, store_, clock_, settings_.id,
                                       table_, std::move(calls), measurements_);
  job_api_->set_access({settings_.tenants_required, settings_.strict_revoke,
                        settings_.revoke_time, settings_.quota_excess},
                       [this] { return operator_->current_as_of(); });
  follow_directory();
  operator_ = follow(operator_options(settings_),
                     [this](const std::vector<jobs::record>& records) {
                       on_operator_records(records);
                     });
  error::result<void> bound = callers_.listen(settings_.client_address);
  if (bound.has_value()) bound = readiness_.listen(settings_.ready_address);
  if (bound.has_value()) bound = peers_.listen(settings_.peer_address);
  if (bound.has_error()) return bound;
  last_owner_contact_ = clock_.now();
  last_tick_ = read_clocks(clock_);
  arm_tick();
  return bound;
}

bool node::is_ready() const {
  bool follows = has_journal() || (directory_ && directory_->loaded() &&
                                   table_.owner.record.epoch() != 0);
  return !draining_ && manifest_ != nullptr && follows &&
         clock_.now() - store_.last_reply() < kStoreTimeout;
}

// ---- Following the store ----------------------------------------------------

std::shared_ptr<topic_follower> node::follow(
    follower_options options,
    std::function<void(const std::vector<jobs::record>&)> handler) {
  std::shared_ptr<topic_follower> made = std::make_shared<topic_follower>(
      context_, store_, clock_, std::move(options),
      topic_follower::handlers{handler, handler});
  made->start();
  return made;
}

milliseconds node::journal_age() const {
  return std::chrono::duration_cast<milliseconds>(clock_.now() -
                                                  journal_->current_as_of());
}

void node::apply_record(const jobs::record& record) {
  jobs::change change = jobs::apply(&table_, record);
  if (change.kind == jobs::change_kind::owner && owner_ &&
      table_.owner.record.epoch() > owner_->epoch()) {
    step_down();
  }
  bool concerns_owner = change.kind == jobs::change_kind::submitted ||
                        change.kind == jobs::change_kind::cancelled;
  if (owner_ && concerns_owner) owner_->on_change(table_, change);
}

void node::on_journal_records(const std::vector<jobs::record>& records) {
  for (const jobs::record& each : records) apply_record(each);
  steady_time now = clock_.now();
  stop_directory();
  // After a gap in this daemon's reads, the owner timeout starts again.
  bool resumed = now - last_journal_read_ > max_read_gap(store_.read_delay());
  owner_seen_writing_ |= table_.owner_records != seen_owner_records_ &&
                         last_journal_read_ != steady_time();
  last_journal_read_ = now;
  if (table_.owner_records != seen_owner_records_ || resumed) {
    seen_owner_records_ = table_.owner_records;
    last_owner_contact_ = now;
  }
  check_claim();
  // A released pool is claimed without waiting for the next tick.
  bool released = table_.owner.record.released();
  if ((claim_after_read_ || released) && !claiming_) {
    claim_after_read_ = false;
    consider_claim(now);
    if (claim_after_read_ && !claiming_) send_claim();
  }
  if (owner_moved() && !owner_ && !draining_) announce(now);
  if (owner_) owner_->on_journal_read(journal_->current_as_of());
  job_api_->on_journal_read();
}

void node::apply_wave(const jobs::record& record) {
  std::optional<pool::maintenance_wave> wave =
      platform::decode_wave(record.value);
  if (!wave) {
    events::emit(events::id::bundle_refused, "read wave", "",
                 "key={} offset={} is not a valid wave", record.key,
                 record.offset);
    return;
  }
  waves_[wave->number] = *wave;
  if (owner_) owner_->on_wave(*wave, table_);
}

void node::on_operator_records(const std::vector<jobs::record>& records) {
  for (const jobs::record& each : records) {
    if (each.value.empty()) continue;
    if (each.key.starts_with(platform::kWaveKeyPrefix)) apply_wave(each);
    if (each.key != platform::kManifestKey) continue;
    apply_manifest("read manifest", "", each.value, each.offset);
  }
}

// ---- Graceful stop ----------------------------------------------------------

void node::drain(std::function<void()> done) {
  draining_ = true;
  if (owner_) {
    owner_->release([this] {
      owner_.reset();
      journal_->set_read_interval(kFollowerReadInterval);
    });
  }
  drain_timer_.expires_after(kBalancerRemovalTime);
  drain_timer_.async_wait(
      [this, done = std::move(done)](boost::system::error_code failed) {
        if (failed) return;
        callers_.stop(done);
        drain_timer_.expires_after(settings_.drain_grace -
                                   kBalancerRemovalTime - kLastRepliesMargin);
        drain_timer_.async_wait([done](boost::system::error_code late) {
          if (!late) done();
        });
      });
}

}  // namespace ebonygrade::poold
