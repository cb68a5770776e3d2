// Counts the bytes between daemons by kind of message and by distance to the
// peer. Not thread safe.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "peer/link.h"
#include "wire/peer.pb.h"

namespace ebonygrade::peer {

enum class distance { zone, region, cross_region, unknown };
inline constexpr int kDistanceCount = 4;

std::string_view to_string(distance value);

// Distance from a daemon in `zone` and `region` to `peer`.
distance distance_to(std::string_view zone, std::string_view region,
                     const peer_address& peer);

class traffic_counters {
 public:
  void count_sent(wire::envelope::BodyCase kind, distance to,
                  std::uint64_t bytes);
  void count_received(wire::envelope::BodyCase kind, distance from,
                      std::uint64_t bytes);

  // Returns the counters that aren't zero and resets them.
  std::vector<traffic> take();

 private:
  struct counter {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
  };
  // Exceeds the field numbers of the body.
  static constexpr int kKindCount = 32;

  counter& at(wire::envelope::BodyCase kind, distance peer_distance);

  std::array<std::array<counter, kDistanceCount>, kKindCount> counters_{};
};

}  // namespace ebonygrade::peer
