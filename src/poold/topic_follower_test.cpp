#include "poold/topic_follower.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"

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

}  // namespace

}  // namespace ebonygrade::poold
