#include "pool/tenant_order.h"

#include <algorithm>
#include <cstddef>
#include <queue>
#include <span>
#include <unordered_map>
#include <utility>

#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);

// A tenant in this round.
struct share {
  const tenant_state* tenant = nullptr;
  resources taken;  // In use, and needed by the steps that come earlier.
  std::size_t first = kNone;  // Its next step in the current group.
  std::size_t last = kNone;
};

struct turn {
  double share = 0;  // Dominant share / weight.
  unix_time deadline;
  std::size_t tenant = 0;

  // For a queue whose top is the smallest.
  friend bool operator<(const turn& a, const turn& b) {
    if (a.share != b.share) return a.share > b.share;
    if (a.deadline != b.deadline) return a.deadline > b.deadline;
    return a.tenant > b.tenant;
  }
};

struct totals {
  resources capacity;
  resources free;
};

totals totals_of(const scheduling_round& round) {
  totals sum;
  for (const available_worker& each : round.available) {
    sum.capacity = sum.capacity + each.worker->entry.capacity;
    resources free = free_resources_of(*each.worker);
    sum.free = sum.free + resources{std::max<std::int64_t>(0, free.cpu_milli),
                                    std::max<std::int64_t>(0, free.memory_mb),
                                    std::max<std::int64_t>(0, free.gpus)};
  }
  return sum;
}

double part(std::int64_t amount, std::int64_t capacity) {
  if (capacity <= 0) return 0;
  return static_cast<double>(amount) / static_cast<double>(capacity);
}

double weighted_share(const share& of, const resources& capacity) {
  double dominant = std::max({part(of.taken.cpu_milli, capacity.cpu_milli),
                              part(of.taken.memory_mb, capacity.memory_mb),
                              part(of.taken.gpus, capacity.gpus)});
  return dominant / of.tenant->weight;
}

bool is_worthless(const candidate_step& step) {
  return step.tier == tier::no_value;
}

bool same_group(const candidate_step& a, const candidate_step& b) {
  return a.tier == b.tier && a.over_share == b.over_share &&
         (a.priority == b.priority);
}

class fair_order {
 public:
  explicit fair_order(const resources& capacity) : capacity_(capacity) {}

  // Appends the steps of one group to `out`.
  void append(std::span<candidate_step> group,
              std::vector<candidate_step>* out) {
    next_.assign(group.size(), kNone);
    std::priority_queue<turn> turns;
    std::vector<std::size_t> present;
    for (std::size_t i = 0; i < group.size(); ++i) {
      std::size_t number = number_of(group[i].tenant);
      share& of = shares_[number];
      if (of.first == kNone) {
        of.first = i;
        present.push_back(number);
      } else {
        next_[of.last] = i;
      }
      of.last = i;
    }
    for (std::size_t each : present) turns.push(turn_of(each, group));
    while (!turns.empty()) {
      std::size_t number = turns.top().tenant;
      turns.pop();
      share& of = shares_[number];
      const candidate_step& step = group[of.first];
      of.taken = of.taken + step.waiting_need;
      of.first = next_[of.first];
      out->push_back(step);
      if (of.first != kNone) turns.push(turn_of(number, group));
    }
  }

 private:
  std::size_t number_of(const tenant_state* tenant) {
    std::pair<std::unordered_map<const tenant_state*, std::size_t>::iterator,
              bool>
        added = numbers_.try_emplace(tenant, shares_.size());
    if (added.second) shares_.push_back({tenant, tenant->used});
    return added.first->second;
  }

  turn turn_of(std::size_t number, std::span<candidate_step> group) const {
    const share& of = shares_[number];
    return {weighted_share(of, capacity_), group[of.first].deadline, number};
  }

  resources capacity_;
  std::unordered_map<const tenant_state*, std::size_t> numbers_;
  std::vector<share> shares_;
  std::vector<std::size_t> next_;  // The tenant's next step, by step.
};

}  // namespace

void order_by_tenant(const scheduling_round& round,
                     std::vector<candidate_step>* waiting) {
  auto within_share = [](const candidate_step& each) {
    return !each.over_share;
  };
  std::vector<candidate_step>::iterator worthless =
      std::find_if(waiting->begin(), waiting->end(), is_worthless);
  std::stable_partition(waiting->begin(), worthless, within_share);
  std::stable_partition(worthless, waiting->end(), within_share);
  resources needed;
  for (const candidate_step& each : *waiting) {
    needed = needed + each.waiting_need;
  }
  totals sum = totals_of(round);
  if (fits(needed, sum.free)) return;
  fair_order order(sum.capacity);
  std::vector<candidate_step> result;
  result.reserve(waiting->size());
  std::vector<candidate_step>::iterator first = waiting->begin();
  while (first != waiting->end()) {
    std::vector<candidate_step>::iterator last = std::find_if_not(
        first, waiting->end(),
        [&](const candidate_step& each) { return same_group(*first, each); });
    order.append({first, last}, &result);
    first = last;
  }
  *waiting = std::move(result);
}

}  // namespace ebonygrade::pool
