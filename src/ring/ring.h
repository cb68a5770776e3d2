// Bounded lock-free ring buffer between one producer thread and one consumer
// thread. A push to a full ring fails at once and leaves the value with the
// producer, which decides how to handle it. Wraps boost::lockfree::spsc_queue.
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

  // Moves `value` into the ring. If the ring is full, returns false and
  // leaves `value` unchanged. Producer thread only.
  bool try_push(T& value) {
    if (queue_.write_available() == 0) return false;
    return queue_.push(new T(std::move(value)));
  }

  // Number of values that can be pushed now. Producer thread only.
  std::size_t free_space() const { return queue_.write_available(); }

  // Calls `consume(T&&)` for each queued value and returns the number of
  // values. Consumer thread only.
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
  // Holds pointers, because spsc_queue copies its values.
  boost::lockfree::spsc_queue<T*> queue_;
};

}  // namespace ebonygrade::ring
