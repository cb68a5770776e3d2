// Replays advice requests under a simulated clock: daemons that are cut off,
// slow ones, and a service that is slow for all.
#include "poold/advice_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kExpected{12};
constexpr milliseconds kRoundTrip{10};
constexpr milliseconds kTimeoutMargin{1500};
constexpr milliseconds kTick{1};
constexpr std::size_t kDaemons = 30;

// The owner's requests, the daemons and the service. One request at a time for
// each daemon.
struct replay {
  struct event {
    advice_attempt attempt;
    bool usable = false;
  };

  advice_plan plan;
  steady_time now{std::chrono::hours(1)};
  std::vector<milliseconds> delays;  // Of replies, by channel.
  std::vector<bool> cut;             // No calls and no announcements.
  std::vector<steady_time> busy_until;
  std::multimap<steady_time, event> events;
  std::map<std::uint64_t, steady_time> submitted;
  std::map<std::uint64_t, int> ends;
  std::vector<milliseconds> taken;  // Of requests that got a reply.
  int failed = 0;
  int attempts = 0;
  int attempts_to_cut = 0;

  replay() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      add_channel(&plan, now, i == 0);
      delays.push_back(kRoundTrip);
    }
    cut.assign(kDaemons, false);
    busy_until.assign(kDaemons, now);
  }

  void submit(std::uint32_t priority) {
    submitted[add_request(&plan, priority, kExpected)] = now;
    dispatch();
  }

  void dispatch() {
    for (const advice_attempt& each : plan_attempts(&plan, now)) {
      ++attempts;
      attempts_to_cut += cut[each.channel] ? 1 : 0;
      steady_time& busy = busy_until[each.channel];
      steady_time reply = std::max(busy, now) + kExpected;
      steady_time timeout = each.due + kTimeoutMargin;
      if (!cut[each.channel]) busy = reply;
      reply += delays[each.channel];
      bool usable = !cut[each.channel] && reply < timeout;
      events.emplace(usable ? reply : timeout, event{each, usable});
    }
  }

  void on_event(const event& next) {
    bool usable = next.usable && !cut[next.attempt.channel];
    std::uint64_t id = next.attempt.request;
    switch (observe_reply(&plan, next.attempt, usable, now)) {
      case request_state::done:
        taken.push_back(
            std::chrono::duration_cast<milliseconds>(now - submitted.at(id)));
        ++ends[id];
        break;
      case request_state::failed:
        ++failed;
        ++ends[id];
        break;
      default:
        break;
    }
    dispatch();
  }

  // `submissions` is called at each tick with the time since the begin.
  void run(milliseconds period,
           const std::function<void(milliseconds)>& submissions) {
    steady_time begun = now;
    for (; now < begun + period; now += kTick) {
      milliseconds since =
          std::chrono::duration_cast<milliseconds>(now - begun);
      for (std::size_t i = 0; i < kDaemons; ++i) {
        bool announces = (since.count() + static_cast<int>(i) * 31) % 1000 == 0;
        if (announces && !cut[i]) observe_contact(&plan, i, now);
      }
      while (!events.empty() && events.begin()->first <= now) {
        event next = events.begin()->second;
        events.erase(events.begin());
        on_event(next);
      }
      std::optional<steady_time> check = next_check(plan, now - kTick);
      if (check && *check <= now) dispatch();
      submissions(since);
    }
  }
  // Urgent requests, three at a time, 120 a second.
  void run_urgent(milliseconds period) {
    run(period, [&](milliseconds since) {
      for (int i = 0; i < 3 && since.count() % 25 == 0; ++i) submit(0);
    });
  }
  void finish() {
    run(milliseconds(8000), [](milliseconds) {});
  }

  milliseconds longest() const {
    return *std::max_element(taken.begin(), taken.end());
  }
  // Every request has ended once, and the plan holds nothing of it.
  void check_ends() const {
    CHECK(plan.requests.empty());
    CHECK(plan.waiting.empty());
    CHECK(ends.size() == submitted.size());
    for (const std::pair<const std::uint64_t, int>& each : ends) {
      CHECK(each.second == 1);
    }
    for (const planned_channel& each : plan.channels) {
      CHECK(each.load.outstanding == 0);
      CHECK(each.load.outstanding_long == 0);
      CHECK(each.load.open.empty());
    }
    CHECK(static_cast<std::uint64_t>(attempts) ==
          submitted.size() + plan.repeated);
  }
};

// Guards against urgent steps that lose their objective of about 1 s: each
// request to a daemon that was cut off waited for 1.5 s, for 3.2 s after the
// daemon was last heard from.
TEST_CASE("urgent requests are answered while a third of the daemons is cut") {
  replay test;
  test.run_urgent(milliseconds(3000));
  for (std::size_t i = 1; i < kDaemons; i += 3) test.cut[i] = true;
  test.taken.clear();
  test.run_urgent(milliseconds(6000));
  CHECK(test.longest() <= milliseconds(250));
  CHECK(test.failed == 0);
  // One request finds out; the requests in flight at the cut come on top.
  CHECK(test.attempts_to_cut <= 10);
  int before = test.attempts_to_cut;
  test.cut.assign(kDaemons, false);
  test.run_urgent(milliseconds(3000));
  CHECK(test.attempts_to_cut == before);
  CHECK(available_channels(test.plan, test.now) == kDaemons);
  test.finish();
  test.check_ends();
}

TEST_CASE("requests keep off daemons that are slow") {
  replay test;
  for (std::size_t i = 0; i < 5; ++i) {
    test.delays[i] = kRoundTrip * 7 + kExpected * 6;
  }
  test.run_urgent(milliseconds(5000));
  CHECK(test.longest() <= milliseconds(200));
  test.taken.clear();
  test.run_urgent(milliseconds(5000));
  CHECK(test.longest() <= milliseconds(50));
  test.finish();
  test.check_ends();
}

// Guards against a service that gets slower by repetitions: if all channels are
// late, none of them answers a request sooner.
TEST_CASE("few requests are repeated while all channels are slow") {
  replay test;
  test.run_urgent(milliseconds(3000));
  test.delays.assign(kDaemons, milliseconds(900));
  std::uint64_t before = test.plan.repeated;
  std::size_t submitted = test.submitted.size();
  test.run_urgent(milliseconds(10000));
  // All channels together answer 100 requests a second now.
  CHECK((test.plan.repeated - before) * 10 <=
        test.submitted.size() - submitted);
  test.delays.assign(kDaemons, kRoundTrip);
  test.finish();
  CHECK(test.failed == 0);
  test.check_ends();
}

TEST_CASE("a request fails once both of its attempts have failed") {
  replay test;
  test.cut.assign(kDaemons, true);
  test.submit(0);
  test.submit(1);
  test.run(milliseconds(8000), [](milliseconds) {});
  CHECK(test.failed == 2);
  test.check_ends();
  CHECK(available_channels(test.plan, test.now) <= 1);
}

}  // namespace

}  // namespace ebonygrade::poold
