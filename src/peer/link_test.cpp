#include "peer/link.h"

#include <catch2/catch.hpp>
#include <functional>
#include <utility>

#include "peer/forwarder_test.h"

namespace peer = ebonygrade::peer;
namespace wire = ebonygrade::wire;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::system_clock;

namespace {

constexpr std::chrono::seconds kWaitTimeout{20};

// Runs the context until `condition` is true. Returns false on timeout.
bool run_until(boost::asio::io_context& context,
               const std::function<bool()>& condition) {
  std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    context.restart();
    context.run_one_for(milliseconds(5));
  }
  return true;
}

// A link with its reports.
struct node {
  node(boost::asio::io_context& context, const std::string& id,
       std::size_t ring_size = 100000)
      : reports(context, ring_size),
        link(context, clock, options(id), reports) {
    reports.on_receive(
        [this](peer::report&& each) { record(std::move(each)); });
  }

  static peer::link_options options(const std::string& id) {
    peer::link_options value;
    value.self = id;
    value.incarnation = 1;
    value.listen_address = "127.0.0.1:0";
    value.zone = id;
    value.region = "sofia";
    value.silence_limit = milliseconds(200);
    value.max_reconnect_pause = milliseconds(800);
    value.send_queue = 100;
    return value;
  }

  void record(peer::report&& each) {
    if (peer::received* message = std::get_if<peer::received>(&each)) {
      messages.push_back(std::move(message->message));
    } else if (std::holds_alternative<peer::undeliverable>(each)) {
      ++undeliverable;
    } else if (std::holds_alternative<peer::reconnected>(each)) {
      ++reconnected;
    } else {
      traffic.push_back(std::get<peer::traffic>(each));
    }
  }

  void set_peer(const std::string& id, const std::string& address) {
    link.handle(peer::set_peers{{{id, address, id, "sofia"}}});
  }

  void query(const std::string& to, std::uint64_t token,
             std::size_t padding = 0) {
    wire::envelope message;
    message.mutable_query()->set_token(token);
    message.mutable_query()->set_request_id(std::string(padding, 'x'));
    link.handle(peer::send{to, std::move(message)});
  }

  void heartbeat(const std::string& to) {
    wire::envelope message;
    message.mutable_heartbeat()->set_sequence(++sequence);
    link.handle(peer::send{to, std::move(message)});
  }

  system_clock clock;
  ebonygrade::ring::channel<peer::report> reports;
  peer::link link;
  std::vector<wire::envelope> messages;
  std::vector<peer::traffic> traffic;
  int undeliverable = 0;
  int reconnected = 0;
  std::uint64_t sequence = 0;
};

// Sends queries until one arrives, because connecting takes some time.
void wait_connected(boost::asio::io_context& context, node& from, node& to,
                    const std::string& id) {
  std::size_t count_before = to.messages.size();
  REQUIRE(run_until(context, [&] {
    from.query(id, 0);
    return to.messages.size() > count_before;
  }));
}

}  // namespace

TEST_CASE("messages arrive in order and name their sender") {
  boost::asio::io_context context;
  node a(context, "a");
  node b(context, "b");
  a.set_peer("b", b.link.bound_address());
  wait_connected(context, a, b, "b");
  std::uint64_t next = 1;
  // Each round is smaller than the send queue, so that no message is dropped.
  for (int round = 0; round < 200; ++round) {
    std::size_t count_before = b.messages.size();
    for (int i = 0; i < 50; ++i) a.query("b", next++);
    REQUIRE(run_until(context, [&] {
      return !b.messages.empty() &&
             b.messages.back().query().token() == next - 1 &&
             b.messages.size() >= count_before + 50;
    }));
  }
  std::uint64_t expected = 0;
  for (const wire::envelope& each : b.messages) {
    CHECK(each.from() == "a");
    CHECK(each.incarnation() == 1);
    if (each.query().token() == 0) continue;
    CHECK(each.query().token() == ++expected);
  }
  CHECK(expected == next - 1);
}

TEST_CASE("a message to an unknown peer is undeliverable") {
  boost::asio::io_context context;
  node a(context, "a");
  a.query("nobody", 1);
  CHECK(run_until(context, [&] { return a.undeliverable == 1; }));
}

TEST_CASE("a message to a peer that isn't running is undeliverable") {
  boost::asio::io_context context;
  node a(context, "a");
  std::string address;
  {
    node stopped(context, "b");
    address = stopped.link.bound_address();
  }
  a.set_peer("b", address);
  a.query("b", 1);
  REQUIRE(run_until(context, [&] { return a.undeliverable == 1; }));
}

TEST_CASE("an unresponsive connection is replaced and the new one works") {
  boost::asio::io_context context;
  node a(context, "a");
  node b(context, "b");
  peer::forwarder between(context, b.link.bound_address());
  a.set_peer("b", between.address());
  wait_connected(context, a, b, "b");
  between.stall_open_connections();
  REQUIRE(run_until(context, [&] {
    a.heartbeat("b");
    return a.reconnected >= 1;
  }));
  b.messages.clear();
  wait_connected(context, a, b, "b");
  between.close();
}

TEST_CASE("a connection with replies to its heartbeats isn't replaced") {
  boost::asio::io_context context;
  node a(context, "a");
  node b(context, "b");
  a.set_peer("b", b.link.bound_address());
  wait_connected(context, a, b, "b");
  std::size_t received = 0;
  REQUIRE(run_until(context, [&] {
    if (b.messages.size() > received || a.sequence == 0) {
      received = b.messages.size();
      a.heartbeat("b");
    }
    return a.sequence >= 2000;
  }));
  CHECK(a.reconnected == 0);
  CHECK(a.messages.empty());  // Replies are not reported.
}

TEST_CASE(
    "the unacknowledged bytes to a receiver that reads nothing are limited") {
  boost::asio::io_context context;
  boost::asio::io_context stalled;  // Runs only until connected.
  node a(context, "a");
  node b(stalled, "b");
  a.set_peer("b", b.link.bound_address());
  REQUIRE(run_until(context, [&] {
    a.query("b", 0);
    stalled.restart();
    stalled.poll();
    return !b.messages.empty();
  }));
  int sent = 0;
  a.undeliverable = 0;
  REQUIRE(run_until(context, [&] {
    a.query("b", 1, 100000);
    ++sent;
    return a.undeliverable > 100;
  }));
  std::uint64_t accepted = sent - a.undeliverable;
  CHECK(accepted * 100000 <= peer::link_options().window_bytes + 100000);
}

TEST_CASE("the link's own probes detect an unresponsive connection") {
  boost::asio::io_context context;
  node a(context, "a");
  node b(context, "b");
  peer::forwarder between(context, b.link.bound_address());
  a.set_peer("b", between.address());
  wait_connected(context, a, b, "b");
  between.stall_open_connections();
  REQUIRE(run_until(context, [&] {
    a.query("b", 1);
    return a.reconnected >= 1;
  }));
  between.close();
}

TEST_CASE("messages to an invalid address are undeliverable") {
  boost::asio::io_context context;
  node a(context, "a");
  a.set_peer("b", "no address");
  a.query("b", 1);
  CHECK(run_until(context, [&] { return a.undeliverable == 1; }));
}

TEST_CASE("binding an address in use throws") {
  boost::asio::io_context context;
  node a(context, "a");
  peer::link_options options = node::options("b");
  options.listen_address = a.link.bound_address();
  ebonygrade::ring::channel<peer::report> reports(context, 10);
  CHECK_THROWS_AS(peer::link(context, a.clock, options, reports),
                  std::system_error);
}

TEST_CASE("traffic is counted by kind and distance") {
  boost::asio::io_context context;
  node a(context, "a");
  node b(context, "b");
  a.set_peer("b", b.link.bound_address());
  wait_connected(context, a, b, "b");
  REQUIRE(run_until(context, [&] { return !a.traffic.empty(); }));
  CHECK(a.traffic.front().kind == "query");
  CHECK(a.traffic.front().link == "region");
  CHECK(a.traffic.front().sent_bytes > 0);
  REQUIRE(run_until(context, [&] { return !b.traffic.empty(); }));
  CHECK(b.traffic.front().link == "unknown");
  CHECK(b.traffic.front().received_bytes > 0);
}
