// Tests of what the directory's history tells about workers that have left.
#include "pool/directory_history.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kLeft[] = "w1";
constexpr char kAddress[] = "127.0.0.1:7";

struct directory {
  std::vector<directory_record> records;
  std::uint64_t end = 100;

  void write(const std::string& worker, bool draining = false) {
    records.push_back(
        {end++, worker, directory_change::entry, draining, kAddress, 1});
  }
  void remove(const std::string& worker) {
    records.push_back({end++, worker, directory_change::removal, false, {}, 0});
  }
  void write_unreadable(const std::string& worker) {
    records.push_back(
        {end++, worker, directory_change::unreadable, false, {}, 0});
  }
  // A heartbeat of all workers but the one that leaves.
  void beat() {
    for (const char* id : {"w2", "w3", "w4"}) write(id);
  }

  bool tells_departure(const std::string& worker = kLeft) const {
    return !find_departures(records, {worker}).empty();
  }
};

// Guards against a later owner that waits for the lease of a worker that left
// in order before the owner read the directory.
TEST_CASE("the history tells that a worker has left") {
  directory past;
  past.beat();
  past.write(kLeft, true);
  past.write("w2");
  past.remove(kLeft);
  past.beat();
  std::vector<departure> found =
      find_departures(past.records, {kLeft, "w2", "w9"});
  REQUIRE(found.size() == 1);
  CHECK(found[0].worker == kLeft);
  CHECK(found[0].address == kAddress);
  CHECK(found[0].incarnation_ms == 1);
}

// A worker that is cut off runs on until its lease has passed.
TEST_CASE("an entry that may have expired is no departure") {
  directory past;
  past.beat();
  past.write(kLeft, true);
  for (int i = 0; i < 3; ++i) past.beat();
  past.remove(kLeft);
  past.beat();
  CHECK_FALSE(past.tells_departure());
}

// While the store is down nobody writes, and all entries expire together.
TEST_CASE("entries that expire in an outage of the store are no departures") {
  directory past;
  past.beat();
  past.write(kLeft, true);
  for (const char* id : {kLeft, "w2", "w3", "w4"}) past.remove(id);
  past.beat();
  CHECK_FALSE(past.tells_departure());
}

// One worker that was silent by chance doesn't outweigh those that wrote on.
TEST_CASE("a silent worker among others that wrote on proves no departure") {
  directory past;
  past.write("w5");
  past.beat();
  past.write(kLeft, true);
  for (int i = 0; i < 3; ++i) past.beat();
  past.remove(kLeft);
  past.write("w5");
  past.beat();
  CHECK_FALSE(past.tells_departure());
}

TEST_CASE("a removal that no other worker's silence spans proves nothing") {
  directory past;
  past.write(kLeft, true);
  past.remove(kLeft);
  past.beat();
  CHECK_FALSE(past.tells_departure());
  directory unfinished;
  unfinished.beat();
  unfinished.write(kLeft, true);
  unfinished.remove(kLeft);
  CHECK_FALSE(unfinished.tells_departure());
}

TEST_CASE("a worker that didn't drain hasn't left") {
  directory past;
  past.beat();
  past.write(kLeft, true);
  past.write(kLeft);
  past.remove(kLeft);
  past.beat();
  CHECK_FALSE(past.tells_departure());
}

TEST_CASE("a worker that is listed again hasn't left") {
  directory past;
  past.beat();
  past.write(kLeft, true);
  past.remove(kLeft);
  past.beat();
  past.write(kLeft, true);
  CHECK_FALSE(past.tells_departure());
}

TEST_CASE("a gap in the history proves nothing about what is before it") {
  directory past;
  past.beat();
  past.write(kLeft, true);
  past.remove(kLeft);
  past.beat();
  REQUIRE(past.tells_departure());
  for (std::size_t missing = 1; missing < past.records.size(); ++missing) {
    directory broken = past;
    for (std::size_t i = missing; i < broken.records.size(); ++i) {
      ++broken.records[i].offset;
    }
    // A witness before the gap is one that isn't known to have been silent.
    bool keeps_witness = missing < 3;
    CHECK(broken.tells_departure() == keeps_witness);
  }
}

TEST_CASE("an unreadable entry is neither an entry nor a removal") {
  directory removed;
  removed.beat();
  removed.write(kLeft, true);
  removed.write_unreadable(kLeft);
  removed.remove(kLeft);
  removed.beat();
  CHECK_FALSE(removed.tells_departure());
  directory kept;
  kept.beat();
  kept.write(kLeft, true);
  kept.write_unreadable(kLeft);
  kept.beat();
  CHECK_FALSE(kept.tells_departure());
  directory witnessed;
  witnessed.write_unreadable("w2");
  witnessed.write("w3");
  witnessed.write(kLeft, true);
  witnessed.remove(kLeft);
  witnessed.write("w2");
  witnessed.write_unreadable("w3");
  CHECK_FALSE(witnessed.tells_departure());
}

// A directory of workers that write heartbeats, some of which leave or are cut
// off from the store, which has outages. Entries expire after three heartbeats.
struct simulated_directory {
  static constexpr int kStepMs = 50;
  static constexpr int kHeartbeatMs = 1500;
  static constexpr int kServesMs = 6000;  // From the notice to the exit.

  struct member {
    std::string id;
    bool draining = false;
    bool listed = true;
    bool left = false;
    int written_at = 0;
    int next_beat = 0;
    int exits_at = 0;
    int cut_until = 0;
  };

  simulated_directory(std::uint32_t seed, std::size_t size) : random(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      members.push_back({"w" + std::to_string(i)});
      members.back().next_beat = uniform(0, kHeartbeatMs);
    }
  }

  int uniform(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  }

  void step() {
    now += kStepMs;
    if (uniform(0, 399) == 0) outage_until = now + uniform(500, 7000);
    bool down = now < outage_until;
    std::shuffle(members.begin(), members.end(), random);
    for (member& each : members) {
      if (each.left) continue;
      // A cut of one in three workers at once, and cuts of single ones.
      if (uniform(0, 4999) == 0) each.cut_until = now + uniform(500, 9000);
      if (!each.draining && uniform(0, 1999) == 0) drain(&each);
      if (!down) serve(&each);
    }
    if (uniform(0, 999) == 0) cut_some();
    // The platform looks for silent workers once in a while.
    if (!down && uniform(0, 3) == 0) expire();
  }

  void drain(member* each) {
    each->draining = true;
    each->next_beat = now;
    each->exits_at = now + uniform(kServesMs / 2, kServesMs);
  }

  void serve(member* each) {
    if (now < each->cut_until) return;
    if (each->draining && now >= each->exits_at) {
      each->left = true;
      if (each->listed) past.remove(each->id);
      each->listed = false;
      return;
    }
    if (now < each->next_beat) return;
    past.write(each->id, each->draining);
    each->listed = true;
    each->written_at = now;
    each->next_beat =
        now + uniform(kHeartbeatMs * 8 / 10, kHeartbeatMs * 12 / 10);
  }

  void cut_some() {
    int until = now + uniform(500, 9000);
    for (member& each : members) {
      if (uniform(0, 2) == 0) each.cut_until = until;
    }
  }

  void expire() {
    for (member& each : members) {
      bool silent = now - each.written_at > 3 * kHeartbeatMs;
      if (!each.listed || each.left || !silent) continue;
      each.listed = false;
      past.remove(each.id);
      expired.insert(each.id);
    }
  }

  std::mt19937 random;
  std::vector<member> members;
  directory past;
  std::set<std::string> expired;  // At any time.
  int now = 0;
  int outage_until = 0;
};

// Guards against a rule that frees the runs of a worker that is cut off: there
// is no other sign of the time in the history.
TEST_CASE("no entry that has expired is told as a departure") {
  std::size_t left = 0;
  std::size_t told = 0;
  for (std::uint32_t seed = 0; seed < 60; ++seed) {
    simulated_directory cell(seed, seed % 2 == 0 ? 60 : 8);
    std::unordered_set<std::string> all;
    for (const simulated_directory::member& each : cell.members) {
      all.insert(each.id);
    }
    for (int i = 0; i < 600; ++i) {
      cell.step();
      if (i % 10 != 0) continue;
      std::unordered_set<std::string> found;
      for (const departure& each : find_departures(cell.past.records, all)) {
        found.insert(each.worker);
      }
      for (const simulated_directory::member& each : cell.members) {
        INFO("seed " << seed << ", step " << i << ", worker " << each.id);
        if (!each.left) CHECK(found.count(each.id) == 0);
      }
    }
    for (const departure& each : find_departures(cell.past.records, all)) {
      if (cell.expired.count(each.worker) == 0) ++told;
    }
    for (const simulated_directory::member& each : cell.members) {
      if (each.left && cell.expired.count(each.id) == 0) ++left;
    }
  }
  // A rule that never tells a departure would pass as well.
  UNSCOPED_INFO("told " << told << " of " << left);
  CHECK(left > 200);
  CHECK(told * 10 > left * 8);
}

// A later owner of a gang with a member at a worker that has left since.
struct succeeding_pool : test_pool {
  succeeding_pool() {
    for (const char* id : {kLeft, "w2", "w3"}) add_worker(id, 1000);
    wire::step_definition gang = step(2, 1000);
    gang.set_gang(true);
    submit("00000000000000aa", {gang});
    std::vector<start_order> starts = round();
    REQUIRE(starts.size() == 2);
    confirm(starts);
    left = starts.front().worker;
    take_over();
    for (const char* id : {kLeft, "w2", "w3"}) {
      if (id != left) add_worker(id, 1000);
    }
  }

  bool observe(std::int64_t incarnation_ms) {
    return observe_departure(&state, {left, kAddress, incarnation_ms}, now);
  }

  std::size_t runs() const { return state.workers.at(left).placements.size(); }

  std::string left;
};

TEST_CASE("a later owner takes the runs of a departed worker as over") {
  succeeding_pool pool;
  CHECK(workers_to_trace(pool.state).count(pool.left) == 1);
  REQUIRE(pool.observe(1));
  observe_contact_lost(&pool.state, pool.left, pool.now);
  pool.advance(milliseconds(400));
  pool.round();
  CHECK(pool.runs() == 1);
  pool.advance(milliseconds(100));
  pool.round();
  CHECK(pool.state.counters.departed_runs == 1);
}

TEST_CASE("a departed worker that isn't known to be gone keeps its runs") {
  succeeding_pool pool;
  REQUIRE(pool.observe(1));
  pool.advance(milliseconds(3000));
  pool.round();
  CHECK(pool.runs() == 1);
}

TEST_CASE("a departed worker that replies keeps its runs") {
  succeeding_pool pool;
  REQUIRE(pool.observe(1));
  observe_contact_lost(&pool.state, pool.left, pool.now);
  pool.advance(milliseconds(200));
  pool.report(pool.left,
              {{}, 1, {{{"00000000000000aa", 0, 0, 0}, 1, {}, 10}}, {}});
  pool.advance(milliseconds(1000));
  pool.round();
  CHECK(pool.state.counters.departed_runs == 0);
}

TEST_CASE("a departure tells nothing of another incarnation or a listed one") {
  succeeding_pool pool;
  CHECK_FALSE(pool.observe(2));
  pool.add_worker(pool.left, 1000);
  CHECK_FALSE(pool.observe(1));
}

}  // namespace

}  // namespace ebonygrade::pool
