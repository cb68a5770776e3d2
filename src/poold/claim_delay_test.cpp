#include "poold/claim_delay.h"

#include <catch2/catch.hpp>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kNear{6};
constexpr milliseconds kFar{20};
// Duration of two lost claims and a third one.
constexpr milliseconds kThreeClaims{600};
constexpr milliseconds kSpread{150};  // The random spread of claims.

TEST_CASE(
    "with enough CPU share, the daemon nearest to the store claims first") {
  CHECK(claim_delay(kNear, 0.25) < claim_delay(kFar, 0.5));
  CHECK(claim_delay(std::nullopt, 0.25) == milliseconds(0));
}

// Guards against an owner that is too slow for its pool: with a third of the
// daemons cut off, a daemon with 0.12 of a core won the claim while larger ones
// lost theirs to a growing journal, and it couldn't keep up with 350 workers.
TEST_CASE("a daemon with a small CPU share claims after all others") {
  CHECK(claim_delay(kNear, 0.12) >
        claim_delay(kNear, 0.25) + kSpread + kThreeClaims);
  CHECK(claim_delay(kNear, 0.12) > claim_delay(kFar, 0.25) + kSpread);
}

}  // namespace

}  // namespace ebonygrade::poold
