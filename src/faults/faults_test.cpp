#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "faults/faulty_cell.h"

namespace ebonygrade::faults {

namespace {

constexpr std::size_t kScheduleLength = 400;
constexpr int kMost = 5000;  // Schedules.
constexpr int kMostForRareFault = 100000;
constexpr std::uint32_t kMaxCode = 1U << 20;

schedule random_schedule(std::mt19937& random) {
  std::uniform_int_distribution<std::uint32_t> code(0, kMaxCode);
  schedule steps(kScheduleLength);
  for (std::uint32_t& step : steps) {
    step = code(random);
  }
  return steps;
}

// Schedules until the injected fault shows; 0 if it doesn't.
int schedules_until_seen(fault injected, int most) {
  std::mt19937 random(1);
  for (int i = 1; i <= most; ++i) {
    run_result result = run_schedule(random_schedule(random), injected);
    if (result.violation.empty()) continue;
    std::cout << "seen after " << i << " schedules: " << result.violation
              << "\n";
    return i;
  }
  return 0;
}

}  // namespace

TEST_CASE("every injected fault is seen") {
  CHECK(schedules_until_seen(fault::no_epoch_check, kMost) > 0);
  CHECK(schedules_until_seen(fault::serve_before_fencing, kMost) > 0);
  CHECK(schedules_until_seen(fault::no_claims_read, kMostForRareFault) > 0);
  CHECK(schedules_until_seen(fault::intents_not_read, kMost) > 0);
  CHECK(schedules_until_seen(fault::unanswered_is_rejected, kMost) > 0);
  CHECK(schedules_until_seen(fault::stop_always_confirms, kMost) > 0);
}

TEST_CASE("random schedules reach takeovers, fenced starts and every outcome") {
  std::mt19937 random(1);
  run_counts counts;
  for (int i = 0; i < kMost; ++i) {
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
