// When an owner on a slow machine, or with copies of the store's records that
// stay too old, hands the pool over, and how a slow daemon claims.
// docs/design/slow-owner.md
//
// Pure functions; the times are passed in. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "poold/standby.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

// From this ratio on a machine counts as slow.
inline constexpr double kSlowRatio = 3;
// Below this ratio a machine counts as fast again, and a standby as fit. The
// gap to kSlowRatio keeps a ratio near one limit from changing the judgement.
inline constexpr double kFitRatio = 1.5;
// If nobody has claimed a pool without an owner for this long, a slow daemon
// does.
inline constexpr milliseconds kUnclaimedLimit{2000};

// What this daemon knows of its own machine.
struct slow_machine {
  double slowdown = 0;     // 0: not measured.
  steady_time slow_since;  // Default value: the ratio is below kSlowRatio.
  steady_time fit_since;   // Default value: the ratio isn't below kFitRatio.
  // Judged as slow: from kSlowRatio for 0.3 s on, until below kFitRatio for 1
  // s.
  bool slow = false;
  std::optional<steady_time> handed_over;  // This daemon's last handover.
  std::uint64_t handovers = 0;
  std::uint64_t outdated_handovers = 0;  // Part of them, by cause.
};

enum class handover_cause {
  slow,      // The owner's machine is slow.
  outdated,  // The owner's copies of the store's records stay too old.
};

// How long an owner's copies may be too old for starts, without a break, until
// it hands over. Beyond the lags of a busy owner, and short enough that starts
// go on within the sum of the two limits.
inline constexpr milliseconds max_outdated_time(milliseconds cancel_time,
                                                milliseconds drain_time) {
  return std::min(cancel_time, drain_time) / 2;
}

// Takes the newest ratio. Returns whether the judgement has changed.
bool observe_slowdown(slow_machine* machine, double slowdown, steady_time now);

// Whether the daemon leaves claims to others: for 10 s after a handover, and
// after that until its machine is fast again.
bool holds_back(const slow_machine& machine, steady_time now);

// The ratio for this daemon's announcements. At least kFitRatio while it holds
// back: another owner that handed over to it would leave the pool unclaimed.
double announced_slowdown(const slow_machine& machine, steady_time now);

// Delay of a claim from the time when the pool has no owner.
milliseconds claim_delay_of(const slow_machine& machine,
                            std::optional<milliseconds> min_round_trip,
                            double cpu_share, steady_time now);

struct handover_input {
  steady_time owner_since;
  bool journal_reachable = false;  // A release could be written.
  std::string zone;                // Of the owner.
  std::string region;
  std::vector<announced_daemon> daemons;
  // Since when the owner's copies are too old for starts. Default value: they
  // aren't.
  steady_time outdated_since{};
  milliseconds outdated_limit{0};  // See max_outdated_time().
  // The owner before this one released the pool, maybe for the same cause: an
  // outdated owner then hands over only after 10 s.
  bool after_release = false;
};

// Why the owner is to hand the pool over; none if it isn't.
std::optional<handover_cause> handover_due(const slow_machine& machine,
                                           const handover_input& input,
                                           steady_time now);

// The standby that the owner hands the pool over to; none if it keeps the pool.
// It is one that can claim at once; those of the owner's zone and region come
// first, as the owner was chosen for its short way to the store.
std::optional<daemon_info> choose_successor(const slow_machine& machine,
                                            const handover_input& input,
                                            steady_time now);

void record_handover(slow_machine* machine, handover_cause cause,
                     steady_time now);

}  // namespace ebonygrade::poold
