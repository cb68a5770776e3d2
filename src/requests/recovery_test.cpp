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

TEST_CASE_METHOD(requests_fixture, "a found task is adopted and answered") {
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

TEST_CASE_METHOD(requests_fixture, "what was not found is started if it may") {
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

TEST_CASE_METHOD(requests_fixture, "an intent without its task: unknown") {
  job::request request = make_request("a");
  request.idempotent = false;
  step(intent_found{"a", kHome});
  step(queried{"a", {"", 1, false}});
  CHECK(replied() == wire::unknown);
  submit(request);
  CHECK(replied() == wire::unknown);
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(requests_fixture, "an intent with its task: the answer") {
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
                 "tasks of a non-idempotent request not found") {
  job::request request = make_request("a");
  request.idempotent = false;
  request.task_count = 2;
  step(task_found{record_of("a", 0, false, wire::completed), "w1", kHome});
  submit(request);
  CHECK(replied() == wire::unknown);
  CHECK(find<reply>()->outcome.answers_size() == 1);
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(requests_fixture, "cancelling a found intent isn't not run") {
  step(intent_found{"a", kHome});
  step(cancelled{"a", {"", 1, true}});
  CHECK(replied() == wire::unknown);
  job::request request = make_request("a");
  request.idempotent = false;
  submit(request);
  CHECK(replied() == wire::unknown);
}

TEST_CASE_METHOD(requests_fixture, "our own attempt found again is confirmed") {
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
                 "of two attempts found the older is stopped") {
  wire::task_record newer = record_of("a", 0, true);
  newer.mutable_key()->set_attempt(9 << 24);
  wire::task_record older = record_of("a", 0, true);
  SECTION("older last") {
    step(task_found{newer, "w1", kHome});
    step(task_found{older, "w2", kHome});
  }
  SECTION("older first") {
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

TEST_CASE_METHOD(requests_fixture, "a late refusal doesn't end a found task") {
  wire::task_record record = record_of("a", 0, true);
  step(task_found{record, "w1", kHome});
  step(start_answered{job::from_wire(record.key()), wire::fenced});
  CHECK(effects.empty());
  submit(make_request("a"));
  CHECK(count<enqueue>() == 0);
}

TEST_CASE_METHOD(requests_fixture, "a later attempt replaces a found answer") {
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

TEST_CASE_METHOD(requests_fixture, "callers of a lost shard are sent on") {
  run(make_request("a"));
  submit(make_request("b"), 2);
  step(shard_lost{{0, 2}});
  CHECK(effects.empty());
  step(shard_lost{kHome});
  CHECK(count<reply>() == 2);
  CHECK(find<reply>()->wrong_owner);
  CHECK(state.by_id.empty());
}

TEST_CASE_METHOD(requests_fixture, "found requests that nobody wants expire") {
  step(intent_found{"a", kHome});
  for (int i = 0; i < 7; ++i) {
    advance(state.options.outcome_retention);
  }
  CHECK(state.by_id.empty());
}

}  // namespace ebonygrade::requests
