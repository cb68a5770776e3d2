#include "requests/requests.h"

#include <catch2/catch.hpp>

#include "requests/requests_fixture.h"

namespace ebonygrade::requests {

TEST_CASE_METHOD(requests_fixture,
                 "an idempotent request is queued, started and answered") {
  submit(make_request("a"));
  REQUIRE(find<enqueue>() != nullptr);
  CHECK(find<enqueue>()->tasks == std::vector<std::uint32_t>{0});
  job::attempt_key key = place("a");
  CHECK(key.attempt >> 24 == kEpoch);
  CHECK(find<send_start>()->task.payload() == "payload");
  now += milliseconds(20);
  step(start_answered{key, wire::started});
  REQUIRE(find<task_started>() != nullptr);
  CHECK(find<task_started>()->waited == milliseconds(20));
  end(key);
  CHECK(replied() == wire::answered);
  CHECK(find<reply>()->outcome.answers(0).output() == "output");
  CHECK(count<release_resources>() == 1);
  CHECK(count<request_final>() == 1);
  end(key);
  CHECK(effects.empty());
}

TEST_CASE_METHOD(requests_fixture, "a repeated id joins the first request") {
  job::attempt_key key = run(make_request("a"));
  submit(make_request("a"), 2);
  CHECK(effects.empty());
  end(key);
  CHECK(count<reply>() == 2);
  submit(make_request("a"), 3);
  CHECK(replied() == wire::answered);
}

TEST_CASE_METHOD(requests_fixture,
                 "a query that doesn't wait gets the current state") {
  run(make_request("a"));
  step(queried{"a", {"", 9, false}});
  CHECK(replied() == wire::pending);
  CHECK(find<reply>()->outcome.running_tasks() == 1);
  step(queried{"b", {"", 9, true}});
  CHECK(replied() == wire::unknown);
}

TEST_CASE_METHOD(requests_fixture,
                 "the outcome has the answers of all tasks in task order") {
  job::request request = make_request("a");
  request.task_count = 3;
  submit(request);
  std::vector<job::attempt_key> keys;
  for (std::uint32_t i = 0; i < 3; ++i) {
    keys.push_back(place("a", i));
    step(start_answered{keys.back(), wire::started});
  }
  end(keys[2]);
  end(keys[0]);
  CHECK(count<reply>() == 0);
  end(keys[1]);
  REQUIRE(replied() == wire::answered);
  const job::outcome& outcome = find<reply>()->outcome;
  REQUIRE(outcome.answers_size() == 3);
  CHECK(outcome.answers(0).task_index() == 0);
  CHECK(outcome.answers(2).task_index() == 2);
}

TEST_CASE_METHOD(requests_fixture, "a refused request may be submitted again") {
  submit(make_request("a"), 1);
  step(admission_refused{"a", "queue full", milliseconds(50)});
  CHECK(replied() == wire::not_run);
  CHECK(find<reply>()->outcome.retry_after_ms() == 50);
  // A late copy of the refused message isn't a new submission.
  submit(make_request("a"), 1);
  CHECK(replied() == wire::not_run);
  CHECK(count<enqueue>() == 0);
  submit(make_request("a"), 2);
  CHECK(count<enqueue>() == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "a request that can never run stays refused") {
  submit(make_request("a"), 1);
  step(admission_refused{"a", "no worker has 9 accelerators", {}});
  submit(make_request("a"), 2);
  CHECK(replied() == wire::not_run);
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "a queued request is refused at its deadline") {
  job::request request = make_request("a");
  request.deadline = now + milliseconds(100);
  submit(request);
  advance(milliseconds(99));
  CHECK(effects.empty());
  advance(milliseconds(1));
  CHECK(replied() == wire::not_run);
  CHECK(find<reply>()->outcome.retry_after_ms() > 0);
  CHECK(count<withdraw>() == 1);
  // A placement that was made before the withdrawal is released.
  place("a");
  CHECK(count<send_start>() == 0);
  CHECK(count<release_resources>() == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "a deadline doesn't end tasks that have started") {
  job::request request = make_request("a");
  request.task_count = 2;
  request.deadline = now + milliseconds(100);
  submit(request);
  job::attempt_key key = place("a", 0);
  step(start_answered{key, wire::started});
  advance(milliseconds(200));
  CHECK(count<withdraw>() == 1);
  CHECK(count<reply>() == 0);
  end(key);
  REQUIRE(replied() == wire::answered);
  CHECK(find<reply>()->outcome.answers(1).end() == wire::stopped);
}

TEST_CASE_METHOD(requests_fixture,
                 "cancelling a request before its start replies not_run") {
  job::request request = make_request("a");
  request.idempotent = false;
  SECTION("queued") { submit(request); }
  SECTION("while the intent is written") {
    submit(request);
    place("a");
    CHECK(count<write_intent>() == 1);
  }
  step(cancelled{"a", {"", 2, true}});
  CHECK(replied() == wire::not_run);
  CHECK(count<reply>() == 2);
  CHECK(count<withdraw>() + count<release_resources>() == 1);
  step(intent_durable{"a"});
  CHECK(count<send_start>() == 0);
  submit(request, 3);
  CHECK(replied() == wire::not_run);
}

TEST_CASE_METHOD(requests_fixture,
                 "cancelling a running request stops its task") {
  job::attempt_key key = run(make_request("a"));
  step(cancelled{"a", {"", 2, true}});
  REQUIRE(count<send_stop>() == 1);
  CHECK(count<reply>() == 0);
  step(cancelled{"a", {"", 3, true}});
  CHECK(count<send_stop>() == 0);
  advance(state.options.stop_timeout);
  CHECK(count<send_stop>() == 1);
  step(stop_answered{key, wire::stop_confirmed});
  CHECK(replied() == wire::answered);
  CHECK(count<reply>() == 3);
  CHECK(find<reply>()->outcome.answers(0).end() == wire::stopped);
}

TEST_CASE_METHOD(
    requests_fixture,
    "cancelling a request whose start never took effect replies not_run") {
  submit(make_request("a"));
  job::attempt_key key = place("a");
  step(cancelled{"a", {"", 2, true}});
  CHECK(count<send_stop>() == 1);
  step(stop_answered{key, wire::never_started});
  CHECK(replied() == wire::not_run);
  step(start_answered{key, wire::revoked});
  CHECK(effects.empty());
}

TEST_CASE_METHOD(
    requests_fixture,
    "a full table refuses requests until an outcome may be evicted") {
  state.options.max_requests = 1;
  job::attempt_key key = run(make_request("a"));
  submit(make_request("b"));
  CHECK(replied() == wire::not_run);
  end(key);
  submit(make_request("b"));
  CHECK(replied() == wire::not_run);
  now += state.options.min_retention;
  submit(make_request("b"));
  CHECK(count<enqueue>() == 1);
  CHECK(state.by_id.size() == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "outcomes are forgotten after their retention") {
  end(run(make_request("a")));
  job::request once = make_request("b");
  once.idempotent = false;
  end(run(once));
  advance(state.options.outcome_retention);
  CHECK(state.by_id.count("a") == 0);
  CHECK(state.by_id.count("b") == 1);
  for (int i = 0; i < 10; ++i) {
    advance(state.options.outcome_retention);
  }
  CHECK(state.by_id.empty());
  CHECK(state.retention_queue.empty());
}

TEST_CASE_METHOD(
    requests_fixture,
    "refusals are unknown while another owner may have run the request") {
  submit(make_request("a"));
  step(ownership_uncertain{true});
  step(admission_refused{"a", "queue full", milliseconds(50)});
  CHECK(replied() == wire::unknown);
  step(ownership_uncertain{false});
  step(home_shard_serving{kHome, false});
  submit(make_request("b"));
  step(admission_refused{"b", "queue full", milliseconds(50)});
  CHECK(replied() == wire::unknown);
  step(home_shard_serving{kHome, true});
  submit(make_request("c"));
  step(admission_refused{"c", "queue full", milliseconds(50)});
  CHECK(replied() == wire::not_run);
}

}  // namespace ebonygrade::requests
