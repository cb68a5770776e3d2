#include <catch2/catch.hpp>
#include <cmath>
#include <fstream>
#include <limits>
#include <set>

#include "metrics/registry.h"

using ebonygrade::job::job_class;
using ebonygrade::metrics::bucket;
using ebonygrade::metrics::counter;
using ebonygrade::metrics::definition;
using ebonygrade::metrics::direction;
using ebonygrade::metrics::gauge;
using ebonygrade::metrics::kCounters;
using ebonygrade::metrics::kGauges;
using ebonygrade::metrics::kMaxMessageKinds;
using ebonygrade::metrics::kMaxTeams;
using ebonygrade::metrics::link_distance;
using ebonygrade::metrics::quantile;
using ebonygrade::metrics::registry;
using ebonygrade::metrics::traffic_label;

namespace wire = ebonygrade::wire;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("wait times are recorded by team and class") {
  registry metrics;
  for (int ms = 1; ms <= 1000; ++ms) {
    metrics.record_wait({"forecast", job_class::batch}, milliseconds(ms));
  }
  metrics.record_wait({"flares", job_class::urgent}, milliseconds(2));
  CHECK(metrics.wait_count({}) == 1001);
  CHECK(metrics.wait_count({"flares", {}}) == 1);
  CHECK(metrics.wait_count({{}, job_class::batch}) == 1000);
  CHECK(metrics.wait_count({"flares", job_class::batch}) == 0);
  CHECK(metrics.wait_count({"nobody", {}}) == 0);
  CHECK(metrics.wait_quantile({"forecast", {}}, 0.5).count() ==
        Approx(0.5).epsilon(0.1));
  CHECK(metrics.wait_quantile({"forecast", {}}, 0.99).count() ==
        Approx(0.99).epsilon(0.1));
  CHECK(metrics.wait_quantile({"nobody", {}}, 0.5) == seconds(0));
}

TEST_CASE(
    "values outside the range of a histogram are counted in its end buckets") {
  registry metrics;
  metrics.record_wait({"a", job_class::batch}, milliseconds(0));
  metrics.record_wait({"a", job_class::batch}, std::chrono::hours(24));
  CHECK(metrics.wait_count({}) == 2);
  CHECK(metrics.wait_quantile({}, 1.0).count() == Approx(1e4));
}

TEST_CASE("decision times are resolved to microseconds") {
  registry metrics;
  for (int i = 0; i < 100; ++i) metrics.record_decision(microseconds(3));
  CHECK(metrics.decision_quantile(0.5).count() == Approx(3e-6).epsilon(0.2));
}

TEST_CASE("teams beyond kMaxTeams are counted under other") {
  registry metrics;
  for (std::size_t i = 0; i < kMaxTeams + 50; ++i) {
    std::string team = "team-" + std::to_string(i);
    metrics.record_wait({team, job_class::batch}, milliseconds(1));
    metrics.record_outcome({team, job_class::batch}, wire::answered);
  }
  CHECK(metrics.wait_count({"other", {}}) == 50);
  CHECK(metrics.outcomes({"other", job_class::batch}, wire::answered) == 50);
  CHECK(metrics.outcomes({"team-7", job_class::batch}, wire::answered) == 1);
  CHECK(metrics.outcomes({"team-7", job_class::gang}, wire::answered) == 0);
}

TEST_CASE(
    "bytes are counted by kind, link and direction, with a bound on kinds") {
  registry metrics;
  traffic_label label{"heartbeat", link_distance::cross_region,
                      direction::sent};
  metrics.add_bytes(label, 100);
  metrics.add_bytes(label, 20);
  CHECK(metrics.bytes(label) == 120);
  for (std::size_t i = 0; i < kMaxMessageKinds + 10; ++i) {
    label.kind = "kind-" + std::to_string(i);
    metrics.add_bytes(label, 1);
  }
  label.kind = "other";
  CHECK(metrics.bytes(label) == 11);
}

TEST_CASE("the text exposition has every series once") {
  registry metrics;
  metrics.record_wait({"a\"b", job_class::gang}, milliseconds(30));
  metrics.record_outcome({"ops", job_class::urgent}, wire::not_run);
  metrics.add_bytes({"forward", link_distance::same_zone, direction::received},
                    7);
  metrics.add(counter::starts_sent, 3);
  metrics.set(gauge::tasks_queued, 12);
  std::string text = metrics.to_text();
  CHECK(contains(text, "# TYPE ebonygrade_wait_seconds histogram\n"));
  CHECK(contains(text,
                 "ebonygrade_wait_seconds_bucket{team=\"a\\\"b\","
                 "class=\"gang\",le=\"+Inf\"} 1\n"));
  CHECK(contains(text, "_sum{team=\"a\\\"b\",class=\"gang\"} 0.03\n"));
  CHECK(contains(text,
                 "ebonygrade_outcomes_total{team=\"ops\","
                 "class=\"urgent\",outcome=\"not_run\"} 1\n"));
  CHECK(contains(text,
                 "ebonygrade_peer_bytes_total{kind=\"forward\","
                 "link=\"zone\",direction=\"received\"} 7\n"));
  CHECK(contains(text, "\nebonygrade_starts_sent_total 3\n"));
  CHECK(contains(text, "\nebonygrade_tasks_queued 12\n"));
  CHECK(contains(text, "\nebonygrade_decision_seconds_count 0\n"));
  std::set<std::string> seen;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    CHECK(seen.insert(line.substr(0, line.rfind(' '))).second);
  }
}

TEST_CASE("a quantile lies between the bounds of its bucket") {
  const double infinity = std::numeric_limits<double>::infinity();
  const bucket buckets[] = {{seconds(0.001), 0},
                            {seconds(0.01), 50},
                            {seconds(0.1), 100},
                            {seconds(infinity), 110}};
  CHECK(quantile(buckets, 0.0).count() <= 0.01);
  CHECK(quantile(buckets, 50.0 / 110).count() == Approx(0.01));
  CHECK(quantile(buckets, 75.0 / 110).count() == Approx(std::sqrt(0.001)));
  CHECK(quantile(buckets, 1.0).count() == Approx(0.1));
  CHECK(quantile({}, 0.5).count() == 0);
}

TEST_CASE("docs/METRICS.md has a row for each counter and gauge") {
  std::ifstream file(std::string(DOCS_DIR) + "/METRICS.md");
  std::set<std::string> rows;
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("| `ebonygrade_")) rows.insert(line);
  }
  std::set<std::string> expected;
  auto add = [&](const definition& each, const std::string& kind) {
    expected.insert("| `" + std::string(each.name) + "` | " + kind + " | " +
                    std::string(each.help) + " |");
  };
  for (const definition& each : kCounters) add(each, "counter");
  for (const definition& each : kGauges) add(each, "gauge");
  CHECK(rows == expected);
}
