// Replays advice requests under a simulated clock: daemons that are cut off,
// slow ones, and a service that is slow for all.
#include "poold/advice_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <utility>
#include <vector>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kExpected{12};
constexpr milliseconds kRoundTrip{10};
constexpr milliseconds kTimeoutMargin{1500};
constexpr std::size_t kDaemons = 30;

// The service handles one request at a time for each daemon.
struct replay {
  advice_plan plan;
  steady_time now{std::chrono::hours(1)};
  // Of replies, by channel.
  std::vector<milliseconds> delays =
      std::vector<milliseconds>(kDaemons, kRoundTrip);
  // No calls and no announcements.
  std::vector<bool> cut = std::vector<bool>(kDaemons);
  std::vector<steady_time> busy_until = std::vector<steady_time>(kDaemons);
  std::multimap<steady_time, std::pair<advice_attempt, bool>> replies;
  std::vector<steady_time> submitted{now};  // By request; the first is 1.
  std::vector<milliseconds> taken;          // Of requests that got a reply.
  std::size_t ended = 0;
  std::size_t failed = 0;
  std::size_t attempts = 0;
  std::size_t attempts_to_cut = 0;

  replay() {
    for (std::size_t i = 0; i < kDaemons; ++i) add_channel(&plan, now, i == 0);
  }
  void submit() {
    add_request(&plan, 0, kExpected);
    submitted.push_back(now);
  }
  void dispatch() {
    for (const advice_attempt& each : plan_attempts(&plan, now)) {
      ++attempts;
      attempts_to_cut += cut[each.channel] ? 1 : 0;
      steady_time& busy = busy_until[each.channel];
      steady_time reply = std::max(busy, now) + kExpected;
      if (!cut[each.channel]) busy = reply;
      reply += delays[each.channel];
      steady_time timeout = each.due + kTimeoutMargin;
      bool usable = !cut[each.channel] && reply < timeout;
      replies.emplace(usable ? reply : timeout, std::pair(each, usable));
    }
  }
  void on_reply(const advice_attempt& attempt, bool usable) {
    request_state state =
        observe_reply(&plan, attempt, usable && !cut[attempt.channel], now);
    if (state == request_state::open || state == request_state::ended) return;
    ++ended;
    failed += state == request_state::failed ? 1 : 0;
    taken.push_back(std::chrono::duration_cast<milliseconds>(
        now - submitted[attempt.request]));
  }
  // Three urgent requests at a time, 120 a second.
  void run(milliseconds period, bool submits = true) {
    for (milliseconds since{0}; since < period; ++since) {
      now += milliseconds(1);
      for (std::size_t i = 0; i < kDaemons; ++i) {
        bool announces = (since.count() + static_cast<int>(i) * 31) % 1000 == 0;
        if (announces && !cut[i]) observe_contact(&plan, i, now);
      }
      while (!replies.empty() && replies.begin()->first <= now) {
        std::pair<advice_attempt, bool> next = replies.begin()->second;
        replies.erase(replies.begin());
        on_reply(next.first, next.second);
      }
      for (int i = 0; i < 3 && submits && since.count() % 25 == 0; ++i) {
        submit();
      }
      dispatch();
    }
  }
  // Lets all requests end: each once, with nothing of it left in the plan.
  void finish() {
    run(milliseconds(8000), false);
    CHECK(plan.requests.empty());
    CHECK(plan.waiting.empty());
    CHECK(ended == submitted.size() - 1);
    CHECK(attempts == ended + plan.repeated);
    for (const planned_channel& each : plan.channels) {
      CHECK(each.load.outstanding == 0);
      CHECK(each.load.open.empty());
    }
  }
  milliseconds longest() const {
    REQUIRE_FALSE(taken.empty());
    return *std::max_element(taken.begin(), taken.end());
  }
};

// Guards against urgent steps that lose their objective of about 1 s: each
// request to a daemon that was cut off waited for 1.5 s, for 3.2 s after the
// daemon was last heard from.
TEST_CASE("urgent requests are answered while a third of the daemons is cut") {
  replay test;
  test.run(milliseconds(3000));
  for (std::size_t i = 1; i < kDaemons; i += 3) test.cut[i] = true;
  test.taken.clear();
  test.run(milliseconds(6000));
  CHECK(test.longest() <= milliseconds(250));
  CHECK(test.attempts_to_cut <= 10);
  test.cut.assign(kDaemons, false);
  test.run(milliseconds(3000));
  CHECK(available_channels(test.plan, test.now) == kDaemons);
  CHECK(test.failed == 0);
  test.finish();
}

TEST_CASE("requests keep off five daemons that are 7 times slower") {
  replay test;
  std::fill_n(test.delays.begin(), 5, kRoundTrip * 7 + kExpected * 6);
  test.run(milliseconds(5000));
  CHECK(test.longest() <= milliseconds(200));
  test.taken.clear();
  test.run(milliseconds(5000));
  CHECK(test.longest() <= milliseconds(50));
  test.finish();
}

// Guards against a service that gets slower by repetitions: if all channels are
// late, none of them answers a request sooner.
TEST_CASE("few requests are repeated while all channels are slow") {
  replay test;
  test.run(milliseconds(3000));
  test.delays.assign(kDaemons, milliseconds(900));
  std::uint64_t repeated = test.plan.repeated;
  std::size_t submitted = test.submitted.size();
  test.run(milliseconds(10000));
  CHECK((test.plan.repeated - repeated) * 10 <=
        test.submitted.size() - submitted);
  test.delays.assign(kDaemons, kRoundTrip);
  test.finish();
  CHECK(test.failed == 0);
}

TEST_CASE("a request fails once both of its attempts have failed") {
  replay test;
  test.cut.assign(kDaemons, true);
  test.submit();
  test.finish();
  CHECK(test.failed == 1);
  CHECK(test.attempts == 2);
}

}  // namespace

}  // namespace ebonygrade::poold
