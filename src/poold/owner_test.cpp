// An owner with a store and one worker, connected over loopback. The leases are
// short, so that the limits that follow from them are, too.
#include "poold/owner.h"

#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "clock/test_suspension.h"
#include "events/events.h"
#include "http/server.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

constexpr std::chrono::seconds kConditionTimeout{20};
constexpr milliseconds kLease{900};
// Other daemons claim the pool of an owner that is silent for this long.
constexpr milliseconds kOwnerSilence{1800};
constexpr std::uint64_t kEpoch = 7;
constexpr char kJob[] = "00000000000000aa";
constexpr int kAllReplies = 1000000;
// Some polls within the time for which a lease would be granted.
constexpr std::size_t kPolls = 4;

struct fixture {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store store{context};
  node_settings settings;
  measurements measured;
  jobs::table table;
  // Whether each poll carried a lease.
  std::vector<bool> polls;
  std::size_t starts = 0;
  // Records that the owner passed on as written.
  std::vector<jobs::record> written;
  http::server worker{
      context, {}, [this](http::request&& request, http::responder answer) {
        if (request.target() == "/run-start") {
          ++starts;
        } else if (request.target() == "/hold") {
          polls.push_back(request.body().find("untilMs") != std::string::npos);
        }
        answer(http::json_response(http::status::ok, worker_reply()));
      }};
  std::unique_ptr<store_client> calls;
  std::shared_ptr<owner> subject;
  pool::manifest manifest;

  fixture() {
    worker.listen("127.0.0.1:0").value();
    store.put("keyed.servers", "w1",
              R"({"service":"pool-a","zone":"zone-a","state":"ready",)"
              R"("capacity":{"cpu":4000,"memMb":4000},"labels":["a","r1"],)"
              R"("born":1,"addr":"127.0.0.1:)" +
                  std::to_string(worker.port()) + "\"}");
    settings.id = "n1";
    settings.lease = kLease;
    calls = std::make_unique<store_client>(context, store.address(), clock);
    subject = std::make_shared<owner>(
        context, *calls, clock, settings, measured, kEpoch, [] {},
        [this](const jobs::record& record) {
          written.push_back(record);
          jobs::apply(&table, record);
        },
        [](std::uint64_t, std::uint64_t, steady_time) {});
    manifest.routes.emplace_back();
    manifest.routes.back().name = "r";
    manifest.routes.back().policy.service = "pool-a";
    manifest.routes.back().policy.attempts = 2;
    subject->start(table, manifest, clock.now());
  }
  ~fixture() { subject->stop(); }

  std::string worker_reply() const {
    return R"({"clockMs":)" +
           std::to_string(clock.now().time_since_epoch() / milliseconds(1)) +
           R"(,"born":1,"running":[],"finished":[]})";
  }

  bool run_until(const std::function<bool()>& condition,
                 std::chrono::nanoseconds limit = kConditionTimeout) {
    steady_time end = clock.now() + limit;
    while (!condition() && clock.now() < end) {
      context.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
  }

  bool has_lease() { return !polls.empty() && polls.back(); }

  // The store applies appends, but the owner gets no replies.
  void drop_replies() { store.drop_replies(kAllReplies); }
  bool waits_for_reply() {
    return store.replies_to_drop() < kAllReplies && store.replies_to_drop() > 0;
  }

  // The store replies to one append.
  void reply_once() {
    std::uint64_t before = store.appends();
    store.drop_replies(0);
    REQUIRE(run_until([&] { return store.appends() > before; }));
    drop_replies();
  }

  // Whether a lease is granted while the next polls arrive.
  bool grants_leases() {
    std::size_t before = polls.size() + 1;  // One poll may be on its way.
    REQUIRE(run_until([&] { return polls.size() >= before + kPolls; }));
    return std::find(polls.begin() + static_cast<std::ptrdiff_t>(before),
                     polls.end(), true) != polls.end();
  }

  bool has_record(const std::string& key) {
    const std::vector<standin::stored_record>& records =
        store.records("keyed.journal");
    return std::any_of(
        records.begin(), records.end(),
        [&](const standin::stored_record& each) { return each.key == key; });
  }

  void submit(const std::string& tenant = {}) {
    wire::job_submission job;
    job.set_queue("r");
    job.set_tenant(tenant);
    job.set_service("pool-a");
    wire::step_definition* step = job.add_steps();
    step->set_count(1);
    step->set_cpu_milli(100);
    step->set_memory_mb(1);
    step->set_estimate_ms(100);
    jobs::record record{jobs::submission_key(kJob), job.SerializeAsString(), 0};
    subject->on_change(table, jobs::apply(&table, record));
  }
};

// Guards against leases that outlast max_previous_owner_lease(): another owner
// may have claimed the pool since the append was sent.
TEST_CASE("a late reply of the store allows no new leases") {
  fixture test;
  REQUIRE(test.run_until([&] { return test.has_lease(); }));
  test.drop_replies();
  REQUIRE(test.run_until([&] { return test.waits_for_reply(); }));
  test.run_until([] { return false; }, kLease);
  REQUIRE_FALSE(test.has_lease());
  test.reply_once();
  CHECK_FALSE(test.grants_leases());
  test.store.drop_replies(0);
  CHECK(test.run_until([&] { return test.has_lease(); }));
}

TEST_CASE("the loss of the right to give leases is logged once") {
  std::ostringstream log;
  clock::system_clock clock;
  events::start(
      std::make_shared<spdlog::logger>(
          "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(log)),
      "info", clock);
  auto position = [&](const char* name) { return log.str().find(name); };
  {
    fixture test;
    test.drop_replies();
    CHECK(test.run_until(
        [&] { return position("846 owner_isolated") != std::string::npos; }));
    // Several rounds pass.
    test.run_until([] { return false; }, kLease / 2);
    test.store.drop_replies(0);
    CHECK(test.run_until(
        [&] { return position("847 owner_confirmed") != std::string::npos; }));
  }
  events::stop();
  CHECK(position("epoch=7 age_ms=") != std::string::npos);
  std::string before = log.str().substr(0, position("847 owner_confirmed"));
  CHECK(before.find("846 ") == before.rfind("846 "));
}

// Guards against the same in starts, which carry a lease as well.
TEST_CASE("a start whose record was confirmed late is not sent") {
  fixture test;
  REQUIRE(test.run_until([&] { return test.has_lease(); }));
  test.drop_replies();
  test.submit();
  std::string placed = jobs::progress_key(kJob);
  if (!test.run_until([&] { return test.has_record(placed); }, kLease)) {
    // An earlier append waited for its reply.
    test.reply_once();
    REQUIRE(test.run_until([&] { return test.has_record(placed); }));
  }
  test.run_until([] { return false; }, kLease);
  test.reply_once();
  test.grants_leases();
  CHECK(test.starts == 0);
  test.store.drop_replies(0);
  CHECK(test.run_until([&] { return test.starts == 1; }));
}

// Guards against leases that outlast max_previous_owner_lease(): another owner
// may have claimed the pool while the VM was suspended.
TEST_CASE("an owner extends no lease after its VM was suspended") {
  fixture test;
  REQUIRE(test.run_until([&] { return test.has_lease(); }));
  test.drop_replies();
  clock::suspend_vm(kLease);
  CHECK_FALSE(test.grants_leases());
  test.store.drop_replies(0);
  CHECK(test.run_until([&] { return test.has_lease(); }));
}

// Guards against a superseded owner that confirms its ownership on waking.
TEST_CASE(
    "a late reply of the store doesn't show that the journal is reached") {
  fixture test;
  REQUIRE(test.run_until([&] { return test.has_lease(); }));
  REQUIRE(test.subject->journal_reachable());
  test.drop_replies();
  REQUIRE(test.run_until([&] { return test.waits_for_reply(); }));
  test.run_until([] { return false; }, kOwnerSilence);
  std::size_t before = test.written.size();
  test.reply_once();
  REQUIRE(test.run_until([&] { return test.written.size() > before; }));
  CHECK_FALSE(test.subject->journal_reachable());
  test.store.drop_replies(0);
  CHECK(test.run_until([&] { return test.subject->journal_reachable(); }));
}

// Guards against a copy in which a record from a load of the journal replaces a
// newer one that the owner has applied when it was written.
TEST_CASE("an owner's records are applied with their offsets") {
  fixture test;
  test.submit();
  std::optional<owner_reply> reply;
  test.subject->write({jobs::cancellation_key("00000000000000bb"), "x", 0},
                      [&](owner_reply got) { reply = got; });
  REQUIRE(test.run_until([&] {
    return reply && !test.written.empty() &&
           test.has_record(jobs::progress_key(kJob));
  }));
  REQUIRE(test.run_until([&] { return test.written.size() >= 4; }));
  std::vector<standin::stored_record> stored =
      test.store.records("keyed.journal");
  for (std::size_t i = 0; i < test.written.size(); ++i) {
    CHECK(test.written[i].offset == i);
    CHECK(test.written[i].key == stored.at(i).key);
  }
}

// Guards against an owner that goes on with the quotas of its start.
TEST_CASE("a manifest with a quota holds a start back until one raises it") {
  std::ostringstream log;
  clock::system_clock clock;
  events::start(
      std::make_shared<spdlog::logger>(
          "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(log)),
      "info", clock);
  {
    fixture test;
    REQUIRE(test.run_until([&] { return test.has_lease(); }));
    test.manifest.tenants.push_back({"a", {}, 0, 1, {50, 0, 0}});
    test.subject->on_manifest(test.manifest);
    test.submit("a");
    REQUIRE(test.run_until([&] {
      return log.str().find("862 tenant_held") != std::string::npos;
    }));
    CHECK(log.str().find("tenant=a holds=1 used=0/0/0 limit=50/0/0 "
                         "held=100/1/0 steps=1") != std::string::npos);
    CHECK_FALSE(test.has_record(jobs::progress_key(kJob)));
    test.manifest.tenants.back().quota.cpu_milli = 100;
    test.subject->on_manifest(test.manifest);
    CHECK(test.run_until([&] { return test.starts > 0; }));
  }
  events::stop();
}

}  // namespace

}  // namespace ebonygrade::poold
