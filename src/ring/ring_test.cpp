#include "ring/ring.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using ebonygrade::ring::ring;

TEST_CASE("a full ring rejects a value and leaves it with the producer") {
  ring<std::unique_ptr<int>> values(1);
  std::unique_ptr<int> first = std::make_unique<int>(1);
  REQUIRE(values.try_push(first));
  std::unique_ptr<int> second = std::make_unique<int>(2);
  CHECK_FALSE(values.try_push(second));
  REQUIRE(second != nullptr);
  CHECK(*second == 2);
}

TEST_CASE("values arrive in order across threads") {
  constexpr int kCount = 100000;
  ring<int> values(64);
  std::thread producer([&values] {
    for (int i = 0; i < kCount; ++i) {
      int value = i;
      while (!values.try_push(value)) std::this_thread::yield();
    }
  });
  int expected = 0;
  bool in_order = true;
  while (expected < kCount) {
    values.drain(
        [&](int&& value) { in_order = in_order && value == expected++; });
  }
  producer.join();
  CHECK(in_order);
}
