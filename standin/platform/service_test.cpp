#include "standin/platform/service.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "http/client.h"
#include "http/json.h"

namespace asio = boost::asio;
namespace http = ebonygrade::http;
namespace platform = ebonygrade::standin::platform;
namespace wire = ebonygrade::wire;

namespace {

constexpr std::chrono::seconds kEventTimeout{20};

struct fixture {
  asio::io_context context;
  ebonygrade::clock::system_clock clock;
  platform::service service{context, clock, platform::service_options()};
  std::optional<http::client> caller;

  fixture() {
    REQUIRE(service.listen("127.0.0.1:0").has_value());
    http::client_options options;
    options.connections = 4;
    caller.emplace(context, "127.0.0.1:" + std::to_string(service.port()),
                   options);
  }
  void run_until(const std::function<bool()>& met) {
    while (!met()) {
      context.restart();
      REQUIRE(context.run_one_for(kEventTimeout) > 0);
    }
  }
  void send(http::verb method, std::string_view target, std::string body,
            std::optional<http::call_result>* result) {
    caller->call("call", http::json_request(method, target, std::move(body)),
                 [result](http::call_result&& r) { *result = std::move(r); });
  }
  http::call_result call(http::verb method, std::string_view target,
                         std::string body = {}) {
    std::optional<http::call_result> result;
    send(method, target, std::move(body), &result);
    run_until([&] { return result.has_value(); });
    return std::move(*result);
  }
  template <typename message>
  message get(std::string_view target) {
    http::call_result result = call(http::verb::get, target);
    message parsed;
    REQUIRE(result.has_value());
    REQUIRE(http::from_json(result->body(), &parsed).has_value());
    return parsed;
  }
  void control(std::string body) {
    http::call_result result =
        call(http::verb::post, "/v1/control", std::move(body));
    REQUIRE(result->result() == http::status::ok);
  }
};

constexpr std::string_view kRecords = "/v1/streams/s/records";

}  // namespace

TEST_CASE("records are appended and read over HTTP") {
  fixture f;
  std::string binary("\0\xff", 2);
  f.call(http::verb::post, kRecords, binary);
  wire::log_read_reply reply =
      f.get<wire::log_read_reply>("/v1/streams/s/records?from=0");
  REQUIRE(reply.records_size() == 1);
  CHECK(reply.records(0).data() == binary);
}

TEST_CASE("a read waits for the next record of its stream") {
  fixture f;
  std::optional<http::call_result> result;
  f.send(http::verb::get, "/v1/streams/s/records?from=0&wait_ms=20000", "",
         &result);
  f.call(http::verb::post, "/v1/streams/other/records", "x");
  CHECK_FALSE(result.has_value());
  f.call(http::verb::post, kRecords, "x");
  f.run_until([&] { return result.has_value(); });
  CHECK(result->value().body().find("\"next\":\"1\"") != std::string::npos);
}

TEST_CASE("a waiting read ends without a record at its timeout") {
  fixture f;
  wire::log_read_reply reply =
      f.get<wire::log_read_reply>("/v1/streams/s/records?from=0&wait_ms=1");
  CHECK(reply.records_size() == 0);
}

TEST_CASE("an outage answers 503, also to waiting reads") {
  fixture f;
  std::optional<http::call_result> result;
  f.send(http::verb::get, "/v1/streams/s/records?from=0&wait_ms=20000", "",
         &result);
  f.control(R"({"outage":true})");
  f.run_until([&] { return result.has_value(); });
  CHECK(result->value().result() == http::status::service_unavailable);
  CHECK(f.call(http::verb::post, kRecords, "x")->result() ==
        http::status::service_unavailable);
  f.control(R"({"outage":false})");
  CHECK(f.call(http::verb::post, kRecords, "x")->result() == http::status::ok);
}

TEST_CASE("an append whose reply is lost takes effect") {
  fixture f;
  f.control(R"({"lose_answers":1})");
  http::call_result lost = f.call(http::verb::post, kRecords, "x");
  REQUIRE(lost.has_error());
  CHECK(lost.error().maybe_sent);
  CHECK(f.get<wire::log_read_reply>(kRecords).next() == 1);
  CHECK(f.call(http::verb::post, kRecords, "y").has_value());
}

TEST_CASE("VMs are registered, marked as leaving and removed") {
  fixture f;
  f.call(http::verb::post, "/v1/list/workers", R"({"id":"w1","rack":"r"})");
  f.call(http::verb::post, "/v1/list/daemons", R"({"id":"d1"})");
  f.call(http::verb::put, "/v1/list",
         R"({"daemons":[{"id":"d1","state":"leaving"}]})");
  wire::vm_list list = f.get<wire::vm_list>("/v1/list");
  REQUIRE(list.workers_size() == 1);
  REQUIRE(list.daemons_size() == 1);
  CHECK(list.daemons(0).state() == wire::leaving);
  f.call(http::verb::delete_, "/v1/list/w1");
  CHECK(f.get<wire::vm_list>("/v1/list").workers_size() == 0);
}

TEST_CASE("bad input is rejected with the name of the field") {
  fixture f;
  http::call_result bad =
      f.call(http::verb::post, "/v1/list/workers", R"({"rak":"r"})");
  CHECK(bad->result() == http::status::bad_request);
  CHECK(bad->body().find("\"field\":\"rak\"") != std::string::npos);
  CHECK(f.call(http::verb::get, "/v1/streams/s/records?from=x")->result() ==
        http::status::bad_request);
  CHECK(f.call(http::verb::get, "/v1/nothing")->result() ==
        http::status::not_found);
}
