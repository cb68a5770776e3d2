#include "poold/owner_writes.h"

#include <catch2/catch.hpp>
#include <vector>

namespace ebonygrade::poold {

// Guards against callers that wait beyond their time limit, and against a write
// that is also appended by this daemon although the owner is alive.
TEST_CASE("a write through the owner gets one reply") {
  owner_writes writes;
  steady_time now{milliseconds(1000)};
  std::vector<owner_reply> replies;
  owner_writes::handler note = [&](owner_reply got) { replies.push_back(got); };
  owner_writes::handler first = writes.add(now, milliseconds(2850), note);
  now += kOwnerWriteTimeout;
  owner_writes::handler second = writes.add(now, milliseconds(2850), note);
  CHECK(writes.oldest(now) == kOwnerWriteTimeout);
  writes.expire(now);
  CHECK(replies.empty());
  // The owner is dead: only the first has waited long enough.
  writes.give_up(now);
  CHECK(replies == std::vector{owner_reply::unknown});
  writes.expire(now + milliseconds(2850));
  CHECK(replies.back() == owner_reply::late);
  first(owner_reply::written);
  second(owner_reply::written);
  CHECK(replies.size() == 2);
  CHECK(writes.oldest(now) == milliseconds(0));
}

}  // namespace ebonygrade::poold
