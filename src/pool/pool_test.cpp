// Jobs, runs and takeovers of a pool, step by step.
#include <catch2/catch.hpp>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";

TEST_CASE("a job of one task runs to its end") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == 1);
  CHECK(starts[0].until.count() > 0);
  CHECK(pool.shown(kJob) == jobs::state::running);
  pool.confirm(starts);
  pool.advance(milliseconds(1000));
  pool.hold("w1", {{}, 1, {}, {end_of(1, starts[0], end_kind::done)}});
  CHECK(pool.state.workers["w1"].acked_end == 0);
  CHECK(pool.shown(kJob) == jobs::state::running);
  pool.round();
  CHECK(pool.shown(kJob) == jobs::state::complete);
  CHECK(pool.state.workers["w1"].acked_end == 1);
  CHECK(pool.state.workers["w1"].used.cpu_milli == 0);
}

// Found by isma-painel scale-2: the cell lost power after the failure was in
// the journal and before the worker was told to forget the end.
TEST_CASE("a failed end that a later owner sees again counts once") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  pool.confirm(starts);
  end_row failed = end_of(1, starts[0], end_kind::failed);
  pool.hold("w1", {{}, 1, {}, {failed}});
  pool.round();
  pool.take_over();
  pool.add_worker("w1");
  pool.hold("w1", {{}, 1, {}, {failed}});
  pool.round();
  CHECK(pool.shown(kJob) == jobs::state::running);
  CHECK(pool.state.jobs[kJob].outcome == wire::OPEN);
}

// Found by isma-painel scale-2: gangs at the end of a day waited for each
// other's advice, one after the other, with most of the room free.
TEST_CASE("a gang that waits for advice doesn't hold up another one") {
  test_pool pool;
  pool.policy.needs_advice = true;
  pool.policy.priority = 1;
  pool.policy.advice_validity = milliseconds(2000);
  set_queues(&pool.state, {{kQueue, pool.policy}});
  for (int i = 0; i < 8; ++i) pool.add_worker("w" + std::to_string(i));
  wire::step_definition gang = test_pool::step(4, 3000);
  gang.set_gang(true);
  pool.submit("00000000000000aa", {gang});
  pool.submit("00000000000000ab", {gang});
  decisions first;
  pool.round(&first);
  REQUIRE(first.advice.size() == 2);
  // Both learn that they may use every worker, with tickets that expire.
  for (const advice_order& each : first.advice) {
    std::vector<ticket> tickets;
    for (const std::string& worker : each.workers) {
      tickets.push_back({worker, "t"});
    }
    observe_advice(&pool.state, each, true, tickets, pool.now, pool.now);
  }
  pool.advance(milliseconds(50));
  decisions second;
  pool.round(&second);
  CHECK(second.advice.size() == 2);
}

// Found by isma-painel, deploy/days/reborn-workers.toml, seed 245638162217.
TEST_CASE("workers that came after the first advice are asked about") {
  test_pool pool;
  pool.policy.needs_advice = true;
  pool.policy.advice_validity = milliseconds(2000);
  set_queues(&pool.state, {{kQueue, pool.policy}});
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  decisions first;
  pool.round(&first);
  REQUIRE(first.advice.size() == 1);
  CHECK(first.advice[0].workers == std::vector<std::string>{"w1"});
  observe_advice(&pool.state, first.advice[0], true, {{"w1", "t1"}}, pool.now,
                 pool.now);
  // The only worker that may run the step goes, another one comes.
  observe_entry_gone(&pool.state, "w1");
  pool.advance(milliseconds(500));
  pool.add_worker("w2");
  decisions second;
  pool.round(&second);
  REQUIRE(second.advice.size() == 1);
  CHECK(second.advice[0].workers == std::vector<std::string>{"w2"});
  observe_advice(&pool.state, second.advice[0], true, {{"w2", "t2"}},
                 pool.now + milliseconds(2000), pool.now);
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == "w2");
  CHECK(starts[0].ticket == "t2");
}

}  // namespace

}  // namespace ebonygrade::pool
