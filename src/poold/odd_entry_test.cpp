// Entries that another writer leaves among those of the workers, over loopback.
// The ledger of the workers' runs judges the daemon.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

constexpr char kEntries[] = "keyed.servers";
constexpr std::uint32_t kTasks = 6;
constexpr std::uint32_t kTaskCpu = 1000;
constexpr std::uint32_t kRoom = 4;  // Tasks that the worker has room for.
constexpr milliseconds kLongTask{1500};

struct odd_entry_cell : cell {
  odd_entry_cell() {
    store.put("keyed.op", "config", kManifest);
    add_worker("w1", kLongTask);
    sound_entry = store.records(kEntries).back().value;
  }

  void start() {
    add_node("n1");
    REQUIRE(wait_until([&] { return nodes[0]->owns_pool(); }));
  }

  // The worker's entry with another value of the field.
  std::string with(const std::string& field, const std::string& value) const {
    std::string entry = sound_entry;
    std::string name = "\"" + field + "\":";
    std::size_t begin = entry.find(name) + name.size();
    std::size_t end = entry.find_first_of(",}", begin);
    return entry.replace(begin, end - begin, value);
  }

  void put_and_wait(const std::string& key, const std::string& value) {
    std::uint64_t before = store.reads_with_records(kEntries);
    store.put(kEntries, key, value);
    REQUIRE(wait_until(
        [&] { return store.reads_with_records(kEntries) > before; }));
  }

  // Submits a job that needs more room than the worker has at a time.
  void submit_large(const std::string& id) { submit(id, kTasks, kTaskCpu); }

  std::string sound_entry;
};

// Guards against an entry with a number too large, or an address that can't be
// called, under the id of a worker in use: its runs counted as lost and its
// later entries as outdated, or its room as unlimited.
TEST_CASE("an odd entry under a used worker's id loses none of its runs") {
  const std::vector<std::pair<std::string, std::string>> odd_fields = {
      {"born", "9223372036854775807"},
      {"born", "1e400"},
      {"seq", "9223372036854775807"},
      {"cpu", "9223372036854775807"},
      {"memMb", "9.3e18"},
      {"cpu", "-1"},
      {"addr", "\"127.0.0.1:99999\""},
      {"addr", "\"127.0.0.1:0\""},
      {"addr", "\"\""}};
  for (const std::pair<std::string, std::string>& odd : odd_fields) {
    CAPTURE(odd.first, odd.second);
    odd_entry_cell cell;
    std::string entry = cell.with(odd.first, odd.second);
    REQUIRE(entry != cell.sound_entry);
    cell.start();
    cell.submit_large("00000000000000ab");
    REQUIRE(cell.wait_until([&] { return cell.ledger.starts() > 0; }));
    cell.put_and_wait("w1", entry);
    cell.context.run_for(std::chrono::milliseconds(300));
    CHECK(cell.ledger.starts() <= kRoom);
    cell.put_and_wait("w1", cell.sound_entry);
    CHECK(cell.completes("00000000000000ab"));
    cell.check_runs();
    cell.submit_large("00000000000000ac");
    CHECK(cell.completes("00000000000000ac"));
    cell.check_runs();
  }
}

// Guards against a list of workers that can't be read any more.
TEST_CASE("an entry whose key isn't text hides no other entry") {
  odd_entry_cell cell;
  cell.store.put(kEntries, "\xff\xfe", cell.sound_entry);
  cell.store.put(kEntries, "", "\xff");
  cell.start();
  cell.submit_large("00000000000000ab");
  CHECK(cell.completes("00000000000000ab"));
  cell.check_runs();
}

// Guards against entries that no operator can see.
TEST_CASE("entries that can't be read are counted until they are gone") {
  odd_entry_cell cell;
  cell.store.put(kEntries, "odd-1", "[[[");
  cell.start();
  std::function<bool(int)> counts = [&](int entries) {
    return cell.has_metric(
        0, "ebonygrade_pool_unreadable_entries " + std::to_string(entries));
  };
  CHECK(cell.wait_until([&] { return counts(1); }));
  cell.store.put(kEntries, "odd-2", R"({"service":7})");
  CHECK(cell.wait_until([&] { return counts(2); }));
  cell.store.put(kEntries, "odd-1", "");
  CHECK(cell.wait_until([&] { return counts(1); }));
  cell.store.put(kEntries, "odd-2", cell.sound_entry);
  CHECK(cell.wait_until([&] { return counts(0); }));
}

// Guards against a task that runs twice: an entry that can't be read, under the
// id of a worker that drains, isn't the removal of that worker's own entry. The
// worker runs on, cut off from the daemon.
TEST_CASE("an odd entry of a draining worker that is cut off ends no run") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1", milliseconds(8000));
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.submit("00000000000000ab", 1);
  REQUIRE(cell.wait_until([&] { return cell.ledger.starts() == 1; }));
  cell.add_worker("w2");
  std::uint64_t reads = cell.store.reads_with_records(kEntries);
  cell.workers[0]->announce("draining");
  REQUIRE(cell.wait_until(
      [&] { return cell.store.reads_with_records(kEntries) > reads; }));
  cell.context.run_for(milliseconds(300));
  cell.store.put(kEntries, "w1", R"({"service":7})");
  cell.workers[0]->drop_calls({standin::worker_host::kPoll,
                               standin::worker_host::kStart,
                               standin::worker_host::kStop});
  cell.context.run_for(milliseconds(3500));
  CHECK(cell.ledger.starts() == 1);
  for (const std::string& each : cell.ledger.violations()) UNSCOPED_INFO(each);
  CHECK(cell.ledger.violations().empty());
}

}  // namespace

}  // namespace ebonygrade::poold
