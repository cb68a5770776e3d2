// Which daemons exchange heartbeats. Pure functions of the set of daemons, so
// daemons with the same list choose the same pairs.
//
// In a region above the full-mesh limit the daemons form several rings, each
// ordered by a different hash; the neighbours of a daemon are its successor and
// its predecessor in each ring. In such a graph any two daemons are few hops
// apart, and a daemon that joins or leaves changes only the pairs around it.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ebonygrade::membership {

// Neighbours of `self` in its region. `region` holds the ids of all daemons of
// the region, `self` included.
std::set<std::string> ring_neighbours(const std::string& self,
                                      const std::vector<std::string>& region,
                                      std::size_t full_mesh_limit,
                                      std::size_t ring_count);

// The daemons that exchange heartbeats with other regions: the first `count`
// in the order of a hash.
std::vector<std::string> border_daemons(std::vector<std::string> region,
                                        std::size_t count);

// Identifies a daemon in rumours.
std::uint32_t short_hash(std::string_view id);

}  // namespace ebonygrade::membership
