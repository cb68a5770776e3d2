#include "place/place.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "place/test_cell.h"

namespace ebonygrade::place {
namespace {

TEST_CASE("a task allocates resources until it ends") {
  test_cell cell;
  cell.add_workers(1, {4000, 8192, 0, 0});
  CHECK(cell.submit("a", {.tasks = 3, .need = {2000, 1024, 0, 0}}).accepted);
  CHECK(cell.decide().starts.size() == 2);
  CHECK(cell.decide().starts.empty());
  CHECK(summarise(*cell.engine).queued == 1);
  CHECK(summarise(*cell.engine).free == job::resources{0, 6144, 0, 0});
  cell.end("a", 0);
  CHECK(cell.decide().starts.size() == 1);
  cell.end("a", 0);
  cell.end("a", 1);
  cell.end("a", 2);
  CHECK(summarise(*cell.engine).free == job::resources{4000, 8192, 0, 0});
  CHECK(summarise(*cell.engine).running == 0);
}

TEST_CASE("higher priority goes first, then the older job") {
  test_cell cell;
  cell.add_workers(1, {1000, 1024, 0, 0});
  cell.submit("b1", {.need = {1000, 1, 0, 0}});
  cell.submit("b2", {.need = {1000, 1, 0, 0}});
  cell.submit("u", {.kind = job::job_class::urgent, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.at(0).id == "u");
  cell.end("u", 0);
  CHECK(cell.decide().starts.at(0).id == "b1");
  cell.end("b1", 0);
  CHECK(cell.decide().starts.at(0).id == "b2");
}

TEST_CASE("ageing raises an old job above a younger one of a higher class") {
  test_cell cell;
  cell.policy.classes[1].ageing = milliseconds(100);
  cell.apply();
  cell.add_workers(1, {1000, 1024, 0, 0});
  cell.submit("old", {.need = {1000, 1, 0, 0}});
  cell.advance(milliseconds(40000));
  cell.submit("u", {.kind = job::job_class::urgent, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.at(0).id == "old");
}

TEST_CASE("teams get capacity in proportion to their weights") {
  test_cell cell;
  cell.add_workers(3, {10000, 10240, 0, 0});
  cell.submit("a", {.team = "a", .tasks = 30, .need = {1000, 1024, 0, 0}});
  cell.submit("b", {.team = "b", .tasks = 30, .need = {1000, 1024, 0, 0}});
  std::map<std::string, int> count;
  for (const placement& p : cell.decide().starts) ++count[p.id];
  CHECK(count["a"] == 20);
  CHECK(count["b"] == 10);
}

TEST_CASE("a quota is enforced unless the team may borrow free capacity") {
  test_cell cell;
  cell.policy.teams["a"].quota = {2000, 0, 0, 0};
  cell.policy.teams["a"].may_borrow = false;
  cell.policy.teams["b"].quota = {1000, 0, 0, 0};
  cell.apply();
  cell.add_workers(1, {8000, 8192, 0, 0});
  cell.submit("a", {.team = "a", .tasks = 8, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.size() == 2);
  cell.submit("b", {.team = "b", .tasks = 3, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.size() == 3);
  cell.end("a", 0);
  CHECK(cell.decide().starts.at(0).id == "a");
  set_quota_share(*cell.engine, 0.5);
  cell.end("a", 1);
  CHECK(cell.decide().starts.empty());
}

TEST_CASE("a job that can never run is refused with the reason") {
  test_cell cell;
  CHECK(cell.submit("a", {.need = {1, 0, 0, 0}}).reason == "no worker yet");
  CHECK(cell.submit("a", {}).retry_after > milliseconds(0));
  cell.policy.teams["a"].quota = {500, 0, 0, 0};
  cell.policy.teams["a"].may_borrow = false;
  cell.apply();
  cell.add_workers(2, {1000, 1024, 0, 0});
  admission large = cell.submit("a", {.need = {1001, 0, 0, 0}});
  CHECK_THAT(large.reason, Catch::Matchers::Contains("no worker is large"));
  CHECK(large.retry_after == milliseconds(0));
  CHECK_THAT(cell.submit("a", {.need = {600, 0, 0, 0}}).reason,
             Catch::Matchers::Contains("quota"));
  CHECK_THAT(cell.submit("a", {.team = "x"}).reason,
             Catch::Matchers::Contains("not in the bundle"));
  CHECK_THAT(cell.submit("a", {.kind = job::job_class::gang,
                               .team = "b",
                               .tasks = 3,
                               .need = {1000, 0, 0, 0}})
                 .reason,
             Catch::Matchers::Contains("all workers together hold 2"));
}

TEST_CASE("queues are bounded and refusals stagger the retries") {
  test_cell cell;
  cell.policy.teams["a"].queue_limit = 10;
  cell.apply();
  cell.add_workers(1, {1000, 1024, 0, 0});
  CHECK(cell.submit("a", {.tasks = 10, .need = {1000, 1, 0, 0}}).accepted);
  std::set<std::int64_t> returns;
  for (int i = 0; i < 20; ++i) {
    admission refused = cell.submit("x" + std::to_string(i), {});
    CHECK_FALSE(refused.accepted);
    CHECK(refused.retry_after > milliseconds(0));
    returns.insert(refused.retry_after.count());
  }
  CHECK(returns.size() > 15);
}

TEST_CASE("withdrawn and expired jobs are not started") {
  test_cell cell;
  cell.add_workers(1, {1000, 1024, 0, 0});
  cell.submit("a", {.tasks = 5, .need = {1000, 1, 0, 0}});
  cell.submit("b", {.need = {1000, 1, 0, 0}, .deadline = milliseconds(100)});
  cell.submit("c", {.need = {1000, 1, 0, 0}});
  CHECK(withdraw(*cell.engine, "a") == 5);
  CHECK(withdraw(*cell.engine, "a") == 0);
  cell.advance(milliseconds(100));
  decisions made = cell.decide();
  REQUIRE(made.drops.size() == 1);
  CHECK(made.drops[0].id == "b");
  REQUIRE(made.starts.size() == 1);
  CHECK(made.starts[0].id == "c");
}

TEST_CASE("a leaving worker gets no new tasks") {
  test_cell cell;
  cell.add_workers(1, {1000, 1024, 0, 0});
  set_leaving(*cell.engine, "w0", true);
  cell.submit("a", {.need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.empty());
  set_leaving(*cell.engine, "w0", false);
  CHECK(cell.decide().starts.size() == 1);
}

TEST_CASE("services spread over zones and racks") {
  test_cell cell;
  cell.policy.classes[0].spread = true;
  cell.apply();
  cell.add_workers(32, {16000, 65536, 0, 8});
  cell.submit("s", {.kind = job::job_class::service,
                    .tasks = 4,
                    .need = {1000, 1024, 0, 0}});
  std::set<std::string> racks;
  for (const placement& p : cell.decide().starts) {
    racks.insert(cell.rack_of.at(p.worker));
  }
  CHECK(racks.size() == 4);
}

TEST_CASE("adopted tasks use capacity until their worker is removed") {
  test_cell cell;
  cell.add_workers(2, {1000, 1024, 0, 0});
  running_task task;
  task.id = "r";
  task.team = "a";
  task.per_task = {1000, 1024, 0, 0};
  task.worker = "w0";
  adopt_task(*cell.engine, task);
  adopt_task(*cell.engine, task);
  CHECK(summarise(*cell.engine).running == 1);
  cell.submit("a", {.tasks = 2, .need = {1000, 1, 0, 0}});
  CHECK(cell.decide().starts.at(0).worker == "w1");
  remove_worker(*cell.engine, "w0");
  CHECK(summarise(*cell.engine).running == 1);
  CHECK(cell.decide().starts.empty());
}

TEST_CASE("explain states why a job waits") {
  test_cell cell;
  cell.add_workers(1, {1000, 1024, 0, 0});
  cell.submit("a", {.tasks = 2, .need = {1000, 1, 0, 0}});
  cell.decide();
  CHECK_THAT(explain(*cell.engine, "a", cell.now),
             Catch::Matchers::Contains("no worker has room now"));
  record_usage(*cell.engine, "a", 0, {400, 1, 0, 0});
  CHECK_THAT(explain(*cell.engine, "a", cell.now),
             Catch::Matchers::Contains("use 40% of the processors"));
  CHECK_THAT(explain(*cell.engine, "x", cell.now),
             Catch::Matchers::Contains("not waiting"));
}

}  // namespace
}  // namespace ebonygrade::place
