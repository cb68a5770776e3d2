// Sending end of a channel that queues values, in order, while the ring is
// full. The outbox doesn't limit this queue: the sender does, by checking
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

  // Sends `value`, or queues it behind the values that already wait.
  void send(T value) {
    flush();
    if (!waiting_.empty() || !target_.try_send(value)) {
      waiting_.push_back(std::move(value));
    }
  }

  // Sends queued values until the ring is full.
  void flush() {
    while (!waiting_.empty() && target_.try_send(waiting_.front())) {
      waiting_.pop_front();
    }
  }

  // Number of values that can be sent now without being queued here.
  std::size_t free_space() const {
    const std::size_t space = target_.free_space();
    return space - std::min(space, waiting_.size());
  }

  // Number of queued values.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  channel<T>& target_;
  std::deque<T> waiting_;
};

}  // namespace ebonygrade::ring
