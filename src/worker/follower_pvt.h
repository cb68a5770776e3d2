// Follows one worker for the adapter. Private to the slice.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/backoff.h"
#include "http/client.h"
#include "ring/flushing_outbox.h"
#include "worker/adapter.h"

namespace ebonygrade::worker {

using clock::steady_time;

// Leases are renewed so often in their length.
inline constexpr int kRenewalsPerLease = 3;

// What the followers of an adapter share. Outlives them.
struct follower_context {
  boost::asio::io_context& context;
  const clock::clock& clock;
  adapter_options options;
  ring::flushing_outbox<report>& reports;
  std::mt19937 random;
};

class follower : public std::enable_shared_from_this<follower> {
 public:
  // Fences the worker under the watch's epoch at once.
  follower(follower_context& context, const watch& watch);
  // Reports what becomes of the starts that are pending.
  ~follower();
  follower(const follower&) = delete;
  follower& operator=(const follower&) = delete;

  const std::string& address() const { return address_; }
  void fence_under(job::epoch epoch);
  void add_start(start&& command);
  void add_stop(stop&& command);
  // Goes on after the reports were full.
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
  void schedule_renewal(milliseconds pause);
  void on_rebooted(std::uint64_t boot);
  void on_superseded(job::epoch epoch);
  void note_answer();
  void note_failure(const http::call_failure& failure);
  // Whether leases may be given. False after half a task lease of silence: a
  // worker that hears but isn't heard must let its leases run out.
  bool may_give_leases() const;
  bool blocked() const { return context_.reports.blocked(); }
  void make_poll_client();
  void wait(boost::asio::steady_timer& timer, milliseconds pause,
            void (follower::*then)());
  void end_renewal_pause();

  // ---- starts.cpp: starts and stops
  void send_starts();
  wire::start_request next_start_batch();
  void on_start_reply(const wire::start_reply& reply);
  void on_start_failure(const http::call_failure& failure);
  void reject_pending(wire::start_status status);
  void report_start(const job::attempt_key& key, wire::start_status status);
  void report_unanswered(const job::attempt_key& key,
                         const error::failure& cause);
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
  std::uint64_t boot_ = 0;   // 0: not known yet.
  std::uint64_t after_ = 0;  // Last event seen.
  std::unique_ptr<http::client> calls_;
  std::unique_ptr<http::client> stops_;
  std::unique_ptr<http::client> polls_;
  http::client_traffic past_traffic_;  // Of poll clients that were replaced.
  std::deque<start> pending_starts_;
  std::vector<job::attempt_key> sent_starts_;  // In the call in flight.
  std::deque<stop> pending_stops_;
  bool fence_in_flight_ = false;
  bool stops_in_flight_ = false;
  bool poll_in_flight_ = false;
  bool poll_at_once_ = false;  // The next poll doesn't wait.
  bool may_run_ = false;       // The worker may have running tasks.
  steady_time last_start_;
  // When the first call without an answer since the last answer was sent, at
  // the latest; unset while the worker answers.
  std::optional<steady_time> silent_since_;
  steady_time last_unreachable_;
  http::backoff fence_backoff_;
  http::backoff poll_backoff_;
  boost::asio::steady_timer fence_timer_;
  boost::asio::steady_timer poll_timer_;
  boost::asio::steady_timer renew_timer_;
  bool renewal_scheduled_ = false;
};

}  // namespace ebonygrade::worker
