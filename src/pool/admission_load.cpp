// The load of the pool as admission control sees it, from a scheduling round.
#include <algorithm>
#include <chrono>

#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// A forecast costs about a millisecond with 350 workers.
constexpr milliseconds kForecastInterval{100};
// Lost capacity is expected to be back by then: workers restart within seconds,
// and callers who were refused meanwhile would have been served. After that the
// loss counts as lasting.
constexpr milliseconds kReturnTime{10000};
// Runs past their expected end release their CPU within these times, at the
// rate that was measured last.
constexpr milliseconds kMinOverdueTime{500};
constexpr milliseconds kMaxOverdueTime{5000};
// A run that is being stopped.
constexpr milliseconds kStopTime{500};
// Below this the reported progress is too coarse to tell the run's pace.
constexpr double kMinPacePercent = 10;
constexpr double kFullProgressPercent = 100;
// Weight of the newest forecast in the idle CPU, which is thus smoothed over
// about a second.
constexpr double kIdleWeight = 0.1;
// An accepted job that isn't among the pool's jobs after this wasn't written.
constexpr milliseconds kMaxWriteTime{2000};

milliseconds to_ms(std::chrono::duration<double, std::milli> time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

// The time until the run ends; zero if it is past its expected end. Empty for
// runs that hold their CPU without an end.
std::optional<milliseconds> time_left(const scheduling_round& round,
                                      const worker& worker,
                                      const placement& placed) {
  if (placed.stop_wanted) return kStopTime;
  task_ref ref = find_task(round.pool, placed.task);
  if (ref.step == nullptr) return kStopTime;
  const wire::step_definition& step = definition(*ref.job, *ref.step);
  if (step.long_running()) return std::nullopt;
  std::chrono::duration<double, std::milli> expected =
      milliseconds(step.estimate_ms()) * slowdown_of(worker, round.now);
  std::chrono::duration<double, std::milli> elapsed =
      round.now - placed.phase_since;
  if (placed.phase_since == steady_time::max() || elapsed < elapsed.zero()) {
    elapsed = elapsed.zero();
  }
  double percent = static_cast<double>(placed.percent);
  if (percent >= kMinPacePercent && percent < kFullProgressPercent) {
    std::chrono::duration<double, std::milli> by_pace =
        elapsed * kFullProgressPercent / percent;
    // The estimate may be too high, or already passed.
    if (by_pace < expected || expected < elapsed) expected = by_pace;
  }
  return to_ms(std::max(expected - elapsed, elapsed.zero()));
}

void add_running_work(const scheduling_round& round, load_forecast* load) {
  std::int64_t overdue = 0;
  for (const available_worker& each : round.available) {
    for (const placement& placed : each.worker->placements) {
      std::optional<milliseconds> left = time_left(round, *each.worker, placed);
      if (!left) continue;
      if (*left > milliseconds(0)) {
        add_release(load, *left, placed.need.cpu_milli);
      } else {
        overdue += placed.need.cpu_milli;
      }
    }
  }
  std::int64_t rate = std::max<std::int64_t>(
      1, round.pool->cpu_release_rate.cpu_milli_per_second);
  milliseconds within = std::clamp(milliseconds(overdue * 1000 / rate),
                                   kMinOverdueTime, kMaxOverdueTime);
  add_gradual_release(load, within, overdue);
}

// Takes the CPU that stays free beside waiting work from the free CPU. Steps
// that only wait for advice will use theirs.
void subtract_idle_cpu(const load_summary& summary, admission_state* state) {
  bool waits = summary.waiting_cpu_milli > summary.waiting_for_advice_milli;
  double idle = waits ? static_cast<double>(state->load.free_cpu_milli) : 0;
  state->idle_cpu_milli += kIdleWeight * (idle - state->idle_cpu_milli);
  state->load.free_cpu_milli = std::max<std::int64_t>(
      0, state->load.free_cpu_milli -
             static_cast<std::int64_t>(state->idle_cpu_milli));
}

// Counts capacity that was lost a short time ago as back at the end of it.
void add_lost_capacity(const scheduling_round& round, std::int64_t capacity,
                       admission_state* state) {
  if (capacity >= state->known_capacity_milli ||
      round.now - state->capacity_seen_at >= kReturnTime) {
    state->known_capacity_milli = capacity;
    state->capacity_seen_at = round.now;
    return;
  }
  milliseconds left = std::chrono::duration_cast<milliseconds>(
      state->capacity_seen_at + kReturnTime - round.now);
  add_release(&state->load, left, state->known_capacity_milli - capacity);
}

waiting_work work_of(const candidate_step& candidate) {
  waiting_work work;
  work.over_share = candidate.job->over_share;
  work.priority = candidate.priority;
  work.late = candidate.tier != tier::in_time;
  work.deadline = candidate.deadline;
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  work.cpu_milli =
      count_waiting_tasks(*candidate.step) * resources_needed(step).cpu_milli;
  work.run_time = milliseconds(step.estimate_ms());
  return work;
}

// The steps of the same occurrence that wait for this one or others.
void add_later_steps(const candidate_step& candidate, const waiting_work& place,
                     load_forecast* load) {
  std::map<std::uint32_t, std::vector<step_state>>::const_iterator open =
      candidate.job->occurrences.find(candidate.step->occurrence);
  if (open == candidate.job->occurrences.end()) return;
  for (const step_state& each : open->second) {
    if (each.ready || each.step < candidate.step->step) continue;
    const wire::step_definition& step = definition(*candidate.job, each);
    waiting_work later = place;
    later.cpu_milli = static_cast<std::int64_t>(each.tasks.size()) *
                      resources_needed(step).cpu_milli;
    later.run_time = milliseconds(step.estimate_ms());
    load->waiting.push_back(later);
  }
}

// Accepted jobs whose record is still being written.
void add_admitted_jobs(const scheduling_round& round, admission_state* state) {
  std::deque<admitted_job> unwritten;
  std::vector<waiting_work>& waiting = state->load.waiting;
  for (admitted_job& each : state->admitted) {
    if (round.pool->jobs.count(each.id) > 0) continue;
    if (round.now - each.at > kMaxWriteTime) continue;
    waiting.insert(std::upper_bound(waiting.begin(), waiting.end(), each.work,
                                    is_placed_before),
                   each.work);
    unwritten.push_back(std::move(each));
  }
  state->admitted = std::move(unwritten);
}

}  // namespace

void update_admission_load(const scheduling_round& round,
                           const std::vector<candidate_step>& waiting) {
  admission_state* state = &round.pool->admission;
  if (!state->enabled) return;
  if (round.now - state->load.made_at < kForecastInterval) return;
  state->load = load_forecast();
  load_forecast* load = &state->load;
  load->made_at = round.now;
  std::int64_t capacity = 0;
  for (const available_worker& each : round.available) {
    capacity += each.worker->entry.capacity.cpu_milli;
    load->free_cpu_milli +=
        std::max<std::int64_t>(0, free_resources_of(*each.worker).cpu_milli);
  }
  subtract_idle_cpu(round.pool->load, state);
  add_running_work(round, load);
  add_lost_capacity(round, capacity, state);
  for (const candidate_step& each : waiting) {
    if (each.tier == tier::no_value) continue;
    waiting_work work = work_of(each);
    if (work.cpu_milli > 0) load->waiting.push_back(work);
    add_later_steps(each, work, load);
  }
  add_admitted_jobs(round, state);
}

}  // namespace ebonygrade::pool
