#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "faults/faulty_cell.h"

namespace ebonygrade::faults {

namespace {

constexpr std::size_t kScheduleLength = 400;
constexpr int kMaxSchedules = 5000;
constexpr int kMaxSchedulesForRareFault = 100000;
constexpr std::uint32_t kMaxCode = 1U << 20;

schedule random_schedule(std::mt19937& random) {
  std::uniform_int_distribution<std::uint32_t> code(0, kMaxCode);
  schedule steps(kScheduleLength);
  for (std::uint32_t& step : steps) {
    step = code(random);
  }
  return steps;
}

// Returns the number of random schedules run until the injected fault is
// detected, or 0 if `max_schedules` don't detect it.
int schedules_until_detected(fault injected, int max_schedules) {
  std::mt19937 random(1);
  for (int i = 1; i <= max_schedules; ++i) {
    run_result result = run_schedule(random_schedule(random), injected);
    if (result.violation.empty()) continue;
    std::cout << "detected after " << i << " schedules: " << result.violation
              << "\n";
    return i;
  }
  return 0;
}

}  // namespace

TEST_CASE("the invariant checks detect every injected fault") {
  CHECK(schedules_until_detected(fault::no_epoch_check, kMaxSchedules) > 0);
  CHECK(schedules_until_detected(fault::serve_before_fencing, kMaxSchedules) >
        0);
  CHECK(schedules_until_detected(fault::no_claims_read,
                                 kMaxSchedulesForRareFault) > 0);
  CHECK(schedules_until_detected(fault::no_intents_read, kMaxSchedules) > 0);
  CHECK(schedules_until_detected(fault::lost_reply_is_rejection,
                                 kMaxSchedules) > 0);
  CHECK(schedules_until_detected(fault::stop_always_confirmed, kMaxSchedules) >
        0);
}

TEST_CASE(
    "random schedules break no invariant and reach takeovers, fenced starts "
    "and every outcome") {
  std::mt19937 random(1);
  run_counts counts;
  for (int i = 0; i < kMaxSchedules; ++i) {
    schedule steps = random_schedule(random);
    run_result result = run_schedule(steps, fault::none);
    if (!result.violation.empty()) {
      for (const std::string& each :
           run_schedule(steps, fault::none, true).trace) {
        std::cout << each << "\n";
      }
    }
    REQUIRE(result.violation == "");
    counts += result.counts;
  }
  std::cout << "starts " << counts.starts << ", takeovers " << counts.takeovers
            << ", fenced starts " << counts.fenced_starts << ", answered "
            << counts.answered << ", not run " << counts.not_run << ", unknown "
            << counts.unknown << "\n";
  CHECK(counts.takeovers > 1000);
  CHECK(counts.fenced_starts > 0);
  CHECK(counts.answered > 0);
  CHECK(counts.not_run > 0);
  CHECK(counts.unknown > 0);
}

}  // namespace ebonygrade::faults
