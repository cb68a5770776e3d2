#include <fmt/format.h>

#include <chrono>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

namespace {

std::string why_blocked(const engine& e, const queue_state& q) {
  const team_state& team = e.teams[q.team];
  switch (q.blocked) {
    case block_reason::none:
      return "is next for its team; others go first by priority or share";
    case block_reason::room:
      return fmt::format(
          "no worker has room now for a task of {} millicores, {} MB, {} "
          "accelerators, {} slots",
          q.need.millicores, q.need.memory_mb, q.need.accelerators,
          q.need.slots);
    case block_reason::quota:
      return fmt::format("team {} uses its whole quota and may not borrow",
                         team.policy.name);
    case block_reason::pause:
      return "the workers have no room now for all tasks of the gang at once";
  }
  return "is waiting";
}

// What tasks of the team and class were seen to use, if anything was.
std::string learned(const engine& e, const job_state& j) {
  const experience& seen =
      e.teams[j.team].seen[static_cast<std::size_t>(j.kind)];
  std::string text;
  const milliseconds runtime = estimate_runtime(e, j);
  if (runtime.count() > 0) {
    text += fmt::format("; its tasks are expected to run for {:.1f} s",
                        std::chrono::duration<double>(runtime).count());
  }
  if (seen.use_ratio[0] > 0) {
    text +=
        fmt::format("; such tasks use {:.0f}% of the processors they ask for",
                    100 * seen.use_ratio[0]);
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
      q.level, team.share);
  if (q.head != job) {
    text += "; older jobs of the same team, class and size go first";
  }
  text += "; " + why_blocked(e, q);
  if (e.held.job == job) {
    text +=
        fmt::format("; {} workers are reserved for it", e.held.workers.size());
  }
  text += learned(e, j);
  if (!team.is_known) {
    text += "; its team is no longer in the bundle in force";
  }
  return text;
}

}  // namespace ebonygrade::place
