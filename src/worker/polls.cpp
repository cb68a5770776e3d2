#include <algorithm>
#include <utility>

#include "worker/call_pvt.h"
#include "worker/follower_pvt.h"

namespace ebonygrade::worker {

namespace {

// After a start, polls wait no longer than a call may take, so that a silent
// connection is found while answers are expected.
constexpr milliseconds kExpectEvents{10000};

}  // namespace

milliseconds follower::poll_wait() const {
  const adapter_options& options = context_.options;
  if (poll_at_once_) return milliseconds(0);
  bool expects_events = context_.clock.now() - last_start_ < kExpectEvents;
  return expects_events ? std::min(options.call_timeout, options.event_wait)
                        : options.event_wait;
}

void follower::poll() {
  bool ready = phase_ == phase::following && !poll_in_flight_ && !blocked();
  if (!ready) return;
  poll_in_flight_ = true;
  milliseconds wait = poll_wait();
  std::string target = "/v1/events?after=" + std::to_string(after_) +
                       "&wait_ms=" + std::to_string(wait.count());
  call_worker<wire::events_reply>(
      *polls_, "poll events", http::json_request(http::verb::get, target),
      wait + context_.options.call_timeout, address_,
      [this](wire::events_reply&& reply) {
        poll_in_flight_ = false;
        poll_at_once_ = false;
        http::succeeded(poll_backoff_);
        note_answer();
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
  if (reply.boot() != boot_) return on_rebooted(reply.boot());
  std::uint64_t expected =
      after_ + 1 + static_cast<std::uint64_t>(reply.events_size());
  for (wire::task_event& event : *reply.mutable_events()) {
    if (event.sequence() <= after_) continue;
    context_.reports.send(ended{worker_, std::move(event)});
  }
  for (wire::task_usage& used : *reply.mutable_usage()) {
    context_.reports.send(usage{worker_, std::move(used)});
  }
  if (reply.next() > 0) after_ = std::max(after_, reply.next() - 1);
  // The worker has forgotten events that were not read: its task table tells
  // what became of the tasks.
  bool missed = reply.next() > expected;
  if (!missed) return;
  phase_ = phase::fencing;
  fence();
}

void follower::on_poll_failure(const http::call_failure& failure) {
  note_failure(failure);
  if (phase_ != phase::following) return;
  poll_at_once_ = true;
  bool first = poll_backoff_.failures == 0;
  milliseconds pause = http::next_pause(poll_backoff_, context_.random);
  // A connection that broke or went silent is replaced at once.
  if (first && failure.maybe_sent) return poll();
  wait(poll_timer_, pause, &follower::poll);
}

}  // namespace ebonygrade::worker
