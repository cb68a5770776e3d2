#include "peer/traffic.h"

#include <string>
#include <utility>

namespace ebonygrade::peer {

std::string_view to_string(distance value) {
  switch (value) {
    case distance::zone:
      return "zone";
    case distance::region:
      return "region";
    case distance::cross_region:
      return "cross_region";
    case distance::unknown:
      return "unknown";
  }
  return "unknown";
}

distance distance_to(std::string_view zone, std::string_view region,
                     const peer_address& peer) {
  if (peer.region != region) return distance::cross_region;
  return peer.zone == zone ? distance::zone : distance::region;
}

traffic_counters::counter& traffic_counters::at(wire::envelope::BodyCase kind,
                                                distance peer_distance) {
  int index = static_cast<int>(kind) % kKindCount;
  return counters_[index][static_cast<int>(peer_distance)];
}

void traffic_counters::count_sent(wire::envelope::BodyCase kind, distance to,
                                  std::uint64_t bytes) {
  at(kind, to).sent += bytes;
}

void traffic_counters::count_received(wire::envelope::BodyCase kind,
                                      distance from, std::uint64_t bytes) {
  at(kind, from).received += bytes;
}

std::vector<traffic> traffic_counters::take() {
  std::vector<traffic> taken;
  const google::protobuf::Descriptor* fields = wire::envelope::descriptor();
  for (int kind = 0; kind < kKindCount; ++kind) {
    const google::protobuf::FieldDescriptor* field =
        fields->FindFieldByNumber(kind);
    for (int index = 0; index < kDistanceCount; ++index) {
      counter& each = counters_[kind][index];
      if (each.sent == 0 && each.received == 0) continue;
      traffic entry;
      entry.kind = field != nullptr ? field->name() : "empty";
      entry.link = to_string(static_cast<distance>(index));
      entry.sent_bytes = each.sent;
      entry.received_bytes = each.received;
      taken.push_back(std::move(entry));
      each = counter{};
    }
  }
  return taken;
}

}  // namespace ebonygrade::peer
