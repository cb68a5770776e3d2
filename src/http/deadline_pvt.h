// A deadline that is moved often and expires rarely. Moving the deadline later
// leaves the timer as it is; a timer that fires before the deadline is
// restarted. This saves a timer operation per move. Private to this folder.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "clock/clock.h"
#include "clock/timer.h"

namespace ebonygrade::http {

class deadline {
 public:
  deadline(const boost::asio::any_io_executor& executor,
           std::function<void()> on_expired)
      : state_(std::make_shared<state>(executor)) {
    state_->on_expired = std::move(on_expired);
  }
  ~deadline() { cancel(); }
  deadline(const deadline&) = delete;
  deadline& operator=(const deadline&) = delete;

  // Sets or moves the deadline, relative to now or to an absolute time.
  // `on_expired` is called once when the deadline passes.
  void set(clock::milliseconds after) { set(clock::boot_clock::now() + after); }
  void set(clock::steady_time at) {
    state_->at = at;
    if (!state_->armed || state_->timer.expiry() > at) arm(state_);
  }
  // Removes the deadline; set() may follow.
  void clear() { state_->at = clock::steady_time::max(); }
  // Ends the wait for good: `on_expired` is not called any more.
  void cancel() {
    clear();
    state_->on_expired = nullptr;
    state_->timer.cancel();
  }

 private:
  struct state {
    explicit state(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    clock::timer timer;
    clock::steady_time at = clock::steady_time::max();
    bool armed = false;
    std::function<void()> on_expired;
  };

  static void arm(const std::shared_ptr<state>& state) {
    state->armed = true;
    state->timer.expires_at(state->at);
    state->timer.async_wait([state](boost::system::error_code cancelled) {
      if (!cancelled) on_timer(state);
    });
  }

  static void on_timer(const std::shared_ptr<state>& state) {
    state->armed = false;
    if (state->at == clock::steady_time::max()) return;
    if (state->at > clock::boot_clock::now()) return arm(state);
    state->at = clock::steady_time::max();
    // A copy, because the call may destroy the owner of this deadline.
    std::function<void()> on_expired = state->on_expired;
    if (on_expired) on_expired();
  }

  std::shared_ptr<state> state_;
};

}  // namespace ebonygrade::http
