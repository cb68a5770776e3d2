#include "pool/step_wait.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "pool/near_wait_pvt.h"
#include "pool/pool_pvt.h"

namespace ebonygrade::pool {

namespace {

std::string_view name_of(phase phase) {
  switch (phase) {
    case phase::recording:
      return "recording";
    case phase::sent:
      return "sent";
    case phase::running:
      return "running";
    case phase::unverified:
      return "unverified";
  }
  return "unknown";
}

std::size_t count_placed(const step_state& step) {
  return static_cast<std::size_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(),
                    [](const task& each) { return each.placed; }));
}

// The placed task whose worker has the longest lease.
const task* last_placed(const scheduling_round& round, const step_state& step) {
  const task* last = nullptr;
  steady_time latest;
  for (const task& each : step.tasks) {
    if (!each.placed) continue;
    const worker* at = find_worker(round.pool, each.worker);
    steady_time end = at == nullptr ? steady_time() : at->lease_end;
    if (last != nullptr && end <= latest) continue;
    last = &each;
    latest = end;
  }
  return last;
}

// What is known of a task that is still placed.
std::string describe_placed(const scheduling_round& round,
                            const candidate_step& candidate) {
  const step_state& step = *candidate.step;
  const task* placed = last_placed(round, step);
  if (placed == nullptr) return "";
  std::uint32_t index = static_cast<std::uint32_t>(placed - step.tasks.data());
  std::string text = " placed=" + std::to_string(count_placed(step)) +
                     " task=" + std::to_string(index) +
                     " run=" + std::to_string(placed->placed_run) +
                     " worker=" + placed->worker;
  worker* at = find_worker(round.pool, placed->worker);
  if (at == nullptr) return text + " known=0";
  const placement* run =
      find_placement(at, {candidate.job->id, step.occurrence, step.step, index},
                     placed->placed_run);
  if (run != nullptr) {
    text += " phase=" + std::string(name_of(run->phase)) +
            " stop=" + (run->stop_wanted ? "1" : "0");
  }
  return text + " draining=" + (at->entry.draining ? "1" : "0") +
         " listed=" + (at->listed ? "1" : "0") +
         " silent_ms=" + milliseconds_between(at->last_reply, round.now) +
         " lease_left_ms=" + milliseconds_between(round.now, at->lease_end);
}

std::uint32_t free_slots(const std::vector<collectable_worker>& workers) {
  std::uint32_t free = 0;
  for (const collectable_worker& each : workers) free += each.free;
  return free;
}

std::string describe_advice(const scheduling_round& round,
                            const candidate_step& candidate,
                            const std::vector<collectable_worker>& granted) {
  const step_state& step = *candidate.step;
  std::uint32_t count = count_waiting_tasks(step);
  std::uint32_t with_tickets =
      total_slots(find_options(round, candidate, ticket_mode::required, count));
  return " queried=" + std::to_string(step.queried.size()) +
         " granted=" + std::to_string(step.granted.size()) +
         " granted_slots=" + std::to_string(free_slots(granted)) +
         " ticket_slots=" + std::to_string(with_tickets) +
         " requests=" + std::to_string(round.pool->pending_advice_requests) +
         " last_reply_ms=" +
         (step.last_advice == steady_time()
              ? "none"
              : milliseconds_between(step.last_advice, round.now));
}

// The reservation that ends first, of those in the step's way.
std::string describe_reservation(const scheduling_round& round,
                                 const candidate_step& candidate) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  const reservation* first = nullptr;
  for (const std::pair<const worker* const, reservation>& each :
       round.reserved) {
    if (!is_eligible(*each.first, *candidate.job, step)) continue;
    if (first == nullptr || each.second.start < first->start) {
      first = &each.second;
    }
  }
  if (first == nullptr) return "";
  return " holder=" + first->holder->id +
         " starts_in_ms=" + milliseconds_between(round.now, first->start) +
         " reserved=" + std::to_string(round.reserved.size());
}

wait_reason reason_of(const scheduling_round& round,
                      const candidate_step& candidate,
                      const std::vector<collectable_worker>& granted,
                      std::uint32_t allowed) {
  if (is_outdated(*round.pool, round.now)) return wait_reason::outdated;
  if (allowed == 0) return wait_reason::quota;
  const step_state& step = *candidate.step;
  bool gang = definition(*candidate.job, step).gang();
  if (gang && any_placed(step)) return wait_reason::member_placed;
  if (all_wait_for_near(round, candidate)) return wait_reason::near;
  if (!candidate.policy->needs_advice) {
    return is_kept_by_reservations(round, candidate) ? wait_reason::reserved
                                                     : wait_reason::no_room;
  }
  std::optional<wait_reason> hindrance = advice_hindrance(round, candidate);
  if (hindrance) return *hindrance;
  std::uint32_t count = count_waiting_tasks(step);
  if (free_slots(granted) >= count) return wait_reason::not_requested;
  if (gang && count_to_collect(granted, count) > 0) {
    return wait_reason::collecting;
  }
  bool any_to_ask =
      !find_options(round, candidate, ticket_mode::ignored, count).empty();
  if (any_to_ask) return wait_reason::not_requested;
  return is_kept_by_reservations(round, candidate) ? wait_reason::reserved
                                                   : wait_reason::no_workers;
}

}  // namespace

std::string_view name_of(wait_reason reason) {
  switch (reason) {
    case wait_reason::outdated:
      return "outdated";
    case wait_reason::quota:
      return "quota";
    case wait_reason::near:
      return "near";
    case wait_reason::member_placed:
      return "member_placed";
    case wait_reason::advice_pending:
      return "advice_pending";
    case wait_reason::advice_delayed:
      return "advice_delayed";
    case wait_reason::advice_backlog:
      return "advice_backlog";
    case wait_reason::advice_limit:
      return "advice_limit";
    case wait_reason::collecting:
      return "collecting";
    case wait_reason::no_workers:
      return "no_workers";
    case wait_reason::not_requested:
      return "not_requested";
    case wait_reason::no_room:
      return "no_room";
    case wait_reason::reserved:
      return "reserved";
  }
  return "unknown";
}

void choose_step_waits(scheduling_round* round,
                       const std::vector<candidate_step>& waiting) {
  pool_state* pool = round->pool;
  if (round->now - pool->step_waits_reported_at < kStepWaitInterval) return;
  pool->step_waits_reported_at = round->now;
  std::vector<const step_state*> found;
  for (const candidate_step& each : waiting) {
    steady_time& since = each.step->waits_since;
    if (since == steady_time()) since = round->now;
    if (round->now - since >= kLongStepWait) found.push_back(each.step);
  }
  pool->long_step_waits = found.size();
  std::size_t reported = std::min(found.size(), kMaxReportedStepWaits);
  std::partial_sort(found.begin(),
                    found.begin() + static_cast<std::ptrdiff_t>(reported),
                    found.end(), [](const step_state* a, const step_state* b) {
                      return a->waits_since < b->waits_since;
                    });
  round->waits_to_report.insert(
      found.begin(), found.begin() + static_cast<std::ptrdiff_t>(reported));
}

void report_step_wait(const scheduling_round& round,
                      const candidate_step& candidate, std::uint32_t allowed) {
  const step_state& step = *candidate.step;
  std::uint32_t tasks = count_waiting_tasks(step);
  if (tasks == 0 || round.waits_to_report.count(&step) == 0) return;
  bool gang = definition(*candidate.job, step).gang();
  std::vector<collectable_worker> granted;
  if (candidate.policy->needs_advice && !(gang && any_placed(step))) {
    granted = collectable_workers(round, candidate);
  }
  wait_reason reason = reason_of(round, candidate, granted, allowed);
  std::string detail =
      "occurrence=" + std::to_string(step.occurrence) +
      " step=" + std::to_string(step.step) + " tasks=" + std::to_string(tasks) +
      " waited_ms=" + milliseconds_between(step.waits_since, round.now) +
      " tier=" + std::to_string(static_cast<int>(candidate.tier)) +
      " reason=" + std::string(name_of(reason));
  if (reason == wait_reason::member_placed) {
    detail += describe_placed(round, candidate);
  } else if (reason == wait_reason::reserved) {
    detail += describe_reservation(round, candidate);
  } else if (candidate.policy->needs_advice) {
    detail += describe_advice(round, candidate, granted);
  }
  add_job_event(round.pool, job_event_kind::step_waits, candidate.job->id, {},
                std::move(detail));
}

}  // namespace ebonygrade::pool
