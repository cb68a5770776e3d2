#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "poold/node.h"
#include "poold/topic_follower.h"
#include "standin/pool/keyed_store.h"
#include "testsuite/cell/ports.h"
#include "testsuite/cell/slow_link.h"

namespace ebonygrade::poold {

namespace {

constexpr std::chrono::seconds kConditionTimeout{20};
constexpr char kTopic[] = "keyed.large";
constexpr milliseconds kWait{500};
// Takes 2 s over the slow link. A read without a reply fails after 1.2 s.
constexpr std::size_t kRecordBytes = 100 * testsuite::slow_link::kPieceBytes;

struct fixture {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store platform{context};
  testsuite::slow_link link{context, platform.port()};
  std::string received;

  bool run_until(const std::function<bool()>& condition) {
    clock::steady_time end = clock.now() + kConditionTimeout;
    while (!condition() && clock.now() < end) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

  // Follows the topic while a large record is appended to it, until the record
  // arrives or is read a second time.
  void follow_large_record(store_client* store) {
    follower_options options;
    options.topic = kTopic;
    options.max_wait = kWait;
    std::shared_ptr<topic_follower> follower = std::make_shared<topic_follower>(
        context, *store, clock, options,
        topic_follower::handlers{[](const std::vector<jobs::record>&) {},
                                 [&](const std::vector<jobs::record>& records) {
                                   for (const jobs::record& each : records) {
                                     received = each.value;
                                   }
                                 }});
    follower->start();
    REQUIRE(run_until([&] { return follower->loaded(); }));
    platform.put(kTopic, "key", std::string(kRecordBytes, 'x'));
    run_until([&] {
      return !received.empty() || platform.reads_with_records(kTopic) > 1;
    });
    follower->stop();
  }
};

// Guards against a full link: every daemon of a region broke off the read of a
// large manifest at the time limit and began it again, without end.
TEST_CASE("a record that outlasts the time limit of a read is read only once") {
  fixture test;
  store_client store(test.context, test.link.address(), test.clock);
  test.follow_large_record(&store);
  CHECK(test.received.size() == kRecordBytes);
  CHECK(test.platform.reads_with_records(kTopic) == 1);
}

TEST_CASE("a large record that arrives through a relay is read only once") {
  fixture test;
  node_settings settings;
  settings.id = "relay";
  std::vector<std::uint16_t> ports = testsuite::free_ports(3);
  settings.client_address = "127.0.0.1:" + std::to_string(ports[0]);
  settings.ready_address = "127.0.0.1:" + std::to_string(ports[1]);
  settings.peer_address = "127.0.0.1:" + std::to_string(ports[2]);
  settings.store_address = test.link.address();
  node relay(test.context, test.clock, settings);
  REQUIRE(relay.start().has_value());
  standin::keyed_store rejecting(test.context);
  rejecting.set_unavailable(true);
  store_client store(test.context, rejecting.address(), test.clock);
  store.set_relays({settings.peer_address});
  test.follow_large_record(&store);
  CHECK(test.received.size() == kRecordBytes);
  CHECK(test.platform.reads_with_records(kTopic) == 1);
}

}  // namespace

}  // namespace ebonygrade::poold
