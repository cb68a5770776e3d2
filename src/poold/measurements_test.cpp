#include "poold/measurements.h"

#include <catch2/catch.hpp>
#include <string>

namespace ebonygrade::poold {

namespace {

bool has_line(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

TEST_CASE("durations are counted per queue") {
  latency_histogram times("x_seconds", "Help.");
  times.record("a", milliseconds(0));
  times.record("a", milliseconds(1500));
  times.record("b", milliseconds(5'000'000));
  std::string text;
  times.append_text(&text);
  CHECK(has_line(text, "# TYPE x_seconds histogram"));
  CHECK(has_line(text, "x_seconds_bucket{queue=\"a\",le=\"0.001778\"} 1"));
  CHECK(has_line(text, "x_seconds_bucket{queue=\"a\",le=\"+Inf\"} 2"));
  CHECK(has_line(text, "x_seconds_sum{queue=\"a\"} 1.5"));
  CHECK(has_line(text, "x_seconds_bucket{queue=\"b\",le=\"1000\"} 0"));
  CHECK(has_line(text, "x_seconds_count{queue=\"b\"} 1"));
}

TEST_CASE("queues beyond the limit share one label") {
  latency_histogram times("x_seconds", "Help.");
  for (int i = 0; i < 200; ++i) {
    times.record("q" + std::to_string(i), milliseconds(10));
  }
  std::string text;
  times.append_text(&text);
  CHECK(has_line(text, "x_seconds_count{queue=\"q0\"} 1"));
  CHECK(has_line(text, "x_seconds_count{queue=\"other\"} 136"));
}

}  // namespace

}  // namespace ebonygrade::poold
