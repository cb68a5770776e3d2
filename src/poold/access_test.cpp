// Keys and tenants of callers, in cells of daemons over loopback.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "poold/node.h"
#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

constexpr char kPath[] = "/q/00000000000000aa";
constexpr char kOpenPath[] = "/open/00000000000000aa";
constexpr char kTwoTenants[] =
    R"([{"name":"a","apiKeys":["a-1"],"maxCount":{"cpu":1000}},)"
    R"({"name":"b","apiKeys":["b-1","b-2"]}])";

// `tenants` is the JSON list of tenants.
std::string manifest(int version, const std::string& tenants) {
  std::string route =
      R"("host":"jobs.example","service":"pool-a","attempts":2,)"
      R"("targetLatencyMs":500)";
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","pathPrefix":"/q/",)" + route +
         R"(},{"name":"o","pathPrefix":"/open/","noAuth":true,)" + route +
         R"(}],"tenants":)" + tenants + "}";
}

struct tenant_cell : cell {
  explicit tenant_cell(bool strict = false) {
    defaults.strict_revoke = strict;
    defaults.revoke_time = milliseconds(600);
    defaults.quota_excess = 0.1;
    store.put("keyed.op", "config", manifest(4, kTwoTenants));
    ledger.add_job(kJob, submission(), 2);
  }
  void start(std::size_t daemons = 1) {
    for (std::size_t i = 0; i < daemons; ++i) add_node(std::to_string(i));
    REQUIRE(wait_until([&] {
      for (const std::unique_ptr<node>& each : nodes) {
        if (!each->is_ready()) return false;
      }
      return true;
    }));
  }
  void put_tenants(int version, const std::string& tenants) {
    store.put("keyed.op", "config", manifest(version, tenants));
  }
  unsigned status(const std::string& key, http::verb method,
                  const std::string& path, const std::string& body = "",
                  std::size_t node_index = 0) {
    api_key = key;
    unsigned result = call(node_index, method, path, body).first;
    api_key.clear();
    return result;
  }
  // Whether calls with the key get this status in the end.
  bool settles_on(const std::string& key, unsigned expected) {
    return wait_until(
        [&] { return status(key, http::verb::get, "/q/") == expected; });
  }
};

TEST_CASE("every call needs a key of a tenant") {
  tenant_cell cell;
  cell.start();
  struct each_call {
    http::verb method;
    const char* path;
  };
  for (const each_call& each :
       {each_call{http::verb::get, "/q/"}, each_call{http::verb::get, kPath},
        each_call{http::verb::delete_, kPath},
        each_call{http::verb::post, kPath}}) {
    CAPTURE(each.path);
    CHECK(cell.status("", each.method, each.path, kBody) == 401);
    CHECK(cell.status("a-", each.method, each.path, kBody) == 401);
  }
  CHECK(cell.status("", http::verb::get, "/other/") == 404);
  CHECK(cell.status("a-1", http::verb::get, "/q/") == 200);
  CHECK(cell.status("a-1", http::verb::get, kPath) == 410);
  CHECK(cell.status("", http::verb::get, "/open/") == 200);
  std::string name = "ebonygrade_pool_refused_calls_total{reason=\"";
  CHECK(cell.has_metric(0, name + "missing_key\"} 4"));
  CHECK(cell.has_metric(0, name + "unknown_key\"} 4"));
  CHECK(cell.has_metric(0, name + "other_tenant\"} 0"));
}

TEST_CASE("required keys are checked while the manifest has no tenants") {
  tenant_cell cell;
  cell.put_tenants(5, "[]");
  cell.defaults.tenants_required = true;
  cell.start();
  CHECK(cell.status("a-1", http::verb::get, "/q/") == 401);
  CHECK(cell.status("", http::verb::get, "/open/") == 200);
}

// A job is told apart by its tenant while it waits, after its end and without
// its submission, and a repeated id of another tenant isn't the same job.
TEST_CASE("a job is open to its tenant alone") {
  tenant_cell cell;
  cell.start(2);
  REQUIRE(cell.status("b-1", http::verb::post, kPath, kBody) == 200);
  for (std::size_t i = 0; i < 2; ++i) {
    CAPTURE(i);
    CHECK(cell.status("a-1", http::verb::get, kPath, "", i) == 403);
    CHECK(cell.status("a-1", http::verb::delete_, kPath, "", i) == 403);
    CHECK(cell.status("a-1", http::verb::post, kPath, kBody, i) == 403);
    CHECK(cell.status("", http::verb::get, kOpenPath, "", i) == 403);
    CHECK(cell.status("b-2", http::verb::post, kPath, kBody, i) == 200);
    CHECK(cell.status("b-2", http::verb::get, kPath, "", i) == 200);
  }
  cell.add_worker("w1");
  cell.api_key = "b-2";
  CHECK(cell.reaches_state(0, "complete"));
  CHECK(cell.reaches_state(1, "complete"));
  CHECK(cell.wait_until([&] {
    const standin::stored_record& last =
        cell.store.records("keyed.journal").back();
    return last.key != "s" + std::string(kJob) || last.value.empty();
  }));
  CHECK(cell.status("a-1", http::verb::get, kPath) == 403);
  CHECK(cell.status("a-1", http::verb::post, kPath, kBody) == 403);
  CHECK(cell.ledger.violations().empty());
}

TEST_CASE("calls that are passed to the owner are checked there by tenant") {
  large_cell cell;
  REQUIRE(cell.settles());
  cell.workers.clear();
  cell.store.put("keyed.op", "config", manifest(4, kTwoTenants));
  std::size_t entry = cell.daemon_without_copy();
  auto status = [&](const std::string& key, http::verb method) {
    cell.api_key = key;
    return cell.call(entry, method, kPath, kBody).first;
  };
  REQUIRE(cell.wait_until([&] { return status("", http::verb::get) == 401; }));
  REQUIRE(status("b-1", http::verb::post) == 200);
  CHECK(status("a-1", http::verb::get) == 403);
  CHECK(status("a-1", http::verb::delete_) == 403);
  CHECK(status("a-1", http::verb::post) == 403);
  CHECK(status("b-2", http::verb::get) == 200);
  CHECK(status("b-2", http::verb::post) == 200);
  CHECK(status("b-2", http::verb::delete_) == 200);
  CHECK(status("a-1", http::verb::get) == 403);
  CHECK_FALSE(cell.nodes[entry]->follows_journal());
}

TEST_CASE("a job without a tenant is open to all tenants") {
  tenant_cell cell;
  cell.start();
  REQUIRE(cell.status("c", http::verb::post, kOpenPath, kBody) == 200);
  CHECK(cell.status("a-1", http::verb::get, kPath) == 200);
  CHECK(cell.status("", http::verb::get, kOpenPath) == 200);
  std::string other = "/open/00000000000000ab";
  REQUIRE(cell.status("a-1", http::verb::post, other, kBody) == 200);
  CHECK(cell.status("b-1", http::verb::get, other) == 403);
  CHECK(cell.status("", http::verb::get, other) == 403);
}

TEST_CASE("keys take effect and end with the manifest") {
  tenant_cell cell;
  cell.start();
  REQUIRE(cell.status("b-1", http::verb::post, kPath, kBody) == 200);
  // One revocation after another; an older version in between changes nothing.
  cell.put_tenants(5, R"([{"name":"b","apiKeys":["b-2"]}])");
  cell.wait_until([deadline = cell.clock.now() + milliseconds(100), &cell] {
    return cell.clock.now() >= deadline;
  });
  cell.put_tenants(6, R"([{"name":"b","apiKeys":["b-3"]}])");
  cell.put_tenants(5, kTwoTenants);
  REQUIRE(cell.settles_on("b-3", 200));
  CHECK(cell.status("b-1", http::verb::get, kPath) == 401);
  CHECK(cell.status("b-2", http::verb::get, kPath) == 401);
  CHECK(cell.status("b-3", http::verb::get, kPath) == 200);
  // The last key of the last tenant.
  cell.put_tenants(7, R"([{"name":"b","apiKeys":[]}])");
  CHECK(cell.settles_on("b-3", 401));
  CHECK(cell.status("", http::verb::get, "/q/") == 401);
  // A tenant that is added and used at once.
  cell.put_tenants(8, R"([{"name":"c","apiKeys":["c-1"]}])");
  CHECK(cell.settles_on("c-1", 200));
  CHECK(cell.status("c-1", http::verb::get, kPath) == 403);
  // Rows that can't be read leave the others in force.
  cell.put_tenants(9, R"([7,{"name":"d"},{"name":"c","apiKeys":["c-2"]}])");
  CHECK(cell.settles_on("c-2", 200));
  CHECK(cell.status("c-1", http::verb::get, kPath) == 401);
}

TEST_CASE("a manifest that can't be confirmed is used unless it must not be") {
  bool strict = GENERATE(false, true);
  CAPTURE(strict);
  tenant_cell cell(strict);
  cell.start();
  CHECK(cell.status("a-1", http::verb::get, kPath) == 410);
  cell.store.block_reads("keyed.op");
  steady_time end = cell.clock.now() + 2 * cell.defaults.revoke_time;
  cell.wait_until([&] { return cell.clock.now() >= end; });
  CHECK(cell.status("a-1", http::verb::get, kPath) == (strict ? 503 : 410));
}

// Guards against refusals by healthy daemons: the age of the manifest grows
// while a read waits for records.
TEST_CASE("a short limit for the age of the manifest refuses nothing") {
  tenant_cell cell(true);
  cell.start();
  steady_time end = cell.clock.now() + 3 * cell.defaults.revoke_time;
  while (cell.clock.now() < end) {
    CHECK(cell.status("a-1", http::verb::get, kPath) == 410);
  }
}

TEST_CASE("a job that exceeds its tenant's quota alone is refused") {
  tenant_cell cell;
  cell.start();
  std::string body =
      R"({"spec":"s","steps":[{"count":3,"cpu":400,"estMs":9,"gang":true}]})";
  cell.api_key = "a-1";
  std::pair<unsigned, std::string> refused =
      cell.call(0, http::verb::post, kPath, body);
  CHECK(refused.first == 400);
  CHECK(refused.second.find("needs 1200 of cpu") != std::string::npos);
  CHECK(refused.second.find("is 1100") != std::string::npos);
  CHECK(cell.status("b-1", http::verb::post, kPath, body) == 200);
}

}  // namespace

}  // namespace ebonygrade::poold
