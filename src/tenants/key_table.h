// Finds the tenant of an API key.
//
//   tenants::key_table keys = tenants::make_key_table(manifest.tenants);
//   const std::string* tenant = tenants::find_tenant(keys, "k-0815");
//
// The time of a lookup doesn't depend on how much of a key is right: the key is
// found by a hash with a random seed of the process, and all of its bytes are
// compared. Does not say whether a call needs a key; see tenants/access.h.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pool/manifest.h"

namespace ebonygrade::tenants {

struct keyed_tenant {
  std::string key;
  std::string tenant;  // Name.
};

// By the hash of the key. Never logged or shown, as it holds the keys.
struct key_table {
  std::unordered_multimap<std::uint64_t, keyed_tenant> entries;
};

// A key that several tenants list belongs to the first of them.
key_table make_key_table(const std::vector<pool::tenant>& tenants);

// Returns the name of the key's tenant, valid as long as the table, or null for
// a key of nobody. Safe to call from several threads at once.
const std::string* find_tenant(const key_table& table, std::string_view key);

// Whether two texts are equal. The time depends on their lengths alone.
bool equal_in_constant_time(std::string_view a, std::string_view b);

}  // namespace ebonygrade::tenants
