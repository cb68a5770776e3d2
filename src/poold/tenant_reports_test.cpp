#include "poold/tenant_reports.h"

#include <catch2/catch.hpp>
#include <string>

namespace ebonygrade::poold {

namespace {

bool has_line(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

TEST_CASE("a pool without tenants has no tenant gauges") {
  pool::pool_state pool;
  std::string text;
  append_tenant_gauges(&text, pool);
  CHECK(text.empty());
}

// Guards against metrics whose number grows with the tenants.
TEST_CASE("tenants beyond the limit share one label") {
  pool::pool_state pool;
  pool.has_tenants = true;
  for (int i = 100; i < 200; ++i) {
    pool::tenant_state& tenant = pool.tenants["t" + std::to_string(i)];
    tenant.runs = 2;
    tenant.waiting_steps = 3;
    tenant.held_steps = 1;
  }
  std::string text;
  append_tenant_gauges(&text, pool);
  CHECK(has_line(text, "ebonygrade_pool_tenant_runs{tenant=\"t163\"} 2"));
  CHECK(has_line(text, "ebonygrade_pool_tenant_runs{tenant=\"other\"} 72"));
  CHECK(has_line(text,
                 "ebonygrade_pool_tenant_waiting_steps{tenant=\"other\"} 108"));
  CHECK(
      has_line(text, "ebonygrade_pool_tenant_held_steps{tenant=\"other\"} 36"));
  CHECK(text.find("t164") == std::string::npos);
  tenant_refusals refusals;
  for (int i = 100; i < 200; ++i) {
    count_refusal(&refusals, "t" + std::to_string(i));
  }
  append_tenant_refusals(&text, refusals);
  CHECK(has_line(text,
                 "ebonygrade_pool_tenant_refused_total{tenant=\"other\"} 36"));
}

TEST_CASE("names of tenants can't break the metrics") {
  tenant_refusals refusals;
  count_refusal(&refusals, "a\"b\\c\nd");
  std::string text;
  append_tenant_refusals(&text, refusals);
  CHECK(has_line(text,
                 "ebonygrade_pool_tenant_refused_total{tenant="
                 "\"a\\\"b\\\\c\\nd\"} 1"));
}

}  // namespace

}  // namespace ebonygrade::poold
