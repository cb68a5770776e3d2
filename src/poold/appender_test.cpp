// Appends to a store that loses replies, is slow, or can't be reached.
#include "poold/appender.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

  // Runs until the store has applied or refused all late appends.
  void finish_late_appends() {
    steady_time end = clock.now() + kConditionTimeout;
    while (store.waiting_late_appends() > 0 && clock.now() < end) {
      context.run_one_for(kConditionTimeout);
    }
    REQUIRE(store.waiting_late_appends() == 0);
  }

  std::vector<std::string> stored_values() {
    std::vector<std::string> values;
    for (const standin::stored_record& each : store.records(kTopic)) {
      values.push_back(each.value);
    }
    return values;
  }

  // Writes a record and returns the outcome and the time that it took.
  std::pair<std::optional<write_outcome>, milliseconds> write(
      appender& subject, const std::string& value = "v") {
    std::optional<write_outcome> outcome;
    steady_time begun = clock.now();
    subject.write(
        {{"k", value, 0}}, [] { return true; },
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

// Guards against attempts of earlier writes that the store applies after later
// ones, and against a record that is stored by each attempt.
TEST_CASE("appends that are applied late are stored once and in order") {
  constexpr std::size_t kWrites = 8;
  for (std::uint32_t seed : {1u, 2u}) {
    fixture test;
    test.store.apply_late({0.5, milliseconds(50), milliseconds(1200)}, seed);
    std::shared_ptr<appender> subject = test.add_appender();
    std::vector<std::string> written;
    for (std::size_t i = 0; i < kWrites; ++i) {
      written.push_back(std::to_string(i));
      CHECK(test.write(*subject, written.back()).first ==
            write_outcome::written);
      CHECK(test.stored_values() == written);
    }
    test.finish_late_appends();
    CAPTURE(seed, test.store.applied_late_appends());
    CHECK(test.store.void_late_appends() > 0);
    CHECK(test.stored_values() == written);
  }
}

// Guards against a write that is told as not written because the store rejects
// the repetitions, while the first attempt is applied later.
TEST_CASE("a write with a late attempt isn't abandoned") {
  fixture test;
  std::shared_ptr<appender> subject = test.add_appender();
  test.store.apply_late({1, milliseconds(900), milliseconds(900)});
  std::optional<write_outcome> outcome;
  subject->write(
      {{"k", "v", 0}}, [] { return false; },
      [&](write_outcome got) { outcome = got; });
  while (test.store.waiting_late_appends() == 0) test.context.run_one();
  test.store.apply_late({});
  test.store.set_unavailable(true);
  test.finish_late_appends();
  CHECK(subject->is_rejected());
  CHECK_FALSE(outcome.has_value());
  CHECK(test.store.records(kTopic).size() == 1);
  test.store.set_unavailable(false);
  while (!outcome) test.context.run_one();
  CHECK(outcome == write_outcome::written);
  CHECK(test.store.records(kTopic).size() == 1);
}

// Guards against records of an owner that stand after the claim of a later one.
TEST_CASE("late attempts of a fenced writer store nothing") {
  fixture test;
  std::shared_ptr<appender> subject = test.add_appender();
  CHECK(test.write(*subject, "former").first == write_outcome::written);
  test.store.apply_late({1, milliseconds(800), milliseconds(1500)});
  std::optional<write_outcome> outcome;
  subject->write(
      {{"k", "late", 0}}, [] { return true; },
      [&](write_outcome got) { outcome = got; });
  while (test.store.waiting_late_appends() < 2) test.context.run_one();
  test.store.apply_late({});
  std::shared_ptr<appender> later =
      std::make_shared<appender>(test.context, *test.calls, kTopic,
                                 platform::producer{"owner", kEpoch + 1, 0});
  CHECK(test.write(*later, "claim").first == write_outcome::written);
  while (!outcome) test.context.run_one();
  CHECK(outcome == write_outcome::fenced);
  CHECK(test.write(*later, "after").first == write_outcome::written);
  test.finish_late_appends();
  CHECK(test.store.void_late_appends() >= 2);
  CHECK(test.stored_values() ==
        std::vector<std::string>{"former", "claim", "after"});
}

}  // namespace

}  // namespace ebonygrade::poold
