#include "poold/handover.h"

#include <algorithm>
#include <tuple>

#include "poold/claim_delay.h"

namespace ebonygrade::poold {

namespace {

// Longer than the longest rounds and than short bursts of other processes.
constexpr milliseconds kSlowPeriod{300};
constexpr milliseconds kFitPeriod{1000};
// A takeover takes up to this long; an owner that releases sooner has done
// nothing but to load the pool.
constexpr milliseconds kMinOwnership{1000};
// One announcement a second, and half of another for its way.
constexpr milliseconds kMaxAnnouncementAge{1500};
// Longer than the slowness lasts that users have reported, 6.5 s.
constexpr milliseconds kHoldBack{10000};

bool lasts(steady_time since, milliseconds period, steady_time now) {
  return since != steady_time() && now - since >= period;
}

bool is_fit(const announced_daemon& each, steady_time now) {
  const daemon_info& daemon = each.daemon;
  return daemon.follows_journal && daemon.cpu_share >= kMinOwnerCpuShare &&
         daemon.slowdown > 0 && daemon.slowdown < kFitRatio &&
         now - each.last_contact <= kMaxAnnouncementAge;
}

}  // namespace

bool observe_slowdown(slow_machine* machine, double slowdown, steady_time now) {
  machine->slowdown = slowdown;
  if (slowdown < kSlowRatio) {
    machine->slow_since = {};
  } else if (machine->slow_since == steady_time()) {
    machine->slow_since = now;
  }
  if (slowdown >= kFitRatio) {
    machine->fit_since = {};
  } else if (machine->fit_since == steady_time()) {
    machine->fit_since = now;
  }
  bool before = machine->slow;
  if (lasts(machine->slow_since, kSlowPeriod, now)) machine->slow = true;
  if (lasts(machine->fit_since, kFitPeriod, now)) machine->slow = false;
  return machine->slow != before;
}

bool holds_back(const slow_machine& machine, steady_time now) {
  if (!machine.handed_over) return false;
  return now - *machine.handed_over < kHoldBack ||
         machine.slowdown >= kFitRatio;
}

double announced_slowdown(const slow_machine& machine, steady_time now) {
  return holds_back(machine, now) ? std::max(kFitRatio, machine.slowdown)
                                  : machine.slowdown;
}

milliseconds claim_delay_of(const slow_machine& machine,
                            std::optional<milliseconds> min_round_trip,
                            double cpu_share, steady_time now) {
  if (holds_back(machine, now)) return kUnclaimedLimit;
  return std::min(claim_delay(min_round_trip, cpu_share, machine.slow),
                  kUnclaimedLimit);
}

std::optional<handover_cause> handover_due(const slow_machine& machine,
                                           const handover_input& input,
                                           steady_time now) {
  if (now - input.owner_since < kMinOwnership) return std::nullopt;
  if (!input.journal_reachable) return std::nullopt;
  if (lasts(machine.slow_since, kSlowPeriod, now)) return handover_cause::slow;
  if (input.after_release && now - input.owner_since < kHoldBack) {
    return std::nullopt;
  }
  if (lasts(input.outdated_since, input.outdated_limit, now)) {
    return handover_cause::outdated;
  }
  return std::nullopt;
}

std::optional<daemon_info> choose_successor(const slow_machine& machine,
                                            const handover_input& input,
                                            steady_time now) {
  if (!handover_due(machine, input, now)) return std::nullopt;
  const announced_daemon* best = nullptr;
  auto rank = [&](const announced_daemon& each) {
    return std::make_tuple(each.daemon.zone == input.zone,
                           each.daemon.region == input.region,
                           -each.daemon.slowdown);
  };
  for (const announced_daemon& each : input.daemons) {
    if (!is_fit(each, now)) continue;
    if (best == nullptr || rank(each) > rank(*best)) best = &each;
  }
  if (best == nullptr) return std::nullopt;
  return best->daemon;
}

void record_handover(slow_machine* machine, handover_cause cause,
                     steady_time now) {
  machine->handed_over = now;
  ++machine->handovers;
  if (cause == handover_cause::outdated) ++machine->outdated_handovers;
}

}  // namespace ebonygrade::poold
