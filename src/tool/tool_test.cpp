#include "tool/tool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <sstream>

#include "metrics/registry.h"
#include "tool/fake_daemon.h"

using ebonygrade::tool::fake_daemon;
using ebonygrade::tool::outcome_reply;

namespace http = ebonygrade::http;
namespace tool = ebonygrade::tool;
namespace wire = ebonygrade::wire;

namespace {

// No server listens on port 1 of the loopback interface.
constexpr const char* kUnreachableAddress = "127.0.0.1:1";

struct run_result {
  int exit_code = 0;
  std::string out;
  std::string err;
};

run_result run(std::vector<std::string> arguments,
               const std::vector<std::string>& addresses) {
  for (const std::string& each : addresses) {
    arguments.push_back("--address=" + each);
  }
  std::ostringstream out;
  std::ostringstream err;
  int code = tool::run(arguments, out, err);
  return {code, out.str(), err.str()};
}

run_result submit(const std::vector<std::string>& addresses,
                  const std::vector<std::string>& more = {}) {
  std::vector<std::string> arguments = {"submit", "--id=job", "--team=t",
                                        "--class=urgent", "--slots=1"};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return run(arguments, addresses);
}

bool mentions(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

fake_daemon::request_handler always(http::response reply) {
  return [reply](const http::request&) { return reply; };
}

}  // namespace

TEST_CASE("each outcome of a submit has its exit code") {
  struct expectation {
    http::response reply;
    int exit_code;
    std::string_view text;
  };
  const expectation expectations[] = {
      {outcome_reply(http::status::ok, wire::answered), tool::kExitDone,
       "job: answered, 0 tasks"},
      {outcome_reply(http::status::accepted, wire::pending), tool::kExitDone,
       "job: pending"},
      {outcome_reply(http::status::unprocessable_entity, wire::not_run),
       tool::kExitRefused, "job: not run; do not come back"},
      {outcome_reply(http::status::service_unavailable, wire::not_run, 250),
       tool::kExitRefused, "job: not run; come back in 250 ms"},
      {outcome_reply(http::status::ok, wire::unknown), tool::kExitUnknown,
       "job: unknown"},
      {http::error_response(http::status::bad_request, "team: unknown", "team"),
       tool::kExitBadInput, "team: unknown"},
      {http::error_response(http::status::service_unavailable, "too many"),
       tool::kExitUnreachable, "too many"},
      {http::error_response(http::status::internal_server_error, "oops"),
       tool::kExitUnknown, "may have run"},
  };
  for (const expectation& each : expectations) {
    INFO(each.text);
    fake_daemon daemon(always(each.reply));
    run_result result = submit({daemon.address()});
    CHECK(result.exit_code == each.exit_code);
    CHECK(mentions(result.out + result.err, each.text));
  }
}

TEST_CASE("a failed task has its own exit code") {
  wire::request_status status;
  status.set_id("job");
  status.mutable_outcome()->set_kind(wire::answered);
  wire::task_answer& answer = *status.mutable_outcome()->add_answers();
  answer.set_end(wire::failed);
  answer.set_exit_code(3);
  answer.set_output("no\x01");
  fake_daemon daemon(
      always(http::json_response(http::status::ok, http::to_json(status))));
  run_result result = submit({daemon.address()}, {"--wait=60s"});
  CHECK(result.exit_code == tool::kExitTaskFailed);
  CHECK(mentions(result.out, "task 0: failed with exit code 3: 3 bytes"));
}

TEST_CASE("the tool reports unreachable if no daemon replies") {
  run_result result = submit({kUnreachableAddress, kUnreachableAddress});
  CHECK(result.exit_code == tool::kExitUnreachable);
  CHECK(mentions(result.err, "ebonygrade: job: submit: 127.0.0.1:1: "));
}

TEST_CASE("the next daemon is tried if a daemon does not reply") {
  fake_daemon daemon(always(outcome_reply(http::status::ok, wire::answered)));
  run_result result = submit({kUnreachableAddress, daemon.address()});
  CHECK(result.exit_code == tool::kExitDone);
  CHECK(daemon.requests().size() == 1);
}

TEST_CASE("a refused request is retried up to the limit") {
  std::atomic<int> calls{0};
  fake_daemon daemon([&](const http::request&) {
    return ++calls < 3 ? outcome_reply(http::status::service_unavailable,
                                       wire::not_run, 1)
                       : outcome_reply(http::status::ok, wire::answered);
  });
  CHECK(submit({daemon.address()}, {"--retry=1"}).exit_code ==
        tool::kExitRefused);
  CHECK(submit({daemon.address()}, {"--retry=1"}).exit_code == tool::kExitDone);
  CHECK(calls == 3);
}

TEST_CASE("submit queries again until the outcome is final") {
  std::atomic<int> calls{0};
  fake_daemon daemon([&](const http::request&) {
    return ++calls < 3 ? outcome_reply(http::status::accepted, wire::pending)
                       : outcome_reply(http::status::ok, wire::answered);
  });
  run_result result = submit({daemon.address()}, {"--wait=60s"});
  CHECK(result.exit_code == tool::kExitDone);
  CHECK(mentions(std::string(daemon.requests()[0].target()), "wait_ms=5000"));
}

TEST_CASE("a request without a final outcome is pending when the wait ends") {
  fake_daemon daemon(
      always(outcome_reply(http::status::accepted, wire::pending)));
  CHECK(submit({daemon.address()}, {"--wait=20ms"}).exit_code ==
        tool::kExitPending);
}

TEST_CASE("many requests have distinct ids and a summary") {
  fake_daemon daemon([](const http::request& request) {
    wire::job_request message;
    REQUIRE(http::from_json(request.body(), &message).has_value());
    wire::request_status status;
    status.set_id(message.id());
    bool refused = message.id() == "job-7";
    status.mutable_outcome()->set_kind(refused ? wire::not_run
                                               : wire::answered);
    return http::json_response(http::status::ok, http::to_json(status));
  });
  run_result result =
      submit({daemon.address()}, {"--count=20", "--parallel=4", "--wait=60s"});
  CHECK(result.exit_code == tool::kExitRefused);
  CHECK(result.out ==
        "job: 20 requests, 20 attempts, 19 answered, 1 not run\n");
  run_result lines = submit({daemon.address()}, {"--count=3", "--json"});
  CHECK(mentions(lines.out, "{\"id\":\"job-3\",\"outcome\":"));
}

TEST_CASE("status and cancel send the id and the region of the request") {
  fake_daemon daemon(always(outcome_reply(http::status::ok, wire::answered)));
  CHECK(
      run({"status", "job", "--region=sofia"}, {daemon.address()}).exit_code ==
      tool::kExitDone);
  CHECK(run({"cancel", "a", "b"}, {daemon.address()}).exit_code ==
        tool::kExitDone);
  std::vector<http::request> requests = daemon.requests();
  REQUIRE(requests.size() == 3);
  CHECK(requests[0].target() == "/v1/requests/job?region=sofia");
  CHECK(requests[1].method() == http::verb::delete_);
  CHECK(requests[2].target() == "/v1/requests/b");
}

TEST_CASE("explain queries the daemons until the owner replies") {
  http::response pending = outcome_reply(http::status::accepted, wire::pending);
  auto reply_with = [&](const http::response& explanation) {
    return [&, explanation](const http::request& request) {
      return mentions(std::string(request.target()), "/explain") ? explanation
                                                                 : pending;
    };
  };
  fake_daemon other(reply_with(
      http::error_response(http::status::misdirected_request, "ask entry-2")));
  fake_daemon owner(reply_with(http::text_response(
      http::status::ok, "text/plain", "waits: quota of team t is used up\n")));
  run_result result =
      run({"explain", "job"}, {other.address(), owner.address()});
  CHECK(result.exit_code == tool::kExitDone);
  CHECK(result.out == "job: pending\nwaits: quota of team t is used up\n");
}

TEST_CASE("a roll sends the version in force and reports a conflict") {
  fake_daemon daemon([](const http::request& request) {
    if (request.method() == http::verb::get) {
      wire::bundle_list list;
      list.set_version_in_force(5);
      return http::json_response(http::status::ok, http::to_json(list));
    }
    return http::error_response(http::status::conflict, "another roll won");
  });
  run_result result =
      run({"bundle", "roll", "7", "--as=ana"}, {daemon.address()});
  CHECK(result.exit_code == tool::kExitRefused);
  CHECK(mentions(result.err, "ebonygrade: roll bundle: "));
  CHECK(mentions(result.err, "another roll won"));
  CHECK(mentions(daemon.requests().back().body(), "\"replaces\":\"5\""));
}

TEST_CASE("an invalid bundle is rejected before it is sent") {
  fake_daemon daemon(always(http::json_response(http::status::ok, "{}")));
  std::string readme = std::string(EBONYGRADE_SOURCE_DIR) + "/README.md";
  run_result result =
      run({"bundle", "publish", readme, "--as=ana"}, {daemon.address()});
  CHECK(result.exit_code == tool::kExitBadInput);
  CHECK(daemon.requests().empty());
}

TEST_CASE("cell shows each daemon and reports an unreachable one") {
  wire::cell_status status;
  status.set_daemon("entry-1");
  wire::shard_status& shard = *status.add_shards();
  shard.set_region("sofia");
  shard.set_owner("entry-2");
  shard.set_phase("elsewhere");
  fake_daemon daemon(
      always(http::json_response(http::status::ok, http::to_json(status))));
  run_result result = run({"cell"}, {kUnreachableAddress, daemon.address()});
  CHECK(result.exit_code == tool::kExitDone);
  CHECK(mentions(result.out, "region sofia: shards 0 owned by entry-2"));
  CHECK(mentions(result.err, "ebonygrade: show cell: 127.0.0.1:1"));
  CHECK(run({"cell"}, {kUnreachableAddress}).exit_code ==
        tool::kExitUnreachable);
}

TEST_CASE("metrics are summed over the daemons") {
  ebonygrade::metrics::registry measured;
  measured.record_wait({"alerts", ebonygrade::job::job_class::urgent},
                       std::chrono::milliseconds(2));
  fake_daemon daemon(always(
      http::text_response(http::status::ok, "text/plain", measured.to_text())));
  run_result result = run({"metrics"}, {daemon.address(), daemon.address()});
  CHECK(result.exit_code == tool::kExitDone);
  CHECK(mentions(result.out, "alerts           urgent           2"));
  run_result raw = run({"metrics", "--raw"}, {daemon.address()});
  CHECK(raw.out == measured.to_text());
}
