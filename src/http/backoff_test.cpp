#include "http/backoff.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace http = ebonygrade::http;
using ebonygrade::clock::milliseconds;

TEST_CASE("pauses double up to a limit and start anew after a success") {
  std::mt19937 random(1);
  http::backoff backoff{milliseconds(100), 2};
  for (std::int64_t whole : {100, 200, 400, 400}) {
    milliseconds pause = http::next_pause(backoff, random);
    CHECK(pause >= milliseconds(whole / 2));
    CHECK(pause <= milliseconds(whole + whole / 2));
  }
  http::succeeded(backoff);
  CHECK(http::next_pause(backoff, random) <= milliseconds(150));
}

TEST_CASE("callers that failed together come back spread out") {
  constexpr int kCallers = 1000;
  constexpr int kBuckets = 10;
  std::mt19937 random(1);
  std::vector<int> returns(kBuckets);
  for (int i = 0; i < kCallers; ++i) {
    http::backoff backoff{milliseconds(200), 4, 4};
    std::int64_t pause = http::next_pause(backoff, random).count();
    // From 1600 ms to 4800 ms.
    ++returns[std::min<std::int64_t>(kBuckets - 1, (pause - 1600) / 320)];
  }
  int busiest = *std::max_element(returns.begin(), returns.end());
  CHECK(busiest < kCallers * 3 / 2 / kBuckets);
}
