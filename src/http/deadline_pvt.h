// A deadline that is moved often and passes rarely. One wait of the timer
// stands for many deadlines: moving the deadline later leaves the timer as it
// is, and the timer starts again when it fires too early. Private to the
// slice.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "clock/clock.h"

namespace ebonygrade::http {

class deadline {
 public:
  deadline(const boost::asio::any_io_executor& executor,
           std::function<void()> on_passed)
      : state_(std::make_shared<state>(executor)) {
    state_->on_passed = std::move(on_passed);
  }
  ~deadline() { cancel(); }
  deadline(const deadline&) = delete;
  deadline& operator=(const deadline&) = delete;

  // Calls back so long from now, unless the deadline is moved before.
  void set(clock::milliseconds after) {
    set(std::chrono::steady_clock::now() + after);
  }
  void set(clock::steady_time at) {
    state_->at = at;
    if (!state_->armed || state_->timer.expiry() > at) arm(state_);
  }
  void clear() { state_->at = clock::steady_time::max(); }
  // Ends all waits; no call follows.
  void cancel() {
    clear();
    state_->on_passed = nullptr;
    state_->timer.cancel();
  }

 private:
  struct state {
    explicit state(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    clock::steady_time at = clock::steady_time::max();
    bool armed = false;
    std::function<void()> on_passed;
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
    if (state->at > std::chrono::steady_clock::now()) return arm(state);
    state->at = clock::steady_time::max();
    // A copy, because the owner may be destroyed by the call.
    std::function<void()> on_passed = state->on_passed;
    if (on_passed) on_passed();
  }

  std::shared_ptr<state> state_;
};

}  // namespace ebonygrade::http
