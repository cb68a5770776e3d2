// Tells operators why a step waits: once a second, for the steps that have
// waited longest, with the state that the decision rests on. Decides nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "pool/round_pvt.h"

namespace ebonygrade::pool {

// Steps that have waited for less aren't reported.
inline constexpr milliseconds kLongStepWait{3000};
inline constexpr milliseconds kStepWaitInterval{1000};
inline constexpr std::size_t kMaxReportedStepWaits = 10;

enum class wait_reason {
  outdated,        // The owner's copies of the store's records are too old.
  quota,           // Its tenant has used up its quota.
  near,            // It waits for a place near its data.
  member_placed,   // A member of the gang's last run isn't known to be over.
  advice_pending,  // A request for advice has no reply.
  advice_delayed,  // The next request is sent after a delay.
  advice_backlog,  // Steps before it wait for more than will become free.
  advice_limit,    // Too many requests are pending.
  collecting,      // The gang collects room on the workers granted to it.
  no_workers,      // No worker with room is left to ask for.
  not_requested,   // Workers are to be asked for in the next round.
  no_room,         // Too few workers that may run it have room.
  reserved,        // A gang that waits has reserved the workers with room.
};
std::string_view name_of(wait_reason reason);

// To be called before the steps are placed: chooses those to report in this
// round, if the last report is old enough.
void choose_step_waits(scheduling_round* round,
                       const std::vector<candidate_step>& waiting);
// To be called at the turn of the step, after the attempt to place it.
// `allowed`: how many of its tasks its tenant's quota allows.
void report_step_wait(const scheduling_round& round,
                      const candidate_step& candidate, std::uint32_t allowed);

}  // namespace ebonygrade::pool
