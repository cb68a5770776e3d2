// Bounded ring that joins two threads: one producer, one consumer. A push to
// a full ring fails at once and leaves the value with the producer, which
// decides what to do with it. Wraps boost::lockfree::spsc_queue.
//
//   ring<event> events(1024);
//   if (!events.try_push(e)) refuse(e);
//   events.drain([](event&& e) { handle(e); });
#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace ebonygrade::ring {

template <typename T>
class ring {
 public:
  explicit ring(std::size_t capacity) : queue_(capacity) {}
  ~ring() {
    drain([](T&&) {});
  }
  ring(const ring&) = delete;
  ring& operator=(const ring&) = delete;

  // Moves `value` into the ring. On a full ring returns false and leaves
  // `value` unchanged. Producer thread only.
  bool try_push(T& value) {
    if (queue_.write_available() == 0) return false;
    return queue_.push(new T(std::move(value)));
  }

  // Number of values that can be pushed now. Producer thread only.
  std::size_t free_space() const { return queue_.write_available(); }

  // Calls `consume(T&&)` for each value present and returns their number.
  // Consumer thread only.
  template <typename F>
  std::size_t drain(F&& consume) {
    std::size_t count = 0;
    T* popped = nullptr;
    while (queue_.pop(popped)) {
      std::unique_ptr<T> value(popped);
      consume(std::move(*value));
      ++count;
    }
    return count;
  }

 private:
  // Pointers, because the library's queue copies its values.
  boost::lockfree::spsc_queue<T*> queue_;
};

}  // namespace ebonygrade::ring
