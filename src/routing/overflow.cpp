#include <algorithm>
#include <limits>
#include <utility>

#include "routing/routing.h"

namespace ebonygrade::routing {

namespace {

// A daemon that may take the request.
struct candidate {
  std::string id;
  std::uint32_t tasks = 0;  // So many fit.
};

enum class tier { zone, region, other_region };

tier tier_of(const overflow_options& settings,
             const membership::room_view& room) {
  if (room.region != settings.region) return tier::other_region;
  return room.zone == settings.zone ? tier::zone : tier::region;
}

bool contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// The room reported, less what was offered since.
job::resources remaining_room(const overflow_state& state,
                              const membership::room_view& room,
                              steady_time now) {
  job::resources free = job::from_wire(room.room.free());
  for (const offer& each : state.offers) {
    if (each.to == room.id && each.at >= now - room.age) free -= each.room;
  }
  return free;
}

std::uint32_t tasks_that_fit(const overflow_state& state, const need& wanted,
                             const membership::room_view& room,
                             steady_time now) {
  if (!job::fits(wanted.per_task, job::from_wire(room.room.largest_free()))) {
    return 0;
  }
  return task_room(remaining_room(state, room, now), wanted.per_task);
}

std::vector<candidate> find_candidates(
    const overflow_state& state, const need& wanted, tier where,
    const std::vector<membership::room_view>& rooms,
    const std::vector<std::string>& tried, steady_time now) {
  std::uint32_t least = wanted.all_at_once ? wanted.task_count : 1;
  std::vector<candidate> found;
  for (const membership::room_view& room : rooms) {
    if (tier_of(state.settings, room) != where) continue;
    if (room.id == state.settings.self || contains(tried, room.id)) continue;
    if (room.age > state.settings.max_age) continue;
    std::uint32_t tasks = tasks_that_fit(state, wanted, room, now);
    if (tasks >= least) found.push_back({room.id, tasks});
  }
  return found;
}

std::size_t draw(std::mt19937_64& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

// `found` is not empty.
const candidate& choose(overflow_state& state,
                        const std::vector<candidate>& found) {
  if (state.settings.choice == rule::least_loaded) {
    return *std::max_element(found.begin(), found.end(),
                             [](const candidate& a, const candidate& b) {
                               return a.tasks < b.tasks;
                             });
  }
  std::size_t first = draw(state.random, found.size());
  if (state.settings.choice == rule::random || found.size() == 1) {
    return found[first];
  }
  std::size_t second = draw(state.random, found.size() - 1);
  if (second >= first) ++second;
  return found[first].tasks >= found[second].tasks ? found[first]
                                                   : found[second];
}

void remember(overflow_state& state, const std::string& to, const need& wanted,
              std::uint32_t tasks, steady_time now) {
  if (state.settings.max_remembered == 0) return;
  std::erase_if(state.offers, [&](const offer& each) {
    return each.at + state.settings.max_age < now;
  });
  if (state.offers.size() >= state.settings.max_remembered) {
    state.offers.erase(state.offers.begin());
  }
  offer made{to, {}, now};
  for (std::uint32_t i = 0; i < tasks; ++i) made.room += wanted.per_task;
  state.offers.push_back(std::move(made));
}

}  // namespace

overflow_state make_overflow(overflow_options settings, std::uint64_t seed) {
  overflow_state made;
  made.settings = std::move(settings);
  made.random.seed(seed);
  return made;
}

std::uint32_t task_room(const job::resources& free,
                        const job::resources& per_task) {
  std::int32_t most = std::numeric_limits<std::int32_t>::max();
  if (per_task.millicores > 0) {
    most = std::min(most, free.millicores / per_task.millicores);
  }
  if (per_task.memory_mb > 0) {
    most = std::min(most, free.memory_mb / per_task.memory_mb);
  }
  if (per_task.accelerators > 0) {
    most = std::min(most, free.accelerators / per_task.accelerators);
  }
  if (per_task.slots > 0) most = std::min(most, free.slots / per_task.slots);
  return static_cast<std::uint32_t>(std::max(0, most));
}

std::optional<std::string> overflow(
    overflow_state& state, const need& wanted,
    const std::vector<membership::room_view>& rooms,
    const std::vector<std::string>& tried, steady_time now) {
  for (tier where : {tier::zone, tier::region, tier::other_region}) {
    if (where == tier::other_region && !state.settings.other_regions) continue;
    std::vector<candidate> found =
        find_candidates(state, wanted, where, rooms, tried, now);
    if (found.empty()) continue;
    const candidate& chosen = choose(state, found);
    remember(state, chosen.id, wanted,
             std::min(chosen.tasks, wanted.task_count), now);
    return chosen.id;
  }
  return std::nullopt;
}

}  // namespace ebonygrade::routing
