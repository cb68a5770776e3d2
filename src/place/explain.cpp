#include <fmt/format.h>

#include <chrono>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

std::string describe_blocking(const engine& e, const queue_state& q) {
  const team_state& team = e.teams[q.team];
  switch (q.blocked) {
    case block_reason::none:
      return "is next for its team; others go first by priority or share";
    case block_reason::capacity:
      return fmt::format(
          "no worker has room now for a task of {} millicores, {} MB, {} "
          "accelerators, {} slots",
          q.need.millicores, q.need.memory_mb, q.need.accelerators,
          q.need.slots);
    case block_reason::quota:
      return fmt::format("team {} uses its whole quota and may not borrow",
                         team.policy.name);
    case block_reason::backoff:
      return "the workers have no room now for all tasks of the gang at once";
  }
  return "is waiting";
}

// Describes the predicted run time and the observed usage, as far as known.
std::string describe_observed(const engine& e, const job_state& j) {
  const observed_demand& observed =
      e.teams[j.team].observed[static_cast<std::size_t>(j.kind)];
  std::string text;
  const milliseconds runtime = estimate_runtime(e, j);
  if (runtime.count() > 0) {
    text += fmt::format("; its tasks are expected to run for {:.1f} s",
                        std::chrono::duration<double>(runtime).count());
  }
  if (observed.use_ratio[0] > 0) {
    text +=
        fmt::format("; such tasks use {:.0f}% of the processors they ask for",
                    100 * observed.use_ratio[0]);
  }
  return text;
}

}  // namespace

std::string explain(const engine& e, std::string_view id, steady_time now) {
  const std::uint32_t job = find_job(e, id);
  if (job == kNone) return fmt::format("{} is not waiting here", id);
  const job_state& j = e.jobs[job];
  if (j.queue == kNone) {
    return fmt::format("{} is not waiting: all its {} tasks have started", id,
                       j.running);
  }
  const queue_state& q = e.queues[j.queue];
  const team_state& team = e.teams[j.team];
  const double waited =
      std::chrono::duration<double>(now - j.submitted).count();
  std::string text = fmt::format(
      "{} ({}, team {}) has {} tasks waiting for {:.1f} s, at priority {} "
      "with ageing; the team's share over weight is {:.3f}",
      id, job::to_string(j.kind), team.policy.name, j.waiting.size(), waited,
      q.priority, team.share);
  if (q.head != job) {
    text += "; older jobs of the same team, class and size go first";
  }
  text += "; " + describe_blocking(e, q);
  if (e.active_reservation.job == job) {
    text += fmt::format("; {} workers are reserved for it",
                        e.active_reservation.workers.size());
  }
  text += describe_observed(e, j);
  if (!team.is_known) {
    text += "; its team is no longer in the bundle in force";
  }
  return text;
}

}  // namespace ebonygrade::place
