#include "error/error.h"

#include <catch2/catch.hpp>

using ebonygrade::error::code;
using ebonygrade::error::failure;
using ebonygrade::error::result;

TEST_CASE("a failure is formatted with step, peer, message and detail") {
  failure lost{code::timeout, "append claim", "127.0.0.1:9000", "after 2 s"};
  CHECK(to_string(lost) ==
        "append claim: 127.0.0.1:9000: timed out: after 2 s");
}

TEST_CASE("empty parts of a failure are omitted") {
  failure bad{code::invalid_argument, "", "", "team: empty"};
  CHECK(to_string(bad) == "invalid argument: team: empty");
}

TEST_CASE("a result holds a value or a failure") {
  result<int> good = 7;
  result<int> bad = failure{code::rejected, "start", "w1", ""};
  CHECK(good.value() == 7);
  CHECK(bad.has_error());
  CHECK_THROWS_AS(bad.value(), std::system_error);
}
