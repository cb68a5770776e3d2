// Order of waiting steps among tenants, by what is started in a short pool.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "pool/manifest.h"
#include "pool/test_tenants.h"

namespace ebonygrade::pool {

namespace {

std::int64_t used(const tenant_pool& pool, const std::string& name) {
  return pool.tenant(name).used.cpu_milli;
}

// Jobs of one task each; within the tenants' shares, as their weights are
// large.
void submit_many(tenant_pool* pool, const std::string& tenant, int count,
                 const std::string& queue = kQueue) {
  for (int i = 0; i < count; ++i) {
    pool->submit_for(tenant, tenant + std::to_string(i), {pool->step(1, 1000)},
                     queue);
  }
}

TEST_CASE("a full pool is shared by weight") {
  tenant_pool pool({{"a", 300, {}}, {"b", 100, {}}}, 0);
  pool.add_worker("w1", 16000);
  submit_many(&pool, "b", 40);
  pool.advance(milliseconds(10));
  submit_many(&pool, "a", 40);
  pool.round();
  CHECK(used(pool, "a") == 12000);
  CHECK(used(pool, "b") == 4000);
}

TEST_CASE("the share is that of the resource that a tenant uses most of") {
  tenant_pool pool({{"a", 100, {}}, {"b", 100, {}}}, 0);
  pool.add_worker("w1", 16000);  // 10,000 MB.
  for (int i = 0; i < 20; ++i) {
    wire::step_definition step = pool.step(1, 100);
    step.set_memory_mb(1000);
    pool.submit_for("a", "a" + std::to_string(i), {step});
    pool.submit_for("b", "b" + std::to_string(i), {pool.step(1, 1600)});
  }
  pool.round();
  CHECK(used(pool, "a") >= 800);
  CHECK(used(pool, "a") <= 1000);
  CHECK(used(pool, "b") >= 8 * 1600);
}

TEST_CASE("priority comes before the shares of tenants") {
  tenant_pool pool({{"a", 100, {}}, {"b", 100, {}}}, 0);
  pool.add_worker("w1", 4000);
  submit_many(&pool, "a", 8);
  submit_many(&pool, "b", 8, kLowQueue);
  pool.round();
  CHECK(used(pool, "a") == 4000);
}

TEST_CASE("within a tenant the earlier deadline comes first") {
  tenant_pool pool({{"a", 100, {}}}, 0);
  pool.add_worker("w1", 1000);
  pool.submit_for("a", "first", {pool.step(1, 1000)});
  pool.advance(milliseconds(10));
  pool.submit_for("a", "second", {pool.step(1, 1000)});
  CHECK(pool.round().front().task.job == "first");
}

TEST_CASE("jobs over their tenant's share come behind all within theirs") {
  tenant_pool pool({{"a", 2, {}}, {"b", 2, {}}}, 0);
  pool.add_worker("w1", 4000);
  submit_many(&pool, "a", 4);
  pool.advance(milliseconds(10));
  submit_many(&pool, "b", 2, kLowQueue);
  pool.round();
  CHECK(used(pool, "a") == 2000);
  CHECK(used(pool, "b") == 2000);
}

TEST_CASE("a job that finds no token is over its tenant's share") {
  tenant_state tenant;
  tenant.weight = 4;
  unix_time at(milliseconds(1'800'000'000'000));
  for (int i = 0; i < 4; ++i) CHECK_FALSE(take_share(&tenant, at));
  CHECK(take_share(&tenant, at));
  CHECK(take_share(&tenant, at + milliseconds(249)));
  CHECK_FALSE(take_share(&tenant, at + milliseconds(250)));
  CHECK(take_share(&tenant, at + milliseconds(250)));
}

TEST_CASE("a tenant of less than one job a second may send one at once") {
  tenant_state tenant;
  tenant.weight = 0.5;
  unix_time at(milliseconds(1'800'000'000'000));
  CHECK_FALSE(take_share(&tenant, at));
  CHECK(take_share(&tenant, at + milliseconds(1999)));
  CHECK_FALSE(take_share(&tenant, at + milliseconds(2000)));
}

// Guards against one daemon's wrong time of day that marks all later jobs.
TEST_CASE("a time of day that was ahead for a while marks no later jobs") {
  tenant_state tenant;
  tenant.weight = 1;
  unix_time at(milliseconds(1'800'000'000'000));
  CHECK_FALSE(take_share(&tenant, at + milliseconds(600'000)));
  CHECK_FALSE(take_share(&tenant, at));
  CHECK(take_share(&tenant, at - milliseconds(1500)));
  CHECK_FALSE(take_share(&tenant, at + milliseconds(1000)));
}

TEST_CASE("a later owner marks the same open jobs as over the share") {
  tenant_pool pool({{"a", 3, {}}}, 0);
  for (int i = 0; i < 60; ++i) {
    pool.submit_for("a", "j" + std::to_string(i), {pool.step(1, 1000)});
    pool.advance(milliseconds(70));
  }
  std::vector<std::string> before;
  for (int i = 0; i < 60; ++i) {
    std::string id = "j" + std::to_string(i);
    if (pool.state.jobs.at(id).over_share) before.push_back(id);
  }
  CHECK(before.size() > 30);
  pool.take_over();
  for (int i = 0; i < 60; ++i) {
    std::string id = "j" + std::to_string(i);
    bool marked = std::find(before.begin(), before.end(), id) != before.end();
    CHECK(pool.state.jobs.at(id).over_share == marked);
  }
}

// One tenant at eight times its share for 10 s, beside others at theirs, in a
// pool that all of them at their shares fill to 80%.
TEST_CASE("a tenant at eight times its share delays no other tenant") {
  std::vector<tenant_row> rows;
  for (int i = 0; i < 8; ++i) {
    rows.push_back({"t" + std::to_string(i), 5, {}});
  }
  tenant_pool pool(rows, 0);
  for (int i = 0; i < 5; ++i) pool.add_worker("w" + std::to_string(i), 10000);
  pool.play(milliseconds(20000), milliseconds(1000), [&](int tick) {
    if (tick % 10 != 0) return;
    for (int i = 0; i < 8; ++i) {
      int jobs = i == 0 && tick < 500 ? 8 : 1;
      for (int j = 0; j < jobs; ++j) {
        pool.submit_for("t" + std::to_string(i),
                        "t" + std::to_string(i) + "." + std::to_string(tick) +
                            "." + std::to_string(j),
                        {pool.step(1, 1000)});
      }
    }
  });
  for (int i = 1; i < 8; ++i) {
    INFO("tenant " << i);
    CHECK(pool.ended_of("t" + std::to_string(i) + ".") >= 93);
  }
  // It has its own share and what the others leave over.
  CHECK(pool.ended_of("t0.") >= 200);
}

}  // namespace

}  // namespace ebonygrade::pool
