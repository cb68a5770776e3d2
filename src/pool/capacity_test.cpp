// Tests of workers whose capacity changes while they run.
#include <catch2/catch.hpp>

#include "pool/pool_pvt.h"
#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";

void resize(test_pool* pool, std::int64_t cpu_milli, std::uint64_t revision) {
  worker_entry entry = pool->state.workers.at("w1").entry;
  entry.capacity.cpu_milli = cpu_milli;
  entry.revision = revision;
  observe_worker_entry(&pool->state, entry, pool->now);
}

// Guards against starts over a capacity that has shrunk: a read of the
// discovery topic may return an older entry after a newer one.
TEST_CASE("an older entry doesn't bring a former capacity back") {
  test_pool pool;
  pool.add_worker("w1");
  resize(&pool, 1000, 8);
  resize(&pool, 4000, 7);
  pool.submit(kJob, {test_pool::step(4, 1000)});
  CHECK(pool.round().size() == 1);
  resize(&pool, 4000, 9);
  CHECK(pool.round().size() == 3);
}

TEST_CASE("a start isn't sent once its worker's capacity has shrunk") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(4, 1000)});
  decide(&pool.state, pool.now, pool.wall);
  journal_batch batch = take_batch(&pool.state, pool.now);
  REQUIRE(batch.starts.size() == 4);
  resize(&pool, 2000, 2);
  CHECK(observe_batch_written(&pool.state, batch, pool.now).size() == 2);
  CHECK(pool.state.workers.at("w1").used.cpu_milli == 2000);
}

TEST_CASE("a start isn't repeated once its worker's capacity has shrunk") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(2, 2000)});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 2);
  pool.confirm({starts[0]});
  observe_start(&pool.state, starts[1], start_outcome::unknown, pool.now);
  resize(&pool, 2000, 2);
  pool.advance(milliseconds(100));
  pool.report("w1", {{}, 1, {reported_run_of(starts[0])}, {}});
  decisions orders;
  pool.round(&orders);
  CHECK(orders.repeated_starts.empty());
  REQUIRE(orders.stops.size() == 1);
  CHECK(orders.stops[0].task == starts[1].task);
}

// Work that has begun isn't lost for a change of capacity.
TEST_CASE("a worker over its capacity keeps its runs and gets no others") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(2, 2000)});
  std::vector<start_order> starts = pool.round();
  pool.confirm(starts);
  resize(&pool, 1000, 2);
  wire::step_definition fills = test_pool::step(1, 1000);
  fills.set_fills(true);
  pool.submit("00000000000000ab", {fills});
  decisions orders;
  CHECK(pool.round(&orders).empty());
  CHECK(orders.stops.empty());
  CHECK(pool.state.workers.at("w1").placements.size() == 2);
}

}  // namespace

}  // namespace ebonygrade::pool
