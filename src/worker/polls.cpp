#include <algorithm>
#include <utility>

#include "worker/call_pvt.h"
#include "worker/follower_pvt.h"

namespace ebonygrade::worker {

namespace {

// For this time after a start, polls wait no longer than the call timeout, so
// that an unresponsive connection is detected while ends are expected.
constexpr milliseconds kEventsExpectedAfterStart{10000};

}  // namespace

milliseconds follower::poll_wait() const {
  const adapter_options& options = context_.options;
  if (poll_immediately_) return milliseconds(0);
  bool expects_events =
      context_.clock.now() - last_start_ < kEventsExpectedAfterStart;
  return expects_events ? std::min(options.call_timeout, options.event_wait)
                        : options.event_wait;
}

void follower::poll() {
  bool ready = phase_ == phase::following && !poll_in_flight_ && !blocked();
  if (!ready) return;
  poll_in_flight_ = true;
  milliseconds wait = poll_wait();
  std::string target = "/v1/events?after=" + std::to_string(last_event_) +
                       "&wait_ms=" + std::to_string(wait.count());
  call_worker<wire::events_reply>(
      *polls_, "poll events", http::json_request(http::verb::get, target),
      wait + context_.options.call_timeout, address_,
      [this](wire::events_reply&& reply) {
        poll_in_flight_ = false;
        poll_immediately_ = false;
        http::record_success(poll_backoff_);
        record_reply();
        on_events(std::move(reply));
        poll();
      },
      [this](const http::call_failure& failure) {
        poll_in_flight_ = false;
        on_poll_failure(failure);
      });
}

void follower::on_events(wire::events_reply&& reply) {
  if (phase_ != phase::following) return;
  if (reply.boot() != boot_id_) return on_rebooted(reply.boot());
  std::uint64_t expected_next =
      last_event_ + 1 + static_cast<std::uint64_t>(reply.events_size());
  for (wire::task_event& event : *reply.mutable_events()) {
    if (event.sequence() <= last_event_) continue;
    context_.reports.send(ended{worker_, std::move(event)});
  }
  for (wire::task_usage& task_usage : *reply.mutable_usage()) {
    context_.reports.send(usage{worker_, std::move(task_usage)});
  }
  if (reply.next() > 0) last_event_ = std::max(last_event_, reply.next() - 1);
  // The worker has discarded events that were not read. A new fence returns its
  // task table, which has the ends of these tasks.
  bool missed_events = reply.next() > expected_next;
  if (!missed_events) return;
  phase_ = phase::fencing;
  fence();
}

void follower::on_poll_failure(const http::call_failure& failure) {
  record_failure(failure);
  if (phase_ != phase::following) return;
  poll_immediately_ = true;
  bool first_failure = poll_backoff_.failures == 0;
  milliseconds delay = http::next_delay(poll_backoff_, context_.random);
  // A connection that failed or stopped responding is replaced at once.
  if (first_failure && failure.maybe_sent) return poll();
  call_later(poll_timer_, delay, &follower::poll);
}

}  // namespace ebonygrade::worker
