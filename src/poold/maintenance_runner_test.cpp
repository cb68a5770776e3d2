// Maintenance orders of an owner whose journal the test confirms, at a machine
// service with one idle machine.
#include "poold/maintenance_runner.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

constexpr std::chrono::seconds kConditionTimeout{20};
constexpr std::uint64_t kFencingToken = 7;
// Other daemons claim the pool of an owner that is silent for this long.
constexpr milliseconds kPause{2000};

struct fixture {
  boost::asio::io_context context{1};
  clock::manual_clock clock;
  standin::keyed_store store{context};
  store_client calls{context, store.address(), clock};
  node_settings settings;
  pool::pool_state pool;
  // Appends without a reply.
  std::vector<std::function<void(bool)>> appends;
  int orders = 0;
  http::server machines{
      context, {}, [this](http::request&& request, http::responder respond) {
        if (request.method() == http::verb::post) ++orders;
        respond(http::json_response(
            http::status::ok,
            R"({"machines":[{"machine":"m1","pool":"pool-a","state":"up"}]})"));
      }};
  std::shared_ptr<maintenance_runner> subject;

  fixture() {
    machines.listen("127.0.0.1:0").value();
    settings.id = "n1";
    settings.machines_address = "127.0.0.1:" + std::to_string(machines.port());
    subject = std::make_shared<maintenance_runner>(
        context, calls, clock, settings, kFencingToken, pool,
        [this](const jobs::record&, std::function<void(bool)> handler) {
          appends.push_back(std::move(handler));
        });
    pool::observe_journal_write(&pool, clock.now());
  }
  ~fixture() { subject->stop(); }

  bool wait_until(const std::function<bool()>& condition) {
    std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + kConditionTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

  void read_wave(const wire::wave_record& record) {
    subject->on_wave({1, {"m1"}, std::chrono::seconds(20), 1}, record);
  }

  // The reply to the last append arrives. An owner notes when it sent it.
  void confirm(steady_time sent) {
    pool::observe_journal_write(&pool, sent);
    std::exchange(appends, {}).back()(true);
  }
};

// Guards against two owners that order the same machine, the earlier one last:
// it had been suspended while the reply to its append was on its way.
TEST_CASE("an order whose record was confirmed late is recorded again") {
  fixture test;
  test.read_wave({});
  REQUIRE(test.wait_until([&] { return !test.appends.empty(); }));
  steady_time sent = test.clock.now();
  test.clock.advance(kPause);
  test.confirm(sent);
  REQUIRE(test.wait_until([&] { return !test.appends.empty(); }));
  CHECK(test.orders == 0);
  test.confirm(test.clock.now());
  CHECK(test.wait_until([&] { return test.orders == 1; }));
}

// Guards against the same after a claim whose outcome was read late.
TEST_CASE("an owner with an old claim repeats no orders of an earlier owner") {
  fixture test;
  test.clock.advance(kPause);
  wire::wave_record record;
  record.add_ordered("m1");
  test.read_wave(record);
  REQUIRE(test.wait_until([&] { return !test.appends.empty(); }));
  CHECK(test.orders == 0);
  test.confirm(test.clock.now());
  CHECK(test.wait_until([&] { return test.orders == 1; }));
}

}  // namespace

}  // namespace ebonygrade::poold
