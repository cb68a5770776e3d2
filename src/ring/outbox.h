// Sending end of a channel that keeps what a full ring does not take, in
// order, until it does. What may wait is bounded by the sender, which asks
// `free_space` before it creates work for the receiver.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

#include "ring/channel.h"

namespace ebonygrade::ring {

template <typename T>
class outbox {
 public:
  explicit outbox(channel<T>& target) : target_(target) {}

  // Sends `value`, or keeps it behind what already waits.
  void send(T value) {
    flush();
    if (!waiting_.empty() || !target_.try_send(value)) {
      waiting_.push_back(std::move(value));
    }
  }

  // Sends what waits, as far as the ring takes it.
  void flush() {
    while (!waiting_.empty() && target_.try_send(waiting_.front())) {
      waiting_.pop_front();
    }
  }

  // Values that can be sent without waiting.
  std::size_t free_space() const {
    const std::size_t space = target_.free_space();
    return space - std::min(space, waiting_.size());
  }

  std::size_t waiting() const { return waiting_.size(); }

 private:
  channel<T>& target_;
  std::deque<T> waiting_;
};

}  // namespace ebonygrade::ring
