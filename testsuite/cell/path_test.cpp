// The whole request path without failures: requests may enter through any
// daemon, run once and get complete answers.
#include <catch2/catch.hpp>

#include "cell/cell.h"
#include "cell/load.h"

using ebonygrade::testsuite::cell;
using ebonygrade::testsuite::cell_options;
using ebonygrade::testsuite::load;
using ebonygrade::testsuite::load_options;
using ebonygrade::testsuite::make_request;
using std::chrono::milliseconds;
namespace standin = ebonygrade::standin;
namespace wire = ebonygrade::wire;

TEST_CASE("requests that enter through any daemon run once and are answered") {
  cell sofia(cell_options{});
  sofia.start();
  load_options options;
  options.entries = {0, 1, 2};
  load callers(sofia, options);
  callers.start();
  load_options non_idempotent_options = options;
  non_idempotent_options.prefix = "once";
  non_idempotent_options.idempotent = false;
  load non_idempotent_callers(sofia, non_idempotent_options);
  non_idempotent_callers.start();
  callers.finish();
  non_idempotent_callers.finish();
  INFO(sofia.daemon_logs());
  CHECK(callers.count(wire::answered) == 320);
  CHECK(non_idempotent_callers.count(wire::answered) == 320);
  const standin::ledger ledger = sofia.ledger();
  CHECK(ledger.starts() == 640);
  CHECK(ledger.double_runs() == 0);
  CHECK(ledger.repeated_starts() == 0);
  CHECK(ledger.over_commits() == 0);
}

TEST_CASE("large answers of every task of a gang are delivered completely") {
  cell sofia(cell_options{});
  sofia.start();
  wire::job_request request = make_request("gang-1", true, milliseconds(10));
  request.set_class_(wire::gang);
  request.set_task_count(12);
  request.set_payload("run_ms=10 output_bytes=100000");
  const std::optional<wire::request_status> status =
      sofia.submit(0, request, milliseconds(20000));
  INFO(sofia.daemon_logs());
  REQUIRE(status.has_value());
  REQUIRE(status->outcome().kind() == wire::answered);
  REQUIRE(status->outcome().answers_size() == 12);
  for (const wire::task_answer& answer : status->outcome().answers()) {
    CHECK(answer.output().size() == 100000);
  }
}

TEST_CASE("a repeated id at another daemon gets the first outcome") {
  cell sofia(cell_options{});
  sofia.start();
  const wire::job_request request =
      make_request("repeat", false, milliseconds(10));
  const std::optional<wire::request_status> first =
      sofia.submit(0, request, milliseconds(20000));
  const std::optional<wire::request_status> second =
      sofia.submit(1, request, milliseconds(20000));
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  CHECK(first->outcome().kind() == wire::answered);
  CHECK(second->outcome().SerializeAsString() ==
        first->outcome().SerializeAsString());
  CHECK(sofia.ledger().starts() == 1);
}
