#include <string>
#include <vector>

#include "cell_bench.h"
#include "figure.h"
#include "job/job.h"
#include "membership/mesh_test.h"
#include "ownership/ownership.h"

namespace ebonygrade::bench {

namespace {

using clock::milliseconds;
using membership::mesh;

constexpr int kShards = 48;
constexpr milliseconds kTakeoverAfter{3000};
constexpr milliseconds kSilenceLimit{2000};

std::vector<ownership::member> make_members(int count) {
  std::vector<ownership::member> members(count);
  for (int i = 0; i < count; ++i) {
    members[i].id = "entry-" + std::to_string(i);
    members[i].region = "sofia";
  }
  return members;
}

std::vector<std::string> preferred_owners(
    const std::vector<ownership::member>& members) {
  std::vector<std::string> owners;
  for (int shard = 0; shard < kShards; ++shard) {
    owners.push_back(
        ownership::preferred_owner("sofia", shard, members, kSilenceLimit));
  }
  return owners;
}

int count_differences(const std::vector<std::string>& before,
                      const std::vector<std::string>& after) {
  int differences = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) ++differences;
  }
  return differences;
}

void measure_join(int count) {
  std::vector<std::string> before = preferred_owners(make_members(count));
  std::vector<std::string> after = preferred_owners(make_members(count + 1));
  std::string name = "shards.moved_by_join.of_" + std::to_string(count + 1);
  print_figure(name, 100.0 * count_differences(before, after) / kShards,
               "%_of_shards");
  print_figure(name + ".least_possible", 100.0 / (count + 1), "%_of_shards");
}

// Owners of the shards in the view of one daemon, which moves shards by the
// same rules as ownership::step.
struct owner_table {
  std::vector<std::string> owners = std::vector<std::string>(kShards);
  milliseconds handover_after{0};
  int moves = 0;
};

const ownership::member* find_member(
    const std::vector<ownership::member>& members, const std::string& id) {
  for (const ownership::member& each : members) {
    if (each.id == id) return &each;
  }
  return nullptr;
}

bool may_move(const owner_table& table, const std::string& owner,
              const std::string& preferred,
              const std::vector<ownership::member>& members) {
  const ownership::member* current = find_member(members, owner);
  if (current == nullptr || current->leaving) return true;
  if (current->unresponsive_for >= kTakeoverAfter) return true;
  const ownership::member* preferred_member = find_member(members, preferred);
  return current->unresponsive_for < kSilenceLimit &&
         preferred_member != nullptr &&
         preferred_member->alive_for >= table.handover_after;
}

void move_shards(owner_table& table,
                 const std::vector<ownership::member>& members) {
  for (int shard = 0; shard < kShards; ++shard) {
    std::string preferred =
        ownership::preferred_owner("sofia", shard, members, kSilenceLimit);
    std::string& owner = table.owners[shard];
    if (preferred.empty() || preferred == owner) continue;
    if (!may_move(table, owner, preferred, members)) continue;
    owner = preferred;
    ++table.moves;
  }
}

void run(mesh& cell, owner_table& table, milliseconds time) {
  constexpr milliseconds kStepInterval{200};
  for (milliseconds passed{0}; passed < time; passed += kStepInterval) {
    cell.run(kStepInterval);
    move_shards(table, membership::members(cell.at("entry-0").membership));
  }
}

mesh make_cell(int count) {
  mesh cell(std::vector<membership::zone_location>{{"sofia-a", "sofia"}});
  for (int i = 0; i < count; ++i) {
    std::string id = "entry-" + std::to_string(i);
    cell.start(id, "sofia");
    cell.list(id, "sofia-a");
  }
  cell.publish();
  return cell;
}

void restart(mesh& cell, owner_table& table, const std::string& id,
             milliseconds downtime) {
  cell.at(id).running = false;
  run(cell, table, downtime);
  cell.start(id, "sofia");
  cell.publish(id);
}

// Restarts every daemon except the observer in turn.
void measure_wave(milliseconds handover_after, milliseconds interval) {
  mesh cell = make_cell(6);
  owner_table table;
  run(cell, table, milliseconds(20000));
  table.moves = 0;
  table.handover_after = handover_after;
  for (int i = 1; i < 6; ++i) {
    restart(cell, table, "entry-" + std::to_string(i), milliseconds(5000));
    run(cell, table, interval);
  }
  run(cell, table, milliseconds(120000));
  print_figure("shards.restart_wave.every_" +
                   std::to_string(interval.count() / 1000 + 5) +
                   "s.handover_after_" +
                   std::to_string(handover_after.count() / 1000) + "s",
               table.moves / 5.0, "moves/restart");
}

// One daemon fails eight seconds after each start, for two minutes.
void measure_crash_loop(milliseconds handover_after) {
  mesh cell = make_cell(6);
  owner_table table;
  run(cell, table, milliseconds(20000));
  table.moves = 0;
  table.handover_after = handover_after;
  for (int i = 0; i < 9; ++i) {
    restart(cell, table, "entry-1", milliseconds(5000));
    run(cell, table, milliseconds(8000));
  }
  print_figure("shards.crash_loop.handover_after_" +
                   std::to_string(handover_after.count() / 1000) + "s",
               table.moves / 9.0, "moves/crash");
}

}  // namespace

void measure_shard_moves() {
  for (int count : {2, 5, 8, 49}) measure_join(count);
  for (int seconds : {0, 5, 15, 30}) {
    milliseconds handover_after(seconds * 1000);
    measure_wave(handover_after, milliseconds(5000));
    measure_wave(handover_after, milliseconds(25000));
    measure_crash_loop(handover_after);
  }
}

}  // namespace ebonygrade::bench
