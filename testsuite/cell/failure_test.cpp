// Failures of processes and of the platform under load. The checks use the
// workers' ledger and the outcomes that the callers got.
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "cell/cell.h"
#include "cell/load.h"

using ebonygrade::testsuite::cell;
using ebonygrade::testsuite::cell_options;
using ebonygrade::testsuite::eventually;
using ebonygrade::testsuite::http_reply;
using ebonygrade::testsuite::load;
using ebonygrade::testsuite::load_options;
using ebonygrade::testsuite::make_request;
using std::chrono::milliseconds;
namespace standin = ebonygrade::standin;
namespace wire = ebonygrade::wire;

namespace {

// Enough to find an id of each shard.
constexpr int kMaxTriedIds = 1000;

// Idempotent and non-idempotent callers at the same time.
struct mixed_load {
  explicit mixed_load(cell& cell, load_options options = {})
      : idempotent(cell, with_prefix(options, "many", true)),
        non_idempotent(cell, with_prefix(options, "once", false)) {
    idempotent.start();
    non_idempotent.start();
  }

  static load_options with_prefix(load_options options,
                                  const std::string& prefix, bool idempotent) {
    options.prefix = prefix;
    options.idempotent = idempotent;
    if (options.entries.empty()) options.entries = {0, 1, 2};
    return options;
  }

  void wait_for(std::size_t ended) {
    REQUIRE(eventually([&] {
      return idempotent.ended() >= ended && non_idempotent.ended() >= ended / 4;
    }));
  }
  void finish() {
    idempotent.finish();
    non_idempotent.finish();
  }

  load idempotent;
  load non_idempotent;
};

// Guarantees that hold under any failure.
void check_guarantees(cell& cell, mixed_load& callers) {
  const standin::ledger ledger = cell.ledger();
  INFO(cell.daemon_logs());
  INFO(ledger.DebugString());
  CHECK(ledger.over_commits() == 0);
  CHECK(ledger.double_runs() == 0);
  CHECK(ledger.repeated_starts() == 0);
  CHECK(callers.idempotent.without_outcome() == 0);
  CHECK(callers.non_idempotent.without_outcome() == 0);
  // Every answer has a start. Non-idempotent requests whose outcome is unknown
  // may have one start each without an answer.
  CHECK(callers.idempotent.count(wire::answered) +
            callers.non_idempotent.count(wire::answered) <=
        ledger.starts());
}

// Number of shards that daemon 0 reports as owned by the daemon; nothing if
// daemon 0 doesn't reply.
std::optional<std::size_t> owned_shards(cell& cell, std::size_t daemon) {
  const std::optional<wire::cell_status> status = cell.cell_status(0);
  if (!status) return std::nullopt;
  std::size_t owned = 0;
  for (const wire::shard_status& shard : status->shards()) {
    if (shard.owner() == cell.daemon_id(daemon)) ++owned;
  }
  return owned;
}

void set_outage(cell& cell, bool outage) {
  standin::platform_control control;
  control.set_outage(outage);
  cell.control_platform(control);
}

}  // namespace

TEST_CASE("an owner killed under load loses no request and repeats no task") {
  cell sofia(cell_options{});
  sofia.start();
  mixed_load callers(sofia);
  callers.wait_for(40);
  sofia.kill_daemon(1);
  REQUIRE(eventually([&] { return sofia.every_shard_served(); }));
  sofia.restart_daemon(1);
  callers.finish();
  check_guarantees(sofia, callers);
  CHECK(callers.idempotent.count(wire::answered) == 320);
}

TEST_CASE("an owner that resumes after its takeover violates no guarantee") {
  cell sofia(cell_options{});
  sofia.start();
  mixed_load callers(sofia);
  callers.wait_for(40);
  sofia.daemon(1).send_signal(SIGSTOP);
  REQUIRE(eventually([&] { return owned_shards(sofia, 1) == 0; }));
  sofia.daemon(1).send_signal(SIGCONT);
  callers.finish();
  check_guarantees(sofia, callers);
  CHECK(callers.idempotent.count(wire::answered) == 320);
}

TEST_CASE("tasks survive the simultaneous replacement of every daemon") {
  cell_options options;
  options.task_lease = "15s";
  cell sofia(options);
  sofia.start();
  std::vector<wire::job_request> requests;
  for (int i = 0; i < 12; ++i) {
    requests.push_back(make_request("long-" + std::to_string(i), i % 2 == 0,
                                    milliseconds(6000)));
    sofia.submit(static_cast<std::size_t>(i % 3), requests.back(),
                 milliseconds(0));
  }
  REQUIRE(eventually([&] { return sofia.ledger().starts() == 12; }));
  for (std::size_t i = 0; i < 3; ++i) sofia.kill_daemon(i);
  for (std::size_t i = 0; i < 3; ++i) sofia.restart_daemon(i);
  REQUIRE(eventually([&] { return sofia.every_shard_served(); }));
  INFO(sofia.daemon_logs());
  for (const wire::job_request& request : requests) {
    const std::optional<wire::request_status> status =
        sofia.submit(0, request, milliseconds(20000));
    REQUIRE(status.has_value());
    INFO(request.id());
    CHECK(status->outcome().kind() == wire::answered);
  }
  CHECK(sofia.ledger().starts() == 12);
  CHECK(sofia.ledger().double_runs() == 0);
}

TEST_CASE("an owner killed during a log outage is replaced after the outage") {
  cell sofia(cell_options{});
  sofia.start();
  // Daemon 1 must own its shards before the outage. If daemon 2 still owned all
  // of them, no shard would have an owner after its kill, since claims need the
  // log.
  REQUIRE(eventually([&] { return owned_shards(sofia, 1).value_or(0) > 0; }));
  mixed_load callers(sofia);
  callers.wait_for(40);
  set_outage(sofia, true);
  callers.wait_for(80);
  sofia.kill_daemon(2);
  // The other owners keep serving during the outage.
  std::string id;
  for (int i = 0; id.empty() || sofia.owner_of(id, 0) == 2; ++i) {
    REQUIRE(i < kMaxTriedIds);
    id = "meanwhile-" + std::to_string(i);
  }
  const std::optional<wire::request_status> status = sofia.submit(
      0, make_request(id, true, milliseconds(10)), milliseconds(20000));
  REQUIRE(status.has_value());
  CHECK(status->outcome().kind() == wire::answered);
  set_outage(sofia, false);
  REQUIRE(eventually([&] { return sofia.every_shard_served(); }));
  callers.finish();
  check_guarantees(sofia, callers);
}

TEST_CASE("appends whose replies are lost start no task twice") {
  cell sofia(cell_options{});
  sofia.start();
  mixed_load callers(sofia);
  callers.wait_for(40);
  standin::platform_control control;
  control.set_lose_answers(20);
  sofia.control_platform(control);
  callers.wait_for(80);
  sofia.kill_daemon(0);
  control.set_lose_answers(5);
  sofia.control_platform(control);
  REQUIRE(eventually([&] { return sofia.every_shard_served(); }));
  callers.finish();
  check_guarantees(sofia, callers);
}

TEST_CASE("silent worker connections and a killed owner violate no guarantee") {
  cell sofia(cell_options{});
  sofia.start();
  mixed_load callers(sofia);
  callers.wait_for(40);
  for (const char* worker : {"w1", "w5", "w9"}) {
    standin::worker_control control;
    control.set_worker(worker);
    control.set_fault(standin::silent);
    sofia.control_worker(control);
  }
  sofia.kill_daemon(1);
  REQUIRE(eventually([&] { return sofia.every_shard_served(); }));
  callers.finish();
  check_guarantees(sofia, callers);
  CHECK(callers.idempotent.count(wire::answered) == 320);
}

TEST_CASE("of two concurrent rolls one wins and the other is rejected") {
  cell sofia(cell_options{});
  sofia.start();
  REQUIRE(sofia.roll_bundle(0, sofia.bundle_text()));
  std::vector<std::string> paths;
  for (int i = 0; i < 2; ++i) {
    const http_reply published = sofia.call(
        0, "POST", "/v1/bundles",
        R"({"name":"race","author":"ana","text":")" +
            std::string("[bundle]\\nname = race\\n[team.alerts]\\nweight = ") +
            std::to_string(i + 1) + R"("})");
    REQUIRE(published.status == 200);
    const std::size_t at = published.body.find("\"version\"");
    REQUIRE(at != std::string::npos);
    const std::size_t first = published.body.find_first_of("0123456789", at);
    const std::size_t last =
        published.body.find_first_not_of("0123456789", first);
    paths.push_back("/v1/bundles/" +
                    published.body.substr(first, last - first));
    REQUIRE(
        sofia
            .call(0, "POST", paths.back() + "/approve", R"({"approver":"ivo"})")
            .status == 200);
  }
  const std::string replaces =
      std::to_string(sofia.cell_status(0)->bundle_version());
  const std::string body =
      R"({"operator":"op","replaces":")" + replaces + R"("})";
  std::vector<int> statuses(2);
  std::thread other([&] {
    statuses[1] = sofia.call(1, "POST", paths[1] + "/roll", body).status;
  });
  statuses[0] = sofia.call(0, "POST", paths[0] + "/roll", body).status;
  other.join();
  INFO(statuses[0] << " " << statuses[1]);
  CHECK(std::set<int>(statuses.begin(), statuses.end()) ==
        std::set<int>{200, 409});
  REQUIRE(eventually([&] {
    std::set<std::uint64_t> versions;
    for (std::size_t i = 0; i < 3; ++i) {
      const std::optional<wire::cell_status> status = sofia.cell_status(i);
      if (status) versions.insert(status->bundle_version());
    }
    return versions.size() == 1;
  }));
}

TEST_CASE("a drained daemon breaks no exchange and hands over its shards") {
  cell sofia(cell_options{});
  sofia.start();
  load_options options;
  options.only_ready = true;
  options.runtime = milliseconds(50);
  mixed_load callers(sofia, options);
  callers.wait_for(40);
  sofia.daemon(1).send_signal(SIGTERM);
  const std::optional<int> exit_code =
      sofia.daemon(1).wait(milliseconds(60000));
  INFO(sofia.daemon_logs());
  REQUIRE(exit_code.has_value());
  CHECK(*exit_code == 0);
  callers.finish();
  CHECK(sofia.broken_exchanges() == 0);
  check_guarantees(sofia, callers);
  CHECK(callers.idempotent.count(wire::answered) == 320);
  CHECK(callers.non_idempotent.count(wire::answered) == 320);
}
