#include "http/backoff.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace http = ebonygrade::http;
using ebonygrade::clock::milliseconds;

TEST_CASE("delays double up to a limit and start again after a success") {
  std::mt19937 random(1);
  http::backoff backoff{milliseconds(100), 2};
  for (std::int64_t nominal_ms : {100, 200, 400, 400}) {
    milliseconds delay = http::next_delay(backoff, random);
    CHECK(delay >= milliseconds(nominal_ms / 2));
    CHECK(delay <= milliseconds(nominal_ms + nominal_ms / 2));
  }
  http::record_success(backoff);
  CHECK(http::next_delay(backoff, random) <= milliseconds(150));
}

TEST_CASE("callers that failed together retry at different times") {
  constexpr int kCallers = 1000;
  constexpr int kBuckets = 10;
  std::mt19937 random(1);
  std::vector<int> retries(kBuckets);
  for (int i = 0; i < kCallers; ++i) {
    http::backoff backoff{milliseconds(200), 4, 4};
    std::int64_t delay_ms = http::next_delay(backoff, random).count();
    // The delay is between 1600 ms and 4800 ms.
    ++retries[std::min<std::int64_t>(kBuckets - 1, (delay_ms - 1600) / 320)];
  }
  int busiest = *std::max_element(retries.begin(), retries.end());
  CHECK(busiest < kCallers * 3 / 2 / kBuckets);
}
