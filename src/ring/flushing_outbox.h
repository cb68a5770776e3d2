// Outbox for a thread that runs a boost::asio::io_context. While values are
// queued, a timer retries to send them, and a callback reports when all have
// been sent, so that the sender can suspend its work in between.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "clock/timer.h"
#include "ring/channel.h"
#include "ring/outbox.h"

namespace ebonygrade::ring {

template <typename T>
class flushing_outbox {
 public:
  // `on_drained` is called on `context` each time that all queued values have
  // been sent.
  flushing_outbox(boost::asio::io_context& context, channel<T>& target,
                  std::function<void()> on_drained)
      : outbox_(target), timer_(context), on_drained_(std::move(on_drained)) {}

  // Sends `value`, or queues it behind the values that already wait.
  void send(T value) {
    outbox_.send(std::move(value));
    if (blocked()) flush_later();
  }

  // True while values wait for free space in the channel.
  bool blocked() const { return outbox_.waiting() > 0; }

  // Stops the retries.
  void close() {
    closed_ = true;
    timer_.cancel();
  }

 private:
  static constexpr std::chrono::milliseconds kFlushRetryDelay{1};

  void flush_later() {
    if (scheduled_ || closed_) return;
    scheduled_ = true;
    timer_.expires_after(kFlushRetryDelay);
    timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](
                          boost::system::error_code error) {
      if (error || alive.expired()) return;
      scheduled_ = false;
      outbox_.flush();
      if (blocked()) return flush_later();
      on_drained_();
    });
  }

  outbox<T> outbox_;
  clock::timer timer_;
  std::function<void()> on_drained_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  bool scheduled_ = false;
  bool closed_ = false;
};

}  // namespace ebonygrade::ring
