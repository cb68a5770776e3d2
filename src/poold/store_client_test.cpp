#include "poold/store_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "poold/test_gateway.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kWait{10};

struct fixture {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store platform{context};
  store_client calls{context, platform.address(), clock};

  // Returns whether one read got a reply from the store.
  bool read() {
    bool done = false;
    bool answered = false;
    calls.read("keyed.op", 0, kWait, 0,
               [&](error::result<platform::read_reply> reply, steady_time) {
                 done = true;
                 answered = reply.has_value();
               });
    while (!done) context.run_one();
    return answered;
  }
};

// Accepts connections and never replies.
struct unresponsive_peer {
  explicit unresponsive_peer(boost::asio::io_context& context)
      : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  boost::asio::ip::tcp::acceptor acceptor;
};

// Guards against slow recovery from an outage: the manifest was 3 s late, as
// reads went through one relay after another that had died.
TEST_CASE("unresponsive relays don't keep a daemon from the store") {
  fixture test;
  unresponsive_peer first(test.context);
  unresponsive_peer second(test.context);
  test.platform.set_unavailable(true);
  for (int i = 0; i < 3; ++i) CHECK_FALSE(test.read());
  test.calls.set_relays({first.address(), second.address()});
  test.platform.set_unavailable(false);
  // Each of the relays would keep a read from the store until its time limit.
  CHECK(test.read());
  CHECK(test.read());
}

TEST_CASE("a daemon whose calls the store rejects reads through a relay") {
  fixture test;
  // Relays reads as a daemon does.
  store_client relaying(test.context, test.platform.address(), test.clock);
  standin::keyed_store unreachable(test.context);
  unreachable.set_unavailable(true);
  store_client rejected(test.context, unreachable.address(), test.clock);
  http::server peer(
      test.context, {}, [&](http::request&& request, http::responder answer) {
        std::string target(request.target());
        http::request message{request.method(),
                              target.substr(std::string("/v1/store").size()),
                              http::kHttpVersion11};
        relaying.relay(std::move(message), nullptr,
                       [answer](http::call_result&& result) {
                         answer(std::move(result.value()));
                       });
      });
  peer.listen("127.0.0.1:0").value();
  rejected.set_relays({"127.0.0.1:" + std::to_string(peer.port())});
  int answered = 0;
  for (int i = 0; i < 3; ++i) {
    bool done = false;
    rejected.read("keyed.op", 0, kWait, 0,
                  [&](error::result<platform::read_reply> reply, steady_time) {
                    done = true;
                    answered += reply.has_value() ? 1 : 0;
                  });
    while (!done) test.context.run_one();
  }
  // The first read fails and marks the direct route as failed.
  CHECK(answered == 2);
}

// A client with a direct route that is silent, and two relays.
struct routes_fixture {
  // After this time, a read is late on its first route.
  static constexpr milliseconds kLate{315};
  // A route is avoided for this long after one failure.
  static constexpr milliseconds kAvoided{1000};

  boost::asio::io_context context{1};
  clock::manual_clock clock;
  standin::keyed_store platform{context};
  store_gateway direct{context, platform.address()};
  store_gateway first{context, platform.address()};
  store_gateway second{context, platform.address()};
  store_client calls{context, direct.address(), clock};
  std::optional<bool> answered;  // Of the last read.

  routes_fixture() {
    calls.set_relays({first.address(), second.address()});
    direct.state = service::is_silent;
  }
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) context.run_one();
  }
  void begin_read() {
    answered.reset();
    calls.read("keyed.op", 0, kWait, 0,
               [this](error::result<platform::read_reply> reply, steady_time) {
                 answered = reply.has_value();
               });
  }
  void finish_read() {
    run_until([this] { return answered.has_value(); });
  }
  // The read is late on the direct route, and is sent over the first relay.
  void repeat_over_first() {
    begin_read();
    run_until([this] { return direct.calls() == 1; });
    clock.advance(kLate);
    run_until([this] { return first.calls() == 1; });
  }
  // The direct route rejects its attempt, and all further calls.
  void reject_direct() {
    direct.state = service::rejects;
    direct.reject_unanswered();
  }
  // Whether the first relay, now the only one, gets a read.
  bool uses_first() {
    calls.set_relays({first.address()});
    first.state = service::serves;
    std::size_t before = first.calls();
    begin_read();
    finish_read();
    return first.calls() > before;
  }
};

// Guards against the loss of a good route: a read that was repeated at once
// after a rejection took the route that it had just tried as silent.
TEST_CASE("a route that isn't late is used after another's rejection") {
  routes_fixture test;
  test.first.state = service::is_silent;
  test.repeat_over_first();
  test.clock.advance(milliseconds(100));
  test.reject_direct();
  test.finish_read();
  REQUIRE(test.second.calls() == 1);
  CHECK(test.uses_first());
}

// Guards against a rejection that counts twice.
TEST_CASE("a route that rejects a repeated read is avoided as after one") {
  routes_fixture test;
  test.first.state = service::rejects;
  test.repeat_over_first();
  test.finish_read();
  REQUIRE(test.second.calls() == 1);
  test.reject_direct();
  test.clock.advance(kWait);
  test.begin_read();
  test.finish_read();
  test.clock.advance(routes_fixture::kAvoided);
  CHECK(test.uses_first());
}

// Guards against a silent route that stays in use as another one rejected.
TEST_CASE("a route that is late after another's rejection is avoided") {
  routes_fixture test;
  test.first.state = service::is_silent;
  test.second.state = service::is_silent;
  test.repeat_over_first();
  test.clock.advance(milliseconds(100));
  test.reject_direct();
  test.run_until([&] { return test.second.calls() == 1; });
  // The delay has doubled.
  test.clock.advance(2 * routes_fixture::kLate);
  test.run_until([&] { return test.direct.calls() == 2; });
  CHECK_FALSE(test.uses_first());
}

}  // namespace

}  // namespace ebonygrade::poold
