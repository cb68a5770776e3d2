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
  entry::owner current_owner;
  entry::owner_source owners{&current_owner, &lookup};

  entry::open_request request() const {
    entry::open_request result;
    result.request.id = "job-1";
    result.wait_for_final = true;
    result.reply_by = kStart + seconds(600);
    return result;
  }
  std::vector<effect> open() {
    return entry::open(table, 1, request(), owners, kStart);
  }
  std::vector<effect> tick(milliseconds after) {
    return entry::tick(table, owners, kStart + after);
  }
};

job::outcome answered() {
  job::outcome result;
  result.set_kind(wire::answered);
  return result;
}

}  // namespace

TEST_CASE("a request is sent to the owner and its outcome to the caller") {
  fixture setup;
  setup.current_owner = {"d1", 5};
  std::vector<effect> sent = setup.open();
  REQUIRE(sent.size() == 1);
  CHECK(std::get<dispatch>(sent[0]).to == "d1");
  std::vector<effect> replies =
      entry::on_reply(setup.table, 1, answered(), false, kStart);
  REQUIRE(replies.size() == 1);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.kind() == wire::answered);
  CHECK(setup.table.open.empty());
}

TEST_CASE("a request whose shard has no owner ends as not_run") {
  fixture setup;
  CHECK(setup.open().empty());
  CHECK(setup.tick(milliseconds(4999)).empty());
  std::vector<effect> replies = setup.tick(milliseconds(5000));
  REQUIRE(replies.size() == 1);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.kind() == wire::not_run);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.retry_after_ms() > 0);
}

TEST_CASE("a request whose owner was lost ends as unknown") {
  fixture setup;
  setup.current_owner = {"d1", 5};
  setup.open();
  setup.current_owner = {};
  setup.tick(milliseconds(100));
  std::vector<effect> replies = setup.tick(milliseconds(30100));
  REQUIRE(replies.size() == 1);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.kind() == wire::unknown);
}

TEST_CASE("a request is sent again when its shard has a new owner") {
  fixture setup;
  setup.current_owner = {"d1", 5};
  setup.open();
  setup.current_owner = {"d2", 9};
  std::vector<effect> sent = setup.tick(milliseconds(20));
  REQUIRE(sent.size() == 1);
  CHECK(std::get<dispatch>(sent[0]).to == "d2");
}

TEST_CASE(
    "an unacknowledged request is sent again sooner than an acknowledged one") {
  fixture setup;
  setup.current_owner = {"d1", 5};
  setup.open();
  CHECK(setup.tick(milliseconds(499)).empty());
  CHECK(setup.tick(milliseconds(500)).size() == 1);
  entry::on_reply(setup.table, 1, job::outcome(), false, kStart);
  CHECK(setup.tick(milliseconds(1100)).empty());
  CHECK(setup.tick(milliseconds(5500)).size() == 1);
}

TEST_CASE("a caller whose wait ends gets the last known state") {
  fixture setup;
  setup.current_owner = {"d1", 5};
  setup.open();
  job::outcome running;
  running.set_running_tasks(3);
  entry::on_reply(setup.table, 1, running, false, kStart);
  setup.table.open.at(1).reply_by = kStart + milliseconds(10);
  std::vector<effect> replies = setup.tick(milliseconds(10));
  REQUIRE(replies.size() == 1);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.kind() == wire::pending);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.running_tasks() == 3);
}

TEST_CASE("a request without an owner ends as not_run at its deadline") {
  fixture setup;
  entry::open_request request = setup.request();
  request.request.deadline = kStart + milliseconds(50);
  entry::open(setup.table, 1, request, setup.owners, kStart);
  std::vector<effect> replies = setup.tick(milliseconds(50));
  REQUIRE(replies.size() == 1);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.kind() == wire::not_run);
}

TEST_CASE("a full table replies not_run at once") {
  fixture setup;
  setup.table.options.max_open_requests = 0;
  std::vector<effect> replies = setup.open();
  REQUIRE(replies.size() == 1);
  CHECK(std::get<reply_to_caller>(replies[0]).outcome.kind() == wire::not_run);
}
