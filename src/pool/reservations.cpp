#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"
#include "pool/reservations_pvt.h"

namespace ebonygrade::pool {

namespace {

// Limit of the workers that are reserved for gangs, relative to all available
// workers. The rest serves steps of lower priority.
constexpr double kMaxReservedShare = 0.8;
// A gang gives way first after this time. A job with nothing running starts
// within 3 s; the rest is for rounds, advice and the record of the start.
constexpr milliseconds kFirstHold{2000};
constexpr std::uint32_t kMaxHoldDoublings = 6;
// For a request to the advice service and a record of the start.
constexpr milliseconds kYieldTime{1000};
// A gang that is expected to start this soon, or that waits only for runs that
// went ahead of it or for tickets, doesn't give way before the longer time.
constexpr milliseconds kImminentStart{1000};
constexpr milliseconds kImminentHold{8000};
// Workers report the progress of runs once a second.
constexpr milliseconds kForecastValidity{500};

// When a gang has its room.
struct room_forecast {
  steady_time at;
  std::vector<resources> free;  // At that time, by worker.
};

std::uint32_t slots_of(const candidate_step& candidate, const resources& free) {
  return count_slots(
      free, resources_needed(definition(*candidate.job, *candidate.step)),
      max_members_per_worker(candidate));
}

// Rounds of a large pool would take much longer if each computed the expected
// ends of all runs anew.
steady_time release_time(const scheduling_round& round, const worker& worker,
                         placement* placed) {
  if (round.now - placed->release_computed >= kForecastValidity) {
    placed->release_at = expected_end(round, worker, *placed);
    placed->release_computed = round.now;
  }
  return placed->release_at;
}

// Nothing if the gang doesn't fit even when all runs have ended that end.
std::optional<room_forecast> forecast_room(
    const scheduling_round& round, const candidate_step& candidate,
    const std::vector<worker*>& workers) {
  room_forecast forecast{round.now, {}};
  std::vector<release> releases;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    resources free = free_resources_of(*workers[i]);
    for (placement& each : workers[i]->placements) {
      if (each.lasts) continue;
      if (each.backfilled) {
        free = free + each.need;
      } else {
        releases.push_back(
            {release_time(round, *workers[i], &each), i, each.need});
      }
    }
    forecast.free.push_back(free);
  }
  std::optional<std::size_t> taken =
      release_until_fits(candidate, &releases, &forecast.free);
  if (!taken) return std::nullopt;
  if (*taken == 0) return forecast;
  forecast.at = std::max(round.now, releases[*taken - 1].at);
  // Also what comes free at the same time.
  for (std::size_t i = *taken; i < releases.size(); ++i) {
    if (releases[i].at > forecast.at) break;
    resources& free = forecast.free[releases[i].worker];
    free = free + releases[i].freed;
  }
  return forecast;
}

// When a run of the step would have ended at the latest; max() if it lasts or
// nothing is known.
steady_time latest_end(const scheduling_round& round,
                       const candidate_step& candidate, const worker& worker) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  if (step.long_running() || step.estimate_ms() == 0) return steady_time::max();
  return round.now +
         std::chrono::ceil<milliseconds>(
             expected_run_time(round, worker, step) * kSlowestTaskFactor);
}

// How many of the first workers hold a gang of so many tasks once all runs have
// ended that end; 0 if all of them don't suffice.
std::size_t count_if_idle(const std::vector<collectable_worker>& workers,
                          const candidate_step& candidate,
                          std::uint32_t tasks) {
  std::uint32_t slots = 0;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    slots += slots_of(candidate, workers[i].worker->entry.capacity -
                                     workers[i].worker->lasting);
    if (slots >= tasks) return i + 1;
  }
  return 0;
}

bool is_imminent(const scheduling_round& round, const reservation& kept) {
  return kept.start - round.now <= kImminentStart;
}

void add_reservation(scheduling_round* round, const worker* worker,
                     reservation kept) {
  if (!round->reserved.try_emplace(worker, kept).second) return;
  round->reserved_free_cpu +=
      std::max<std::int64_t>(0, free_resources_of(*worker).cpu_milli);
}

}  // namespace

void reserve_room(scheduling_round* round, const candidate_step& candidate,
                  const std::vector<worker*>& workers) {
  if (!round->mostly_unused) {
    for (worker* each : workers) {
      add_reservation(round, each, {candidate.job, round->now, {}});
    }
    return;
  }
  std::optional<room_forecast> forecast =
      forecast_room(*round, candidate, workers);
  if (!forecast) return;
  if (round->reserved.empty()) {
    round->first_holder = {candidate.job, candidate.step};
  }
  resources need =
      resources_needed(definition(*candidate.job, *candidate.step));
  for (std::size_t i = 0; i < workers.size(); ++i) {
    // Workers without room at that time may have it sooner than forecast.
    const resources& free = forecast->free[i];
    std::uint32_t slots = slots_of(candidate, free);
    resources spare = slots == 0 ? resources() : free - need * slots;
    add_reservation(round, workers[i], {candidate.job, forecast->at, spare});
  }
}

// Load pattern: gangs wait while nearly half of the pool is free, a few cores
// on each worker. Every gang with enough tickets collects room at the same
// time, within a limit; the first gang always does.
void reserve_workers(scheduling_round* round, const candidate_step& candidate) {
  std::size_t limit = static_cast<std::size_t>(
      kMaxReservedShare * static_cast<double>(round->available.size()));
  bool first = round->reserved.empty();
  if (!first && round->reserved.size() >= limit) return;
  std::vector<collectable_worker> found =
      collectable_workers(*round, candidate);
  std::uint32_t count =
      static_cast<std::uint32_t>(candidate.step->tasks.size());
  std::size_t needed = count_to_collect(found, count);
  // A gang that needs most of the pool would never start otherwise.
  if (needed == 0 && first) needed = count_if_idle(found, candidate, count);
  if (needed == 0) return;
  if (!first && round->reserved.size() + needed > limit) return;
  std::vector<worker*> workers;
  for (std::size_t i = 0; i < needed; ++i) workers.push_back(found[i].worker);
  reserve_room(round, candidate, workers);
}

resources usable_resources(const scheduling_round& round,
                           const candidate_step& candidate,
                           const worker& worker) {
  resources free = free_resources_of(worker);
  std::unordered_map<const pool::worker*, reservation>::const_iterator found =
      round.reserved.find(&worker);
  if (found == round.reserved.end()) return free;
  if (!round.mostly_unused) return {};
  const reservation& kept = found->second;
  bool yields = round.yields && (round.pool->reservations.all_yield ||
                                 !is_imminent(round, kept));
  if (yields && candidate.job->workers.empty()) return free;
  if (latest_end(round, candidate, worker) <= kept.start) return free;
  return {std::min(free.cpu_milli, kept.spare.cpu_milli),
          std::min(free.memory_mb, kept.spare.memory_mb),
          std::min(free.gpus, kept.spare.gpus)};
}

void observe_beside_reservations(scheduling_round* round,
                                 const candidate_step& candidate,
                                 std::size_t first) {
  if (round->reserved.empty() || !round->mostly_unused) return;
  pool_state* pool = round->pool;
  const std::vector<placement_key>& starts = pool->unrecorded_starts;
  for (std::size_t i = first; i < starts.size(); ++i) {
    worker* at = find_worker(pool, starts[i].worker);
    std::unordered_map<const worker*, reservation>::iterator found =
        round->reserved.find(at);
    if (found == round->reserved.end()) continue;
    placement* placed = find_placement(at, starts[i].task, starts[i].run);
    placed->backfilled =
        latest_end(*round, candidate, *at) <= found->second.start;
    if (placed->backfilled) {
      at->backfilled = at->backfilled + placed->need;
      ++pool->counters.backfilled_runs;
    } else {
      found->second.spare = found->second.spare - placed->need;
    }
  }
  if (round->keeps_idle_job) return;
  bool awaits_advice =
      candidate.policy->needs_advice && candidate.step->queried.empty();
  if (awaits_advice || !candidate.job->workers.empty()) return;
  round->keeps_idle_job = is_kept_by_reservations(*round, candidate);
}

void update_yield(scheduling_round* round) {
  reservation_state* state = &round->pool->reservations;
  if (round->yields) return;
  if (!round->keeps_idle_job) {
    state->idle_jobs_kept_since = {};
    return;
  }
  if (state->idle_jobs_kept_since == steady_time()) {
    state->idle_jobs_kept_since = round->now;
  }
  step_state* holder = round->first_holder.step;
  milliseconds hold =
      kFirstHold * (1 << std::min(holder->yields, kMaxHoldDoublings));
  steady_time::duration kept = round->now - state->idle_jobs_kept_since;
  bool all_yield = kept >= std::max(hold, kImminentHold);
  bool some_yield =
      kept >= hold &&
      std::any_of(round->reserved.begin(), round->reserved.end(),
                  [&](const std::pair<const worker* const, reservation>& each) {
                    return !is_imminent(*round, each.second);
                  });
  if (!all_yield && !some_yield) return;
  state->all_yield = all_yield;
  ++holder->yields;
  ++round->pool->counters.reservation_yields;
  add_job_event(
      round->pool, job_event_kind::reservation_yielded,
      round->first_holder.job->id, {},
      "occurrence=" + std::to_string(holder->occurrence) +
          " step=" + std::to_string(holder->step) + " held_ms=" +
          milliseconds_between(state->idle_jobs_kept_since, round->now) +
          " yields=" + std::to_string(holder->yields) +
          " reserved=" + std::to_string(round->reserved.size()));
  state->idle_jobs_kept_since = {};
  state->yields_until = round->now + kYieldTime;
}

}  // namespace ebonygrade::pool
