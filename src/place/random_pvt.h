// Private header: a seeded pseudo-random generator (SplitMix64).
#pragma once

#include <cstdint>

namespace ebonygrade::place {

class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  std::uint64_t next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  // Returns a value in [0, bound), with uniform distribution. `bound` must be
  // above 0.
  std::uint32_t below(std::uint32_t bound) {
    return static_cast<std::uint32_t>(
        ((next() >> 32) * static_cast<std::uint64_t>(bound)) >> 32);
  }

 private:
  std::uint64_t state_;
};

}  // namespace ebonygrade::place
