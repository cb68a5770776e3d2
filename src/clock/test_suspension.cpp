#include "clock/test_suspension.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace ebonygrade::clock {

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::atomic<std::int64_t> suspended_ns{0};

}  // namespace

void suspend_vm(std::chrono::nanoseconds time) { suspended_ns += time.count(); }

}  // namespace ebonygrade::clock

extern "C" int clock_gettime(clockid_t id, timespec* out) noexcept {
  int result = static_cast<int>(syscall(SYS_clock_gettime, id, out));
  bool counts_suspension = id == CLOCK_BOOTTIME || id == CLOCK_REALTIME;
  if (result != 0 || !counts_suspension) return result;
  std::int64_t ns = out->tv_nsec + ebonygrade::clock::suspended_ns;
  out->tv_sec += ns / ebonygrade::clock::kNanosecondsPerSecond;
  out->tv_nsec = ns % ebonygrade::clock::kNanosecondsPerSecond;
  return result;
}
