// Who exchanges heartbeats with whom. Pure functions of the set of daemons, so
// daemons with the same list choose the same pairs.
//
// In a region beyond the limit of a full mesh the daemons are ordered in
// several rings, each by another hash, and a daemon's neighbours are its
// successor and predecessor in each. The graph has few hops between any two,
// and a daemon that comes or goes changes only the pairs around it.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ebonygrade::membership {

// Neighbours of `self` among `region`, the ids of its region including it.
std::set<std::string> ring_neighbours(const std::string& self,
                                      const std::vector<std::string>& region,
                                      std::size_t full_mesh_limit,
                                      std::size_t ring_count);

// The daemons that speak for their region: the first `count` by hash.
std::vector<std::string> border_daemons(std::vector<std::string> region,
                                        std::size_t count);

// Name of a daemon in rumours.
std::uint32_t short_hash(std::string_view id);

}  // namespace ebonygrade::membership
