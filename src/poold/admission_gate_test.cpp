// Refusals at the owner: that a refused job isn't in the journal or on its way
// there, and what callers are told.
#include "poold/admission_gate.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

constexpr char kJobA[] = "00000000000000a1";
constexpr milliseconds kQuiet{5100};  // After which refusals may be given.
constexpr pool::unix_time kWall =
    pool::unix_time(milliseconds(1'800'000'000'000));

// An owner whose pool can't serve anything in time.
struct fixture {
  pool::pool_state pool;
  measurements measured;
  steady_time now = steady_time(std::chrono::hours(1));
  admission_gate gate{pool, measured, now};
  // Of the last submission; the inner value is empty if it was admitted.
  std::optional<std::optional<std::chrono::seconds>> decided;

  fixture() {
    pool.admission.enabled = true;
    advance(kQuiet);
  }

  void advance(milliseconds by) {
    now += by;
    pool.admission.load.made_at = now;
  }

  static jobs::record submission(const std::string& id) {
    wire::job_submission job;
    job.set_queue("r");
    wire::step_definition* step = job.add_steps();
    step->set_count(1);
    step->set_cpu_milli(100);
    step->set_estimate_ms(100);
    job.mutable_terms()->set_priority(2);
    job.mutable_terms()->set_stretch(2);
    return {jobs::submission_key(id), job.SerializeAsString(), 0};
  }

  void offer(const std::string& id, bool maybe_stored = false) {
    decided.reset();
    gate.offer(submission(id), maybe_stored, now, kWall,
               [this](std::optional<std::chrono::seconds> retry_after) {
                 decided = retry_after;
               });
  }
  void read_journal() {
    advance(milliseconds(50));
    gate.settle(now - milliseconds(10), now, kWall);
  }
  bool refuses(const std::string& id, bool maybe_stored = false) {
    offer(id, maybe_stored);
    read_journal();
    REQUIRE(decided);
    return decided->has_value();
  }
};

TEST_CASE("a refusal waits for a read of the journal") {
  fixture test;
  test.offer(kJobA);
  CHECK_FALSE(test.decided);
  test.gate.settle(test.now - milliseconds(1), test.now, kWall);
  CHECK_FALSE(test.decided);
  test.read_journal();
  REQUIRE(test.decided);
  REQUIRE(test.decided->has_value());
  CHECK((*test.decided)->count() >= 1);
  std::string text;
  test.gate.append_metrics(&text);
  CHECK(text.find("refused_submissions_total{queue=\"r\"} 1") !=
        std::string::npos);
}

// Guards against waits for refusals, and against refusals on a slow store,
// whose journal may have the job.
TEST_CASE("without a read of the journal a held submission is admitted") {
  fixture test;
  test.offer(kJobA);
  test.advance(kMaxHoldTime + milliseconds(1));
  test.gate.settle(steady_time(), test.now, kWall);
  REQUIRE(test.decided);
  CHECK_FALSE(test.decided->has_value());
}

// Each case guards against a caller that is told "not run" of a job in the
// journal.
TEST_CASE("a job that may be stored is not refused") {
  fixture test;
  SECTION("it was given to this owner before") {
    test.offer(kJobA, true);
    CHECK_FALSE(test.refuses(kJobA));
    CHECK(test.refuses("00000000000000a2"));
  }
  SECTION("its entry daemon has an attempt without an answer") {
    CHECK_FALSE(test.refuses(kJobA, true));
  }
  SECTION("it arrives from the journal while its refusal is held") {
    test.offer(kJobA);
    test.pool.jobs[kJobA];
    test.read_journal();
    REQUIRE(test.decided);
    CHECK_FALSE(test.decided->has_value());
  }
  SECTION("it has ended") {
    test.pool.ended_jobs[kJobA] = milliseconds(0);
    CHECK_FALSE(test.refuses(kJobA));
  }
  SECTION("another daemon appends by itself") {
    test.gate.on_submission("00000000000000a2", test.now);
    CHECK_FALSE(test.refuses(kJobA));
    test.advance(kQuiet);
    CHECK(test.refuses("00000000000000a3"));
  }
  SECTION("another daemon waits for an append of its own") {
    test.offer(kJobA);
    test.gate.on_direct_append(test.now);
    test.read_journal();
    REQUIRE(test.decided);
    CHECK_FALSE(test.decided->has_value());
  }
  SECTION("a daemon is silent and may append by itself") {
    test.gate.on_daemon("n2", test.now);
    CHECK(test.refuses("00000000000000a2"));
    test.advance(milliseconds(1700));
    CHECK_FALSE(test.refuses(kJobA));
    test.advance(milliseconds(11000));
    CHECK(test.refuses("00000000000000a3"));
  }
  SECTION("the owner has just taken over") {
    admission_gate fresh(test.pool, test.measured, test.now);
    bool admitted = false;
    fresh.offer(fixture::submission(kJobA), false, test.now, kWall,
                [&](std::optional<std::chrono::seconds> retry_after) {
                  admitted = !retry_after;
                });
    CHECK(admitted);
  }
}

TEST_CASE("records other than submissions are never refused") {
  fixture test;
  test.gate.offer({jobs::cancellation_key(kJobA), "x", 0}, false, test.now,
                  kWall, [&](std::optional<std::chrono::seconds> retry_after) {
                    test.decided = retry_after;
                  });
  REQUIRE(test.decided);
  CHECK_FALSE(test.decided->has_value());
}

TEST_CASE("what is held is admitted when the owner stops") {
  fixture test;
  test.offer(kJobA);
  test.gate.stop();
  REQUIRE(test.decided);
  CHECK_FALSE(test.decided->has_value());
}

TEST_CASE("too many recent ids make all of them possible") {
  recent_ids ids(milliseconds(1000), 2);
  steady_time now = steady_time(std::chrono::hours(1));
  ids.add("a", now);
  ids.add("b", now);
  CHECK(ids.may_contain("a", now));
  CHECK_FALSE(ids.may_contain("c", now));
  ids.add("d", now);
  CHECK(ids.may_contain("c", now));
  CHECK_FALSE(ids.may_contain("a", now + milliseconds(2000)));
}

TEST_CASE("the time to come back passes between daemons") {
  http::response reply = refusal_response(std::chrono::seconds(17));
  CHECK(reply.result_int() == 429);
  CHECK(reply.body().find("not run") != std::string::npos);
  CHECK(retry_after_of(reply) == std::chrono::seconds(17));
  CHECK(retry_after_of(http::response()) == std::chrono::seconds(1));
}

// Whether each of two daemons, one of them the owner, refuses a job.
bool both_refuse(cell* test, std::string* refused_job) {
  int number = 0;
  for (std::size_t node = 0; node < 2; ++node) {
    bool refused = test->wait_until([&] {
      std::string id = fmt::format("{:016x}", 0xb00 + ++number);
      std::optional<http::response> reply = test->exchange(
          node, http::verb::post, "/q/" + id,
          R"({"spec":"s","steps":[{"count":1,"cpu":4000,"memMb":1,)"
          R"("estMs":3000}]})");
      if (!reply || reply->result_int() != 429) return false;
      *refused_job = id;
      return !(*reply)[boost::beast::http::field::retry_after].empty() &&
             reply->body().find("not run") != std::string::npos;
    });
    if (!refused) return false;
  }
  return true;
}

TEST_CASE("callers of every daemon are refused while the pool is full") {
  cell test;
  test.admission_enabled = true;
  test.store.put("keyed.op", "config", kManifest);
  test.add_worker("w1", milliseconds(3000));
  REQUIRE(test.start_owner_and_standby());
  std::string accepted;
  for (int i = 0; i < 40; ++i) {
    accepted = fmt::format("{:016x}", 0xa00 + i);
    CHECK(test.call(0, http::verb::post, "/q/" + accepted,
                    R"({"spec":"s","steps":[{"count":1,"cpu":4000,"memMb":1,)"
                    R"("estMs":3000}]})")
              .first == 200);
  }
  std::string refused;
  REQUIRE(both_refuse(&test, &refused));
  const std::vector<standin::stored_record>& stored =
      test.store.records("keyed.journal");
  CHECK(std::none_of(stored.begin(), stored.end(), [&](const auto& each) {
    return each.key == jobs::submission_key(refused);
  }));
  CHECK(test.call(1, http::verb::post, "/q/" + accepted,
                  R"({"spec":"s","steps":[{"count":1,"cpu":4000,"memMb":1,)"
                  R"("estMs":3000}]})")
            .first == 200);
}

}  // namespace

}  // namespace ebonygrade::poold
