// How many seeds the simulations of a cell run.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace ebonygrade::pool {

// EBONYGRADE_SIMULATION_SEEDS sets another number.
inline std::uint64_t seed_count() {
  constexpr std::uint64_t kSeedsInCi = 60;
  const char* more = std::getenv("EBONYGRADE_SIMULATION_SEEDS");
  return more == nullptr ? kSeedsInCi : std::strtoull(more, nullptr, 10);
}

}  // namespace ebonygrade::pool
