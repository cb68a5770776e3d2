#include "poold/topic_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "poold/test_gateway.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

constexpr char kFirstPage[] =
    R"({"items":[{"key":"a","value":"eA==","offset":0}],"more":true,"end":2})";
constexpr char kLastPage[] =
    R"({"items":[{"key":"b","value":"eA==","offset":1}],"more":false,"end":2})";

// A topic of two pages whose later reads get no reply. Each page takes a second
// of the test's clock.
struct fixture {
  boost::asio::io_context context{1};
  clock::manual_clock clock;
  std::vector<http::responder> open_reads;
  http::server platform{
      context, {}, [this](http::request&& request, http::responder answer) {
        std::string target(request.target());
        if (target.find("log-newest") == std::string::npos) {
          return open_reads.push_back(std::move(answer));
        }
        clock.advance(std::chrono::seconds(1));
        bool first = target.find("dependsOn") == std::string::npos;
        answer(http::json_response(http::status::ok,
                                   first ? kFirstPage : kLastPage));
      }};
  std::unique_ptr<store_client> calls;
  std::shared_ptr<topic_follower> follower;

  fixture() {
    platform.listen("127.0.0.1:0").value();
    calls = std::make_unique<store_client>(
        context, "127.0.0.1:" + std::to_string(platform.port()), clock);
    topic_follower::handlers ignored{[](const std::vector<jobs::record>&) {},
                                     [](const std::vector<jobs::record>&) {}};
    follower = std::make_shared<topic_follower>(
        context, *calls, clock, follower_options{"keyed.journal"}, ignored);
    follower->start();
    while (!follower->loaded()) context.run_one();
  }
  ~fixture() { follower->stop(); }
};

// Guards against a copy that counts as more recent than it is: a record of the
// first page may change while the last page loads.
TEST_CASE("a copy that was loaded in pages is as old as its first page") {
  fixture test;
  CHECK(test.clock.now() - test.follower->current_as_of() ==
        std::chrono::seconds(2));
}

TEST_CASE("an append at the end of a copy makes it recent") {
  fixture test;
  steady_time sent = test.clock.now();
  REQUIRE(test.follower->next() == 2);
  test.follower->skip(2, 3, sent);
  CHECK(test.follower->next() == 3);
  CHECK(test.follower->current_as_of() == sent);
}

TEST_CASE("an append after unread records leaves a copy as old as it was") {
  fixture test;
  steady_time before = test.follower->current_as_of();
  REQUIRE(test.follower->next() == 2);
  test.follower->skip(3, 4, test.clock.now());
  CHECK(test.follower->next() == 2);
  CHECK(test.follower->current_as_of() == before);
}

// Appends the number as 8 bytes, or as 4 for the length of a record.
void append_number(std::uint64_t number, int bytes, std::string* out) {
  for (int i = bytes; i-- > 0;) {
    out->push_back(static_cast<char>(number >> (8 * i)));
  }
}

// Guards against an owner that never counts as current: while the topic grows,
// a follower that catches up may not reach its newest end for long.
TEST_CASE("a copy that catches up is as old as the last end it has reached") {
  fixture test;
  const std::string record = std::string("\x01", 1) + "ax";
  // Replies to the open read with one record and this end of the topic.
  auto reply = [&](std::uint64_t end) {
    while (test.open_reads.empty()) test.context.run_one();
    std::string body;
    append_number(end, 8, &body);
    append_number(0, 8, &body);
    append_number(record.size(), 4, &body);
    http::responder answer = std::move(test.open_reads.back());
    test.open_reads.clear();
    answer(http::text_response(http::status::ok, "application/octet-stream",
                               body + record));
    std::uint64_t next = test.follower->next() + 1;
    while (test.follower->next() < next) test.context.run_one();
  };
  steady_time loaded = test.follower->current_as_of();
  steady_time first_read = test.clock.now();
  test.clock.advance(std::chrono::seconds(1));
  reply(4);
  CHECK(test.follower->current_as_of() == loaded);
  test.clock.advance(std::chrono::seconds(1));
  reply(9);
  REQUIRE(test.follower->next() == 4);
  CHECK(test.follower->current_as_of() == first_read);
}

// A follower whose ways to the store can be made silent one by one.
struct routed_follower {
  static constexpr std::size_t kRelays = 3;
  boost::asio::io_context context{1};
  clock::system_clock clock;
  standin::keyed_store platform{context};
  std::vector<std::unique_ptr<store_gateway>> ways;  // The direct one first.
  std::unique_ptr<store_client> calls;
  std::shared_ptr<topic_follower> follower;
  std::string last;  // Value of the last record.

  routed_follower() {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i <= kRelays; ++i) {
      ways.push_back(
          std::make_unique<store_gateway>(context, platform.address()));
      addresses.push_back(ways.back()->address());
    }
    calls = std::make_unique<store_client>(context, addresses.front(), clock);
    addresses.erase(addresses.begin());
    calls->set_relays(addresses);
    follower = std::make_shared<topic_follower>(
        context, *calls, clock, follower_options{"keyed.op"},
        topic_follower::handlers{
            [](const std::vector<jobs::record>&) {},
            [this](const std::vector<jobs::record>& records) {
              for (const jobs::record& each : records) last = each.value;
            }});
    follower->start();
    while (!follower->loaded()) context.run_one();
  }
  ~routed_follower() { follower->stop(); }

  // Time until a record that is written now is read, or the limit.
  milliseconds delay(const std::string& value, milliseconds limit) {
    steady_time begun = clock.now();
    steady_time end = begun + limit;
    platform.put("keyed.op", "config", value);
    while (last != value && clock.now() < end) {
      context.run_one_for(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(clock.now() - begun);
  }
};

// The users' shortest limit for a new manifest to apply.
constexpr milliseconds kManifestLimit{2500};

// Guards against old manifests and lost cancellations: the wait for a reply
// grew with each read that got none, and a daemon saw nothing of the store for
// 8 s.
TEST_CASE("a daemon reads on while several ways to the store are silent") {
  std::size_t silent = GENERATE(1, 2, 3);
  CAPTURE(silent);
  routed_follower test;
  REQUIRE(test.delay("before", kManifestLimit) < kManifestLimit);
  for (std::size_t i = 0; i < silent; ++i) {
    test.ways[i]->state = service::is_silent;
  }
  // Each long poll may meet the silence anew.
  for (const char* value : {"first", "second", "third"}) {
    CAPTURE(value);
    CHECK(test.delay(value, 2 * kManifestLimit) < kManifestLimit);
  }
}

// A topic whose replies show its state at some time after the read was sent,
// and arrive later. Its records tell their offsets.
struct delayed_topic {
  static constexpr std::size_t kRecordsPerRead = 3;
  std::mt19937 random;
  boost::asio::io_context context{1};
  clock::manual_clock clock;
  std::vector<steady_time> written;  // By offset.
  std::uint64_t first = 0;           // Earlier records have been deleted.
  std::optional<std::pair<std::uint64_t, http::responder>> open_read;
  http::server platform{
      context, {}, [this](http::request&& request, http::responder answer) {
        std::string target(request.target());
        if (target.find("log-newest") != std::string::npos) {
          return answer(http::json_response(http::status::ok, newest(target)));
        }
        std::size_t from = target.find("from=") + 5;
        open_read = {std::stoull(target.substr(from)), std::move(answer)};
      }};
  std::unique_ptr<store_client> calls;
  std::shared_ptr<topic_follower> follower;
  steady_time ended_at;  // As the owner keeps it for its directory.
  std::size_t checked = 0;
  std::size_t loads = 0;
  std::size_t too_late = 0;  // Records that were written before `ended_at`.

  explicit delayed_topic(std::uint32_t seed) : random(seed) {
    platform.listen("127.0.0.1:0").value();
    calls = std::make_unique<store_client>(
        context, "127.0.0.1:" + std::to_string(platform.port()), clock);
    follower_options options{"keyed.servers"};
    options.read_interval = milliseconds(0);
    follower = std::make_shared<topic_follower>(
        context, *calls, clock, options,
        topic_follower::handlers{
            [this](const std::vector<jobs::record>&) {
              ++loads;
              ended_at = follower->current_as_of();
            },
            [this](const std::vector<jobs::record>& records) {
              for (const jobs::record& each : records) {
                ++checked;
                if (written.at(each.offset) < ended_at) ++too_late;
              }
              ended_at = follower->current_as_of();
            }});
    follower->start();
  }
  ~delayed_topic() { follower->stop(); }

  int draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  }
  // Time passes, with records that are written meanwhile.
  void pass() {
    for (int i = draw(0, 4); i > 0; --i) {
      clock.advance(milliseconds(draw(0, 300)));
      if (draw(0, 1) == 0) written.push_back(clock.now());
    }
    clock.advance(milliseconds(draw(0, 300)));
  }
  // Pages change while they load.
  std::string newest(const std::string& target) {
    pass();
    bool last = target.find("dependsOn") != std::string::npos;
    std::string out = R"({"items":[{"key":"a","value":"eA==","offset":0}],)";
    out += std::string(R"("more":)") + (last ? "false" : "true");
    out += R"(,"end":)" + std::to_string(written.size()) + "}";
    pass();
    return out;
  }
  void answer() {
    while (!open_read) context.run_one();
    std::uint64_t from = open_read->first;
    http::responder respond = std::move(open_read->second);
    open_read.reset();
    pass();
    if (draw(0, 19) == 0) first = std::max<std::uint64_t>(first, from + 1);
    if (from < first) {
      first = std::min<std::uint64_t>(first, written.size());
      return respond(http::text_response(http::status::gone, "text/plain", ""));
    }
    std::string body;
    append_number(written.size(), 8, &body);
    append_number(first, 8, &body);
    for (std::size_t i = 0; i < kRecordsPerRead && from + i < written.size();
         ++i) {
      append_number(3, 4, &body);
      body += std::string("\x01", 1) + "ax";
    }
    pass();
    respond(http::text_response(http::status::ok, "application/octet-stream",
                                std::move(body)));
  }
};

// Guards against entries of workers that count as newer than they are.
TEST_CASE("records after the known end of a topic are newer than that end") {
  std::size_t checked = 0;
  std::size_t loads = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    delayed_topic topic(seed);
    for (int i = 0; i < 200; ++i) topic.answer();
    CHECK(topic.too_late == 0);
    checked += topic.checked;
    loads += topic.loads;
  }
  CHECK(checked > 1000);
  CHECK(loads > 20);
}

}  // namespace

}  // namespace ebonygrade::poold
