#include <algorithm>
#include <utility>

#include "worker/call_pvt.h"
#include "worker/follower_pvt.h"

namespace ebonygrade::worker {

namespace {

// The pause after a failure grows to this many times the first one.
constexpr std::uint32_t kMaxDoublings = 2;

http::client_options make_client_options(const adapter_options& options) {
  http::client_options result;
  result.connections = 1;
  result.call_timeout = options.call_timeout;
  // A kept connection outlives the renewals and polls on it.
  result.idle_timeout = 2 * std::max(options.task_lease, options.event_wait);
  return result;
}

void add(const http::client_traffic& part, http::client_traffic* sum) {
  sum->calls += part.calls;
  sum->connects += part.connects;
  sum->bytes_sent += part.bytes_sent;
  sum->bytes_received += part.bytes_received;
}

bool any_running(const wire::fence_reply& reply) {
  return std::any_of(reply.tasks().begin(), reply.tasks().end(),
                     [](const wire::task_record& task) {
                       return task.end() == wire::task_end_unspecified;
                     });
}

}  // namespace

follower::follower(follower_context& context, const watch& watch)
    : context_(context),
      worker_(watch.worker),
      address_(watch.address),
      epoch_(watch.epoch),
      last_unreachable_(context.clock.now()),
      fence_timer_(context.context),
      poll_timer_(context.context),
      renew_timer_(context.context) {
  http::client_options options = make_client_options(context.options);
  calls_ = std::make_unique<http::client>(context.context, address_, options);
  stops_ = std::make_unique<http::client>(context.context, address_, options);
  make_poll_client();
  fence_backoff_ = {context.options.retry_pause, kMaxDoublings};
  poll_backoff_ = fence_backoff_;
  fence();
}

follower::~follower() {
  error::failure cause{error::code::connection_lost, "start tasks", worker_,
                       "no longer followed"};
  for (const job::attempt_key& key : sent_starts_) {
    report_unanswered(key, cause);
  }
  reject_pending(wire::rejected);
}

http::client_traffic follower::traffic() const {
  http::client_traffic sum = past_traffic_;
  add(calls_->traffic(), &sum);
  add(stops_->traffic(), &sum);
  add(polls_->traffic(), &sum);
  return sum;
}

void follower::make_poll_client() {
  if (polls_) add(polls_->traffic(), &past_traffic_);
  polls_ = std::make_unique<http::client>(
      context_.context, address_, make_client_options(context_.options));
  poll_in_flight_ = false;
  poll_timer_.cancel();
}

void follower::fence_under(job::epoch epoch) {
  if (epoch < epoch_) {
    return context_.reports.send(superseded{worker_, epoch_});
  }
  epoch_ = epoch;
  phase_ = phase::fencing;
  fence();
}

void follower::resume() {
  if (phase_ != phase::following) return;
  send_starts();
  send_stops();
  if (!poll_in_flight_) poll();
}

// ---- Fence ----------------------------------------------------------------

void follower::fence() {
  if (fence_in_flight_ || phase_ != phase::fencing) return;
  fence_in_flight_ = true;
  wire::fence_request request;
  request.set_epoch(epoch_);
  request.set_owner(context_.options.self);
  call_worker<wire::fence_reply>(
      *calls_, "fence worker",
      http::json_request(http::verb::post, "/v1/fence",
                         http::to_compact_json(request)),
      context_.options.call_timeout, address_,
      [this, asked = epoch_](wire::fence_reply&& reply) {
        fence_in_flight_ = false;
        note_answer();
        if (asked != epoch_) return fence();
        on_fence_reply(std::move(reply));
      },
      [this](const http::call_failure& failure) {
        fence_in_flight_ = false;
        note_failure(failure);
        reject_pending(wire::rejected);
        retry_fence();
      });
}

void follower::on_fence_reply(wire::fence_reply&& reply) {
  if (!reply.accepted()) return on_superseded(reply.epoch());
  http::succeeded(fence_backoff_);
  bool rebooted = boot_ != 0 && boot_ != reply.boot();
  if (rebooted) context_.reports.send(worker::rebooted{worker_});
  boot_ = reply.boot();
  after_ = reply.next_event() - std::min<std::uint64_t>(1, reply.next_event());
  phase_ = phase::following;
  may_run_ = any_running(reply);
  context_.reports.send(fenced{worker_, epoch_, std::move(reply)});
  if (may_run_) renew();
  make_poll_client();
  resume();
}

void follower::retry_fence() {
  wait(fence_timer_, http::next_pause(fence_backoff_, context_.random),
       &follower::fence);
}

// Calls `then` after the pause, unless the timer is started again or
// cancelled, or the follower is gone.
void follower::wait(boost::asio::steady_timer& timer, milliseconds pause,
                    void (follower::*then)()) {
  timer.expires_after(pause);
  timer.async_wait(
      [weak = weak_from_this(), then](boost::system::error_code cancelled) {
        std::shared_ptr<follower> self = weak.lock();
        if (!cancelled && self) (self.get()->*then)();
      });
}

void follower::on_rebooted(std::uint64_t boot) {
  context_.reports.send(worker::rebooted{worker_});
  boot_ = boot;
  may_run_ = false;
  phase_ = phase::fencing;
  fence();
}

void follower::on_superseded(job::epoch epoch) {
  phase_ = phase::superseded;
  fence_timer_.cancel();
  poll_timer_.cancel();
  renew_timer_.cancel();
  renewal_scheduled_ = false;
  reject_pending(wire::fenced);
  context_.reports.send(superseded{worker_, epoch});
}

// ---- Leases ---------------------------------------------------------------

void follower::renew() {
  if (phase_ != phase::following || !may_run_) return;
  if (!may_give_leases()) return schedule_renewal(context_.options.retry_pause);
  wire::renew_request request;
  request.set_epoch(epoch_);
  request.set_lease_ms(
      static_cast<std::uint32_t>(context_.options.task_lease.count()));
  steady_time asked = context_.clock.now();
  call_worker<wire::renew_reply>(
      *calls_, "renew leases",
      http::json_request(http::verb::post, "/v1/renew",
                         http::to_compact_json(request)),
      context_.options.call_timeout, address_,
      [this, asked](wire::renew_reply&& reply) {
        note_answer();
        if (phase_ != phase::following) return;
        // A start without an answer may still be on its way.
        bool quiet = last_start_ + context_.options.task_lease < asked;
        if (reply.running() == 0 && quiet) may_run_ = false;
        on_renew_reply(reply);
      },
      [this](const http::call_failure& failure) {
        note_failure(failure);
        schedule_renewal(context_.options.retry_pause);
      });
}

void follower::on_renew_reply(const wire::renew_reply& reply) {
  if (!reply.accepted()) return on_superseded(reply.epoch());
  if (reply.boot() != boot_) return on_rebooted(reply.boot());
  schedule_renewal(context_.options.task_lease / kRenewalsPerLease);
}

void follower::schedule_renewal(milliseconds pause) {
  if (!may_run_ || renewal_scheduled_) return;
  renewal_scheduled_ = true;
  wait(renew_timer_, pause, &follower::end_renewal_pause);
}

void follower::end_renewal_pause() {
  renewal_scheduled_ = false;
  renew();
}

// ---- Reachability -----------------------------------------------------------

void follower::note_answer() {
  silent_since_.reset();
  last_unreachable_ = context_.clock.now();
}

void follower::note_failure(const http::call_failure& failure) {
  const steady_time now = context_.clock.now();
  if (!silent_since_) silent_since_ = now - context_.options.call_timeout;
  if (now - last_unreachable_ < context_.options.call_timeout) return;
  last_unreachable_ = now;
  const milliseconds silent =
      std::chrono::duration_cast<milliseconds>(now - *silent_since_);
  context_.reports.send(unreachable{worker_, silent, failure.cause});
}

bool follower::may_give_leases() const {
  if (!silent_since_) return true;
  return context_.clock.now() - *silent_since_ <
         context_.options.task_lease / 2;
}

}  // namespace ebonygrade::worker
