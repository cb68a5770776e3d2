#include "tenants/key_table.h"

#include <xxhash.h>

#include <random>
#include <utility>

namespace ebonygrade::tenants {

namespace {

// Differs between processes, so that nobody can prepare keys with the hash of
// another key.
std::uint64_t hash_seed() {
  static const std::uint64_t seed = [] {
    std::random_device random;
    return (std::uint64_t{random()} << 32) | random();
  }();
  return seed;
}

std::uint64_t hash_of(std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), hash_seed());
}

}  // namespace

bool equal_in_constant_time(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  // Volatile keeps the compiler from ending the loop at the first difference.
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return difference == 0;
}

key_table make_key_table(const std::vector<pool::tenant>& tenants) {
  key_table table;
  for (const pool::tenant& tenant : tenants) {
    for (const std::string& key : tenant.api_keys) {
      if (key.empty() || find_tenant(table, key) != nullptr) continue;
      table.entries.emplace(hash_of(key), keyed_tenant{key, tenant.name});
    }
  }
  return table;
}

const std::string* find_tenant(const key_table& table, std::string_view key) {
  using iterator =
      std::unordered_multimap<std::uint64_t, keyed_tenant>::const_iterator;
  std::pair<iterator, iterator> range = table.entries.equal_range(hash_of(key));
  for (iterator each = range.first; each != range.second; ++each) {
    if (equal_in_constant_time(each->second.key, key)) {
      return &each->second.tenant;
    }
  }
  return nullptr;
}

}  // namespace ebonygrade::tenants
