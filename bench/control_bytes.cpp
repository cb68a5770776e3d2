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

constexpr milliseconds kWarmUpTime{20000};
constexpr milliseconds kMeasuredTime{60000};
constexpr std::uint64_t kIncarnation = 1'790'000'000'000;
constexpr std::uint64_t kLargeOffset = 5'000'000;
// Per message: a ZMTP frame header and two TCP/IP headers (data and
// acknowledgement).
constexpr double kFramingBytes = 2 + 52 + 52;

constexpr int kMaxFullMeshDaemons = 50;  // 200 take minutes to simulate.

struct layout {
  std::string name;
  std::vector<zone_location> zones;
  int daemons = 0;
};

std::vector<zone_location> current_zones() {
  return {{"sofia-a", "sofia"}, {"sofia-b", "sofia"}, {"plovdiv-a", "plovdiv"}};
}

// The size planned for in two years: 14 zones in 4 regions.
std::vector<zone_location> planned_zones() {
  std::vector<zone_location> zones;
  for (int zone = 0; zone < 14; ++zone) {
    std::string region = "region-" + std::to_string(zone % 4);
    zones.push_back({region + "-zone-" + std::to_string(zone), region});
  }
  return zones;
}

membership::local_status busy_status() {
  membership::local_status status;
  status.claims_offset = kLargeOffset;
  status.bundle_roll = kLargeOffset;
  wire::resources* free = status.capacity.mutable_free();
  free->set_millicores(500000);
  free->set_memory_mb(4000000);
  free->set_accelerators(100);
  free->set_slots(1000);
  *status.capacity.mutable_largest_free() = *free;
  status.capacity.set_queued(20000);
  return status;
}

mesh make_mesh(const layout& target, bool full_mesh) {
  mesh cell(target.zones);
  cell.next_incarnation = kIncarnation;
  if (full_mesh) {
    cell.defaults.full_mesh_limit = 100000;
    cell.defaults.border_count = 100000;
    cell.defaults.cross_region_interval = cell.defaults.heartbeat_interval;
  }
  for (int i = 0; i < target.daemons; ++i) {
    const zone_location& place = target.zones[i % target.zones.size()];
    std::string id = "entry-" + place.zone + "-" + std::to_string(i);
    cell.start(id, place.region);
    cell.list(id, place.zone);
    membership::set_local(cell.at(id).membership, busy_status());
  }
  cell.publish();
  return cell;
}

double reply_size() {
  wire::envelope reply;
  reply.mutable_heartbeat_reply()->set_sequence(100000);
  return static_cast<double>(reply.ByteSizeLong());
}

struct totals {
  double bytes = 0;
  double messages = 0;
  double max_bytes = 0;  // Of the daemon that sent most.
  double total_cross_region_bytes = 0;
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
    double bytes = node.sent_bytes + node.received * reply_size();
    sum.bytes += bytes;
    sum.messages += node.sent + node.received;
    sum.max_bytes = std::max(sum.max_bytes, bytes);
    sum.total_cross_region_bytes +=
        node.cross_region_bytes + node.cross_region_sent * reply_size();
  }
  return sum;
}

double elapsed_us(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - since)
      .count();
}

void print_totals(const std::string& name, const totals& sum, int daemons) {
  double seconds = std::chrono::duration<double>(kMeasuredTime).count();
  double daemon_seconds = seconds * daemons;
  print_figure(name + ".sent", sum.bytes / daemon_seconds, "B/s/daemon");
  print_figure(name + ".sent_most", sum.max_bytes / seconds, "B/s");
  print_figure(name + ".sent_with_framing",
               (sum.bytes + kFramingBytes * sum.messages) / daemon_seconds,
               "B/s/daemon");
  print_figure(name + ".cross_region", sum.total_cross_region_bytes / seconds,
               "B/s");
}

void measure_idle(const layout& target, bool full_mesh) {
  std::string name =
      (full_mesh ? "control.full_mesh." : "control.") + target.name;
  std::size_t heap_before = mallinfo2().uordblks;
  mesh cell = make_mesh(target, full_mesh);
  cell.run(kWarmUpTime);
  double heap = static_cast<double>(mallinfo2().uordblks - heap_before);
  clear_counters(cell);
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  cell.run(kMeasuredTime);
  double elapsed = elapsed_us(start);
  print_totals(name, sum_counters(cell), target.daemons);
  double daemon_seconds =
      std::chrono::duration<double>(kMeasuredTime).count() * target.daemons;
  print_figure(name + ".processor", elapsed / daemon_seconds, "us/s/daemon");
  print_figure(name + ".heap", heap / target.daemons, "B/daemon");
}

// Restarts every tenth daemon, one every two seconds.
void measure_restart_wave(const layout& target) {
  mesh cell = make_mesh(target, false);
  cell.run(kWarmUpTime);
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
  cell.run(kMeasuredTime - passed);
  print_totals("control.restart_wave." + target.name, sum_counters(cell),
               target.daemons);
}

// Time until every daemon of the region regards a failed one as unresponsive.
void measure_detection(const layout& target) {
  mesh cell = make_mesh(target, false);
  cell.run(kWarmUpTime);
  // With current_zones(), the last daemon by name is in the larger region.
  std::string failed = cell.nodes().rbegin()->first;
  std::string region = cell.nodes().rbegin()->second.region;
  cell.at(failed).running = false;
  milliseconds passed{0};
  bool detected_by_all = false;
  while (!detected_by_all && passed < kMeasuredTime) {
    cell.run(milliseconds(100));
    passed += milliseconds(100);
    detected_by_all = true;
    for (auto& [id, node] : cell.nodes()) {
      if (id == failed || node.region != region) continue;
      detected_by_all =
          detected_by_all &&
          cell.observed_member(id, failed).unresponsive_for > milliseconds(0);
    }
  }
  print_figure("detection.silent_for_all." + target.name, passed.count(), "ms");
}

}  // namespace

void measure_control_bytes() {
  const std::vector<layout> layouts{{"3", current_zones(), 3},
                                    {"6", current_zones(), 6},
                                    {"9", current_zones(), 9},
                                    {"50", planned_zones(), 50},
                                    {"200", planned_zones(), 200}};
  for (const layout& each : layouts) {
    measure_idle(each, false);
    if (each.daemons <= kMaxFullMeshDaemons) measure_idle(each, true);
    measure_detection(each);
  }
  measure_restart_wave(layouts[3]);
  measure_restart_wave(layouts[4]);
}

}  // namespace ebonygrade::bench
