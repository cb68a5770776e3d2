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

  // Whether one read is answered by the store.
  bool read() {
    bool done = false;
    bool answered = false;
    calls.read("keyed.op", 0, kWait,
               [&](error::result<platform::read_reply> reply) {
                 done = true;
                 answered = reply.has_value();
               });
    while (!done) context.run_one();
    return answered;
  }
};

// Takes connections and never answers.
struct silent_peer {
  explicit silent_peer(boost::asio::io_context& context)
      : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  boost::asio::ip::tcp::acceptor acceptor;
};

// Found by zora-alerts, a drawn day (fresh-b0e4): after an outage the manifest
// came 3 s late, as one daemon after the other that had died was asked to pass
// reads on.
TEST_CASE("relays that don't answer don't keep a daemon from the store") {
  fixture f;
  silent_peer first(f.context);
  silent_peer second(f.context);
  f.platform.refuse(true);
  for (int i = 0; i < 3; ++i) CHECK_FALSE(f.read());
  f.calls.set_relays({first.address(), second.address()});
  f.platform.refuse(false);
  CHECK_FALSE(f.read());
  CHECK(f.read());
}

TEST_CASE("a daemon that the store turns away reads through another") {
  fixture f;
  // Passes reads on, as a daemon does.
  store_client other(f.context, f.platform.address(), f.clock);
  standin::keyed_store unreachable(f.context);
  unreachable.refuse(true);
  store_client turned_away(f.context, unreachable.address(), f.clock);
  http::server peer(
      f.context, {}, [&](http::request&& request, http::responder answer) {
        std::string target(request.target());
        http::request message{request.method(),
                              target.substr(std::string("/v1/store").size()),
                              http::kHttpVersion11};
        other.relay(std::move(message), [answer](http::call_result&& result) {
          answer(std::move(result.value()));
        });
      });
  peer.listen("127.0.0.1:0").value();
  turned_away.set_relays({"127.0.0.1:" + std::to_string(peer.port())});
  int answered = 0;
  for (int i = 0; i < 3; ++i) {
    bool done = false;
    turned_away.read("keyed.op", 0, kWait,
                     [&](error::result<platform::read_reply> reply) {
                       done = true;
                       answered += reply.has_value() ? 1 : 0;
                     });
    while (!done) f.context.run_one();
  }
  // The first one found out.
  CHECK(answered == 2);
}

}  // namespace

}  // namespace ebonygrade::poold
