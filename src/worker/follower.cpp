#include <algorithm>
#include <utility>

#include "clock/timer.h"
#include "worker/call_pvt.h"
#include "worker/follower_pvt.h"

namespace ebonygrade::worker {

namespace {

// Limits the delay after repeated failures to 4 times the first delay.
constexpr std::uint32_t kMaxBackoffDoublings = 2;

http::client_options make_client_options(const adapter_options& options) {
  http::client_options result;
  result.connections = 1;
  result.call_timeout = options.call_timeout;
  // An idle connection is kept longer than the interval between the calls on
  // it.
  result.idle_timeout = 2 * std::max(options.task_lease, options.event_wait);
  return result;
}

void add(const http::client_traffic& traffic, http::client_traffic* sum) {
  sum->calls += traffic.calls;
  sum->connects += traffic.connects;
  sum->bytes_sent += traffic.bytes_sent;
  sum->bytes_received += traffic.bytes_received;
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
      last_reply_or_report_(context.clock.now()),
      fence_timer_(context.context),
      poll_timer_(context.context),
      renew_timer_(context.context) {
  http::client_options options = make_client_options(context.options);
  calls_ = std::make_unique<http::client>(context.context, address_, options);
  stops_ = std::make_unique<http::client>(context.context, address_, options);
  make_poll_client();
  fence_backoff_ = {context.options.retry_pause, kMaxBackoffDoublings};
  poll_backoff_ = fence_backoff_;
  fence();
}

follower::~follower() {
  error::failure cause{error::code::connection_lost, "start tasks", worker_,
                       "the worker is no longer watched"};
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
      [this, sent_epoch = epoch_](wire::fence_reply&& reply) {
        fence_in_flight_ = false;
        record_reply();
        if (sent_epoch != epoch_) return fence();
        on_fence_reply(std::move(reply));
      },
      [this](const http::call_failure& failure) {
        fence_in_flight_ = false;
        record_failure(failure);
        reject_pending(wire::rejected);
        retry_fence();
      });
}

void follower::on_fence_reply(wire::fence_reply&& reply) {
  if (!reply.accepted()) return on_superseded(reply.epoch());
  http::record_success(fence_backoff_);
  bool rebooted = boot_id_ != 0 && boot_id_ != reply.boot();
  if (rebooted) context_.reports.send(worker::rebooted{worker_});
  boot_id_ = reply.boot();
  last_event_ =
      reply.next_event() - std::min<std::uint64_t>(1, reply.next_event());
  phase_ = phase::following;
  may_have_running_tasks_ = any_running(reply);
  context_.reports.send(fenced{worker_, epoch_, std::move(reply)});
  if (may_have_running_tasks_) renew();
  make_poll_client();
  resume();
}

void follower::retry_fence() {
  call_later(fence_timer_, http::next_delay(fence_backoff_, context_.random),
             &follower::fence);
}

// Calls `then` after the delay, unless the timer is restarted or cancelled, or
// the follower is destroyed.
void follower::call_later(clock::timer& timer, milliseconds delay,
                          void (follower::*then)()) {
  timer.expires_after(delay);
  timer.async_wait(
      [weak = weak_from_this(), then](boost::system::error_code cancelled) {
        std::shared_ptr<follower> self = weak.lock();
        if (!cancelled && self) (self.get()->*then)();
      });
}

void follower::on_rebooted(std::uint64_t boot_id) {
  context_.reports.send(worker::rebooted{worker_});
  boot_id_ = boot_id;
  may_have_running_tasks_ = false;
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
  if (phase_ != phase::following || !may_have_running_tasks_) return;
  if (!may_grant_leases()) {
    return schedule_renewal(context_.options.retry_pause);
  }
  wire::renew_request request;
  request.set_epoch(epoch_);
  request.set_lease_ms(
      static_cast<std::uint32_t>(context_.options.task_lease.count()));
  steady_time sent_at = context_.clock.now();
  call_worker<wire::renew_reply>(
      *calls_, "renew leases",
      http::json_request(http::verb::post, "/v1/renew",
                         http::to_compact_json(request)),
      context_.options.call_timeout, address_,
      [this, sent_at](wire::renew_reply&& reply) {
        record_reply();
        if (phase_ != phase::following) return;
        // A recent start without a reply may still arrive at the worker.
        bool no_recent_start =
            last_start_ + context_.options.task_lease < sent_at;
        if (reply.running() == 0 && no_recent_start)
          may_have_running_tasks_ = false;
        on_renew_reply(reply);
      },
      [this](const http::call_failure& failure) {
        record_failure(failure);
        schedule_renewal(context_.options.retry_pause);
      });
}

void follower::on_renew_reply(const wire::renew_reply& reply) {
  if (!reply.accepted()) return on_superseded(reply.epoch());
  if (reply.boot() != boot_id_) return on_rebooted(reply.boot());
  schedule_renewal(context_.options.task_lease / kRenewalsPerLease);
}

void follower::schedule_renewal(milliseconds delay) {
  if (!may_have_running_tasks_ || renewal_scheduled_) return;
  renewal_scheduled_ = true;
  call_later(renew_timer_, delay, &follower::on_renewal_due);
}

void follower::on_renewal_due() {
  renewal_scheduled_ = false;
  renew();
}

// ---- Reachability -----------------------------------------------------------

void follower::record_reply() {
  unresponsive_since_.reset();
  last_reply_or_report_ = context_.clock.now();
}

void follower::record_failure(const http::call_failure& failure) {
  const steady_time now = context_.clock.now();
  if (!unresponsive_since_) {
    unresponsive_since_ = now - context_.options.call_timeout;
  }
  if (now - last_reply_or_report_ < context_.options.call_timeout) return;
  last_reply_or_report_ = now;
  const milliseconds unresponsive_for =
      std::chrono::duration_cast<milliseconds>(now - *unresponsive_since_);
  context_.reports.send(unreachable{worker_, unresponsive_for, failure.cause});
}

bool follower::may_grant_leases() const {
  if (!unresponsive_since_) return true;
  return context_.clock.now() - *unresponsive_since_ <
         context_.options.task_lease / 2;
}

}  // namespace ebonygrade::worker
