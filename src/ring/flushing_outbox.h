// An outbox of a thread that runs a boost::asio::io_context. While values
// wait it tries again by itself, and says when all have been sent, so that
// the sender can hold back its work meanwhile.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "ring/channel.h"
#include "ring/outbox.h"

namespace ebonygrade::ring {

template <typename T>
class flushing_outbox {
 public:
  // `on_drained` is called on `context` each time that nothing waits any more.
  flushing_outbox(boost::asio::io_context& context, channel<T>& target,
                  std::function<void()> on_drained)
      : outbox_(target), timer_(context), on_drained_(std::move(on_drained)) {}

  // Sends `value`, or keeps it behind what already waits.
  void send(T value) {
    outbox_.send(std::move(value));
    if (blocked()) flush_later();
  }

  // True while values wait for room in the channel.
  bool blocked() const { return outbox_.waiting() > 0; }

  // No further tries.
  void close() {
    closed_ = true;
    timer_.cancel();
  }

 private:
  static constexpr std::chrono::milliseconds kFlushPause{1};

  void flush_later() {
    if (scheduled_ || closed_) return;
    scheduled_ = true;
    timer_.expires_after(kFlushPause);
    timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                          boost::system::error_code cancelled) {
      if (cancelled || alive.expired()) return;
      scheduled_ = false;
      outbox_.flush();
      if (blocked()) return flush_later();
      on_drained_();
    });
  }

  outbox<T> outbox_;
  boost::asio::steady_timer timer_;
  std::function<void()> on_drained_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  bool scheduled_ = false;
  bool closed_ = false;
};

}  // namespace ebonygrade::ring
