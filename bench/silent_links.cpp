#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cell_bench.h"
#include "figure.h"
#include "peer/liveness.h"

namespace ebonygrade::bench {

namespace {

using clock::milliseconds;
using clock::steady_time;

constexpr steady_time kStart{std::chrono::hours(1)};
constexpr milliseconds kHeartbeatInterval{1000};
constexpr milliseconds kStepInterval{50};
constexpr milliseconds kRoundTrip{18};
constexpr int kLinks = 500;

// Decides when to replace a connection without replies. `heartbeat` records a
// heartbeat that was sent, `reply` its reply; `check` returns whether to
// replace the connection now.
class replacement_rule {
 public:
  virtual ~replacement_rule() = default;
  virtual void heartbeat(std::uint64_t sequence, steady_time now) = 0;
  virtual void reply(std::uint64_t sequence, steady_time now) = 0;
  virtual bool check(steady_time now) = 0;
};

// The rule of peer::link. If `limit` equals `max_limit`, the timeout is
// constant.
class silence_rule final : public replacement_rule {
 public:
  silence_rule(milliseconds limit, milliseconds max_limit, std::uint64_t seed)
      : options_{limit, max_limit}, random_(seed) {}
  void heartbeat(std::uint64_t sequence, steady_time now) override {
    peer::record_heartbeat(state_, sequence, now);
  }
  void reply(std::uint64_t sequence, steady_time now) override {
    peer::record_reply(state_, sequence, now);
  }
  bool check(steady_time now) override {
    if (!peer::should_reconnect(state_, options_, now)) return false;
    peer::record_reconnect(state_, options_, random_);
    return true;
  }

 private:
  peer::liveness_options options_;
  peer::liveness_state state_;
  std::mt19937_64 random_;
};

// The rule of PLB (protective load balancing): replaces the connection after a
// number of consecutive bad rounds, then waits for one to two recovery times. A
// round is bad if its heartbeat has no reply when the next one is due.
class rounds_rule final : public replacement_rule {
 public:
  rounds_rule(int bad_rounds, milliseconds recovery_time, std::uint64_t seed)
      : bad_rounds_(bad_rounds), recovery_time_(recovery_time), random_(seed) {}
  void heartbeat(std::uint64_t, steady_time) override {
    if (!is_first_round_)
      consecutive_bad_rounds_ = answered_ ? 0 : consecutive_bad_rounds_ + 1;
    is_first_round_ = false;
    answered_ = false;
  }
  void reply(std::uint64_t, steady_time) override { answered_ = true; }
  bool check(steady_time now) override {
    if (consecutive_bad_rounds_ < bad_rounds_ || now < backoff_until_)
      return false;
    consecutive_bad_rounds_ = 0;
    is_first_round_ = true;
    std::uniform_real_distribution<double> factor(1, 2);
    backoff_until_ = now + milliseconds(static_cast<int>(
                               factor(random_) * recovery_time_.count()));
    return true;
  }

 private:
  int bad_rounds_;
  milliseconds recovery_time_;
  std::mt19937_64 random_;
  steady_time backoff_until_;
  int consecutive_bad_rounds_ = 0;
  bool answered_ = true;
  bool is_first_round_ = true;
};

using rule_maker =
    std::function<std::unique_ptr<replacement_rule>(std::uint64_t seed)>;

// One connection, whose peer replies unless a flag below prevents it.
struct link_trial {
  std::unique_ptr<replacement_rule> rule;
  steady_time next_heartbeat = kStart;
  std::uint64_t sequence = 0;
  std::multimap<steady_time, std::uint64_t> replies;
  std::vector<steady_time> replacements;
  steady_time stalled_until = kStart;  // Replies are delayed until then.
  bool replies_lost = false;           // No reply on this connection.
  bool unreachable = false;            // No reply on a new one either.
};

void step_link(link_trial& link, steady_time now) {
  if (now >= link.next_heartbeat) {
    link.next_heartbeat += kHeartbeatInterval;
    link.rule->heartbeat(++link.sequence, now);
    if (!link.replies_lost && !link.unreachable) {
      link.replies.emplace(std::max(now + kRoundTrip, link.stalled_until),
                           link.sequence);
    }
  }
  while (!link.replies.empty() && link.replies.begin()->first <= now) {
    link.rule->reply(link.replies.begin()->second, now);
    link.replies.erase(link.replies.begin());
  }
  if (!link.rule->check(now)) return;
  link.replacements.push_back(now);
  link.replies_lost = false;
  link.replies.clear();
}

std::vector<link_trial> make_links(const rule_maker& make_rule) {
  std::vector<link_trial> links(kLinks);
  for (int i = 0; i < kLinks; ++i) {
    links[i].rule = make_rule(i + 1);
    links[i].next_heartbeat +=
        milliseconds(i * 997 % kHeartbeatInterval.count());
  }
  return links;
}

void run(std::vector<link_trial>& links, steady_time from, steady_time to) {
  for (steady_time now = from; now < to; now += kStepInterval) {
    for (link_trial& link : links) step_link(link, now);
  }
}

double percentile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  std::size_t index = static_cast<std::size_t>(share * (values.size() - 1));
  return values[index];
}

void measure_detection(const std::string& name, const rule_maker& make_rule) {
  std::vector<link_trial> links = make_links(make_rule);
  steady_time cut_at = kStart + milliseconds(20000);
  run(links, kStart, cut_at);
  for (link_trial& link : links) link.replies_lost = true;
  run(links, cut_at, cut_at + milliseconds(60000));
  std::vector<double> times;
  for (const link_trial& link : links) {
    if (link.replacements.empty()) continue;
    times.push_back(std::chrono::duration<double, std::milli>(
                        link.replacements.front() - cut_at)
                        .count());
  }
  print_figure(name + ".replaced_after_p50", percentile(times, 0.5), "ms");
  print_figure(name + ".replaced_after_p99", percentile(times, 0.99), "ms");
}

// The peers stall every 15 s, for an exponentially distributed time of 0.7 s on
// average.
void measure_false_alarms(const std::string& name,
                          const rule_maker& make_rule) {
  std::vector<link_trial> links = make_links(make_rule);
  std::mt19937_64 random(9);
  std::exponential_distribution<double> stall_ms(1.0 / 700);
  steady_time now = kStart;
  for (int stall = 0; stall < 20; ++stall) {
    for (link_trial& link : links) {
      link.stalled_until =
          now + milliseconds(static_cast<int>(stall_ms(random)));
    }
    run(links, now, now + milliseconds(15000));
    now += milliseconds(15000);
  }
  double replaced = 0;
  for (const link_trial& link : links) replaced += link.replacements.size();
  print_figure(name + ".false_replacements", 1000 * replaced / (20 * kLinks),
               "/1000_stalls");
}

// No message passes between the regions for ten minutes.
void measure_outage(const std::string& name, const rule_maker& make_rule) {
  std::vector<link_trial> links = make_links(make_rule);
  steady_time cut_at = kStart + milliseconds(20000);
  steady_time restored_at = cut_at + std::chrono::minutes(10);
  run(links, kStart, cut_at);
  for (link_trial& link : links) link.unreachable = true;
  run(links, cut_at, restored_at);
  std::map<std::int64_t, int> in_same_step;
  double replaced = 0;
  for (link_trial& link : links) {
    replaced += link.replacements.size();
    for (steady_time at : link.replacements) {
      if (at >= cut_at + milliseconds(30000)) {
        ++in_same_step[at.time_since_epoch() / kStepInterval];
      }
    }
    link.replacements.clear();
    link.unreachable = false;
  }
  int max_in_step = 0;
  for (const auto& [at, count] : in_same_step)
    max_in_step = std::max(max_in_step, count);
  print_figure(name + ".outage_replacements", replaced / kLinks / 10,
               "/link/min");
  print_figure(name + ".outage_most_at_once", 100.0 * max_in_step / kLinks,
               "%_of_links_in_50ms");
  run(links, restored_at, restored_at + milliseconds(60000));
  double after = 0;
  for (const link_trial& link : links) after += link.replacements.size();
  print_figure(name + ".replaced_after_return", after / kLinks, "/link");
}

void measure(const std::string& name, const rule_maker& make_rule) {
  measure_detection(name, make_rule);
  measure_false_alarms(name, make_rule);
  measure_outage(name, make_rule);
}

rule_maker silence_maker(milliseconds limit, milliseconds max_limit) {
  return [limit, max_limit](std::uint64_t seed) {
    return std::make_unique<silence_rule>(limit, max_limit, seed);
  };
}

rule_maker rounds_maker(int bad_rounds, milliseconds recovery_time) {
  return [bad_rounds, recovery_time](std::uint64_t seed) {
    return std::make_unique<rounds_rule>(bad_rounds, recovery_time, seed);
  };
}

}  // namespace

void measure_silent_links() {
  measure("silent.fixed_2s",
          silence_maker(milliseconds(2000), milliseconds(2000)));
  measure("silent.growing_2s_to_16s",
          silence_maker(milliseconds(2000), milliseconds(16000)));
  measure("silent.growing_3s_to_16s",
          silence_maker(milliseconds(3000), milliseconds(16000)));
  measure("silent.plb_2_rounds", rounds_maker(2, milliseconds(8000)));
  measure("silent.plb_3_rounds", rounds_maker(3, milliseconds(8000)));
}

}  // namespace ebonygrade::bench
