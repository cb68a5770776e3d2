#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "testsuite/cell/slow_link.h"

namespace asio = boost::asio;
namespace error = ebonygrade::error;
namespace http = ebonygrade::http;
using ebonygrade::http::milliseconds;

namespace {

constexpr std::chrono::seconds kTestTimeout{20};
constexpr milliseconds kShortTimeout{30};
constexpr milliseconds kLongTimeout{20000};
constexpr milliseconds kStallTimeout{800};
// Takes 0.9 s over a slow link.
constexpr std::size_t kLargeBytes =
    45 * ebonygrade::testsuite::slow_link::kPieceBytes;

struct fixture {
  asio::io_context context;
  std::vector<http::responder> responders;
  std::vector<std::string> bodies;
  std::vector<http::call_result> results;
  bool reply_later = false;
  std::optional<http::server> server;
  std::optional<http::client> client;
  std::optional<ebonygrade::testsuite::slow_link> link;

  explicit fixture(http::client_options options = {},
                   const http::server_options& server_options = {}) {
    server.emplace(
        context, server_options,
        [this](http::request&& request, http::responder respond) {
          bodies.push_back(request.body());
          if (reply_later) return responders.push_back(respond);
          respond(http::json_response(http::status::ok, request.body()));
        });
    REQUIRE(server->listen("127.0.0.1:0").has_value());
    client.emplace(context, address(), options);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(server->port());
  }
  void call(std::string body, milliseconds timeout = kLongTimeout) {
    client->call(
        "echo",
        http::json_request(http::verb::post, "/v1/echo", std::move(body)),
        timeout, [this](http::call_result&& result) {
          results.push_back(std::move(result));
        });
  }
  // Calls over a slow link with a stall timeout.
  void call_slowly(milliseconds timeout, std::function<bool()> on_progress) {
    link.emplace(context, server->port());
    client.emplace(context, link->address(), http::client_options());
    client->call("echo",
                 http::json_request(http::verb::post, "/v1/echo",
                                    std::string(kLargeBytes, 'x')),
                 {timeout, kStallTimeout, std::move(on_progress)},
                 [this](http::call_result&& result) {
                   results.push_back(std::move(result));
                 });
  }
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      context.restart();
      REQUIRE(context.run_one_for(kTestTimeout) > 0);
    }
  }
  void run_until_results(std::size_t count) {
    run_until([&] { return results.size() >= count; });
  }
};

}  // namespace

TEST_CASE("calls on one connection are answered in order") {
  fixture f;
  for (const char* body : {"a", "b", "c"}) f.call(body);
  f.run_until_results(3);
  CHECK(f.results[0].value().body() == "a");
  CHECK(f.results[2].value().body() == "c");
  CHECK(f.client->traffic().calls == 3);
  CHECK(f.client->traffic().connects == 1);
  CHECK(f.client->traffic().bytes_sent > 0);
}

TEST_CASE("several connections carry calls at the same time") {
  http::client_options options;
  options.connections = 2;
  fixture f(options);
  f.reply_later = true;
  for (const char* body : {"a", "b", "c"}) f.call(body);
  f.run_until([&] { return f.responders.size() == 2; });
  CHECK(f.client->queued() == 1);
  f.responders[1](http::json_response(http::status::ok, "second"));
  f.run_until([&] { return f.responders.size() == 3; });
  CHECK(f.bodies[2] == "c");
}

TEST_CASE("an unresponsive connection is replaced after the call timeout") {
  fixture f;
  f.reply_later = true;
  f.call("lost", kShortTimeout);
  f.run_until_results(1);
  REQUIRE(f.results[0].has_error());
  CHECK(f.results[0].error().cause.code == error::code::timeout);
  CHECK(f.results[0].error().cause.step == "echo");
  CHECK(f.results[0].error().cause.peer == f.address());
  CHECK(f.results[0].error().maybe_sent);
  f.reply_later = false;
  f.call("next");
  f.run_until_results(2);
  CHECK(f.results[1].value().body() == "next");
  CHECK(f.client->traffic().connects == 2);
}

TEST_CASE("a reply that makes progress outlasts the stall timeout") {
  fixture f;
  f.call_slowly(kLongTimeout, nullptr);
  f.run_until_results(1);
  CHECK(f.results[0].value().body().size() == kLargeBytes);
}

TEST_CASE("a call with a stall timeout fails") {
  fixture f;
  error::code code = error::code::timeout;
  SECTION("without a reply") {
    f.reply_later = true;
    f.call_slowly(std::chrono::hours(1), nullptr);
  }
  SECTION("when its reply stalls") {
    f.call_slowly(std::chrono::hours(1), [&] {
      f.link->stall();
      return true;
    });
  }
  SECTION("at its timeout in spite of progress") {
    f.call_slowly(kStallTimeout / 4, nullptr);
  }
  SECTION("when its reply isn't wanted any more") {
    f.call_slowly(kLongTimeout, [] { return false; });
    code = error::code::unavailable;
  }
  f.run_until_results(1);
  REQUIRE(f.results[0].has_error());
  CHECK(f.results[0].error().cause.code == code);
}

TEST_CASE("interim replies are progress and not the reply") {
  fixture f;
  f.reply_later = true;
  int progress = 0;
  f.call_slowly(kLongTimeout, [&] { return ++progress > 0; });
  f.run_until([&] { return !f.responders.empty(); });
  f.responders[0].send_processing();
  f.run_until([&] { return progress == 1; });
  // The reply waits until the interim reply has been sent.
  f.responders[0].send_processing();
  f.responders[0](http::json_response(http::status::ok, "body"));
  f.run_until_results(1);
  CHECK(f.results[0].value().body() == "body");
}

TEST_CASE("a call that could not connect is reported as not sent") {
  fixture f;
  f.server->close();
  f.call("x");
  f.run_until_results(1);
  REQUIRE(f.results[0].has_error());
  CHECK(f.results[0].error().cause.code == error::code::unavailable);
  CHECK_FALSE(f.results[0].error().maybe_sent);
}

TEST_CASE("a call whose connection was lost is reported as maybe sent") {
  fixture f;
  f.reply_later = true;
  f.call("x");
  f.run_until([&] { return !f.responders.empty(); });
  f.server->close();
  f.run_until_results(1);
  REQUIRE(f.results[0].has_error());
  CHECK(f.results[0].error().cause.code == error::code::connection_lost);
  CHECK(f.results[0].error().maybe_sent);
}

TEST_CASE("a connection closed by the peer while idle fails no call") {
  http::server_options server_options;
  server_options.idle_timeout = milliseconds(5);
  fixture f({}, server_options);
  f.call("one");
  f.run_until_results(1);
  f.run_until([&] { return f.server->connection_count() == 0; });
  f.context.restart();
  f.context.poll();
  f.call("two");
  f.run_until_results(2);
  CHECK(f.results[1].has_value());
}

TEST_CASE("a call that times out in the queue is reported as not sent") {
  fixture f;
  f.reply_later = true;
  f.call("first");
  f.call("second", kShortTimeout);
  f.run_until_results(1);
  REQUIRE(f.results[0].has_error());
  CHECK(f.results[0].error().cause.code == error::code::timeout);
  CHECK_FALSE(f.results[0].error().maybe_sent);
}

TEST_CASE("a call fails at once if the queue is full") {
  http::client_options options;
  options.max_queued = 1;
  fixture f(options);
  f.reply_later = true;
  for (const char* body : {"a", "b", "c"}) f.call(body);
  f.run_until_results(1);
  CHECK(f.results[0].error().cause.code == error::code::unavailable);
}

TEST_CASE("a reply beyond the size limit is a bad reply") {
  http::client_options options;
  options.max_body_bytes = 100;
  fixture f(options);
  f.call(std::string(101, 'x'));
  f.run_until_results(1);
  CHECK(f.results[0].error().cause.code == error::code::bad_reply);
}

TEST_CASE("closing fails open calls, destroying drops them") {
  fixture f;
  f.reply_later = true;
  f.call("a");
  f.call("b");
  f.run_until([&] { return f.responders.size() == 1; });
  SECTION("close") {
    f.client->close();
    f.run_until_results(2);
    CHECK(f.results[0].error().maybe_sent);
    CHECK_FALSE(f.results[1].error().maybe_sent);
  }
  SECTION("destroy") {
    f.client.reset();
    f.context.restart();
    f.context.poll();
    CHECK(f.results.empty());
  }
}

// Destroying a closed client used to drop the handlers of its queued calls, so
// that callers whose forwarded query was queued for a replaced link got 500.
TEST_CASE("a client that is closed and destroyed fails every open call") {
  fixture f;
  f.reply_later = true;
  f.call("sent");
  f.call("waits");
  f.run_until([&] { return !f.responders.empty(); });
  f.client->close();
  f.client.reset();
  f.run_until_results(2);
  CHECK(f.results[0].error().maybe_sent);
  CHECK_FALSE(f.results[1].error().maybe_sent);
}

TEST_CASE("the handler of a refused call is not called after destruction") {
  fixture f;
  f.client->close();
  f.call("x");
  f.client.reset();
  f.context.restart();
  f.context.poll();
  CHECK(f.results.empty());
}

TEST_CASE("a client may be destroyed in its own handler") {
  fixture f;
  bool called = false;
  f.client->call("echo", http::json_request(http::verb::get, "/"),
                 [&](http::call_result&&) {
                   called = true;
                   f.client.reset();
                 });
  f.run_until([&] { return called; });
  CHECK_FALSE(f.client.has_value());
}

TEST_CASE("a malformed address fails every call") {
  fixture f;
  f.client.emplace(f.context, "nowhere", http::client_options());
  f.call("x");
  f.run_until_results(1);
  CHECK(f.results[0].error().cause.code == error::code::invalid_argument);
}

TEST_CASE("a status other than 2xx is converted to a failure") {
  error::failure throttled = http::status_failure(
      http::error_response(http::status::too_many_requests, "rate"), "append",
      "p");
  CHECK(throttled.code == error::code::unavailable);
  error::failure rejected = http::status_failure(
      http::error_response(http::status::bad_request, "empty", "id"), "start",
      "p");
  CHECK(error::to_string(rejected) ==
        "start: p: rejected: status 400: id: empty");
}
