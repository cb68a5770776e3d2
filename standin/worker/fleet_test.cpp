#include "standin/worker/fleet.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/client.h"
#include "http/json.h"
#include "standin/platform/service.h"

namespace asio = boost::asio;
namespace http = ebonygrade::http;
namespace standin = ebonygrade::standin;
namespace wire = ebonygrade::wire;
namespace worker = ebonygrade::standin::worker;
using ebonygrade::clock::milliseconds;

namespace {

constexpr std::chrono::seconds kEventTimeout{20};
constexpr milliseconds kShortTimeout{50};

struct fixture {
  asio::io_context context;
  ebonygrade::clock::system_clock clock;
  std::optional<worker::fleet> fleet;
  std::unique_ptr<http::client> caller;

  fixture() {
    worker::fleet_options options;
    options.count = 2;
    fleet.emplace(context, clock, options);
    REQUIRE(fleet->open().has_value());
    connect(fleet->list().workers(0).address());
  }
  void connect(const std::string& address) {
    caller = std::make_unique<http::client>(context, address,
                                            http::client_options());
  }
  void run_until(const std::function<bool()>& met) {
    while (!met()) {
      context.restart();
      REQUIRE(context.run_one_for(kEventTimeout) > 0);
    }
  }
  http::call_result call(http::verb method, std::string_view target,
                         std::string body = {},
                         milliseconds timeout = milliseconds(20000)) {
    std::optional<http::call_result> result;
    caller->call("call", http::json_request(method, target, std::move(body)),
                 timeout,
                 [&](http::call_result&& r) { result = std::move(r); });
    run_until([&] { return result.has_value(); });
    return std::move(*result);
  }
  http::call_result start(std::string_view id,
                          milliseconds timeout = milliseconds(20000)) {
    return call(http::verb::post, "/v1/start",
                R"({"epoch":"1","tasks":[{"key":{"request_id":")" +
                    std::string(id) + R"("},"lease_ms":60000}]})",
                timeout);
  }
  void inject(standin::worker_fault fault) {
    standin::worker_control control;
    control.set_worker("w0");
    control.set_fault(fault);
    REQUIRE(fleet->inject(control).has_value());
  }
};

}  // namespace

TEST_CASE("a worker starts a task and its event arrives by long poll") {
  fixture f;
  CHECK(f.start("a")->body().find("\"started\"") != std::string::npos);
  http::call_result events =
      f.call(http::verb::get, "/v1/events?after=0&wait_ms=20000");
  wire::events_reply reply;
  REQUIRE(http::from_json(events->body(), &reply).has_value());
  REQUIRE(reply.events_size() == 1);
  CHECK(reply.events(0).key().request_id() == "a");
  CHECK(f.call(http::verb::get, "/v1/events?after=1&wait_ms=1").has_value());
}

TEST_CASE("a silent connection gets no reply, a new one does") {
  fixture f;
  f.start("a");
  f.inject(standin::silent);
  CHECK(f.start("b", kShortTimeout).has_error());
  CHECK(f.start("b").has_value());
  CHECK(f.fleet->ledger().starts() == 2);
}

TEST_CASE("a frozen worker serves deferred requests when the freeze ends") {
  fixture f;
  f.inject(standin::freeze);
  CHECK(f.start("a", kShortTimeout).has_error());
  CHECK(f.fleet->ledger().starts() == 0);
  f.inject(standin::none);
  CHECK(f.fleet->ledger().starts() == 1);
  CHECK(f.start("b").has_value());
}

TEST_CASE("a worker that drops replies still applies requests") {
  fixture f;
  f.inject(standin::drop_answers);
  http::call_result lost = f.start("a");
  REQUIRE(lost.has_error());
  CHECK(lost.error().maybe_sent);
  CHECK(f.fleet->ledger().starts() == 1);
}

TEST_CASE("a killed worker refuses connections until it restarts") {
  fixture f;
  f.start("a");
  f.inject(standin::kill);
  CHECK(f.start("b").has_error());
  f.inject(standin::none);
  CHECK(f.start("b").has_value());
}

TEST_CASE("control and ledger are served, invalid control is rejected") {
  fixture f;
  f.connect("127.0.0.1:" + std::to_string(f.fleet->control_port()));
  CHECK(f.call(http::verb::post, "/v1/control",
               R"({"worker":"w1","fault":"fail_all"})")
            ->result() == http::status::ok);
  CHECK(f.call(http::verb::post, "/v1/control", R"({"worker":"none"})")
            ->result() == http::status::bad_request);
  http::call_result ledger = f.call(http::verb::get, "/v1/ledger");
  CHECK(ledger->body().find("\"double_runs\":\"0\"") != std::string::npos);
}

TEST_CASE("workers register at the platform with racks and zones") {
  fixture f;
  worker::fleet_options options;
  options.count = 20;
  options.zones = {"a", "b"};
  f.fleet.emplace(f.context, f.clock, options);
  REQUIRE(f.fleet->open().has_value());
  standin::platform::service platform(f.context, f.clock, {});
  REQUIRE(platform.listen("127.0.0.1:0").has_value());
  std::string address = "127.0.0.1:" + std::to_string(platform.port());
  bool registered = false;
  f.fleet->register_at(address, [&] { registered = true; });
  f.run_until([&] { return registered; });
  f.connect(address);
  wire::vm_list list;
  http::call_result reply = f.call(http::verb::get, "/v1/list");
  REQUIRE(http::from_json(reply->body(), &list).has_value());
  REQUIRE(list.workers_size() == 20);
  CHECK(f.fleet->list().workers(7).rack() == "a-r0");
  CHECK(f.fleet->list().workers(8).rack() == "b-r1");
}
