// Bounded channel to a thread that runs a boost::asio::io_context. The
// receiver's handler is called on that context for each value.
//
//   channel<report> reports(core_context, 4096);
//   reports.on_receive([&](report&& r) { handle(std::move(r)); });
//   if (!reports.try_send(r)) retry_later(std::move(r));
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "ring/ring.h"

namespace ebonygrade::ring {

template <typename T>
class channel {
 public:
  channel(boost::asio::io_context& receiver, std::size_t capacity)
      : receiver_(receiver), ring_(capacity) {}

  // Sets the handler. Call before the first send.
  void on_receive(std::function<void(T&&)> handler) {
    handler_ = std::move(handler);
  }

  // Moves `value` to the receiver. If the ring is full, returns false and
  // leaves `value` unchanged. Only one thread may send.
  bool try_send(T& value) {
    if (!ring_.try_push(value)) return false;
    if (!wake_pending_.exchange(true)) {
      boost::asio::post(receiver_, [this] { receive(); });
    }
    return true;
  }

  // Number of values that can be sent now. Sending thread only.
  std::size_t free_space() const { return ring_.free_space(); }

 private:
  void receive() {
    wake_pending_.store(false);
    ring_.drain([this](T&& value) { handler_(std::move(value)); });
  }

  boost::asio::io_context& receiver_;
  ring<T> ring_;
  std::atomic<bool> wake_pending_{false};
  std::function<void(T&&)> handler_;
};

}  // namespace ebonygrade::ring
