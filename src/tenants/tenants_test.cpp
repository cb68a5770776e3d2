#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tenants/access.h"
#include "tenants/key_table.h"
#include "tenants/quota_check.h"

namespace ebonygrade::tenants {

namespace {

key_table two_tenants() {
  std::vector<pool::tenant> rows(2);
  rows[0].name = "a";
  rows[0].api_keys = {"a-1", "a-2", "both"};
  rows[1].name = "b";
  rows[1].api_keys = {"b-1", "both", ""};
  return make_key_table(rows);
}

TEST_CASE("only a whole key finds its tenant") {
  key_table keys = two_tenants();
  REQUIRE(find_tenant(keys, "a-2") != nullptr);
  CHECK(*find_tenant(keys, "a-1") == "a");
  CHECK(*find_tenant(keys, "b-1") == "b");
  CHECK(*find_tenant(keys, "both") == "a");
  for (const char* wrong : {"", "a", "a-", "a-11", "A-1", "a-1 "}) {
    CAPTURE(wrong);
    CHECK(find_tenant(keys, wrong) == nullptr);
  }
  CHECK(equal_in_constant_time("", ""));
  CHECK_FALSE(equal_in_constant_time("ab", "ac"));
  CHECK_FALSE(equal_in_constant_time("ab", "abc"));
}

TEST_CASE("a call needs a key where the route and the deployment ask for it") {
  key_table keys = two_tenants();
  key_rules needed{true, true};
  CHECK(check_key(keys, needed, "").refused == refusal::missing_key);
  CHECK(check_key(keys, needed, "c").refused == refusal::unknown_key);
  CHECK(check_key(keys, needed, "b-1").caller.tenant == "b");
  key_rules open{true, false};
  for (const char* key : {"", "c"}) {
    access_check checked = check_key(keys, open, key);
    CHECK(checked.refused == refusal::none);
    CHECK(checked.caller.tenant.empty());
    CHECK_FALSE(may_access(checked.caller, "a"));
  }
  CHECK(check_key(keys, open, "a-1").caller.tenant == "a");
  access_check unchecked = check_key(keys, key_rules{false, true}, "a-1");
  CHECK(unchecked.refused == refusal::none);
  CHECK(unchecked.caller.tenant.empty());
  CHECK(may_access(unchecked.caller, "b"));
}

TEST_CASE("a job is open to its tenant, and to all without one") {
  caller a{"a", true};
  CHECK(may_access(a, "a"));
  CHECK(may_access(a, ""));
  CHECK_FALSE(may_access(a, "b"));
}

// Guards against jobs that are accepted and can never run, and against
// refusals of jobs that fit: a plain step may run one task after another.
TEST_CASE("a job exceeds a quota by one task or by a whole gang") {
  wire::job_submission job;
  job.add_steps()->set_count(1);
  wire::step_definition* step = job.add_steps();
  step->set_count(4);
  step->set_cpu_milli(30);
  step->set_memory_mb(50);
  pool::resources quota{100, 0, 0};
  CHECK_FALSE(exceeds_quota(job, quota, 0.1).has_value());
  step->set_gang(true);
  std::optional<quota_excess> found = exceeds_quota(job, quota, 0.1);
  REQUIRE(found.has_value());
  CHECK(found->step == 1);
  CHECK(found->resource == "cpu");
  CHECK(found->need == 120);
  CHECK(found->limit == 110);
  CHECK_FALSE(exceeds_quota(job, quota, 0.2).has_value());
  CHECK_FALSE(exceeds_quota(job, {}, 0.2).has_value());
  quota.memory_mb = 150;
  CHECK(exceeds_quota(job, quota, 0.2)->resource == "memory");
  step->set_gang(false);
  step->set_gpus(2);
  CHECK(exceeds_quota(job, {0, 0, 1}, 0)->resource == "gpu");
}

TEST_CASE("a limit is not rounded below what the share allows") {
  CHECK(quota_limit({30, 10, 1}, 0.1).cpu_milli == 33);
  CHECK(quota_limit({30, 10, 1}, 0.1).memory_mb == 11);
  CHECK(quota_limit({30, 10, 1}, 0.1).gpus == 1);
}

}  // namespace

}  // namespace ebonygrade::tenants
