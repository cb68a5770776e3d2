#include "tool/arguments.h"

#include <catch2/catch.hpp>

using ebonygrade::error::result;
using ebonygrade::tool::invocation;
using ebonygrade::tool::parse_arguments;
using ebonygrade::tool::verb;

namespace wire = ebonygrade::wire;

TEST_CASE("the options of submit set the fields of the request") {
  result<invocation> parsed = parse_arguments(
      {"submit", "--id=f1", "--team=forecasts", "--class=gang", "--cores=1.5",
       "--memory=2048", "--tasks=4", "--deadline=2s", "--idempotent",
       "--wait=10s", "--count=3", "--parallel=2", "--retry=5",
       "--address=127.0.0.1:1", "--address=127.0.0.1:2"});
  REQUIRE(parsed.has_value());
  const wire::job_request& request = parsed->submit.request;
  CHECK(request.id() == "f1");
  CHECK(request.class_() == wire::gang);
  CHECK(request.per_task().millicores() == 1500);
  CHECK(request.per_task().memory_mb() == 2048);
  CHECK(request.task_count() == 4);
  CHECK(request.deadline_ms() == 2000);
  CHECK(request.idempotent());
  CHECK(parsed->wait == std::chrono::seconds(10));
  CHECK(parsed->submit.retries == 5);
  CHECK(parsed->connection.addresses.size() == 2);
}

TEST_CASE("a request is not idempotent by default") {
  result<invocation> parsed =
      parse_arguments({"submit", "--id=f", "--team=t", "--class=urgent"});
  REQUIRE(parsed.has_value());
  CHECK_FALSE(parsed->submit.request.idempotent());
}

TEST_CASE("a verb of two words is parsed with its arguments") {
  result<invocation> parsed =
      parse_arguments({"bundle", "roll", "7", "--as=ana", "--replaces=5"});
  REQUIRE(parsed.has_value());
  CHECK(parsed->verb == verb::bundle_roll);
  CHECK(parsed->positional == std::vector<std::string>{"7"});
  CHECK(parsed->replaces == 5);
}

TEST_CASE("the tool and its verbs have help texts") {
  CHECK(parse_arguments({"--help"})->verb == verb::help);
  result<invocation> help = parse_arguments({"submit", "--help"});
  REQUIRE(help.has_value());
  CHECK(help->help.find("--deadline TIME") != std::string::npos);
}

TEST_CASE("an invalid command line is rejected with a reason") {
  struct invalid_command {
    std::vector<std::string> arguments;
    std::string_view reason;
  };
  const std::vector<std::string> valid = {"submit", "--id=f", "--team=t",
                                          "--class=batch"};
  auto with = [&](const std::string& more) {
    std::vector<std::string> arguments = valid;
    arguments.push_back(more);
    return arguments;
  };
  const invalid_command cases[] = {
      {{}, "expected a verb"},
      {{"dance"}, "unknown verb 'dance'"},
      {{"bundle"}, "unknown verb 'bundle'"},
      {{"status"}, "status: expected ID"},
      {{"status", "a", "b"}, "status: unexpected 'b'"},
      {{"submit", "--team=t", "--class=batch"}, "--id: is needed"},
      {{"submit", "--id=f", "--class=batch"}, "--team: is needed"},
      {{"submit", "--id=f", "--team=t"}, "--class: is needed"},
      {{"submit", "--id=f", "--team=t", "--class=vip"}, "found 'vip'"},
      {with("--colour=red"), "colour"},
      {with("--cores=-1"), "--cores: expected a number from 0 to 1000"},
      {with("--cores=nan"), "failed to parse"},
      {with("--memory=99999999999"), "failed to parse"},
      {with("--tasks=-1"), "failed to parse"},
      {with("--count=0"), "--count: must be at least 1"},
      {with("--parallel=257"), "--parallel: must be at most 256"},
      {with("--deadline=soon"), "--deadline: expected a time"},
      {with("--wait=48h"), "--wait: expected a time"},
      {with("--wait=0s"), "--wait: expected a time"},
      {with("--address=localhost:80"), "--address: expected IP:PORT"},
      {with("--file=/nonexistent.json"), "can't be read"},
      {with("--payload-file=/"), "can't be read"},
      {{"bundle", "publish", "x.ini"}, "--as: is needed"},
      {{"drain", "--address=127.0.0.1:1", "--address=127.0.0.1:2"},
       "drain takes exactly one daemon"},
  };
  for (const invalid_command& each : cases) {
    INFO(each.reason);
    result<invocation> parsed = parse_arguments(each.arguments);
    REQUIRE(parsed.has_error());
    CHECK(to_string(parsed.error()).find(each.reason) != std::string::npos);
  }
}
