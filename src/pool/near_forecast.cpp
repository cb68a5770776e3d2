// Forecasts of when racks have room for a task or a gang, from the runs on
// their workers.
#include <algorithm>
#include <chrono>
#include <utility>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

constexpr double kFullProgress = 100;
// From this progress on, the pace of a run counts more than its estimate.
// Workers report whole percents, so the pace of a young run is coarse.
constexpr double kPaceProgress = 30;
// A run that should have ended takes this part of its time so far in addition.
constexpr double kOverdueShare = 0.25;
constexpr milliseconds kMinRest{30};
// From the wish to stop a run until its resources are free.
constexpr milliseconds kStopTime{300};
// Tickets are not used when they expire sooner; see options.cpp.
constexpr milliseconds kTicketMargin{120};
// Bound of a round's work on forecasts, in ends of runs: a few milliseconds of
// processor time. Tasks after it start far.
constexpr std::size_t kMaxChangesSearched = 50'000;

using real_ms = std::chrono::duration<double, std::milli>;

// The time that the run still takes, without regard to how late it is.
real_ms rest_of_run(const scheduling_round& round, const worker& worker,
                    const placement& placed, steady_time begun, real_ms total) {
  if (placed.phase != phase::running || placed.percent == 0) {
    return total - (round.now - begun);
  }
  steady_time progress_at =
      worker.clock_read_at - (worker.clock - placed.last_progress);
  double done = std::min(kFullProgress, static_cast<double>(placed.percent));
  real_ms rest = total * ((kFullProgress - done) / kFullProgress);
  // The pace is known only of runs that were seen from their beginning.
  bool pace_known = placed.starts_sent > 0 && !placed.resumed;
  real_ms taken = progress_at - begun;
  if (pace_known && taken > real_ms(0)) {
    double weight = std::min(1.0, done / kPaceProgress);
    rest += (taken * ((kFullProgress - done) / done) - rest) * weight;
  }
  return rest - (round.now - progress_at);
}

const worker_room& room_of(const scheduling_round& round, worker* worker) {
  worker_room& room = round.near->rooms[worker];
  if (!room.changes.empty() && room.placements == worker->placements.size()) {
    return room;
  }
  room.placements = worker->placements.size();
  round.near->changes_searched += room.placements;
  room.changes.clear();
  for (placement& placed : worker->placements) {
    steady_time end = expected_end(round, *worker, placed);
    if (end == steady_time::max()) continue;
    room.changes.push_back({end, placed.need});
    // The first forecast of a run is compared with its end.
    if (placed.forecast_made != steady_time()) continue;
    placed.forecast_made = round.now;
    placed.forecast_end = end;
  }
  std::sort(
      room.changes.begin(), room.changes.end(),
      [](const room_change& a, const room_change& b) { return a.at < b.at; });
  return room;
}

const std::unordered_map<std::string, std::vector<worker*>>& racks_of(
    const scheduling_round& round) {
  near_round& near = *round.near;
  if (near.has_racks) return near.racks;
  near.has_racks = true;
  for (std::pair<const std::string, worker>& each : round.pool->workers) {
    near.racks[each.second.entry.rack].push_back(&each.second);
  }
  return near.racks;
}

bool may_run(const scheduling_round& round, const candidate_step& candidate,
             const worker& worker) {
  return is_available(worker, round.now) && !is_emptied(worker, round.now) &&
         is_eligible(worker, *candidate.job,
                     definition(*candidate.job, *candidate.step));
}

// Until when the step may start on the worker. Nothing if the advice service
// has denied the worker or hasn't been asked, or its ticket has expired.
std::optional<steady_time> usable_until(const scheduling_round& round,
                                        const candidate_step& candidate,
                                        const worker& worker) {
  if (!candidate.policy->needs_advice) return steady_time::max();
  std::unordered_map<std::string, cached_ticket>::const_iterator found =
      candidate.step->tickets.find(worker.entry.id);
  if (found == candidate.step->tickets.end()) return std::nullopt;
  bool valid = found->second.incarnation_ms == worker.entry.incarnation_ms &&
               found->second.expires >= round.now + kTicketMargin;
  if (!valid) return std::nullopt;
  return found->second.expires - kTicketMargin;
}

// The step's limit of its runs on one worker.
bool is_at_limit(const candidate_step& candidate, const worker& worker) {
  std::uint32_t limit =
      definition(*candidate.job, *candidate.step).max_per_worker();
  if (limit == 0) return false;
  std::ptrdiff_t running = std::count_if(
      worker.placements.begin(), worker.placements.end(),
      [&](const placement& each) {
        return each.task.step == candidate.step->step &&
               each.task.occurrence == candidate.step->occurrence &&
               each.task.job == candidate.job->id;
      });
  return running >= static_cast<std::ptrdiff_t>(limit);
}

// From when the worker has room for the task and keeps it.
std::optional<steady_time> room_from(const scheduling_round& round,
                                     worker* worker, const resources& need) {
  const worker_room& room = room_of(round, worker);
  std::vector<room_change> changes = room.changes;
  changes.insert(changes.end(), room.claims.begin(), room.claims.end());
  if (!room.claims.empty()) {
    std::sort(
        changes.begin(), changes.end(),
        [](const room_change& a, const room_change& b) { return a.at < b.at; });
  }
  round.near->changes_searched += changes.size() + 1;
  resources free = free_resources_of(*worker);
  std::optional<steady_time> from;
  if (fits(need, free)) from = round.now;
  for (const room_change& each : changes) {
    free = free + each.freed;
    if (!fits(need, free)) {
      from.reset();
    } else if (!from) {
      from = std::max(each.at, round.now);
    }
  }
  return from;
}

found_room gang_room_on(const scheduling_round& round,
                        const candidate_step& candidate,
                        const std::vector<worker*>& workers) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  resources need = resources_needed(step);
  std::vector<resources> free;
  std::vector<release> releases;
  near_forecast forecast;
  steady_time until = steady_time::max();
  for (worker* each : workers) {
    until = std::min(until, *usable_until(round, candidate, *each));
    forecast.slowdown =
        std::max(forecast.slowdown, slowdown_of(*each, round.now));
    const worker_room& room = room_of(round, each);
    resources now_free = free_resources_of(*each);
    for (const room_change& claim : room.claims) {
      if (claim.freed.cpu_milli < 0 || claim.freed.memory_mb < 0) {
        now_free = now_free + claim.freed;
      }
    }
    for (const room_change& change : room.changes) {
      releases.push_back({change.at, free.size(), change.freed});
    }
    free.push_back(now_free);
  }
  round.near->changes_searched += releases.size() + workers.size();
  std::optional<std::size_t> taken =
      release_until_fits(candidate, &releases, &free);
  if (!taken) return {};
  forecast.free_at = round.now;
  if (*taken > 0) {
    forecast.free_at = std::max(round.now, releases[*taken - 1].at);
  }
  if (forecast.free_at > until) return {};
  found_room found;
  found.forecast = forecast;
  // Workers with the most room first, as far as they are needed.
  std::uint32_t limit = max_members_per_worker(candidate);
  std::vector<std::pair<std::uint32_t, worker*>> order;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    order.push_back({count_slots(free[i], need, limit), workers[i]});
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first > b.first;
    return a.second->entry.id < b.second->entry.id;
  });
  std::uint32_t held = 0;
  for (std::size_t i = 0; held < candidate.step->tasks.size(); ++i) {
    held += order[i].first;
    found.workers.push_back(order[i].second);
  }
  return found;
}

}  // namespace

real_ms expected_run_time(const scheduling_round& round, const worker& worker,
                          const wire::step_definition& step) {
  bool far = !step.data_rack().empty() && step.data_rack() != worker.entry.rack;
  double factor = far ? round.pool->near.settings.far_factor : 1;
  return real_ms(step.estimate_ms()) * factor * slowdown_of(worker, round.now);
}

steady_time expected_end(const scheduling_round& round, const worker& worker,
                         const placement& placed) {
  task_ref ref = find_task(round.pool, placed.task);
  if (ref.step == nullptr || placed.stop_wanted) return round.now + kStopTime;
  const wire::step_definition& step = definition(*ref.job, *ref.step);
  if (step.long_running()) return steady_time::max();
  steady_time begun =
      placed.phase == phase::running ? placed.phase_since : placed.placed_at;
  if (begun == steady_time()) begun = placed.phase_since;
  real_ms total = expected_run_time(round, worker, step);
  real_ms rest = rest_of_run(round, worker, placed, begun, total);
  if (rest <= real_ms(0)) rest = (round.now - begun) * kOverdueShare;
  return round.now +
         std::max(kMinRest, std::chrono::duration_cast<milliseconds>(rest));
}

std::uint32_t max_members_per_worker(const candidate_step& candidate) {
  std::uint32_t count =
      static_cast<std::uint32_t>(candidate.step->tasks.size());
  std::uint32_t limit =
      definition(*candidate.job, *candidate.step).max_per_worker();
  return limit == 0 ? count : std::min(count, limit);
}

std::optional<std::size_t> release_until_fits(const candidate_step& candidate,
                                              std::vector<release>* releases,
                                              std::vector<resources>* free) {
  resources need =
      resources_needed(definition(*candidate.job, *candidate.step));
  std::uint32_t limit = max_members_per_worker(candidate);
  std::size_t total = 0;
  for (const resources& each : *free) total += count_slots(each, need, limit);
  std::size_t count = candidate.step->tasks.size();
  if (total >= count) return 0;
  std::sort(releases->begin(), releases->end(),
            [](const release& a, const release& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < releases->size(); ++i) {
    const release& each = (*releases)[i];
    resources& at = (*free)[each.worker];
    total -= count_slots(at, need, limit);
    at = at + each.freed;
    total += count_slots(at, need, limit);
    if (total >= count) return i + 1;
  }
  return std::nullopt;
}

found_room find_task_room(const scheduling_round& round,
                          const candidate_step& candidate, const task& task,
                          const std::string& rack) {
  found_room found;
  std::unordered_map<std::string, std::vector<worker*>>::const_iterator near =
      racks_of(round).find(rack);
  if (near == racks_of(round).end()) return found;
  resources need =
      resources_needed(definition(*candidate.job, *candidate.step));
  for (worker* each : near->second) {
    if (!may_run(round, candidate, *each)) continue;
    std::optional<steady_time> until = usable_until(round, candidate, *each);
    if (!until) continue;
    found.has_workers = true;
    if (round.near->changes_searched > kMaxChangesSearched) continue;
    if (round.reserved.count(each) > 0) continue;
    if (each->entry.id == task.last_failed_worker) continue;
    if (is_at_limit(candidate, *each)) continue;
    std::optional<steady_time> from = room_from(round, each, need);
    if (!from || *from > *until) continue;
    if (found.forecast && found.forecast->free_at <= *from) continue;
    found.forecast = {*from, slowdown_of(*each, round.now)};
    found.workers = {each};
  }
  return found;
}

found_room find_gang_room(const scheduling_round& round,
                          const candidate_step& candidate,
                          const std::string& rack) {
  found_room found;
  for (const std::pair<const std::string, std::vector<worker*>>& each :
       racks_of(round)) {
    if (!rack.empty() && each.first != rack) continue;
    std::vector<worker*> usable;
    for (worker* worker : each.second) {
      if (!may_run(round, candidate, *worker)) continue;
      if (!usable_until(round, candidate, *worker)) continue;
      found.has_workers = true;
      if (round.reserved.count(worker) == 0) usable.push_back(worker);
    }
    if (round.near->changes_searched > kMaxChangesSearched) continue;
    found_room room = gang_room_on(round, candidate, usable);
    if (!room.forecast) continue;
    if (found.forecast) {
      // By name at the same time: the order of a hash table decides nothing.
      steady_time best = found.forecast->free_at;
      if (best < room.forecast->free_at) continue;
      if (best == room.forecast->free_at &&
          found.workers.front()->entry.rack < each.first) {
        continue;
      }
    }
    found.forecast = room.forecast;
    found.workers = std::move(room.workers);
  }
  return found;
}

void claim_room(const scheduling_round& round, const candidate_step& candidate,
                const found_room& room) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  resources need = resources_needed(step);
  for (const worker* each : room.workers) {
    worker_room& claimed = round.near->rooms[each];
    steady_time from = room.forecast->free_at;
    claimed.claims.push_back({from, resources() - need});
    claimed.claims.push_back(
        {from + std::chrono::duration_cast<milliseconds>(
                    real_ms(step.estimate_ms()) * room.forecast->slowdown),
         need});
  }
}

}  // namespace ebonygrade::pool
