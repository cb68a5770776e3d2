// Tests of gangs, reservations, preemption and quarantine.
#include <catch2/catch.hpp>
#include <string>

#include "place/test_cell.h"

namespace ebonygrade::place {
namespace {

const test_job gang_of_four = {
    .kind = job::job_class::gang, .tasks = 4, .need = {1000, 1, 0, 0}};

TEST_CASE("all tasks of a gang start, or none") {
  test_cell cell;
  cell.add_workers(1, {4000, 8192, 0, 0});
  cell.submit("b", {.need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.size() == 1);
  cell.submit("g", gang_of_four);
  CHECK(cell.decide().starts.empty());
  CHECK(summarise(*cell.engine).free.millicores == 3000);
  CHECK(summarise(*cell.engine).queued == 4);
  cell.end("b", 0);
  cell.advance(milliseconds(10));
  CHECK(cell.decide(2).starts.size() == 4);
}

// Without reservations, the small tasks would take each worker that gets free,
// and the gangs would never find all workers free at once.
TEST_CASE("small tasks don't starve two gangs that need all workers") {
  test_cell cell;
  cell.policy.placement.gang_hold = milliseconds(5000);
  cell.apply();
  cell.add_workers(2, {4000, 8192, 0, 0});
  int small = 0;
  auto fill = [&] {
    while (summarise(*cell.engine).queued < 40) {
      cell.submit("s" + std::to_string(small++),
                  {.need = {1000, 1, 0, 0}, .runtime = milliseconds(2000)});
    }
  };
  std::map<std::string, steady_time> running;
  std::map<std::string, milliseconds> started;
  const steady_time begin = cell.now;
  fill();
  for (int tick = 0; tick < 1000; ++tick) {
    if (tick == 20) {
      cell.submit(
          "g1",
          {.kind = job::job_class::gang, .tasks = 8, .need = {1000, 1, 0, 0}});
      cell.submit(
          "g2",
          {.kind = job::job_class::gang, .tasks = 8, .need = {1000, 1, 0, 0}});
    }
    for (const placement& p : cell.decide().starts) {
      if (p.id[0] == 'g') {
        started.try_emplace(
            p.id, std::chrono::duration_cast<milliseconds>(cell.now - begin));
      }
      running[p.id + ":" + std::to_string(p.task_index)] = cell.now;
    }
    cell.advance(milliseconds(100));
    for (auto it = running.begin(); it != running.end();) {
      if (cell.now - it->second < milliseconds(2000 + tick % 7 * 100)) {
        ++it;
        continue;
      }
      std::size_t colon = it->first.find(':');
      cell.end(
          it->first.substr(0, colon),
          static_cast<std::uint32_t>(std::stoul(it->first.substr(colon + 1))));
      it = running.erase(it);
    }
    fill();
  }
  REQUIRE(started.size() == 2);
  CHECK(started["g1"] < milliseconds(15000));
  CHECK(started["g2"] < milliseconds(30000));
}

TEST_CASE(
    "an urgent job preempts the cheapest idempotent task of lower priority") {
  test_cell cell;
  cell.add_workers(1, {3000, 8192, 0, 0});
  cell.submit("old", {.need = {1000, 1, 0, 0}});
  cell.submit("once", {.need = {1000, 1, 0, 0}, .idempotent = false});
  cell.decide();
  cell.advance(milliseconds(60000));
  cell.submit("young", {.need = {1000, 1, 0, 0}});
  cell.decide();
  cell.submit("u", {.kind = job::job_class::urgent, .need = {1000, 1, 0, 0}});
  decisions made = cell.decide();
  CHECK(made.starts.empty());
  REQUIRE(made.preemptions.size() == 1);
  CHECK(made.preemptions[0].id == "young");
  CHECK(made.preemptions[0].mode == wire::checkpoint);
  CHECK(cell.decide().preemptions.empty());
  cell.advance(milliseconds(2000));
  made = cell.decide();
  REQUIRE(made.preemptions.size() == 1);
  CHECK(made.preemptions[0].mode == wire::stop);
  cell.end("young", 0, wire::stopped);
  REQUIRE(cell.decide().starts.size() == 1);
  CHECK(summarise(*cell.engine).free.millicores == 0);
}

TEST_CASE("a job is preempted at most max_preemptions times") {
  test_cell cell;
  cell.policy.classes[1].max_preemptions = 2;
  cell.apply();
  cell.add_workers(1, {1000, 8192, 0, 0});
  for (int round = 0; round < 3; ++round) {
    cell.submit("b", {.need = {1000, 1, 0, 0}});
    REQUIRE(cell.decide().starts.size() == 1);
    std::string urgent = "u" + std::to_string(round);
    cell.submit(urgent,
                {.kind = job::job_class::urgent, .need = {1000, 1, 0, 0}});
    std::size_t victims = cell.decide().preemptions.size();
    CHECK(victims == (round < 2 ? 1 : 0));
    if (victims == 0) break;
    cell.end("b", 0, wire::stopped);
    REQUIRE(cell.decide().starts.at(0).id == urgent);
    cell.end(urgent, 0);
  }
}

// A pending preemption that stays behind would keep its worker from being
// chosen for the next one.
TEST_CASE("withdrawing the preempting job leaves no pending preemption") {
  test_cell cell;
  cell.add_workers(1, {1000, 8192, 0, 0});
  cell.submit("b", {.need = {1000, 1, 0, 0}});
  cell.decide();
  cell.submit("u", {.kind = job::job_class::urgent, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().preemptions.size() == 1);
  withdraw(*cell.engine, "u");
  cell.end("b", 0, wire::stopped);
  cell.submit("c", {.need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.size() == 1);
  cell.submit("v", {.kind = job::job_class::urgent, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().preemptions.size() == 1);
}

// Ten workers that fit one task each. The tasks on w0 can be made to fail.
struct failing_cell : test_cell {
  int next = 0;
  int failures = 0;

  failing_cell() {
    policy.placement.quarantine_failures = 3;
    policy.placement.quarantine_time = milliseconds(1000);
    policy.placement.max_quarantined = 0.1;
    apply();
    add_workers(10, {1000, 1024, 0, 0});
  }

  // Submits ten jobs of one task and ends the tasks that start. Returns whether
  // w0 got one.
  bool round(bool w0_fails) {
    for (int i = 0; i < 10; ++i) {
      submit("j" + std::to_string(next++), {.need = {1000, 1, 0, 0}});
    }
    bool used = false;
    for (const placement& p : decide().starts) {
      bool fails = w0_fails && p.worker == "w0";
      used = used || p.worker == "w0";
      failures += fails ? 1 : 0;
      end(p.id, p.task_index, fails ? wire::failed : wire::completed);
    }
    return used;
  }
};

TEST_CASE(
    "a worker that fails all tasks is quarantined until a probe completes") {
  failing_cell cell;
  for (int i = 0; i < 20; ++i) cell.round(true);
  CHECK(cell.failures == 3);
  cell.advance(milliseconds(1000));
  CHECK(cell.round(true));
  CHECK(cell.failures == 4);
  cell.advance(milliseconds(1000));
  CHECK_FALSE(cell.round(true));
  cell.advance(milliseconds(1000));
  CHECK(cell.round(false));
  CHECK(cell.round(false));
}

TEST_CASE("at most max_quarantined of the workers are quarantined") {
  test_cell cell;
  cell.policy.placement.quarantine_failures = 1;
  cell.policy.placement.max_quarantined = 0.2;
  cell.apply();
  cell.add_workers(10, {1000, 1024, 0, 0});
  for (int i = 0; i < 100; ++i) {
    std::string id = "j" + std::to_string(i);
    cell.submit(id, {.need = {1000, 1, 0, 0}});
    if (cell.decide().starts.size() == 1) cell.end(id, 0, wire::failed);
  }
  CHECK(cell.submit("many", {.tasks = 10}).accepted);
  CHECK(cell.decide().starts.size() == 8);
}

// If no worker may be quarantined, failing workers are put on probation. Jobs
// that aren't idempotent use them only after the quarantine time.
TEST_CASE("workers that may not be quarantined run one task at a time") {
  test_cell cell;
  cell.policy.placement.quarantine_failures = 1;
  cell.policy.placement.quarantine_time = milliseconds(1000);
  cell.policy.placement.max_quarantined = 0;
  cell.apply();
  cell.add_workers(2, {4000, 4096, 0, 0});
  for (int i = 0; i < 8; ++i) {
    std::string id = "j" + std::to_string(i);
    cell.submit(id, {.need = {1000, 1, 0, 0}});
    if (cell.decide().starts.size() == 1) cell.end(id, 0, wire::failed);
  }
  cell.submit("once", {.kind = job::job_class::urgent,
                       .need = {1000, 1, 0, 0},
                       .idempotent = false});
  CHECK(cell.decide().starts.empty());
  cell.advance(milliseconds(1000));
  cell.submit("many", {.tasks = 8, .need = {1000, 1, 0, 0}});
  decisions made = cell.decide();
  REQUIRE(made.starts.size() == 2);
  CHECK(made.starts[0].id == "once");
  cell.end("once", 0);
  CHECK(cell.decide().starts.size() == 4);
}

TEST_CASE("a job that fails on all workers doesn't quarantine them") {
  test_cell cell;
  cell.policy.placement.quarantine_failures = 2;
  cell.policy.placement.max_quarantined = 0.5;
  cell.apply();
  cell.add_workers(10, {1000, 1024, 0, 0});
  cell.submit("bad", {.tasks = 100});
  for (int i = 0; i < 10; ++i) {
    for (const placement& p : cell.decide().starts) {
      cell.end(p.id, p.task_index, wire::failed);
    }
  }
  withdraw(*cell.engine, "bad");
  cell.submit("good", {.tasks = 10});
  CHECK(cell.decide().starts.size() == 10);
}

}  // namespace
}  // namespace ebonygrade::place
