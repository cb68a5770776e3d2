// Replays of load patterns of a large pool: gangs that wait for tickets and
// room while small steps keep coming, and a backlog of jobs that are already
// late.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kSmallQueue[] = "queue-small";
constexpr char kUrgentQueue[] = "queue-urgent";
constexpr char kUrgentAdviceQueue[] = "queue-urgent-advice";
constexpr std::int64_t kWorkerCpu = 16000;

// Workers of 16 cores, a queue of gangs that need advice, queues of lower and
// of higher priority without advice, and one of higher priority with it.
struct loaded_pool : test_pool {
  explicit loaded_pool(int workers) {
    policy.needs_advice = true;
    policy.priority = 1;
    policy.advice_fixed = milliseconds(390);
    policy.advice_validity = milliseconds(2000);
    queue_policy small = policy;
    small.needs_advice = false;
    small.priority = 2;
    queue_policy urgent = small;
    urgent.priority = 0;
    queue_policy urgent_advice = urgent;
    urgent_advice.needs_advice = true;
    set_queues(&state, {{kQueue, policy},
                        {kSmallQueue, small},
                        {kUrgentQueue, urgent},
                        {kUrgentAdviceQueue, urgent_advice}});
    for (int i = 0; i < workers; ++i) add_worker(name(i), kWorkerCpu);
  }

  static std::string name(int worker) { return "w" + std::to_string(worker); }

  void submit_to(const char* queue, const std::string& id,
                 const wire::step_definition& step) {
    submit(id, {step}, queue);
  }

  void submit_gang(const std::string& id, std::uint32_t count,
                   std::uint32_t cpu_milli) {
    wire::step_definition gang = step(count, cpu_milli);
    gang.set_gang(true);
    submit_to(kQueue, id, gang);
  }

  // Fills every worker but for `free` thousandths of a core.
  void fill(int workers, std::uint32_t free) {
    wire::step_definition filler =
        step(static_cast<std::uint32_t>(workers),
             static_cast<std::uint32_t>(kWorkerCpu) - free);
    filler.set_max_per_worker(1);
    submit_to(kUrgentQueue, "00000000000000f0", filler);
    confirm(round());
  }

  // Submits urgent steps that need advice, and lets the time pass in which
  // their results have a value.
  void submit_worthless(int jobs, int workers) {
    for (int i = 0; i < jobs; ++i) {
      submit_to(kUrgentAdviceQueue, "00000000000001" + std::to_string(10 + i),
                step(1, 1000));
    }
    advance(milliseconds(20'000));
    for (int i = 0; i < workers; ++i) report(name(i), {});
  }

  // Grants every request the workers from `first` to `last` that it names.
  void grant(const std::vector<advice_request>& requests, int first, int last,
             milliseconds validity) {
    for (const advice_request& each : requests) {
      std::vector<ticket> tickets;
      for (int i = first; i <= last; ++i) {
        if (std::count(each.workers.begin(), each.workers.end(), name(i)) > 0) {
          tickets.push_back({name(i), "t"});
        }
      }
      observe_advice(&state, each, true, tickets, now + validity, now);
    }
  }

  std::set<std::string> held() const {
    std::set<std::string> names;
    for (const std::pair<const std::string, worker>& each : state.workers) {
      if (each.second.held_for_gang) names.insert(each.first);
    }
    return names;
  }
};

std::set<std::string> workers_of(const std::vector<start_order>& starts) {
  std::set<std::string> names;
  for (const start_order& each : starts) names.insert(each.worker);
  return names;
}

// Seen on the large deployment: 600 of 1,100 workers were held for gangs whose
// advice was still asked for, 40% of the pool idled and 30,000 cores waited.
TEST_CASE("no room is held on workers that the advice service may deny") {
  loaded_pool pool(8);
  pool.submit_gang("00000000000000aa", 8, 9000);
  decisions first;
  CHECK(pool.round(&first).empty());
  REQUIRE(first.advice.size() == 1);
  CHECK(pool.held().empty());
  pool.submit_to(kSmallQueue, "00000000000000ab", test_pool::step(8, 9000));
  CHECK(pool.round().size() == 8);
}

TEST_CASE("gangs collect room on their granted workers at the same time") {
  loaded_pool pool(20);
  pool.fill(20, 4000);
  // Their members leave nothing over on a worker of 16 cores.
  pool.submit_gang("00000000000000aa", 3, 8000);
  pool.submit_gang("00000000000000ab", 3, 8000);
  decisions asked;
  pool.round(&asked);
  REQUIRE(asked.advice.size() == 2);
  pool.grant({asked.advice[0]}, 0, 5, milliseconds(2000));
  pool.grant({asked.advice[1]}, 10, 15, milliseconds(2000));
  pool.round();
  std::set<std::string> held = pool.held();
  CHECK(held.size() == 12);
  CHECK(held.count("w0") == 1);
  CHECK(held.count("w10") == 1);
  // The room on other workers is for steps of lower priority.
  pool.submit_to(kSmallQueue, "00000000000000ac", test_pool::step(20, 3000));
  std::vector<start_order> starts = pool.round();
  CHECK(starts.size() == 8);
  for (const std::string& each : workers_of(starts)) {
    CHECK(held.count(each) == 0);
  }
}

// Small steps would otherwise take every core that becomes free.
TEST_CASE("a gang that needs the whole pool holds it") {
  loaded_pool pool(4);
  pool.policy.needs_advice = false;
  set_queues(&pool.state, {{kQueue, pool.policy}});
  pool.fill(4, 4000);
  pool.submit_gang("00000000000000aa", 4, 16000);
  pool.submit_to(kSmallQueue, "00000000000000ab", test_pool::step(4, 3000));
  CHECK(pool.round().empty());
  CHECK(pool.held().size() == 4);
}

// Tickets that are renewed before there is room expire unused, and the requests
// delay those of other steps.
TEST_CASE("a gang renews tickets only once it fits on granted workers") {
  loaded_pool pool(20);
  pool.fill(20, 4000);
  pool.submit_gang("00000000000000aa", 3, 6000);
  decisions asked;
  pool.round(&asked);
  REQUIRE(asked.advice.size() == 1);
  pool.grant(asked.advice, 0, 7, milliseconds(0));
  pool.advance(milliseconds(500));
  decisions waiting;
  pool.round(&waiting);
  CHECK(waiting.advice.empty());
  CHECK_FALSE(pool.held().empty());
  cancel_job(&pool.state, "00000000000000f0", pool.wall);
  for (int i = 0; i < 4; ++i) pool.report(loaded_pool::name(i), {});
  pool.advance(milliseconds(50));
  decisions renewed;
  pool.round(&renewed);
  REQUIRE(renewed.advice.size() == 1);
  for (const std::string& each : renewed.advice[0].workers) {
    CHECK(std::set<std::string>{"w0", "w1", "w2", "w3"}.count(each) == 1);
  }
}

TEST_CASE("urgent steps avoid workers on which a gang collects room") {
  loaded_pool pool(20);
  pool.fill(20, 4000);
  pool.submit_gang("00000000000000aa", 3, 6000);
  decisions asked;
  pool.round(&asked);
  pool.grant(asked.advice, 0, 5, milliseconds(2000));
  pool.round();
  std::set<std::string> held = pool.held();
  REQUIRE(held.size() == 6);
  pool.submit_to(kUrgentQueue, "00000000000000ab", test_pool::step(14, 3000));
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 14);
  for (const std::string& each : workers_of(starts)) {
    CHECK(held.count(each) == 0);
  }
}

// A backlog: the older job can't end within its objective any more, and would
// make the younger one late, too.
TEST_CASE("jobs that can still be in time come before those that can't") {
  loaded_pool pool(1);
  wire::step_definition step = test_pool::step(1, 16000);
  step.set_estimate_ms(2000);
  pool.submit_to(kSmallQueue, "00000000000000aa", step);
  // The objective is twice the run time and 1 s.
  pool.advance(milliseconds(4000));
  pool.report("w0", {});
  pool.submit_to(kSmallQueue, "00000000000000ab", step);
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == "00000000000000ab");
}

TEST_CASE("the number of advice requests grows with the daemons") {
  for (std::size_t daemons : {6, 147}) {
    loaded_pool pool(1100);
    pool.state.advice_daemons = daemons;
    for (int i = 0; i < 60; ++i) {
      pool.submit_gang("00000000000000" + std::to_string(10 + i), 4, 4500);
    }
    decisions asked;
    pool.round(&asked);
    CHECK(asked.advice.size() == (daemons == 6 ? 24 : 60));
  }
}

// Load pattern: after a long disturbance the advice service, which answers one
// call at a time for each daemon, is busy with steps whose results have no
// value any more, and tickets of gangs come too late.
TEST_CASE("urgent steps past any worth keep a gang from asking for advice") {
  constexpr int kWorkers = 48;
  constexpr std::size_t kLimit = 24;
  loaded_pool pool(kWorkers);
  pool.submit_worthless(60, kWorkers);
  decisions worthless;
  pool.round(&worthless);
  REQUIRE(pool.state.load.waiting_without_value == 60);
  CHECK(worthless.advice.size() == kLimit);
  pool.submit_gang("00000000000000aa", 8, 4500);
  // One reply arrives.
  pool.grant({worthless.advice[0]}, 0, -1, milliseconds(2000));
  decisions asked;
  CHECK(pool.round(&asked).empty());
  REQUIRE(asked.advice.size() == 1);
  CHECK(asked.advice[0].job == "00000000000000aa");
  CHECK(pool.state.pending_advice_requests == kLimit);
  pool.grant(asked.advice, 0, kWorkers - 1, milliseconds(2000));
  std::vector<start_order> starts = pool.round();
  CHECK(starts.size() == 8);
  for (const start_order& each : starts) {
    CHECK(each.task.job == "00000000000000aa");
  }
}

TEST_CASE("urgent steps past any worth get tickets when nothing else asks") {
  constexpr int kWorkers = 48;
  loaded_pool pool(kWorkers);
  pool.submit_worthless(60, kWorkers);
  std::set<std::string> started;
  for (int i = 0; i < 6; ++i) {
    decisions asked;
    for (const start_order& each : pool.round(&asked)) {
      started.insert(each.task.job);
    }
    pool.grant(asked.advice, 0, kWorkers - 1, milliseconds(2000));
  }
  CHECK(started.size() == 60);
}

// Urgent steps whose results still have a value ask without delay.
TEST_CASE("urgent steps in time ask for advice beyond the limit") {
  constexpr int kWorkers = 48;
  loaded_pool pool(kWorkers);
  for (int i = 0; i < 60; ++i) {
    pool.submit_to(kUrgentAdviceQueue,
                   "00000000000001" + std::to_string(10 + i),
                   test_pool::step(1, 1000));
  }
  decisions asked;
  pool.round(&asked);
  CHECK(asked.advice.size() == 60);
}

TEST_CASE("a large gang asks through several daemons at a time") {
  loaded_pool pool(1100);
  pool.state.advice_daemons = 147;
  pool.submit_gang("00000000000000aa", 100, 4500);
  decisions asked;
  pool.round(&asked);
  REQUIRE(asked.advice.size() > 1);
  CHECK(asked.advice.size() <= 9);
  std::set<std::string> named;
  std::size_t names = 0;
  for (const advice_request& each : asked.advice) {
    CHECK(each.workers.size() <= 100);
    names += each.workers.size();
    named.insert(each.workers.begin(), each.workers.end());
  }
  CHECK(named.size() == names);
  // No further request while replies are missing.
  observe_advice(&pool.state, asked.advice[0], true, {}, pool.now, pool.now);
  pool.advance(milliseconds(1000));
  decisions second;
  pool.round(&second);
  CHECK(second.advice.empty());
}

}  // namespace

}  // namespace ebonygrade::pool
