// Runs daemons, a store and workers in one process, connected over loopback.
// The tests don't depend on timing, except for the limit after which a
// condition counts as failed.
#include "poold/node.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

TEST_CASE("a job accepted by one daemon is visible at the others") {
  cell cell;
  cell.ledger.add_job(kJob, submission(), 2);
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1");
  for (const char* id : {"n1", "n2", "n3"}) cell.add_node(id);
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->is_ready(); }));
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.wait_until([&] {
    return cell.call(0, http::verb::post, path, kBody).first == 200;
  }));
  // Submitting the same job ID at another daemon is idempotent.
  CHECK(cell.call(1, http::verb::post, path, kBody).first == 200);
  CHECK(cell.reaches_state(2, "complete"));
  CHECK(cell.ledger.starts() == 2);
  CHECK(cell.ledger.violations().empty());
}

TEST_CASE("metrics are served at the peer address") {
  cell cell;
  cell.ledger.add_job(kJob, submission(), 2);
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1");
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  REQUIRE(
      cell.call(0, http::verb::post, "/q/" + std::string(kJob), kBody).first ==
      200);
  REQUIRE(cell.reaches_state(0, "complete"));
  cell.caller_addresses.push_back(cell.peer_addresses[0]);
  std::string text = cell.call(1, http::verb::get, "/metrics").second;
  for (const char* line :
       {"ebonygrade_pool_answer_seconds_count{queue=\"r\"} 1",
        "ebonygrade_pool_first_start_seconds_count{queue=\"r\"} 1",
        "ebonygrade_pool_job_seconds_count{queue=\"r\"} 1",
        "ebonygrade_pool_owner 1", "ebonygrade_pool_starts_total 2",
        "ebonygrade_pool_ends_done_total 2"}) {
    CAPTURE(line, text);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("unknown queues, unknown jobs and invalid bodies are rejected") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->is_ready(); }));
  CHECK(cell.call(0, http::verb::get, "/other/").first == 404);
  CHECK(cell.call(0, http::verb::get, "/q/").second == R"({"notStarted":0})");
  CHECK(cell.call(0, http::verb::get, "/q/" + std::string(kJob)).first == 410);
  CHECK(cell.call(0, http::verb::delete_, "/q/" + std::string(kJob)).first ==
        410);
  CHECK(cell.call(0, http::verb::post, "/q/xyz", kBody).first == 400);
  CHECK(cell.call(0, http::verb::post, "/q/" + std::string(kJob), "{").first ==
        400);
  CHECK(cell.call(0, http::verb::put, "/q/" + std::string(kJob)).first == 405);
}

TEST_CASE("callers get 503 before the first manifest") {
  cell cell;
  cell.add_node("n1");
  CHECK(cell.call(0, http::verb::get, "/q/").first == 503);
  CHECK_FALSE(cell.nodes[0]->is_ready());
}

TEST_CASE("another daemon takes over after the owner has failed") {
  cell cell;
  cell.ledger.add_job(kJob, submission(), 2);
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1");
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.nodes[1]->is_ready(); }));
  cell.nodes[0].reset();
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.wait_until([&] {
    return cell.call(1, http::verb::post, path, kBody).first == 200;
  }));
  CHECK(cell.reaches_state(1, "complete"));
  CHECK(cell.nodes[1]->owns_pool());
  CHECK(cell.ledger.violations().empty());
}

// Guards against late states of short jobs: callers poll for the end, and the
// latency target is close to the interval between two journal reads.
TEST_CASE("a daemon reports an end that it has not read from the journal") {
  cell cell;
  cell.ledger.add_job(kJob, submission(), 2);
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.nodes[1]->is_ready(); }));
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.call(1, http::verb::post, path, kBody).first == 200);
  REQUIRE(cell.reaches_state(1, "pending"));
  cell.store.block_reads("keyed.journal");
  cell.add_worker("w1");
  REQUIRE(cell.reaches_state(0, "complete"));
  CHECK(cell.call(1, http::verb::get, path).second ==
        R"({"state":"complete"})");
}

// Guards against an owner that lags behind its own records: at 1,100 workers it
// read back what it had written 16 s late and counted started jobs as waiting.
TEST_CASE("the owner knows its own records without reading the journal") {
  cell cell;
  cell.ledger.add_job(kJob, submission(), 2);
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1");
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.store.block_reads("keyed.journal");
  // The second step fits no worker, so that the job stays open.
  std::string body =
      R"({"spec":"s","steps":[{"count":2,"cpu":100,"memMb":1,"estMs":100},)"
      R"({"count":1,"cpu":1000000,"memMb":1,"estMs":100,"dependsOn":[0]}]})";
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.call(0, http::verb::post, path, body).first == 200);
  CHECK(cell.reaches_state(0, "running"));
  CHECK(cell.call(0, http::verb::get, "/q/").second == R"({"notStarted":0})");
}

// Guards against queue lengths that leave out waiting jobs: while the link to
// the store was full, standbys told what they had last read, however old.
TEST_CASE("a standby that can't read the journal tells no old queue length") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  REQUIRE(cell.start_owner_and_standby());
  std::size_t owner = cell.nodes[0]->owns_pool() ? 0 : 1;
  std::size_t standby = 1 - owner;
  cell.store.block_reads("keyed.journal");
  // Without a worker the job waits.
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.call(owner, http::verb::post, path, kBody).first == 200);
  // The owner's report brings the length.
  REQUIRE(cell.tells_queue_length(standby, 1));
  // Without an owner the report gets old as well.
  cell.nodes[owner]->drain([] {});
  bool told_old = false;
  CHECK(cell.wait_until([&] {
    told_old |= cell.call(standby, http::verb::get, "/q/").second ==
                R"({"notStarted":0})";
    return cell.refuses_queue_length(standby);
  }));
  CHECK_FALSE(told_old);
}

// Guards against a report that is sent as recent while the owner doesn't know
// what other daemons have written.
TEST_CASE("an owner that can't read the journal reports no old queue length") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  REQUIRE(cell.start_owner_and_standby());
  cell.store.block_reads("keyed.journal");
  // Another daemon accepts a job.
  cell.store.put("keyed.journal", jobs::submission_key(kJob),
                 submission().SerializeAsString());
  CHECK(cell.wait_until([&] { return cell.refuses_queue_length(0); }));
  CHECK(cell.wait_until([&] { return cell.refuses_queue_length(1); }));
  // The owner still appends, which doesn't show it the job.
  CHECK(cell.nodes[0]->owns_pool() != cell.nodes[1]->owns_pool());
  CHECK(cell.refuses_queue_length(0));
  CHECK(cell.refuses_queue_length(1));
}

// Guards against a pool that stays without an owner: after the owner stopped
// while the store was slow, for 3.5 s every claim lost the race for the end of
// the journal against the appends of daemons that wrote for their callers.
TEST_CASE("a pool without an owner is claimed while the journal grows") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.store.inject_conflicts("keyed.journal");
  cell.add_node("n1");
  CHECK(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
}

TEST_CASE("a draining owner releases the pool to another daemon") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.nodes[1]->is_ready(); }));
  bool drained = false;
  cell.nodes[0]->drain([&] { drained = true; });
  CHECK_FALSE(cell.nodes[0]->is_ready());
  CHECK(cell.wait_until([&] { return cell.nodes[1]->owns_pool(); }));
  CHECK(cell.wait_until([&] { return drained; }));
}

// Without it, ended jobs would never be deleted in a pool whose owner changes
// often.
TEST_CASE("an owner continues the pool time of the journal") {
  constexpr std::int64_t kKnown = 1'000'000'000'000'000;
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  wire::pool_time time;
  time.set_elapsed_ms(kKnown);
  cell.store.put("keyed.journal", jobs::kPoolTimeKey, time.SerializeAsString());
  cell.add_node("n1");
  CHECK(cell.wait_until([&] {
    for (const standin::stored_record& each :
         cell.store.records("keyed.journal")) {
      if (each.key == jobs::kPoolTimeKey) time.ParseFromString(each.value);
    }
    return time.elapsed_ms() != kKnown;
  }));
  CHECK(time.elapsed_ms() > kKnown);
}

TEST_CASE("an owner that drains during an append records the release") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  // The next append is written, but the owner gets no reply.
  cell.store.drop_replies(1);
  REQUIRE(cell.wait_until([&] { return cell.store.replies_to_drop() == 0; }));
  bool drained = false;
  cell.nodes[0]->drain([&] { drained = true; });
  REQUIRE(cell.wait_until([&] { return !cell.nodes[0]->owns_pool(); }));
  wire::ownership_record last;
  for (const standin::stored_record& each :
       cell.store.records("keyed.journal")) {
    if (each.key == jobs::kOwnerKey) last.ParseFromString(each.value);
  }
  CHECK(last.released());
  CHECK(cell.wait_until([&] { return drained; }));
}

// Guards against an early end of a draining daemon: when an advice reply came
// after the release of the pool, the process ended within 60 ms of SIGTERM and
// cut its callers' connections.
TEST_CASE("an advice reply after the release of the pool is ignored") {
  cell cell;
  std::vector<http::responder> advice_requests;
  http::server advice(cell.context, {},
                      [&](http::request&&, http::responder answer) {
                        advice_requests.push_back(std::move(answer));
                      });
  advice.listen("127.0.0.1:0").value();
  cell.advice_address = "127.0.0.1:" + std::to_string(advice.port());
  std::string manifest = kManifest;
  manifest.insert(manifest.find(R"("attempts")"),
                  R"("advice":{"decideMs":10,"eachMs":1,"validMs":1000},)");
  cell.store.put("keyed.op", "config", manifest);
  cell.add_worker("w1");
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  REQUIRE(
      cell.call(0, http::verb::post, "/q/" + std::string(kJob), kBody).first ==
      200);
  REQUIRE(cell.wait_until([&] { return !advice_requests.empty(); }));
  bool drained = false;
  cell.nodes[0]->drain([&] { drained = true; });
  REQUIRE(cell.wait_until([&] { return !cell.nodes[0]->owns_pool(); }));
  advice_requests.front()(
      http::json_response(http::status::ok, R"({"granted":[["w1","t"]]})"));
  advice_requests.clear();
  CHECK(cell.wait_until([&] { return drained; }));
}

TEST_CASE("submissions rejected while the store is down are not stored") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.store.set_unavailable(true);
  std::string path = "/q/" + std::string(kJob);
  std::size_t records_before = cell.store.records("keyed.journal").size();
  unsigned status = cell.call(0, http::verb::post, path, kBody).first;
  bool stored = false;
  for (std::size_t i = records_before;
       i < cell.store.records("keyed.journal").size(); ++i) {
    stored |=
        cell.store.records("keyed.journal")[i].key == "s" + std::string(kJob);
  }
  CHECK(status >= 503);
  CHECK_FALSE(stored);
  cell.store.set_unavailable(false);
  CHECK(cell.wait_until([&] {
    return cell.call(0, http::verb::post, path, kBody).first == 200;
  }));
}

// Guards against overload of a slow store: if every daemon appends in addition
// to the owner, the appends queue up and none gets a reply in time.
TEST_CASE("daemons don't append while the owner waits for the store") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.nodes[1]->is_ready(); }));
  std::string path = "/q/" + std::string(kJob);
  // The second daemon writes through the first.
  REQUIRE(cell.wait_until([&] {
    return cell.call(1, http::verb::post, path, kBody).first == 200;
  }));
  cell.store.set_unavailable(true);
  CHECK(cell.call(1, http::verb::post, "/q/00000000000000ab", kBody).first ==
        503);
  for (const standin::stored_record& each :
       cell.store.records("keyed.journal")) {
    CHECK(each.key != "s00000000000000ab");
  }
  CHECK(cell.store.producers("keyed.journal") ==
        std::set<std::string>{"owner"});
}

TEST_CASE("an append whose reply is lost is written once") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  cell.store.drop_replies(2);
  std::string path = "/q/" + std::string(kJob);
  CHECK(cell.wait_until([&] {
    return cell.call(0, http::verb::post, path, kBody).first == 200;
  }));
  int submissions = 0;
  for (const standin::stored_record& each :
       cell.store.records("keyed.journal")) {
    submissions += each.key == "s" + std::string(kJob) ? 1 : 0;
  }
  CHECK(submissions == 1);
}

// The platform's machine service with one machine, whose maintenance completes
// at once.
struct machine_service {
  explicit machine_service(boost::asio::io_context& context)
      : server(
            context, {},
            [this](http::request&& request, http::responder answer) {
              if (request.method() == http::verb::post) {
                fence = std::string(request["X-Fence-Token"]);
                ++orders;
                worker = "w2";
              }
              answer(http::json_response(
                  http::status::ok,
                  R"({"machines":[{"machine":"m1","pool":"pool-a","state":"up",)"
                  R"("id":")" +
                      worker + R"("}],"nextToken":null})"));
            }) {
    server.listen("127.0.0.1:0").value();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(server.port());
  }

  std::string worker = "w1";
  std::string fence;
  int orders = 0;
  http::server server;
};

TEST_CASE("a maintenance wave runs once and its status is published") {
  cell cell;
  machine_service machines(cell.context);
  cell.machines_address = machines.address();
  cell.store.put("keyed.op", "config", kManifest);
  cell.store.put("keyed.op", "wave/1",
                 R"({"wave":1,"machines":["m1"],"deadlineS":5,"maxCount":1})");
  cell.add_worker("w1");
  cell.add_node("n1");
  CHECK(cell.wait_until([&] {
    for (const standin::stored_record& each :
         cell.store.records("keyed.status")) {
      if (each.value == R"({"wave":1,"state":"complete"})") return true;
    }
    return false;
  }));
  CHECK(machines.orders == 1);
  CHECK_FALSE(machines.fence.empty());
  CHECK(cell.store.records("keyed.status").front().value ==
        R"({"wave":1,"state":"running"})");
}

// A machine service that carries out its first order without a reply and turns
// the next ones away.
struct overloaded_machine_service {
  explicit overloaded_machine_service(boost::asio::io_context& context)
      : server(context, {},
               [this](http::request&& request, http::responder answer) {
                 if (request.method() == http::verb::post) {
                   return take(request.body(), std::move(answer));
                 }
                 answer(http::json_response(
                     http::status::ok,
                     R"({"machines":[)" + row("m1") + "," + row("m2") + "]}"));
               }) {
    server.listen("127.0.0.1:0").value();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(server.port());
  }
  std::string row(const std::string& machine) const {
    bool is_down = ordered.count(machine) > 0;
    return R"({"machine":")" + machine + R"(","pool":"pool-a","state":")" +
           (is_down ? "upkeep" : "up") + R"(","id":")" +
           (is_down ? "" : "w-" + machine) + R"("})";
  }
  void take(const std::string& body, http::responder answer) {
    ++orders;
    std::string machine =
        body.find(R"("m1")") == std::string::npos ? "m2" : "m1";
    if (ordered.empty()) {
      ordered.insert(machine);
      unanswered.push_back(std::move(answer));
      return;
    }
    other_machines += ordered.count(machine) > 0 ? 0 : 1;
    answer(http::error_response(http::status::service_unavailable, "busy"));
  }

  std::set<std::string> ordered;
  int orders = 0;
  int other_machines = 0;  // Orders for a machine beside the first one.
  std::vector<http::responder> unanswered;
  http::server server;
};

TEST_CASE("no machine is taken down beside one whose order is in doubt") {
  cell cell;
  overloaded_machine_service machines(cell.context);
  cell.machines_address = machines.address();
  cell.store.put("keyed.op", "config", kManifest);
  cell.store.put(
      "keyed.op", "wave/1",
      R"({"wave":1,"machines":["m1","m2"],"deadlineS":60,"maxCount":1})");
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return machines.orders >= 4; }));
  CHECK(machines.other_machines == 0);
}

TEST_CASE("a daemon that missed trimmed records loads the journal again") {
  cell cell;
  cell.ledger.add_job(kJob, submission(), 2);
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1");
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return cell.nodes[0]->owns_pool(); }));
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.wait_until([&] {
    return cell.call(0, http::verb::post, path, kBody).first == 200;
  }));
  cell.store.compact("keyed.journal");
  cell.add_node("n2");
  CHECK(cell.reaches_state(1, "complete"));
  CHECK(cell.ledger.violations().empty());
}

// Guards against a takeover from an old copy: a job that ended and was deleted
// while a daemon missed more records than the store keeps stayed open there.
TEST_CASE("a daemon that missed trimmed records forgets deleted jobs") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  REQUIRE(cell.start_owner_and_standby());
  std::size_t owner = cell.nodes[0]->owns_pool() ? 0 : 1;
  std::size_t standby = 1 - owner;
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.call(owner, http::verb::post, path, kBody).first == 200);
  REQUIRE(cell.reaches_state(standby, "pending"));
  cell.store.block_reads("keyed.journal");
  cell.store.put("keyed.journal", jobs::submission_key(kJob), "");
  cell.store.compact("keyed.journal");
  cell.store.block_reads("");
  CHECK(cell.wait_until(
      [&] { return cell.call(standby, http::verb::get, path).first == 410; }));
}

TEST_CASE("daemons without a copy of the journal serve through the owner") {
  large_cell cell;
  REQUIRE(cell.settles());
  std::size_t entry = cell.daemon_without_copy();
  std::string path = "/q/" + std::string(kJob);
  CHECK(cell.call(entry, http::verb::get, path).first == 410);
  CHECK(cell.call(entry, http::verb::delete_, path).first == 410);
  CHECK(cell.call(entry, http::verb::post, path, kBody).first == 200);
  CHECK(cell.call(entry, http::verb::post, path, kBody).first == 200);
  CHECK(cell.reaches_state(entry, "complete"));
  CHECK(cell.call(entry, http::verb::delete_, path).first == 200);
  // A job that fits no worker waits, is counted and can be cancelled.
  std::string waiting = "/q/00000000000000ab";
  std::string large = kBody;
  large.replace(large.find("100"), 3, "1000000");
  REQUIRE(cell.call(entry, http::verb::post, waiting, large).first == 200);
  CHECK(cell.wait_until([&] {
    return cell.call(entry, http::verb::get, "/q/").second ==
           R"({"notStarted":1})";
  }));
  CHECK(cell.call(entry, http::verb::delete_, waiting).first == 200);
  CHECK(cell.call(entry, http::verb::get, waiting).second ==
        R"({"state":"cancelled"})");
  CHECK_FALSE(cell.nodes[entry]->follows_journal());
  int submissions = 0;
  for (const standin::stored_record& each :
       cell.store.records("keyed.journal")) {
    submissions +=
        each.key == "s" + std::string(kJob) && !each.value.empty() ? 1 : 0;
  }
  CHECK(submissions == 1);
  CHECK(cell.ledger.violations().empty());
}

// Guards against a pool that stays without an owner when no daemon with a copy
// of the journal is left.
TEST_CASE("the pool outlives the owner and all standbys") {
  large_cell cell;
  REQUIRE(cell.settles());
  cell.workers.clear();
  std::size_t entry = cell.daemon_without_copy();
  std::string path = "/q/" + std::string(kJob);
  REQUIRE(cell.call(entry, http::verb::post, path, kBody).first == 200);
  for (std::unique_ptr<node>& each : cell.nodes) {
    if (each->follows_journal()) each.reset();
  }
  cell.add_worker("w2");
  CHECK(cell.wait_until([&] {
    return std::any_of(cell.nodes.begin(), cell.nodes.end(),
                       [](const std::unique_ptr<node>& each) {
                         return each && each->owns_pool();
                       });
  }));
  CHECK(cell.reaches_state(entry, "complete"));
  CHECK(cell.ledger.violations().empty());
}

// Guards against a full link that stays full: daemons that got no reply from
// the owner or the directory over it all loaded the journal over it as well.
TEST_CASE("daemons that can't read the directory don't load the journal") {
  large_cell cell;
  REQUIRE(cell.settles());
  cell.store.block_reads("keyed.owner");
  for (std::unique_ptr<node>& each : cell.nodes) {
    if (each->owns_pool()) each.reset();
  }
  // Several times the delay after which a daemon without an owner loads it.
  cell.context.run_for(std::chrono::seconds(7));
  CHECK(cell.copies() <= large_cell::kCopies);
  cell.store.block_reads("");
  CHECK(cell.settles());
}

// The address of an earlier incarnation may belong to another worker by now,
// whose reply 421 then took the worker out of use and freed its runs.
TEST_CASE("an entry of an earlier incarnation moves no link") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  for (const char* id : {"w1", "w2"}) cell.add_worker(id);
  cell.workers[1]->announce("draining");
  cell.add_node("n1");
  constexpr char kSecondJob[] = "00000000000000ab";
  std::function<bool(const std::string&)> completes =
      [&](const std::string& id) {
        cell.ledger.add_job(id, submission(), 2);
        std::string path = "/q/" + id;
        return cell.wait_until([&] {
          return cell.call(0, http::verb::post, path, kBody).first == 200;
        }) && cell.wait_until([&] {
          return cell.call(0, http::verb::get, path).second ==
                 R"({"state":"complete"})";
        });
      };
  REQUIRE(completes(kJob));
  std::string entry = cell.store.records("keyed.servers").back().value;
  std::size_t born = entry.find(R"("born":1)");
  REQUIRE(born != std::string::npos);
  entry.replace(born, 8, R"("born":0)");
  std::uint64_t reads = cell.store.reads_with_records("keyed.servers");
  cell.store.put("keyed.servers", "w1", entry);
  REQUIRE(cell.wait_until(
      [&] { return cell.store.reads_with_records("keyed.servers") > reads; }));
  CHECK(completes(kSecondJob));
  CHECK(cell.ledger.violations().empty());
}

TEST_CASE("a worker that has left is no longer polled") {
  cell cell;
  cell.store.put("keyed.op", "config", kManifest);
  cell.add_worker("w1");
  std::size_t polls = 0;
  clock::steady_time last_poll = cell.clock.now();
  http::server host(cell.context, {},
                    [&](http::request&&, http::responder answer) {
                      ++polls;
                      last_poll = cell.clock.now();
                      http::response reply;
                      reply.result(http::status::service_unavailable);
                      answer(std::move(reply));
                    });
  host.listen("127.0.0.1:0").value();
  std::string entry = cell.store.records("keyed.servers").back().value;
  std::size_t address = entry.find("127.0.0.1:");
  std::size_t end = entry.find('"', address);
  REQUIRE(end != std::string::npos);
  entry.replace(address, end - address,
                "127.0.0.1:" + std::to_string(host.port()));
  cell.store.put("keyed.servers", "w2", entry);
  cell.add_node("n1");
  REQUIRE(cell.wait_until([&] { return polls > 0; }));
  cell.store.put("keyed.servers", "w2", "");
  CHECK(cell.wait_until(
      [&] { return cell.clock.now() - last_poll > std::chrono::seconds(2); }));
}

}  // namespace

}  // namespace ebonygrade::poold
