// The adapter's connections to one worker and its state. Private to this
// library.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clock/timer.h"
#include "http/backoff.h"
#include "http/client.h"
#include "ring/flushing_outbox.h"
#include "worker/adapter.h"

namespace ebonygrade::worker {

using clock::steady_time;

// Renewals within the length of one lease.
inline constexpr int kRenewalsPerLease = 3;

// Shared by the followers of an adapter. Outlives them.
struct follower_context {
  boost::asio::io_context& context;
  const clock::clock& clock;
  adapter_options options;
  ring::flushing_outbox<report>& reports;
  std::mt19937 random;
};

class follower : public std::enable_shared_from_this<follower> {
 public:
  // Starts to fence the worker under the epoch of the watch.
  follower(follower_context& context, const watch& watch);
  // Reports every start that has no report yet.
  ~follower();
  follower(const follower&) = delete;
  follower& operator=(const follower&) = delete;

  const std::string& address() const { return address_; }
  void fence_under(job::epoch epoch);
  void add_start(start&& command);
  void add_stop(stop&& command);
  // Continues after the report channel was full.
  void resume();
  http::client_traffic traffic() const;

 private:
  enum class phase { fencing, following, superseded };

  // ---- follower.cpp: fence, renewals, reachability
  void fence();
  void on_fence_reply(wire::fence_reply&& reply);
  void retry_fence();
  void renew();
  void on_renew_reply(const wire::renew_reply& reply);
  void schedule_renewal(milliseconds delay);
  void on_rebooted(std::uint64_t boot_id);
  void on_superseded(job::epoch epoch);
  void record_reply();
  void record_failure(const http::call_failure& failure);
  // Whether leases may be granted and renewed. False after the worker was
  // unresponsive for half a task lease: if calls reach the worker but its
  // replies are lost, its leases must expire.
  bool may_grant_leases() const;
  // Whether reports are queued; no starts, stops or polls are sent meanwhile.
  bool blocked() const { return context_.reports.blocked(); }
  void make_poll_client();
  void call_later(clock::timer& timer, milliseconds delay,
                  void (follower::*then)());
  void on_renewal_due();

  // ---- starts.cpp: starts and stops
  void send_starts();
  wire::start_request next_start_batch();
  void on_start_reply(const wire::start_reply& reply);
  void on_start_failure(const http::call_failure& failure);
  void reject_pending(wire::start_status status);
  void report_start(const job::attempt_key& key, wire::start_status status);
  void report_unanswered(const job::attempt_key& key,
                         const error::failure& cause);
  // Removes a start that has not been sent.
  bool revoke_pending(const job::attempt_key& key);
  void send_stops();
  wire::stop_request next_stop_batch();
  void on_stop_reply(const wire::stop_reply& reply);

  // ---- polls.cpp: events
  void poll();
  milliseconds poll_wait() const;
  void on_events(wire::events_reply&& reply);
  void on_poll_failure(const http::call_failure& failure);

  follower_context& context_;
  std::string worker_;
  std::string address_;
  job::epoch epoch_ = 0;
  phase phase_ = phase::fencing;
  std::uint64_t boot_id_ = 0;     // 0: unknown.
  std::uint64_t last_event_ = 0;  // Sequence number of the last event received.
  std::unique_ptr<http::client> calls_;
  std::unique_ptr<http::client> stops_;
  std::unique_ptr<http::client> polls_;
  http::client_traffic past_traffic_;  // Of replaced poll clients.
  std::deque<start> pending_starts_;
  std::vector<job::attempt_key> sent_starts_;  // In the call in flight.
  std::deque<stop> pending_stops_;
  bool fence_in_flight_ = false;
  bool stops_in_flight_ = false;
  bool poll_in_flight_ = false;
  bool poll_immediately_ = false;  // The next poll returns at once.
  bool may_have_running_tasks_ = false;
  steady_time last_start_;
  // Upper bound of the time at which the first call without a reply since the
  // last reply was sent; unset while the worker replies.
  std::optional<steady_time> unresponsive_since_;
  steady_time last_reply_or_report_;  // Last reply, or `unreachable` report.
  http::backoff fence_backoff_;
  http::backoff poll_backoff_;
  clock::timer fence_timer_;
  clock::timer poll_timer_;
  clock::timer renew_timer_;
  bool renewal_scheduled_ = false;
};

}  // namespace ebonygrade::worker
