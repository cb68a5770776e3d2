// Clock interface. Code that needs the time takes a `const clock&`, so that
// tests can pass a `manual_clock`.
#pragma once

#include <chrono>

namespace ebonygrade::clock {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;

// Source of time. Safe to call from any thread, except as noted at an
// implementation.
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

// A clock for tests that changes only by `advance`. Not thread safe.
class manual_clock final : public clock {
 public:
  steady_time now() const override { return steady_time(elapsed_); }
  wall_time wall_now() const override {
    return wall_time(std::chrono::duration_cast<wall_time::duration>(elapsed_));
  }
  // Advances the monotonic and the calendar time.
  void advance(std::chrono::nanoseconds by) { elapsed_ += by; }

 private:
  std::chrono::nanoseconds elapsed_{std::chrono::hours(1)};
};

}  // namespace ebonygrade::clock
