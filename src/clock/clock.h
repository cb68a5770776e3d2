// Clock interface. Code that needs the time takes a `const clock&`, so tests
// pass a `manual_clock` and advance it by hand.
#pragma once

#include <chrono>

namespace ebonygrade::clock {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;

// Source of time. Implementations are safe to call from any thread.
class clock {
 public:
  virtual ~clock() = default;
  // Monotonic time, for intervals and deadlines on this machine only.
  virtual steady_time now() const = 0;
  // Calendar time, for logs and incarnation numbers only.
  virtual wall_time wall_now() const = 0;
};

// The machine's clocks.
class system_clock final : public clock {
 public:
  steady_time now() const override { return std::chrono::steady_clock::now(); }
  wall_time wall_now() const override {
    return std::chrono::system_clock::now();
  }
};

// A clock that stands still until it is advanced. Not thread safe.
class manual_clock final : public clock {
 public:
  steady_time now() const override { return steady_time(elapsed_); }
  wall_time wall_now() const override {
    return wall_time(std::chrono::duration_cast<wall_time::duration>(elapsed_));
  }
  // Moves both clocks forward.
  void advance(std::chrono::nanoseconds by) { elapsed_ += by; }

 private:
  std::chrono::nanoseconds elapsed_{std::chrono::hours(1)};
};

}  // namespace ebonygrade::clock
