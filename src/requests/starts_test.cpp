#include <catch2/catch.hpp>

#include "requests/requests_fixture.h"

namespace ebonygrade::requests {

namespace {

job::request non_idempotent(const std::string& id) {
  job::request request = requests_fixture::make_request(id);
  request.idempotent = false;
  return request;
}

job::request of_kind(const std::string& id, job::job_class kind,
                     std::uint32_t tasks) {
  job::request request = requests_fixture::make_request(id);
  request.kind = kind;
  request.task_count = tasks;
  return request;
}

}  // namespace

TEST_CASE_METHOD(
    requests_fixture,
    "a non-idempotent task is started once its intent is durable") {
  submit(non_idempotent("a"));
  place("a");
  CHECK(count<write_intent>() == 1);
  CHECK(count<send_start>() == 0);
  step(intent_durable{"a"});
  CHECK(count<send_start>() == 1);
  step(intent_durable{"a"});
  CHECK(count<send_start>() == 0);
}

TEST_CASE_METHOD(requests_fixture,
                 "a request whose intent failed is refused and never started") {
  submit(non_idempotent("a"));
  place("a");
  step(intent_failed{"a", "the log is down"});
  CHECK(replied() == wire::not_run);
  CHECK(count<release_resources>() == 1);
  step(intent_durable{"a"});
  CHECK(count<send_start>() == 0);
}

TEST_CASE_METHOD(requests_fixture, "one intent covers all tasks of a request") {
  job::request request = non_idempotent("a");
  request.task_count = 3;
  submit(request);
  place("a", 0);
  CHECK(count<write_intent>() == 1);
  place("a", 1);
  CHECK(count<write_intent>() == 0);
  step(intent_durable{"a"});
  CHECK(count<send_start>() == 2);
  place("a", 2);
  CHECK(count<send_start>() == 1);
}

TEST_CASE_METHOD(
    requests_fixture,
    "a non-idempotent request whose start got no reply becomes unknown") {
  submit(non_idempotent("a"));
  place("a");
  step(intent_durable{"a"});
  job::attempt_key key = job::from_wire(find<send_start>()->task.key());
  step(start_unanswered{key});
  CHECK(effects.empty());
  SECTION("unless the worker reports the end") {
    end(key);
    CHECK(replied() == wire::answered);
  }
  SECTION("unless the start is confirmed late") {
    step(start_answered{key, wire::started});
    advance(state.options.task_lease);
    CHECK(count<reply>() == 0);
  }
  SECTION("after a lease, and a stop releases its resources") {
    advance(state.options.task_lease);
    CHECK(replied() == wire::unknown);
    CHECK(count<send_stop>() == 1);
    submit(non_idempotent("a"), 2);
    CHECK(replied() == wire::unknown);
    CHECK(count<enqueue>() == 0);
    step(stop_answered{key, wire::never_started});
    CHECK(count<release_resources>() == 1);
    step(queried{"a", {"", 3, true}});
    CHECK(replied() == wire::not_run);
  }
}

TEST_CASE_METHOD(
    requests_fixture,
    "an idempotent request whose start got no reply is stopped and restarted") {
  submit(make_request("a"));
  job::attempt_key first = place("a");
  step(start_unanswered{first});
  CHECK(count<send_stop>() == 1);
  CHECK(count<enqueue>() == 0);
  SECTION("the stop is confirmed") {
    step(stop_answered{first, wire::stop_confirmed});
    CHECK(count<release_resources>() == 1);
    CHECK(count<enqueue>() == 1);
    job::attempt_key second = place("a");
    CHECK(second.attempt != first.attempt);
    end(first);
    CHECK(effects.empty());
    end(second);
    CHECK(replied() == wire::answered);
  }
  SECTION("the task had ended") {
    step(stop_answered{first, wire::already_ended});
    CHECK(effects.empty());
    end(first);
    CHECK(replied() == wire::answered);
  }
}

TEST_CASE_METHOD(requests_fixture,
                 "refused starts are repeated up to the limit of attempts") {
  submit(make_request("a"));
  for (std::uint32_t i = 0; i < state.options.max_attempts; ++i) {
    CHECK(count<enqueue>() == 1);
    step(start_answered{place("a"), wire::rejected});
    CHECK(count<release_resources>() == 1);
  }
  CHECK(replied() == wire::not_run);
}

TEST_CASE_METHOD(requests_fixture,
                 "a fenced start redirects the waiters to the new owner") {
  submit(make_request("a"));
  step(start_answered{place("a"), wire::fenced});
  REQUIRE(count<reply>() == 1);
  CHECK(find<reply>()->wrong_owner);
  CHECK(state.by_id.empty());
  // The starts under this epoch are forgotten, so submissions under it are
  // redirected too.
  submit(make_request("a"), 2);
  REQUIRE(count<reply>() == 1);
  CHECK(find<reply>()->wrong_owner);
  step(submitted{make_request("a"), {"", 3, true}, kEpoch + 1});
  CHECK(count<enqueue>() == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "idempotent tasks of a lost worker are placed again") {
  job::attempt_key key = run(make_request("a"));
  step(worker_lost{"w2"});
  CHECK(effects.empty());
  step(worker_lost{"w1"});
  CHECK(count<release_resources>() == 1);
  CHECK(count<enqueue>() == 1);
  end(key);
  CHECK(effects.empty());
}

TEST_CASE_METHOD(
    requests_fixture,
    "non-idempotent tasks of a lost worker make their request unknown") {
  job::attempt_key key = run(non_idempotent("a"));
  step(worker_lost{"w1"});
  CHECK(replied() == wire::unknown);
  CHECK(count<enqueue>() == 0);
  // A late report of the worker resolves the outcome for later queries.
  end(key);
  step(queried{"a", {"", 2, true}});
  CHECK(replied() == wire::answered);
}

TEST_CASE_METHOD(requests_fixture,
                 "a gang that loses a task is restarted as a whole") {
  submit(of_kind("g", job::job_class::gang, 2));
  job::attempt_key first = place("g", 0, "w1");
  job::attempt_key second = place("g", 1, "w2");
  step(start_answered{first, wire::started});
  step(start_answered{second, wire::started});
  step(worker_lost{"w1"});
  CHECK(count<send_stop>() == 1);
  CHECK(count<enqueue>() == 0);
  step(stop_answered{second, wire::stop_confirmed});
  REQUIRE(count<enqueue>() == 1);
  CHECK(find<enqueue>()->tasks.size() == 2);
  end(place("g", 0, "w2"));
  end(place("g", 1, "w2"));
  REQUIRE(replied() == wire::answered);
  CHECK(find<reply>()->outcome.answers_size() == 2);
}

TEST_CASE_METHOD(requests_fixture,
                 "a service task that ends is started again after a backoff") {
  submit(of_kind("s", job::job_class::service, 1));
  job::attempt_key key = place("s");
  step(start_answered{key, wire::started});
  end(key, wire::failed);
  CHECK(count<reply>() == 0);
  CHECK(count<enqueue>() == 0);
  advance(state.options.retry_after);
  CHECK(count<enqueue>() == 1);
  key = place("s");
  step(start_answered{key, wire::started});
  step(cancelled{"s", {"", 2, true}});
  step(stop_answered{key, wire::stop_confirmed});
  CHECK(replied() == wire::answered);
}

TEST_CASE_METHOD(
    requests_fixture,
    "a preempted task is placed again, beyond the limit of attempts") {
  job::attempt_key key = run(make_request("a"));
  for (int i = 0; i < 5; ++i) {
    step(task_ended{key, wire::stopped, 0, "", "w1"});
    REQUIRE(count<enqueue>() == 1);
    key = place("a");
    step(start_answered{key, wire::started});
  }
  end(key);
  CHECK(replied() == wire::answered);
}

}  // namespace ebonygrade::requests
