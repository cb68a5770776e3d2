#include "poold/append_pacing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kAppend{2};
constexpr milliseconds kAnswer{4};
constexpr milliseconds kMaxWork{2000};
constexpr milliseconds kCallerLimit{3000};
constexpr milliseconds kArrivalInterval{10};
constexpr milliseconds kRejectedRetry{60};
// An owner has three long polls of 0.4 to 1 s.
constexpr milliseconds kReadWait{350};

// The state of the store from a time on.
struct store_phase {
  milliseconds from{0};
  int factor = 1;
  double lost_share = 0;  // Of the replies.
  bool reachable = true;  // Otherwise appends get lost and nothing answers.
};

struct replay_result {
  std::size_t arrived = 0;
  std::size_t refused = 0;
  std::size_t in_time = 0;   // Acknowledged within the callers' limit.
  std::size_t too_late = 0;  // Accepted and acknowledged later.
  std::size_t attempts = 0;
  std::size_t writes = 0;
  milliseconds longest_work{0};     // That waits at the store, in its x1 time.
  milliseconds longest_refusal{0};  // From arrival to refusal.
  milliseconds longest_unconfirmed{0};  // Owner doesn't confirm the journal.
};

// Plays an owner with callers against a store that handles appends one after
// the other, in steps of 1 ms.
struct replay {
  std::vector<store_phase> phases;
  std::mt19937 random{5};
  append_pace pace;
  steady_time now{};
  steady_time busy_until{};
  steady_time last_reply{};
  steady_time replied{};
  steady_time written{};
  steady_time begun{};
  std::uint64_t write = 0;
  bool waiting = false;
  steady_time next_attempt{};
  struct open_attempt {
    std::uint64_t write = 0;
    steady_time sent;
    steady_time reply_at;  // max(): lost.
  };
  std::vector<open_attempt> open;
  std::vector<steady_time> queued;
  std::vector<steady_time> in_flight;
  steady_time read_reply_at{};
  steady_time unconfirmed_since{};
  replay_result result;

  const store_phase& phase() const {
    const store_phase* current = &phases.front();
    for (const store_phase& each : phases) {
      if (steady_time(each.from) <= now) current = &each;
    }
    return *current;
  }

  std::vector<steady_time> sent_times(bool of_write) const {
    std::vector<steady_time> sent;
    for (const open_attempt& each : open) {
      if (!of_write || each.write == write) sent.push_back(each.sent);
    }
    return sent;
  }

  store_state state() const {
    if (!waiting) return store_state::normal;
    return judge_store(pace, {begun, last_reply}, now);
  }

  milliseconds predicted() const {
    std::vector<steady_time> sent = sent_times(true);
    if (!waiting) sent.clear();
    if (waiting && sent.empty()) sent.push_back(begun);
    return predict_acknowledgement(pace, sent, now);
  }

  bool accepts(milliseconds waited) const {
    return state() != store_state::silent && is_in_time(waited, predicted());
  }

  void send_attempt() {
    ++result.attempts;
    const store_phase& at = phase();
    open_attempt made{write, now, steady_time::max()};
    if (at.reachable) {
      if (busy_until - now > kMaxWork) {
        next_attempt = now + kRejectedRetry;
        return;
      }
      busy_until = std::max(busy_until, now) + kAppend * at.factor;
      bool lost =
          std::uniform_real_distribution<double>(0, 1)(random) < at.lost_share;
      if (!lost) made.reply_at = busy_until + kAnswer * at.factor;
    }
    open.push_back(made);
    next_attempt = now;
    result.longest_work = std::max(
        result.longest_work,
        std::chrono::duration_cast<milliseconds>(busy_until - now) / at.factor);
  }

  void receive() {
    for (std::size_t i = 0; i < open.size(); ++i) {
      if (open[i].reply_at > now || !phase().reachable) continue;
      open_attempt got = open[i];
      last_reply = now;
      observe_append(std::chrono::duration_cast<milliseconds>(now - got.sent),
                     &pace);
      if (got.write != write || !waiting) {
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(i--));
        continue;
      }
      open.erase(open.begin(),
                 open.begin() + static_cast<std::ptrdiff_t>(i) + 1);
      waiting = false;
      replied = now;
      written = begun;
      for (steady_time each : in_flight) {
        (now - each <= kCallerLimit ? result.in_time : result.too_late) += 1;
      }
      in_flight.clear();
      return;
    }
    std::erase_if(open, [&](const open_attempt& each) {
      return now - each.sent >= kAttemptTimeout;
    });
  }

  void refuse_late() {
    std::erase_if(queued, [&](steady_time arrived) {
      milliseconds waited =
          std::chrono::duration_cast<milliseconds>(now - arrived);
      if (accepts(std::max(waited, milliseconds(1)))) return false;
      ++result.refused;
      result.longest_refusal = std::max(result.longest_refusal, waited);
      return true;
    });
  }

  void step() {
    // Long polls answer while the store is reachable.
    if (phase().reachable && read_reply_at <= now) {
      last_reply = now;
      milliseconds delay = kAnswer * phase().factor;
      if (is_on_time(kReadWait, kReadWait + delay)) pace.on_time = now;
      read_reply_at = now + kReadWait + delay;
    }
    receive();
    if (now.time_since_epoch() % kArrivalInterval == milliseconds(0)) {
      ++result.arrived;
      if (accepts(milliseconds(0))) {
        queued.push_back(now);
      } else {
        ++result.refused;
      }
    }
    if (now.time_since_epoch() % milliseconds(100) == milliseconds(0)) {
      refuse_late();
    }
    if (!waiting) {
      in_flight = std::exchange(queued, {});
      waiting = true;
      ++write;
      ++result.writes;
      begun = now;
      send_attempt();
    } else if (now >= next_attempt) {
      std::vector<steady_time> sent = sent_times(false);
      if (sent.empty() || now >= next_attempt_at(pace, sent)) send_attempt();
    }
    bool confirmed = confirms_journal(
        pace, {begun, replied, written, waiting, state()}, now);
    if (confirmed) unconfirmed_since = now;
    result.longest_unconfirmed = std::max(
        result.longest_unconfirmed,
        std::chrono::duration_cast<milliseconds>(now - unconfirmed_since));
    now += milliseconds(1);
  }

  replay_result run(milliseconds duration) {
    now = steady_time(milliseconds(1));
    last_reply = replied = written = unconfirmed_since = now;
    while (now < steady_time(duration)) step();
    return result;
  }
};

replay_result play(std::vector<store_phase> phases) {
  replay made;
  made.phases = std::move(phases);
  return made.run(milliseconds(9000));
}

}  // namespace

// Guards against attempts that are given up before a slow store replies, and
// whose work then delays the next ones.
TEST_CASE("records are acknowledged in time at every pace of the store") {
  int factor = GENERATE(1, 10, 30, 92, 100, 110);
  CAPTURE(factor);
  replay_result got = play({{milliseconds(0), 1},
                            {milliseconds(2000), factor},
                            {milliseconds(7000), 1}});
  CHECK(got.too_late == 0);
  CHECK(got.refused * 20 <= got.arrived);
  CHECK(got.longest_work <= kAppend * 2);
  CHECK(got.longest_unconfirmed == milliseconds(0));
  // One repetition when the store becomes slow, and few later.
  CHECK(got.attempts <= got.writes + 4);
  if (factor <= 10) CHECK(got.attempts == got.writes);
}

TEST_CASE("lost replies delay records by one repetition") {
  int factor = GENERATE(1, 10, 30, 92);
  CAPTURE(factor);
  replay_result got = play({{milliseconds(0), 1},
                            {milliseconds(2000), factor, 1.0 / 3},
                            {milliseconds(7000), 1}});
  CAPTURE(got.in_time, got.refused, got.too_late, got.attempts, got.writes);
  CHECK(got.too_late * 50 <= got.arrived);
  CHECK(got.in_time * 10 >= got.arrived * (factor <= 10 ? 9 : 6));
  CHECK(got.attempts <= got.writes * 2);
}

// Guards against callers that wait for a refusal, and against appends that pile
// up for a store that is back.
TEST_CASE("an outage is refused at once, and its end is noticed") {
  replay_result got = play({{milliseconds(0), 1},
                            {milliseconds(2000), 1, 0, false},
                            {milliseconds(6000), 1}});
  CAPTURE(got.in_time, got.refused, got.too_late, got.attempts, got.writes);
  CHECK(got.longest_refusal <= milliseconds(850));
  CHECK(got.longest_unconfirmed >= milliseconds(2500));
  // Those in the append when the outage began.
  CHECK(got.too_late <= 2);
  // Three more seconds of normal service after the outage.
  CHECK(got.in_time >= 400);
  CHECK(got.longest_work <= kAppend * 2);
}

TEST_CASE("a repetition never comes earlier than 150 ms") {
  append_pace pace;
  CHECK(repeat_delay(pace) == milliseconds(150));
  for (int i = 0; i < 20; ++i) observe_append(milliseconds(5 + i), &pace);
  CHECK(repeat_delay(pace) == milliseconds(150));
  observe_append(milliseconds(600), &pace);
  CHECK(repeat_delay(pace) == milliseconds(780));
}

TEST_CASE("at most two attempts are expected to be answered") {
  append_pace pace;
  steady_time begun{milliseconds(1000)};
  std::vector<steady_time> attempts{begun};
  while (attempts.back() - begun < kAttemptTimeout) {
    attempts.push_back(next_attempt_at(pace, attempts));
  }
  CHECK(attempts.size() <= 8);
  CHECK(attempts[2] - begun >= milliseconds(700));
}

// Guards against takeovers from a live owner that waits for a slow store, and
// against long waits for an owner that is dead.
TEST_CASE("a standby waits longer for an owner that replies") {
  owner_silence silence;
  silence.contact_age = milliseconds(2000);
  CHECK(is_timed_out(silence));
  silence.confirmed = true;
  CHECK_FALSE(is_timed_out(silence));
  silence.contact_age = milliseconds(5001);
  CHECK(is_timed_out(silence));

  silence = {milliseconds(600), milliseconds(368), true, false, false};
  CHECK(is_unconfirmed(silence));
  CHECK_FALSE(uses_owner(silence));
  silence.replies = true;
  CHECK_FALSE(is_unconfirmed(silence));
  CHECK(uses_owner(silence));
  // A store that isn't slow for the standby is out of reach for the owner.
  silence.read_delay = milliseconds(8);
  CHECK(is_unconfirmed(silence));
  CHECK_FALSE(uses_owner(silence));
}

TEST_CASE("refused callers are told to wait by the prediction") {
  CHECK(retry_after(milliseconds(10)) == std::chrono::seconds(1));
  CHECK(retry_after(milliseconds(3800)) == std::chrono::seconds(3));
  CHECK(retry_after(milliseconds(60000)) == std::chrono::seconds(5));
}

TEST_CASE("the delay of reads is that of replies after the wait") {
  milliseconds delay{0};
  observe_read(milliseconds(400), milliseconds(768), &delay);
  CHECK(delay == milliseconds(368));
  observe_read(milliseconds(400), milliseconds(390), &delay);
  CHECK(delay == milliseconds(368));
  observe_read(milliseconds(400), milliseconds(4), &delay);
  CHECK(delay == milliseconds(4));
}

}  // namespace ebonygrade::poold
