#include "poold/store_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

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

}  // namespace

}  // namespace ebonygrade::poold
