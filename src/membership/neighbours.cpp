#include "membership/neighbours.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ebonygrade::membership {

namespace {

constexpr std::uint64_t kBorderSeed = 0x626f72646572;  // "border"

std::uint64_t seeded_hash(std::string_view id, std::uint64_t seed) {
  return XXH3_64bits_withSeed(id.data(), id.size(), seed);
}

void sort_by_hash(std::vector<std::string>* ids, std::uint64_t seed) {
  std::vector<std::pair<std::uint64_t, std::string>> ids_by_hash;
  ids_by_hash.reserve(ids->size());
  for (std::string& id : *ids) {
    std::uint64_t hash = seeded_hash(id, seed);
    ids_by_hash.emplace_back(hash, std::move(id));
  }
  std::sort(ids_by_hash.begin(), ids_by_hash.end());
  for (std::size_t i = 0; i < ids_by_hash.size(); ++i) {
    (*ids)[i] = std::move(ids_by_hash[i].second);
  }
}

}  // namespace

std::set<std::string> ring_neighbours(const std::string& self,
                                      const std::vector<std::string>& region,
                                      std::size_t full_mesh_limit,
                                      std::size_t ring_count) {
  std::set<std::string> chosen;
  if (region.size() <= full_mesh_limit) {
    chosen.insert(region.begin(), region.end());
    chosen.erase(self);
    return chosen;
  }
  std::vector<std::string> order = region;
  for (std::size_t ring = 0; ring < ring_count; ++ring) {
    sort_by_hash(&order, ring);
    std::vector<std::string>::iterator found =
        std::find(order.begin(), order.end(), self);
    if (found == order.end()) return chosen;
    std::size_t self_index = found - order.begin();
    chosen.insert(order[(self_index + 1) % order.size()]);
    chosen.insert(order[(self_index + order.size() - 1) % order.size()]);
  }
  chosen.erase(self);
  return chosen;
}

std::vector<std::string> border_daemons(std::vector<std::string> region,
                                        std::size_t count) {
  sort_by_hash(&region, kBorderSeed);
  if (region.size() > count) region.resize(count);
  return region;
}

std::uint32_t short_hash(std::string_view id) {
  return static_cast<std::uint32_t>(seeded_hash(id, 0));
}

}  // namespace ebonygrade::membership
