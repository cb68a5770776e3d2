#include <algorithm>
#include <limits>
#include <utility>

#include "routing/routing.h"

namespace ebonygrade::routing {

namespace {

// A daemon that the request may be offered to.
struct candidate {
  std::string id;
  std::uint32_t tasks = 0;  // Tasks of the request that fit.
};

enum class tier { zone, region, other_region };

tier tier_of(const overflow_options& settings,
             const membership::capacity_view& view) {
  if (view.region != settings.region) return tier::other_region;
  return view.zone == settings.zone ? tier::zone : tier::region;
}

bool contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// The free resources of the summary, less the offers that were made after it.
job::resources remaining_resources(const overflow_state& state,
                                   const membership::capacity_view& view,
                                   steady_time now) {
  job::resources free = job::from_wire(view.capacity.free());
  for (const offer& each : state.offers) {
    if (each.to == view.id && each.at >= now - view.age) free -= each.resources;
  }
  return free;
}

std::uint32_t estimate_fitting_tasks(const overflow_state& state,
                                     const resource_demand& demand,
                                     const membership::capacity_view& view,
                                     steady_time now) {
  if (!job::fits(demand.per_task,
                 job::from_wire(view.capacity.largest_free()))) {
    return 0;
  }
  return count_fitting_tasks(remaining_resources(state, view, now),
                             demand.per_task);
}

std::vector<candidate> find_candidates(
    const overflow_state& state, const resource_demand& demand, tier level,
    const std::vector<membership::capacity_view>& views,
    const std::vector<std::string>& tried, steady_time now) {
  std::uint32_t min_tasks = demand.all_at_once ? demand.task_count : 1;
  std::vector<candidate> candidates;
  for (const membership::capacity_view& view : views) {
    if (tier_of(state.settings, view) != level) continue;
    if (view.id == state.settings.self || contains(tried, view.id)) continue;
    if (view.age > state.settings.max_age) continue;
    std::uint32_t tasks = estimate_fitting_tasks(state, demand, view, now);
    if (tasks >= min_tasks) candidates.push_back({view.id, tasks});
  }
  return candidates;
}

std::size_t random_index(std::mt19937_64& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

// `candidates` is not empty.
const candidate& select_candidate(overflow_state& state,
                                  const std::vector<candidate>& candidates) {
  if (state.settings.selection == selection_rule::least_loaded) {
    return *std::max_element(candidates.begin(), candidates.end(),
                             [](const candidate& a, const candidate& b) {
                               return a.tasks < b.tasks;
                             });
  }
  std::size_t first = random_index(state.random, candidates.size());
  if (state.settings.selection == selection_rule::random ||
      candidates.size() == 1) {
    return candidates[first];
  }
  std::size_t second = random_index(state.random, candidates.size() - 1);
  if (second >= first) ++second;
  return candidates[first].tasks >= candidates[second].tasks
             ? candidates[first]
             : candidates[second];
}

void record_offer(overflow_state& state, const std::string& to,
                  const resource_demand& demand, std::uint32_t tasks,
                  steady_time now) {
  if (state.settings.max_offers == 0) return;
  std::erase_if(state.offers, [&](const offer& each) {
    return each.at + state.settings.max_age < now;
  });
  if (state.offers.size() >= state.settings.max_offers) {
    state.offers.erase(state.offers.begin());
  }
  offer made{to, {}, now};
  for (std::uint32_t i = 0; i < tasks; ++i) made.resources += demand.per_task;
  state.offers.push_back(std::move(made));
}

}  // namespace

overflow_state make_overflow(overflow_options settings, std::uint64_t seed) {
  overflow_state state;
  state.settings = std::move(settings);
  state.random.seed(seed);
  return state;
}

std::uint32_t count_fitting_tasks(const job::resources& free,
                                  const job::resources& per_task) {
  std::int32_t count = std::numeric_limits<std::int32_t>::max();
  if (per_task.millicores > 0) {
    count = std::min(count, free.millicores / per_task.millicores);
  }
  if (per_task.memory_mb > 0) {
    count = std::min(count, free.memory_mb / per_task.memory_mb);
  }
  if (per_task.accelerators > 0) {
    count = std::min(count, free.accelerators / per_task.accelerators);
  }
  if (per_task.slots > 0) count = std::min(count, free.slots / per_task.slots);
  return static_cast<std::uint32_t>(std::max(0, count));
}

std::optional<std::string> select_overflow_target(
    overflow_state& state, const resource_demand& demand,
    const std::vector<membership::capacity_view>& views,
    const std::vector<std::string>& tried, steady_time now) {
  for (tier level : {tier::zone, tier::region, tier::other_region}) {
    if (level == tier::other_region && !state.settings.other_regions) continue;
    std::vector<candidate> candidates =
        find_candidates(state, demand, level, views, tried, now);
    if (candidates.empty()) continue;
    const candidate& chosen = select_candidate(state, candidates);
    record_offer(state, chosen.id, demand,
                 std::min(chosen.tasks, demand.task_count), now);
    return chosen.id;
  }
  return std::nullopt;
}

}  // namespace ebonygrade::routing
