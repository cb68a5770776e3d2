// Tests that what is known of one incarnation of a worker isn't used for the
// next one under the same id.
#include <catch2/catch.hpp>

#include "pool/pool_pvt.h"
#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr milliseconds kTicketValidity{2000};
// An order may be carried out this long after it was sent.
constexpr milliseconds kLatestOrder{12000};

worker_report report_of(std::int64_t incarnation_ms) {
  worker_report report;
  report.incarnation_ms = incarnation_ms;
  return report;
}

// The worker restarts. Its entry follows its first report, and it replies to a
// poll that was sent after that.
void restart(test_pool* pool, const std::string& id,
             std::int64_t incarnation_ms) {
  pool->report(id, report_of(incarnation_ms));
  pool->read_restart(id, incarnation_ms);
  pool->report(id, report_of(incarnation_ms));
}

// Starts that carry a ticket of an earlier incarnation are refused, and the
// task waits for another round and another request.
struct advised_pool : test_pool {
  advised_pool() {
    policy.needs_advice = true;
    policy.advice_validity = kTicketValidity;
    set_queues(&state, {{kQueue, policy}});
    add_worker("w1");
    submit(kJob, {step(1, 1000)});
  }

  advice_request request() {
    decisions out;
    CHECK(round(&out).empty());
    REQUIRE(out.advice.size() == 1);
    CHECK(out.advice[0].workers == std::vector<std::string>{"w1"});
    return out.advice[0];
  }
  void grant(const advice_request& request, const std::string& value) {
    observe_advice(&state, request, true, {{"w1", value}},
                   now + kTicketValidity, now);
  }
};

TEST_CASE("a ticket of an earlier incarnation isn't used") {
  advised_pool pool;
  pool.grant(pool.request(), "t1");
  pool.advance(milliseconds(100));
  restart(&pool, "w1", 2);
  // The worker may still run the step, which needs a new ticket.
  pool.grant(pool.request(), "t2");
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].ticket == "t2");
}

TEST_CASE("a ticket that was requested for an earlier incarnation isn't used") {
  advised_pool pool;
  advice_request first = pool.request();
  restart(&pool, "w1", 2);
  pool.grant(first, "t1");
  pool.grant(pool.request(), "t2");
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].ticket == "t2");
}

// The new incarnation may lack the label or the room for which the worker was
// chosen, and its tickets are others.
TEST_CASE(
    "a start isn't sent if its worker restarts before the journal write") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  decide(&pool.state, pool.now, pool.wall);
  journal_batch batch = take_batch(&pool.state, pool.now);
  REQUIRE(batch.starts.size() == 1);
  restart(&pool, "w1", 2);
  CHECK(observe_batch_written(&pool.state, batch, pool.now).empty());
  pool.advance(milliseconds(10));
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].incarnation_ms == 2);
  CHECK(starts[0].run == 2);
}

// The start was on its way when the worker restarted, and the new incarnation
// confirmed it. The owner hears of that incarnation later.
TEST_CASE("a run that a new incarnation confirmed before its entry is kept") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  pool.confirm(starts);
  pool.add_worker("w2");
  worker_report report = report_of(2);
  report.running.push_back(reported_run_of(starts[0]));
  bool by_entry = GENERATE(true, false);
  CAPTURE(by_entry);
  if (by_entry) {
    pool.read_restart("w1");
    CHECK(pool.round().empty());
    pool.advance(milliseconds(100));
  }
  pool.report("w1", report);
  CHECK(pool.round().empty());
  pool.advance(milliseconds(100));
  report.running.clear();
  report.ended.push_back(reported_end_of(1, starts[0], end_kind::done));
  pool.report("w1", report);
  CHECK(pool.round().empty());
  CHECK(pool.job_state(kJob) == jobs::state::complete);
}

// A start on a worker without the label, or without the room, breaks the step's
// constraints.
TEST_CASE("a restarted worker gets no starts by its former label or room") {
  test_pool pool;
  pool.add_worker("w1");
  worker_entry former = pool.state.workers.at("w1").entry;
  former.kind = "large";
  observe_worker_entry(&pool.state, former, pool.now);
  wire::step_definition step = test_pool::step(1, 1000);
  step.set_required_label("large");
  pool.report("w1", report_of(2));
  pool.report("w1", report_of(2));
  pool.submit(kJob, {step});
  CHECK(pool.round().empty());
  // An entry that is read late doesn't describe the new incarnation either.
  observe_worker_entry(&pool.state, former, pool.now);
  CHECK(pool.round().empty());
  worker_entry current = former;
  current.incarnation_ms = 2;
  SECTION("of another kind") {
    current.kind = "small";
    observe_worker_entry(&pool.state, current, pool.now);
    CHECK(pool.round().empty());
  }
  SECTION("of the same kind") {
    observe_worker_entry(&pool.state, current, pool.now);
    CHECK(pool.round().size() == 1);
  }
}

// A copy could begin the run in a new incarnation after an earlier copy did in
// the former one.
TEST_CASE("a start isn't repeated before the worker knows the raised token") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  observe_start(&pool.state, starts[0], start_outcome::unknown, pool.now);
  observe_connection_lost(&pool.state, "w1");
  pool.advance(milliseconds(100));
  decisions orders;
  pool.round(&orders);
  CHECK(orders.repeated_starts.empty());
  CHECK(orders.stops.empty());
  pool.report("w1", {});
  pool.round(&orders);
  CHECK(orders.repeated_starts.size() == 1);
}

TEST_CASE("a start before a second loss of the connection is refused later") {
  test_pool pool;
  pool.add_worker("w1");
  observe_connection_lost(&pool.state, "w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  observe_connection_lost(&pool.state, "w1");
  CHECK(fencing_token(pool.state, "w1") > starts[0].fencing_token);
}

TEST_CASE("a worker that departs and returns refuses its former starts") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  observe_start(&pool.state, starts[0], start_outcome::unknown, pool.now);
  observe_worker_removed(&pool.state, "w1", pool.now);
  for (int i = 0; i < 2; ++i) {
    pool.advance(milliseconds(10000));
    pool.round();
  }
  REQUIRE(pool.state.workers.count("w1") == 0);
  pool.add_worker("w1");
  CHECK(fencing_token(pool.state, "w1") > starts[0].fencing_token);
}

// Guards against two runs at the same time: the start of an earlier incarnation
// reaches the next one, where it has a lease from then on.
TEST_CASE(
    "a start that may reach a new incarnation is kept for a lease of it") {
  test_pool pool;
  pool.add_worker("w1");
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.round().size() == 1);
  pool.advance(isolation_limit(pool.state.limits) + kLatestOrder +
               milliseconds(1000));
  pool.read_restart("w1");
  pool.add_worker("w2");
  pool.advance(pool.state.limits.lease);
  pool.report("w2", {});
  CHECK(pool.round().empty());
  pool.advance(milliseconds(1000));
  pool.report("w2", {});
  CHECK(pool.round().size() == 1);
}

// A run on w1, which no longer replies. Only w2 can take its task.
struct silent_worker : test_pool {
  silent_worker() {
    // Past the latest order of an earlier owner.
    advance(isolation_limit(state.limits) + 2 * kLatestOrder);
    add_worker("w1");
    submit(kJob, {step(1, 1000)});
    starts = round();
  }
  // Whether the task is placed again within `time`.
  bool is_placed_within(milliseconds time) {
    constexpr milliseconds kStep{500};
    if (state.workers.count("w2") == 0) add_worker("w2");
    for (; time.count() > 0; time -= kStep) {
      advance(kStep);
      report("w2", {});
      if (!round().empty()) return true;
    }
    return false;
  }
  std::vector<start_order> starts;
};

// Guards against two runs at the same time: the clock of a new incarnation
// starts anew, so an order of its former one gives it a whole lease whenever it
// is carried out.
TEST_CASE("a start that a new incarnation may carry out late is waited for") {
  silent_worker pool;
  pool.advance(milliseconds(100));
  pool.read_restart("w1");
  CHECK_FALSE(pool.is_placed_within(kLatestOrder + pool.state.limits.lease));
  CHECK(pool.is_placed_within(milliseconds(1500)));
}

TEST_CASE("late orders of an earlier owner are waited for") {
  silent_worker pool;
  pool.take_over();
  // Of this owner's own start, the earlier one's late polls extend the lease.
  bool own_start = GENERATE(false, true);
  CAPTURE(own_start);
  if (own_start) {
    pool.add_worker("w1");
    REQUIRE(pool.round().size() == 1);
  }
  pool.read_restart("w1");
  // The earlier owner may have sent orders until then.
  milliseconds latest_sent = isolation_limit(pool.state.limits);
  CHECK_FALSE(pool.is_placed_within(latest_sent + kLatestOrder +
                                    pool.state.limits.lease));
  CHECK(pool.is_placed_within(milliseconds(1500)));
}

// A new incarnation that the owner doesn't know of may have confirmed it.
TEST_CASE("a run has a lease from when its start was confirmed") {
  silent_worker pool;
  pool.advance(milliseconds(500));
  pool.confirm(pool.starts);
  CHECK_FALSE(pool.is_placed_within(pool.state.limits.lease));
  CHECK(pool.is_placed_within(milliseconds(1500)));
}

// A refused start of the job's task that w1 carries out nonetheless, while the
// task is placed on w2.
struct unexpected_run : test_pool {
  unexpected_run() {
    add_worker("w1");
    submit(kJob, {step(1, 1000)});
    first = round().at(0);
    observe_start(&state, first, start_outcome::no_capacity, now);
    state.workers["w1"].avoid_until = now + milliseconds(60000);
    add_worker("w2");
    advance(milliseconds(10));
  }
  void report_first() {
    worker_report report;
    report.running.push_back(reported_run_of(first));
    this->report("w1", report);
  }
  start_order first;
};

TEST_CASE("a start isn't sent while an earlier run of its task is reported") {
  unexpected_run pool;
  decide(&pool.state, pool.now, pool.wall);
  journal_batch batch = take_batch(&pool.state, pool.now);
  REQUIRE(batch.starts.size() == 1);
  pool.report_first();
  CHECK(observe_batch_written(&pool.state, batch, pool.now).empty());
  CHECK(pool.round().empty());
  pool.advance(milliseconds(10));
  pool.report("w1", {});
  CHECK(pool.round().size() == 1);
}

TEST_CASE("a task isn't placed while one of two runs of it goes on") {
  unexpected_run pool;
  std::vector<start_order> second = pool.round();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].worker == "w2");
  pool.confirm(second);
  pool.advance(milliseconds(10));
  worker_report running;
  running.running.push_back(reported_run_of(second[0]));
  pool.report("w2", running);
  pool.report_first();
  pool.round();
  pool.advance(milliseconds(10));
  pool.report("w2", report_of(2));
  pool.add_worker("w3");
  CHECK(pool.round().empty());
  pool.report_first();
  CHECK(pool.round().empty());
  pool.advance(milliseconds(10));
  pool.report("w1", {});
  CHECK(pool.round().size() == 1);
}

}  // namespace

}  // namespace ebonygrade::pool
