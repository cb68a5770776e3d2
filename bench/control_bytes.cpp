#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "cell_bench.h"
#include "figure.h"
#include "membership/mesh_test.h"

namespace ebonygrade::bench {

namespace {

using clock::milliseconds;
using membership::mesh;
using membership::zone_location;

constexpr milliseconds kWarmUp{20000};
constexpr milliseconds kMeasured{60000};
constexpr std::uint64_t kIncarnation = 1'790'000'000'000;
constexpr std::uint64_t kManyOffsets = 5'000'000;
// A ZMTP frame header and two TCP/IP headers (data and acknowledgement).
constexpr double kFramingBytes = 2 + 52 + 52;

constexpr int kMostInFullMesh = 50;  // 200 would take minutes.

struct layout {
  std::string name;
  std::vector<zone_location> zones;
  int daemons = 0;
};

std::vector<zone_location> today() {
  return {{"sofia-a", "sofia"}, {"sofia-b", "sofia"}, {"plovdiv-a", "plovdiv"}};
}

// 14 zones in 4 regions.
std::vector<zone_location> two_years() {
  std::vector<zone_location> zones;
  for (int zone = 0; zone < 14; ++zone) {
    std::string region = "region-" + std::to_string(zone % 4);
    zones.push_back({region + "-zone-" + std::to_string(zone), region});
  }
  return zones;
}

membership::local_status busy_status() {
  membership::local_status status;
  status.claims_offset = kManyOffsets;
  status.bundle_roll = kManyOffsets;
  wire::resources* free = status.capacity.mutable_free();
  free->set_millicores(500000);
  free->set_memory_mb(4000000);
  free->set_accelerators(100);
  free->set_slots(1000);
  *status.capacity.mutable_largest_free() = *free;
  status.capacity.set_queued(20000);
  return status;
}

mesh make_mesh(const layout& wanted, bool full_mesh) {
  mesh made(wanted.zones);
  made.next_incarnation = kIncarnation;
  if (full_mesh) {
    made.defaults.full_mesh_limit = 100000;
    made.defaults.border_count = 100000;
    made.defaults.cross_region_interval = made.defaults.heartbeat_interval;
  }
  for (int i = 0; i < wanted.daemons; ++i) {
    const zone_location& place = wanted.zones[i % wanted.zones.size()];
    std::string id = "entry-" + place.zone + "-" + std::to_string(i);
    made.start(id, place.region);
    made.list(id, place.zone);
    membership::set_local(made.at(id).membership, busy_status());
  }
  made.publish();
  return made;
}

double reply_bytes() {
  wire::envelope reply;
  reply.mutable_heartbeat_reply()->set_sequence(100000);
  return static_cast<double>(reply.ByteSizeLong());
}

struct totals {
  double bytes = 0;
  double messages = 0;
  double most_bytes = 0;  // Of one daemon.
  double crossing_bytes = 0;
};

void clear_counters(mesh& cell) {
  for (auto& [id, node] : cell.nodes()) {
    node.sent_bytes = node.sent = node.received = 0;
    node.cross_region_bytes = node.cross_region_sent = 0;
  }
}

totals sum_counters(mesh& cell) {
  totals sum;
  for (auto& [id, node] : cell.nodes()) {
    double bytes = node.sent_bytes + node.received * reply_bytes();
    sum.bytes += bytes;
    sum.messages += node.sent + node.received;
    sum.most_bytes = std::max(sum.most_bytes, bytes);
    sum.crossing_bytes +=
        node.cross_region_bytes + node.cross_region_sent * reply_bytes();
  }
  return sum;
}

double elapsed_us(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - since)
      .count();
}

void print_totals(const std::string& name, const totals& sum, int daemons) {
  double seconds = std::chrono::duration<double>(kMeasured).count();
  double daemon_seconds = seconds * daemons;
  print_figure(name + ".sent", sum.bytes / daemon_seconds, "B/s/daemon");
  print_figure(name + ".sent_most", sum.most_bytes / seconds, "B/s");
  print_figure(name + ".sent_with_framing",
               (sum.bytes + kFramingBytes * sum.messages) / daemon_seconds,
               "B/s/daemon");
  print_figure(name + ".cross_region", sum.crossing_bytes / seconds, "B/s");
}

void measure_idle(const layout& wanted, bool full_mesh) {
  std::string name =
      (full_mesh ? "control.full_mesh." : "control.") + wanted.name;
  std::size_t heap_before = mallinfo2().uordblks;
  mesh cell = make_mesh(wanted, full_mesh);
  cell.run(kWarmUp);
  double heap = static_cast<double>(mallinfo2().uordblks - heap_before);
  clear_counters(cell);
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  cell.run(kMeasured);
  double spent = elapsed_us(start);
  print_totals(name, sum_counters(cell), wanted.daemons);
  double daemon_seconds =
      std::chrono::duration<double>(kMeasured).count() * wanted.daemons;
  print_figure(name + ".processor", spent / daemon_seconds, "us/s/daemon");
  print_figure(name + ".heap", heap / wanted.daemons, "B/daemon");
}

// Every tenth daemon is replaced, one every two seconds.
void measure_restart_wave(const layout& wanted) {
  mesh cell = make_mesh(wanted, false);
  cell.run(kWarmUp);
  clear_counters(cell);
  std::vector<std::string> ids;
  for (auto& [id, node] : cell.nodes()) ids.push_back(id);
  milliseconds passed{0};
  for (std::size_t i = 0; i < ids.size(); i += 10) {
    std::string region = cell.at(ids[i]).region;
    cell.at(ids[i]).running = false;
    cell.run(milliseconds(2000));
    cell.start(ids[i], region);
    membership::set_local(cell.at(ids[i]).membership, busy_status());
    cell.publish(ids[i]);
    passed += milliseconds(2000);
  }
  cell.run(kMeasured - passed);
  print_totals("control.restart_wave." + wanted.name, sum_counters(cell),
               wanted.daemons);
}

// Time until every daemon of the region holds a dead one for silent.
void measure_detection(const layout& wanted) {
  mesh cell = make_mesh(wanted, false);
  cell.run(kWarmUp);
  // The last by name is in the larger region of today's cells.
  std::string dead = cell.nodes().rbegin()->first;
  std::string region = cell.nodes().rbegin()->second.region;
  cell.at(dead).running = false;
  milliseconds passed{0};
  bool all = false;
  while (!all && passed < kMeasured) {
    cell.run(milliseconds(100));
    passed += milliseconds(100);
    all = true;
    for (auto& [id, node] : cell.nodes()) {
      if (id == dead || node.region != region) continue;
      all = all &&
            cell.observed_member(id, dead).unresponsive_for > milliseconds(0);
    }
  }
  print_figure("detection.silent_for_all." + wanted.name, passed.count(), "ms");
}

}  // namespace

void measure_control_bytes() {
  const std::vector<layout> layouts{{"3", today(), 3},
                                    {"6", today(), 6},
                                    {"9", today(), 9},
                                    {"50", two_years(), 50},
                                    {"200", two_years(), 200}};
  for (const layout& each : layouts) {
    measure_idle(each, false);
    if (each.daemons <= kMostInFullMesh) measure_idle(each, true);
    measure_detection(each);
  }
  measure_restart_wave(layouts[3]);
  measure_restart_wave(layouts[4]);
}

}  // namespace ebonygrade::bench
