// Waits for places near the data. They guard against waits that cost more than
// the far place, that outlast a rack or an owner, and that nobody asked for.
#include "pool/near_wait.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kFirst[] = "00000000000000a1";
constexpr char kSecond[] = "00000000000000a2";

// Near workers n1.. on rack `near` and far workers f1.. on rack `far`, of 4
// cores each.
struct near_pool : test_pool {
  std::uint64_t ends = 0;

  near_pool(int near, int far, milliseconds longest = milliseconds(2000)) {
    policy.stretch = 10;
    set_queues(&state, {{kQueue, policy}});
    state.near.settings.longest = longest;
    state.near.settings.far_factor = 2;
    for (int i = 1; i <= near; ++i) add("n" + std::to_string(i), "near");
    for (int i = 1; i <= far; ++i) add("f" + std::to_string(i), "far");
  }

  void add(const std::string& id, const std::string& rack) {
    add_worker(id);
    place_on_rack(id, rack, false);
  }

  void place_on_rack(const std::string& id, const std::string& rack,
                     bool draining) {
    worker_entry entry = state.workers.at(id).entry;
    entry.rack = rack;
    entry.draining = draining;
    observe_worker_entry(&state, entry, now);
  }

  static wire::step_definition near_step(std::uint32_t count = 1) {
    wire::step_definition out = step(count, 4000);
    out.set_data_rack("near");
    return out;
  }

  // Starts a run of 1 s on each near worker and lets `passed` go by.
  std::vector<start_order> fill_near(std::uint32_t count, milliseconds passed) {
    submit(kFirst, {near_step(count)});
    std::vector<start_order> running = round();
    confirm(running);
    pass(passed);
    return running;
  }

  void pass(milliseconds time) {
    advance(time);
    for (const std::pair<const std::string, worker>& each : state.workers) {
      known.insert(each.first);
    }
    for (const std::string& id : known) report_runs(id, {});
  }

  // Reports all runs on the worker but those in `ended`, which are done.
  void report_runs(const std::string& id, std::vector<start_order> ended) {
    worker_report out;
    for (const start_order& each : ended) {
      out.ended.push_back(reported_end_of(++ends, each, end_kind::done));
    }
    for (const placement& each : state.workers.at(id).placements) {
      bool done = !ended.empty() && each.task == ended.front().task;
      if (each.phase == phase::running && !done) {
        out.running.push_back({each.task, each.run, {}, 0});
      }
    }
    report(id, out);
  }

  void end(const start_order& run) { report_runs(run.worker, {run}); }

  std::size_t events(job_event_kind kind, const std::string& text) const {
    std::size_t found = 0;
    for (const job_event& each : state.job_events) {
      if (each.kind == kind && each.detail.find(text) != std::string::npos) {
        ++found;
      }
    }
    return found;
  }

  std::set<std::string> known;
};

TEST_CASE("a task waits for near room that comes soon, and gets it") {
  near_pool pool(1, 1);
  std::vector<start_order> running = pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().empty());
  CHECK(pool.events(job_event_kind::near_wait_begun, "near_in_ms=200") == 1);
  pool.advance(milliseconds(200));
  pool.end(running[0]);
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == "n1");
  CHECK(pool.events(job_event_kind::near_wait_ended, "outcome=near") == 1);
  CHECK(pool.state.near.counters.near_runs == 2);
  CHECK(pool.state.near.counters.waits == 1);
  CHECK(pool.state.near.counters.waits_ended_far == 0);
  CHECK(pool.state.near.counters.waited == milliseconds(200));
}

TEST_CASE("without the setting nothing waits") {
  near_pool pool(1, 1, milliseconds(0));
  pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {near_pool::near_step()});
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == "f1");
  CHECK(pool.state.near.counters.waits == 0);
}

TEST_CASE("a task starts far when near room comes too late") {
  near_pool pool(1, 1);
  pool.fill_near(1, milliseconds(10));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().size() == 1);
}

TEST_CASE("a wait ends far when the forecast was too early") {
  near_pool pool(1, 1);
  pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().empty());
  pool.pass(milliseconds(200));
  CHECK(pool.round().empty());  // Within the margin.
  std::chrono::duration<double, std::milli> error = pool.state.near.error.error;
  pool.pass(milliseconds(400));
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == "f1");
  CHECK(pool.events(job_event_kind::near_wait_ended,
                    "outcome=far reason=forecast_passed") == 1);
  CHECK(pool.state.near.error.error > error);
}

TEST_CASE("near room that comes before its forecast is used at once") {
  near_pool pool(1, 1);
  std::vector<start_order> running = pool.fill_near(1, milliseconds(600));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().empty());
  pool.advance(milliseconds(20));
  pool.end(running[0]);
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == "n1");
}

TEST_CASE("later tasks don't count on room that earlier ones wait for") {
  near_pool pool(2, 4);
  pool.fill_near(2, milliseconds(800));
  pool.submit(kSecond, {near_pool::near_step(4)});
  CHECK(pool.round().size() == 2);
  CHECK(pool.state.near.counters.waits == 2);
}

TEST_CASE("a wait ends when the rack drains or falls silent") {
  bool drains = GENERATE(true, false);
  near_pool pool(1, 1);
  pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().empty());
  pool.advance(milliseconds(20));
  if (drains) {
    pool.place_on_rack("n1", "near", true);
  } else {
    observe_contact_lost(&pool.state, "n1", pool.now);
  }
  CHECK(pool.round().size() == 1);
  CHECK(pool.events(job_event_kind::near_wait_ended, "reason=rack_gone") == 1);
}

TEST_CASE("a wait ends when the workers that are left don't hold the task") {
  near_pool pool(1, 1);
  pool.add_worker("n2", 3000);
  pool.place_on_rack("n2", "near", false);
  pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().empty());
  worker_entry entry = pool.state.workers.at("n1").entry;
  entry.capacity.cpu_milli = 3000;
  observe_worker_entry(&pool.state, entry, pool.now);
  CHECK(pool.round().size() == 1);
  CHECK(pool.state.near.counters.waits_ended_far == 1);
}

// A later owner that counted from its own takeover would let the task wait
// anew after each change of owner.
TEST_CASE("a takeover doesn't restart the wait") {
  near_pool pool(1, 1);
  std::vector<start_order> running = pool.fill_near(1, milliseconds(500));
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().empty());
  milliseconds passed = GENERATE(milliseconds(100), milliseconds(1000));
  std::vector<worker_entry> entries = {pool.state.workers.at("n1").entry,
                                       pool.state.workers.at("f1").entry};
  pool.take_over();
  pool.advance(passed);
  for (const worker_entry& each : entries) {
    observe_worker_entry(&pool.state, each, pool.now);
  }
  worker_report busy;
  busy.running = {reported_run_of(running[0], 90)};
  pool.report("n1", busy);
  pool.report("f1", {});
  bool waits = passed < milliseconds(1000);
  CHECK(pool.round().size() == (waits ? 0 : 1));
  CHECK(pool.state.near.counters.waits == (waits ? 1 : 0));
}

TEST_CASE("a task of a later step waits from the end of the step before") {
  near_pool pool(1, 1);
  wire::step_definition later = near_pool::near_step();
  later.add_after(0);
  wire::step_definition first = test_pool::step(1, 4000);
  first.set_required_label("far");
  pool.submit(kSecond, {first, later});
  std::vector<start_order> before = pool.round();
  REQUIRE(before.size() == 1);
  pool.confirm(before);
  pool.pass(milliseconds(1500));
  std::vector<start_order> running = pool.fill_near(1, milliseconds(800));
  pool.end(before[0]);
  CHECK(pool.round().empty());
  CHECK(pool.events(job_event_kind::near_wait_begun, "waited_ms=0") == 1);
}

TEST_CASE("a wait that may miss the objective isn't begun") {
  near_pool pool(1, 1);
  pool.policy.stretch = 1;
  pool.policy.target = milliseconds(1010);  // Far ends it at 2 s, in time.
  set_queues(&pool.state, {{kQueue, pool.policy}});
  pool.fill_near(1, milliseconds(100));
  pool.state.near.settings.far_factor = 2;
  pool.state.near.error.error = milliseconds(90);
  pool.submit(kSecond, {near_pool::near_step()});
  CHECK(pool.round().size() == 1);
  near_options options;
  options.now = pool.now;
  options.estimate = milliseconds(1000);
  options.far_factor = 2;
  options.longest = milliseconds(2000);
  options.near = near_forecast{pool.now + milliseconds(800), 1};
  options.margin = milliseconds(150);
  CHECK(choose_place(options).waits);
  options.due = pool.now + milliseconds(2050);
  CHECK(choose_place(options).reason == near_reason::objective);
}

// The advice service refuses some workers for good, and tickets last for two
// seconds or so.
TEST_CASE("nothing waits for denied workers or past the far ticket") {
  near_pool pool(1, 1);
  pool.policy.needs_advice = true;
  set_queues(&pool.state, {{"queue-b", pool.policy}, {kQueue, pool.policy}});
  pool.submit(kSecond, {near_pool::near_step()});
  pool.submit(kFirst, {near_pool::near_step()});
  decisions asked;
  pool.round(&asked);
  REQUIRE(asked.advice.size() == 2);
  auto grant = [&](const advice_request& request, milliseconds near,
                   milliseconds far) {
    std::vector<ticket> tickets;
    if (far > milliseconds(0)) tickets.push_back({"f1", "t"});
    if (near > milliseconds(0)) tickets.push_back({"n1", "t"});
    observe_advice(&pool.state, request, true, tickets,
                   pool.now + std::max(near, far), pool.now);
  };
  bool first = asked.advice[0].job == kFirst;
  grant(asked.advice[first ? 0 : 1], milliseconds(2000), milliseconds(0));
  pool.confirm(pool.round());
  REQUIRE(!pool.state.workers.at("n1").placements.empty());
  SECTION("denied") {
    pool.pass(milliseconds(800));
    grant(asked.advice[first ? 1 : 0], milliseconds(0), milliseconds(2000));
    CHECK(pool.round().size() == 1);
  }
  SECTION("granted for long enough") {
    pool.state.jobs.at(kSecond).accepted += milliseconds(800);
    pool.state.jobs.at(kSecond).occurrences[0][0].ready_since +=
        milliseconds(800);
    pool.pass(milliseconds(800));
    grant(asked.advice[first ? 1 : 0], milliseconds(2000), milliseconds(2000));
    decisions out;
    CHECK(pool.round(&out).empty());
    CHECK(out.advice.empty());  // The tickets that it has will do.
    CHECK(pool.state.near.counters.waits == 1);
    // Without any place left, the step must get new tickets.
    pool.place_on_rack("f1", "far", true);
    pool.pass(milliseconds(2000));
    pool.place_on_rack("f1", "far", false);
    pool.round(&out);
    CHECK(out.advice.size() == 1);
  }
  SECTION("the tickets expire before the forecast") {
    pool.state.jobs.at(kSecond).occurrences[0][0].ready_since +=
        milliseconds(800);
    pool.pass(milliseconds(800));
    grant(asked.advice[first ? 1 : 0], milliseconds(300), milliseconds(300));
    CHECK(pool.round().size() == 1);
  }
}

wire::step_definition gang_of(std::uint32_t count) {
  wire::step_definition out = test_pool::step(count, 4000);
  out.set_gang(true);
  out.set_same_rack(true);
  return out;
}

TEST_CASE("a gang for one rack waits for it, and reserves nothing elsewhere") {
  near_pool pool(2, 1);
  std::vector<start_order> running = pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {gang_of(2)});
  CHECK(pool.round().empty());
  CHECK(pool.state.near.counters.waits == 1);
  CHECK(!pool.state.workers.at("f1").held_for_gang);
  pool.advance(milliseconds(200));
  pool.end(running[0]);
  std::vector<start_order> starts = pool.round();
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].worker.front() == 'n');
  CHECK(starts[1].worker.front() == 'n');
  CHECK(pool.state.near.counters.near_runs == 3);
}

TEST_CASE("a gang that waited in vain starts over several racks") {
  near_pool pool(2, 1);
  pool.fill_near(1, milliseconds(800));
  pool.submit(kSecond, {gang_of(2)});
  CHECK(pool.round().empty());
  pool.pass(milliseconds(500));
  CHECK(pool.round().size() == 2);
  CHECK(pool.state.near.counters.far_runs == 2);
}

TEST_CASE("a gang that no rack can hold doesn't wait") {
  near_pool pool(2, 2);
  pool.submit(kSecond, {gang_of(3)});
  CHECK(pool.round().size() == 3);
}

// A job with nothing running must start within 3 s of the time when there is
// room for it.
TEST_CASE("the first start of a job waits 2 s at most") {
  near_pool pool(1, 1, milliseconds(60'000));
  wire::step_definition lengthy = near_pool::near_step();
  lengthy.set_estimate_ms(10'000);
  pool.submit(kFirst, {lengthy});
  pool.confirm(pool.round());
  pool.pass(milliseconds(7'500));
  pool.submit(kSecond, {lengthy});
  CHECK(pool.round().size() == 1);
}

TEST_CASE("no wait exceeds what the far place costs or the operator's bound") {
  std::mt19937 random(20261205);
  auto draw = [&](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  int waits = 0;
  for (int i = 0; i < 20'000; ++i) {
    near_options options;
    options.now = steady_time(std::chrono::hours(1));
    options.estimate = milliseconds(draw(1, 5000));
    options.far_factor = draw(10, 40) / 10.0;
    options.far_slowdown = draw(5, 30) / 10.0;
    options.waited = milliseconds(draw(0, 3000));
    options.longest = milliseconds(draw(1, 3000));
    options.margin = milliseconds(draw(0, 500));
    options.near = near_forecast{options.now + milliseconds(draw(0, 4000)),
                                 draw(5, 30) / 10.0};
    near_decision made = choose_place(options);
    if (!made.waits) continue;
    ++waits;
    std::chrono::duration<double, std::milli> cost =
        options.estimate * (options.far_factor - 1) * options.far_slowdown;
    milliseconds total =
        options.waited +
        std::chrono::duration_cast<milliseconds>(made.until - options.now);
    CHECK(total <= cost);
    CHECK(total <= options.longest);
  }
  CHECK(waits > 1000);
}

}  // namespace

}  // namespace ebonygrade::pool
