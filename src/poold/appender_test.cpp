// Appends to a store that loses replies, is slow, or can't be reached.
#include "poold/appender.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/server.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

constexpr std::chrono::seconds kConditionTimeout{20};
constexpr char kTopic[] = "keyed.journal";
constexpr std::uint64_t kEpoch = 7;

struct fixture {
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store store{context};
  std::unique_ptr<store_client> calls =
      std::make_unique<store_client>(context, store.address(), clock);

  std::shared_ptr<appender> add_appender(std::uint64_t sequence = 0) {
    return std::make_shared<appender>(
        context, *calls, kTopic, platform::producer{"owner", kEpoch, sequence});
  }

  // Writes a record and returns the outcome and the time that it took.
  std::pair<std::optional<write_outcome>, milliseconds> write(
      appender& subject) {
    std::optional<write_outcome> outcome;
    steady_time begun = clock.now();
    subject.write(
        {{"k", "v", 0}}, [] { return true; },
        [&](write_outcome got) { outcome = got; });
    steady_time end = begun + kConditionTimeout;
    while (!outcome && clock.now() < end)
      context.run_one_for(kConditionTimeout);
    return {outcome,
            std::chrono::duration_cast<milliseconds>(clock.now() - begun)};
  }
};

// Guards against a wait for the time limit of the attempt whose reply is lost,
// and against a record that is stored by each attempt.
TEST_CASE("an append whose reply is lost is repeated and stored once") {
  fixture test;
  std::shared_ptr<appender> subject = test.add_appender();
  for (std::size_t written = 1; written <= 3; ++written) {
    test.store.lose_replies(1);
    std::uint64_t before = test.store.appends();
    std::optional<write_outcome> outcome;
    subject->write(
        {{"k", "v", 0}}, [] { return true; },
        [&](write_outcome got) { outcome = got; });
    while (test.store.appends() == before) test.context.run_one();
    test.store.lose_replies(0);
    while (!outcome) test.context.run_one();
    CHECK(outcome == write_outcome::written);
    CHECK(test.store.records(kTopic).size() == written);
    CHECK(subject->repeated_attempts() == written);
  }
}

// Guards against repetitions for each append while the store is slow: the late
// reply to the first one tells how long to wait.
TEST_CASE("appends to a slow store are repeated only at first") {
  fixture test;
  std::shared_ptr<appender> subject = test.add_appender();
  test.store.set_times({milliseconds(100), milliseconds(200)});
  for (int i = 0; i < 4; ++i) {
    CHECK(test.write(*subject).first == write_outcome::written);
  }
  CHECK(subject->repeated_attempts() == 1);
  CHECK(test.store.records(kTopic).size() == 4);
}

TEST_CASE("a fenced append ends although a repetition is on its way") {
  fixture test;
  std::shared_ptr<appender> later =
      std::make_shared<appender>(test.context, *test.calls, kTopic,
                                 platform::producer{"owner", kEpoch + 1, 0});
  CHECK(test.write(*later).first == write_outcome::written);
  std::shared_ptr<appender> subject = test.add_appender();
  test.store.set_times({milliseconds(100), milliseconds(200)});
  CHECK(test.write(*subject).first == write_outcome::fenced);
  CHECK(subject->idle());
  CHECK(test.store.records(kTopic).size() == 1);
}

TEST_CASE("an append that is out of order goes on with the store's number") {
  fixture test;
  std::shared_ptr<appender> first = test.add_appender();
  CHECK(test.write(*first).first == write_outcome::written);
  std::shared_ptr<appender> subject = test.add_appender(5);
  CHECK(test.write(*subject).first == write_outcome::written);
  CHECK(test.store.records(kTopic).size() == 2);
}

// Guards against an append that waits for a store that doesn't reply to this
// daemon, while a relay would reach it.
TEST_CASE("a repetition goes through a relay") {
  fixture test;
  boost::asio::ip::tcp::acceptor silent(
      test.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  store_client relaying(test.context, test.store.address(), test.clock);
  http::server peer(
      test.context, {}, [&](http::request&& request, http::responder answer) {
        std::string target(request.target());
        http::request message{request.method(),
                              target.substr(std::string("/v1/store").size()),
                              http::kHttpVersion11};
        message.body() = request.body();
        message.prepare_payload();
        relaying.relay(std::move(message), nullptr,
                       [answer](http::call_result&& result) {
                         answer(std::move(result.value()));
                       });
      });
  peer.listen("127.0.0.1:0").value();
  test.calls = std::make_unique<store_client>(
      test.context,
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
      test.clock);
  test.calls->set_relays({"127.0.0.1:" + std::to_string(peer.port())});
  std::shared_ptr<appender> subject = test.add_appender();
  CHECK(test.write(*subject).first == write_outcome::written);
  CHECK(subject->repeated_attempts() == 1);
  // The silent route is avoided at first.
  CHECK(test.write(*subject).first == write_outcome::written);
  CHECK(subject->repeated_attempts() == 1);
  CHECK(test.store.records(kTopic).size() == 2);
}

}  // namespace

}  // namespace ebonygrade::poold
