// Clock interface. Code that needs the time takes a `const clock&`, so that
// tests can pass a `manual_clock`.
#pragma once

#include <chrono>
#include <ctime>

namespace ebonygrade::clock {

// Monotonic clock that also counts the time during which the VM is suspended,
// unlike std::chrono::steady_clock: leases and other VMs go on meanwhile. A
// clock of the standard library's form, so that Asio's timers can use it.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The standard library's name.
  static constexpr bool is_steady = true;  // NOLINT

  static time_point now() noexcept {
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using steady_time = boot_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;

// Source of time. Safe to call from any thread, except as noted at an
// implementation.
class clock {
 public:
  virtual ~clock() = default;
  // Monotonic time, for intervals and deadlines on this machine only. Goes on
  // while the VM is suspended.
  virtual steady_time now() const = 0;
  // Calendar time, which may jump and differs between VMs: for logs, for times
  // that are defined by the calendar, and for hints. No right, promise or
  // identity may rest on it.
  virtual wall_time wall_now() const = 0;
};

// The machine's clocks.
class system_clock final : public clock {
 public:
  steady_time now() const override { return boot_clock::now(); }
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
