#include "tool/exposition.h"

#include <catch2/catch.hpp>

#include "metrics/registry.h"

using ebonygrade::job::job_class;
using ebonygrade::metrics::counter;
using ebonygrade::metrics::direction;
using ebonygrade::metrics::gauge;
using ebonygrade::metrics::link_distance;
using ebonygrade::metrics::registry;
using ebonygrade::tool::add_samples;
using ebonygrade::tool::cell_metrics;
using ebonygrade::tool::parse_exposition;
using ebonygrade::tool::sample;
using ebonygrade::tool::wait_summary;

namespace {

std::vector<sample> samples_of(const registry& measured) {
  ebonygrade::error::result<std::vector<sample>> parsed =
      parse_exposition(measured.to_text());
  REQUIRE(parsed.has_value());
  return *parsed;
}

}  // namespace

TEST_CASE("the daemons' samples are summed over the cell") {
  registry one;
  registry two;
  for (int i = 0; i < 100; ++i) {
    one.record_wait({"a \"b\"", job_class::gang}, std::chrono::milliseconds(1));
    two.record_wait({"a \"b\"", job_class::gang}, std::chrono::seconds(1));
  }
  one.record_outcome({"ops", job_class::batch}, ebonygrade::wire::not_run);
  two.record_outcome({"ops", job_class::batch}, ebonygrade::wire::not_run);
  one.add_bytes({"forward", link_distance::same_zone, direction::sent}, 5);
  two.add_bytes({"forward", link_distance::same_zone, direction::received}, 6);
  one.add(counter::starts_sent, 3);
  two.add(counter::starts_sent, 4);
  one.set(gauge::bundle_version, 7);
  two.set(gauge::bundle_version, 5);
  cell_metrics total;
  add_samples(samples_of(one), &total);
  add_samples(samples_of(two), &total);
  const wait_summary& wait = total.waits.at({"a \"b\"", "gang"});
  CHECK(wait.count == 200);
  CHECK(wait.sum_seconds == Approx(100.1));
  double p25 = ebonygrade::metrics::quantile(wait.buckets, 0.25).count();
  double p75 = ebonygrade::metrics::quantile(wait.buckets, 0.75).count();
  CHECK(p25 == Approx(0.001).epsilon(0.8));
  CHECK(p75 == Approx(1.0).epsilon(0.8));
  CHECK(total.outcomes.at({"ops", "batch"}).not_run == 2);
  CHECK(total.traffic.at({"forward", "zone"}).sent == 5);
  CHECK(total.traffic.at({"forward", "zone"}).received == 6);
  CHECK(total.scalars.at("ebonygrade_starts_sent_total") == 7);
  CHECK(total.scalars.at("ebonygrade_bundle_version") == 7);
  CHECK(metrics_text(total).find("ops") != std::string::npos);
  CHECK(metrics_json(total).find("\"team\": \"a \\\"b\\\"\"") !=
        std::string::npos);
}

TEST_CASE("an invalid line is rejected with its number") {
  for (const char* text :
       {"x", "x 1e", "x{a=\"1\"", "x{a=1} 2", "{} 1", "x{a=\"\\", "x 1 2"}) {
    INFO(text);
    ebonygrade::error::result<std::vector<sample>> parsed =
        parse_exposition("ok 1\n" + std::string(text));
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().detail == "line 2");
  }
}
