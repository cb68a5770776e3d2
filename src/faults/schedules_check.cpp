// Checks the invariants of the simulated cell on random schedules. RapidCheck
// reads the seed and the number of schedules from the environment variable
// RC_PARAMS. On failure, the program prints the trace of the shrunk schedule
// and exits with status 1.
#include <rapidcheck.h>

#include <iostream>
#include <string>

#include "faults/faulty_cell.h"

namespace faults = ebonygrade::faults;

namespace {

constexpr std::uint32_t kMaxCode = 1U << 20;
// Number of actions in a schedule at RapidCheck's maximum size.
constexpr int kMaxScheduleLength = 1500;

std::string describe(const faults::run_result& result) {
  std::string text = result.violation + "\n";
  for (const std::string& each : result.trace) {
    text += "  " + each + "\n";
  }
  return text;
}

}  // namespace

int main() {
  faults::run_counts counts;
  std::size_t schedules = 0;
  bool invariants_hold = rc::check("invariants hold in every schedule", [&] {
    faults::schedule steps = *rc::gen::resize(
        kMaxScheduleLength, rc::gen::container<faults::schedule>(
                                rc::gen::inRange<std::uint32_t>(0, kMaxCode)));
    faults::run_result result =
        faults::run_schedule(steps, faults::fault::none);
    counts += result.counts;
    ++schedules;
    if (result.violation.empty()) return;
    RC_FAIL(describe(faults::run_schedule(steps, faults::fault::none, true)));
  });
  std::cout << schedules << " schedules: " << counts.starts << " starts, "
            << counts.takeovers << " takeovers, " << counts.fenced_starts
            << " fenced starts, " << counts.answered << " answered, "
            << counts.not_run << " not run, " << counts.unknown << " unknown\n";
  return invariants_hold ? 0 : 1;
}
