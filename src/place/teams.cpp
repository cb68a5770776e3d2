#include <xxhash.h>

#include <algorithm>

#include "place/engine_pvt.h"

namespace ebonygrade::place {

amounts to_amounts(const job::resources& value) {
  return {value.millicores, value.memory_mb, value.accelerators, value.slots};
}

void add(amounts* total, const job::resources& value, std::int64_t times) {
  const amounts each = to_amounts(value);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    (*total)[i] += each[i] * times;
  }
}

std::size_t string_hash::operator()(std::string_view text) const {
  return XXH3_64bits(text.data(), text.size());
}

std::uint32_t intern_team(engine* e, std::string_view name) {
  auto found = e->team_by_name.find(name);
  if (found != e->team_by_name.end()) return found->second;
  std::uint32_t team = static_cast<std::uint32_t>(e->teams.size());
  e->teams.emplace_back();
  e->teams.back().policy.name = name;
  e->team_by_name.emplace(std::string(name), team);
  return team;
}

double dominant_share(const engine& e, const amounts& amount) {
  double dominant = 0;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    dominant =
        std::max(dominant, static_cast<double>(amount[i]) * e.per_capacity[i]);
  }
  return dominant;
}

void update_share(engine* e, std::uint32_t team) {
  team_state& t = e->teams[team];
  t.share = static_cast<float>(dominant_share(*e, t.used) / t.policy.weight);
}

void update_all_shares(engine* e) {
  if (!e->shares_stale) return;
  e->shares_stale = false;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    e->per_capacity[i] =
        e->capacity[i] > 0 ? 1.0 / static_cast<double>(e->capacity[i]) : 0.0;
  }
  for (std::uint32_t team = 0; team < e->teams.size(); ++team) {
    update_share(e, team);
    update_ready_team(e, team);
  }
}

void update_ready_team(engine* e, std::uint32_t team) {
  const team_state& t = e->teams[team];
  if (t.queues.empty()) {
    e->ready_teams.erase(e->team_positions, team);
    return;
  }
  const queue_state& best = e->queues[t.queues.top()];
  team_key key;
  key.priority = best.priority;
  key.is_borrowing = exceeds_quota(*e, team, best.need, 1);
  key.share = t.share;
  e->ready_teams.update(e->team_positions, team, key);
}

void charge(engine* e, std::uint32_t team, const job::resources& amount,
            std::int64_t times) {
  add(&e->teams[team].used, amount, times);
  update_share(e, team);
}

bool exceeds_quota(const engine& e, std::uint32_t team,
                   const job::resources& need, std::int64_t times) {
  const team_state& t = e.teams[team];
  const amounts quota = to_amounts(t.policy.quota);
  const amounts each = to_amounts(need);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (quota[i] == 0 || each[i] == 0) continue;
    double limit = static_cast<double>(quota[i]) * e.quota_share;
    // A team that uses nothing here may start a task that needs more than this
    // engine's share of the quota.
    if (t.used[i] == 0) limit = std::max<double>(limit, each[i] * times);
    limit = std::min(limit, static_cast<double>(quota[i]));
    if (static_cast<double>(t.used[i] + each[i] * times) > limit) return true;
  }
  return false;
}

void set_quota_share(engine& e, double share) {
  e.quota_share = std::clamp(share, 0.0, 1.0);
  e.shares_stale = true;
  e.unblock_all = true;
}

void apply_policy(engine& e, const bundle::policy& policy) {
  e.policy = policy;
  for (team_state& team : e.teams) {
    std::string name = team.policy.name;
    team.policy = bundle::team_policy{};
    team.policy.name = name;
    team.is_known = false;
  }
  for (const auto& [name, team_policy] : policy.teams) {
    team_state& team = e.teams[intern_team(&e, name)];
    team.policy = team_policy;
    team.policy.name = name;
    team.is_known = true;
  }
  e.shares_stale = true;
  e.unblock_all = true;
  refresh_priorities(&e, true);
}

}  // namespace ebonygrade::place
