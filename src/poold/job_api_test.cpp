// The API for callers of a daemon without an owner, which writes its callers'
// records itself.
#include "poold/job_api.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"
#include "standin/pool/keyed_store.h"

namespace ebonygrade::poold {

namespace {

constexpr char kSubmission[] =
    R"({"spec":"s","steps":[{"count":1,"cpu":100,"memMb":1,"estMs":100}]})";

struct fixture {
  boost::asio::io_context context{1};
  clock::manual_clock clock;
  standin::keyed_store store{context};
  store_client calls{context, store.address(), clock};
  jobs::table table;
  measurements measured;
  std::shared_ptr<job_api> api;
  http::server server{
      context, {}, [this](http::request&& request, http::responder respond) {
        api->handle(std::move(request), std::move(respond));
      }};
  std::unique_ptr<http::client> caller;
  // Results of the calls that are passed to the owner, in order.
  std::vector<forward_result> forwarded;

  fixture() {
    server.listen("127.0.0.1:0").value();
    caller = std::make_unique<http::client>(
        context, "127.0.0.1:" + std::to_string(server.port()),
        http::client_options());
    restart();
  }
  ~fixture() { api->stop(); }

  void restart() {
    if (api) api->stop();
    owner_calls no_owner;
    no_owner.write = [](const jobs::record&, milliseconds,
                        const std::function<void(owner_reply)>& handler) {
      handler(owner_reply::refused);
    };
    no_owner.forward = [this](const wire::job_query&, milliseconds,
                              const std::function<void(forward_result)>& then) {
      forward_result next;
      if (!forwarded.empty()) {
        next = std::move(forwarded.front());
        forwarded.erase(forwarded.begin());
      }
      then(std::move(next));
    };
    api = std::make_shared<job_api>(context, calls, clock, "n1", table,
                                    std::move(no_owner), measured);
    std::shared_ptr<pool::manifest> manifest =
        std::make_shared<pool::manifest>();
    manifest->routes.emplace_back();
    manifest->routes.back().name = "r";
    manifest->routes.back().host = "127.0.0.1";
    manifest->routes.back().path_prefix = "/q/";
    api->set_manifest(std::move(manifest));
  }

  bool accepts(const std::string& job) {
    http::request request{http::verb::post, "/q/" + job, http::kHttpVersion11};
    request.body() = kSubmission;
    request.prepare_payload();
    bool done = false;
    bool accepted = false;
    caller->call("submit", std::move(request), [&](http::call_result&& result) {
      done = true;
      accepted = result.has_value() && result->result() == http::status::ok;
    });
    while (!done) context.run_one();
    return accepted;
  }

  http::status cancel(const std::string& job) {
    http::request request{http::verb::delete_, "/q/" + job,
                          http::kHttpVersion11};
    request.prepare_payload();
    std::optional<http::status> status;
    caller->call("cancel", std::move(request), [&](http::call_result&& result) {
      status = result->result();
    });
    while (!status) {
      context.run_one();
      // Towards the next attempt.
      clock.advance(milliseconds(20));
    }
    return *status;
  }

  bool is_stored(const std::string& job) {
    const std::vector<standin::stored_record>& records =
        store.records("keyed.journal");
    return std::any_of(records.begin(), records.end(),
                       [&](const standin::stored_record& each) {
                         return each.key == jobs::submission_key(job);
                       });
  }
};

// Guards against accepted jobs that aren't stored: the store takes an append
// for a repeat if its producer and sequence number have occurred.
TEST_CASE("a daemon that restarts at the same time of day stores its jobs") {
  fixture test;
  REQUIRE(test.accepts("00000000000000aa"));
  test.restart();
  CHECK(test.accepts("00000000000000bb"));
  CHECK(test.is_stored("00000000000000bb"));
}

// Guards against a caller who is told that a job goes on while its cancellation
// is stored: the owner had no time to reply and refused the repetition.
TEST_CASE("a cancellation that may be stored isn't answered as refused") {
  fixture test;
  forward_result no_reply;
  no_reply.maybe_served = true;
  forward_result refusal;
  refusal.reply = http::error_response(http::status::service_unavailable,
                                       "the store takes no records");
  test.forwarded = {no_reply, refusal};
  CHECK(test.cancel("00000000000000aa") == http::status::gateway_timeout);
  test.forwarded = {refusal};
  CHECK(test.cancel("00000000000000aa") == http::status::service_unavailable);
}

}  // namespace

}  // namespace ebonygrade::poold
