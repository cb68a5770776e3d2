#include "poold/claim_delay.h"

#include <catch2/catch.hpp>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kNear{6};
constexpr milliseconds kFar{20};
// Time that two lost claims and a third one take, and the spread of claims.
constexpr milliseconds kThreeClaims{600};
constexpr milliseconds kSpread{150};

TEST_CASE("of daemons with enough processor the one near the store is first") {
  CHECK(claim_delay(kNear, 0.25) < claim_delay(kFar, 0.5));
  CHECK(claim_delay(std::nullopt, 0.25) == milliseconds(0));
}

// Found by grown isma-painel, scale-2, seed 71086835743: with a third of the
// daemons cut off, one with 0.12 of a core claimed while larger ones were
// losing their claims to a growing journal, and could not keep up with 350
// workers.
TEST_CASE("a daemon with little processor claims after all others") {
  CHECK(claim_delay(kNear, 0.12) >
        claim_delay(kNear, 0.25) + kSpread + kThreeClaims);
  CHECK(claim_delay(kNear, 0.12) > claim_delay(kFar, 0.25) + kSpread);
}

}  // namespace

}  // namespace ebonygrade::poold
