#include "entry/entry.h"

#include <catch2/catch.hpp>

namespace entry = ebonygrade::entry;
namespace job = ebonygrade::job;
namespace wire = ebonygrade::wire;
using entry::dispatch;
using entry::effect;
using entry::reply_to_caller;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr job::steady_time kStart{seconds(1000)};

entry::owner lookup(const void* context, job::shard_id) {
  return *static_cast<const entry::owner*>(context);
}

struct fixture {
  entry::table table;
  entry::owner present;
  entry::owner_source owners{&present, &lookup};

  entry::open_request request() const {
    entry::open_request value;
    value.request.id = "job-1";
    value.wait_for_final = true;
    value.reply_by = kStart + seconds(600);
    return value;
  }
  std::vector<effect> open() {
    return entry::open(table, 1, request(), owners, kStart);
  }
  std::vector<effect> tick(milliseconds after) {
    return entry::tick(table, owners, kStart + after);
  }
};

job::outcome answered() {
  job::outcome value;
  value.set_kind(wire::answered);
  return value;
}

}  // namespace

TEST_CASE("a request goes to the owner and its outcome to the caller") {
  fixture cell;
  cell.present = {"d1", 5};
  std::vector<effect> sent = cell.open();
  REQUIRE(sent.size() == 1);
  CHECK(std::get<dispatch>(sent[0]).to == "d1");
  std::vector<effect> done =
      entry::on_reply(cell.table, 1, answered(), false, kStart);
  REQUIRE(done.size() == 1);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.kind() == wire::answered);
  CHECK(cell.table.open.empty());
}

TEST_CASE("a request that found no owner is refused as not run") {
  fixture cell;
  CHECK(cell.open().empty());
  CHECK(cell.tick(milliseconds(4999)).empty());
  std::vector<effect> done = cell.tick(milliseconds(5000));
  REQUIRE(done.size() == 1);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.kind() == wire::not_run);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.retry_after_ms() > 0);
}

TEST_CASE("a request whose owner was lost is never called not run") {
  fixture cell;
  cell.present = {"d1", 5};
  cell.open();
  cell.present = {};
  cell.tick(milliseconds(100));
  std::vector<effect> done = cell.tick(milliseconds(30100));
  REQUIRE(done.size() == 1);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.kind() == wire::unknown);
}

TEST_CASE("a request is sent again when its shard has a new owner") {
  fixture cell;
  cell.present = {"d1", 5};
  cell.open();
  cell.present = {"d2", 9};
  std::vector<effect> sent = cell.tick(milliseconds(20));
  REQUIRE(sent.size() == 1);
  CHECK(std::get<dispatch>(sent[0]).to == "d2");
}

TEST_CASE(
    "an unacknowledged request is sent again, an acknowledged one later") {
  fixture cell;
  cell.present = {"d1", 5};
  cell.open();
  CHECK(cell.tick(milliseconds(499)).empty());
  CHECK(cell.tick(milliseconds(500)).size() == 1);
  entry::on_reply(cell.table, 1, job::outcome(), false, kStart);
  CHECK(cell.tick(milliseconds(1100)).empty());
  CHECK(cell.tick(milliseconds(5500)).size() == 1);
}

TEST_CASE("a caller that stops waiting gets the present state") {
  fixture cell;
  cell.present = {"d1", 5};
  cell.open();
  job::outcome running;
  running.set_running_tasks(3);
  entry::on_reply(cell.table, 1, running, false, kStart);
  cell.table.open.at(1).reply_by = kStart + milliseconds(10);
  std::vector<effect> done = cell.tick(milliseconds(10));
  REQUIRE(done.size() == 1);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.kind() == wire::pending);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.running_tasks() == 3);
}

TEST_CASE("a deadline that passes without an owner refuses at once") {
  fixture cell;
  entry::open_request request = cell.request();
  request.request.deadline = kStart + milliseconds(50);
  entry::open(cell.table, 1, request, cell.owners, kStart);
  std::vector<effect> done = cell.tick(milliseconds(50));
  REQUIRE(done.size() == 1);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.kind() == wire::not_run);
}

TEST_CASE("a full table refuses at once") {
  fixture cell;
  cell.table.options.max_open = 0;
  std::vector<effect> done = cell.open();
  REQUIRE(done.size() == 1);
  CHECK(std::get<reply_to_caller>(done[0]).outcome.kind() == wire::not_run);
}
