#include <catch2/catch.hpp>

#include "requests/requests_fixture.h"

namespace ebonygrade::requests {

namespace {

wire::task_record record_of(const std::string& id, std::uint32_t index,
                            bool idempotent,
                            wire::task_end end = wire::task_end_unspecified) {
  wire::task_record record;
  record.mutable_key()->set_request_id(id);
  record.mutable_key()->set_task_index(index);
  record.mutable_key()->set_attempt((3 << 24) + index);
  record.set_idempotent(idempotent);
  record.set_end(end);
  record.set_class_(wire::batch);
  return record;
}

}  // namespace

TEST_CASE_METHOD(
    requests_fixture,
    "a task found on a worker is adopted and answers its request") {
  wire::task_record record = record_of("a", 0, true);
  step(task_found{record, "w1", kHome});
  CHECK(count<adopt_task>() == 1);
  step(queried{"a", {"", 1, false}});
  CHECK(find<reply>()->outcome.running_tasks() == 1);
  submit(make_request("a"));
  CHECK(effects.empty());
  end(job::from_wire(record.key()));
  CHECK(replied() == wire::answered);
}

TEST_CASE_METHOD(
    requests_fixture,
    "tasks of an idempotent request that weren't found are started") {
  job::request request = make_request("a");
  request.task_count = 2;
  step(task_found{record_of("a", 1, true, wire::completed), "w1", kHome});
  submit(request);
  REQUIRE(count<enqueue>() == 1);
  CHECK(find<enqueue>()->tasks == std::vector<std::uint32_t>{0});
  end(place("a", 0));
  REQUIRE(replied() == wire::answered);
  CHECK(find<reply>()->outcome.answers_size() == 2);
}

TEST_CASE_METHOD(
    requests_fixture,
    "an intent without a task on a worker makes the request unknown") {
  job::request request = make_request("a");
  request.idempotent = false;
  step(intent_found{"a", kHome});
  step(queried{"a", {"", 1, false}});
  CHECK(replied() == wire::unknown);
  submit(request);
  CHECK(replied() == wire::unknown);
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(
    requests_fixture,
    "an intent with a task on a worker waits for the task's answer") {
  job::request request = make_request("a");
  request.idempotent = false;
  step(intent_found{"a", kHome});
  wire::task_record record = record_of("a", 0, false);
  step(task_found{record, "w1", kHome});
  submit(request);
  CHECK(effects.empty());
  end(job::from_wire(record.key()));
  CHECK(replied() == wire::answered);
}

TEST_CASE_METHOD(requests_fixture,
                 "missing tasks of a non-idempotent request make it unknown") {
  job::request request = make_request("a");
  request.idempotent = false;
  request.task_count = 2;
  step(task_found{record_of("a", 0, false, wire::completed), "w1", kHome});
  submit(request);
  CHECK(replied() == wire::unknown);
  CHECK(find<reply>()->outcome.answers_size() == 1);
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(
    requests_fixture,
    "cancelling a request found by its intent replies unknown, not not_run") {
  step(intent_found{"a", kHome});
  step(cancelled{"a", {"", 1, true}});
  CHECK(replied() == wire::unknown);
  job::request request = make_request("a");
  request.idempotent = false;
  submit(request);
  CHECK(replied() == wire::unknown);
}

TEST_CASE_METHOD(requests_fixture,
                 "finding the current attempt on a worker confirms its start") {
  submit(make_request("a"));
  job::attempt_key key = place("a");
  wire::task_record record = record_of("a", 0, true);
  *record.mutable_key() = job::to_wire(key);
  step(task_found{record, "w1", kHome});
  CHECK(count<adopt_task>() == 0);
  CHECK(task("a").phase == task_phase::running);
  CHECK(count<task_started>() == 1);
}

TEST_CASE_METHOD(requests_fixture,
                 "the older of two running attempts of a task is stopped") {
  wire::task_record newer = record_of("a", 0, true);
  newer.mutable_key()->set_attempt(9 << 24);
  wire::task_record older = record_of("a", 0, true);
  SECTION("older found last") {
    step(task_found{newer, "w1", kHome});
    step(task_found{older, "w2", kHome});
  }
  SECTION("older found first") {
    step(task_found{older, "w2", kHome});
    step(task_found{newer, "w1", kHome});
  }
  REQUIRE(count<send_stop>() == 1);
  CHECK(find<send_stop>()->worker == "w2");
  CHECK(task("a").worker == "w1");
  step(stop_answered{job::from_wire(older.key()), wire::stop_confirmed});
  REQUIRE(count<release_resources>() == 1);
  CHECK(find<release_resources>()->worker == "w2");
}

TEST_CASE_METHOD(requests_fixture,
                 "a late refusal of its start doesn't end a running task") {
  wire::task_record record = record_of("a", 0, true);
  step(task_found{record, "w1", kHome});
  step(start_answered{job::from_wire(record.key()), wire::fenced});
  CHECK(effects.empty());
  submit(make_request("a"));
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(
    requests_fixture,
    "a later running attempt replaces the answer of an earlier one") {
  wire::task_record later = record_of("a", 0, true);
  later.mutable_key()->set_attempt(9 << 24);
  step(task_found{record_of("a", 0, true, wire::completed), "w1", kHome});
  step(task_found{later, "w2", kHome});
  submit(make_request("a"));
  CHECK(count<reply>() == 0);
  end(job::from_wire(later.key()));
  REQUIRE(replied() == wire::answered);
  CHECK(find<reply>()->outcome.answers_size() == 1);
}

TEST_CASE_METHOD(requests_fixture, "waiters of a lost shard are redirected") {
  run(make_request("a"));
  submit(make_request("b"), 2);
  step(shard_lost{{0, 2}});
  CHECK(effects.empty());
  step(shard_lost{kHome});
  CHECK(count<reply>() == 2);
  CHECK(find<reply>()->wrong_owner);
  CHECK(state.by_id.empty());
}

TEST_CASE_METHOD(requests_fixture,
                 "found requests that nobody submits expire") {
  step(intent_found{"a", kHome});
  for (int i = 0; i < 7; ++i) {
    advance(state.options.outcome_retention);
  }
  CHECK(state.by_id.empty());
}

}  // namespace ebonygrade::requests
