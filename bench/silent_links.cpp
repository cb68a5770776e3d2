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
constexpr milliseconds kInterval{1000};  // Between heartbeats.
constexpr milliseconds kStep{50};
constexpr milliseconds kRoundTrip{18};
constexpr int kLinks = 500;

// When to replace a silent connection. `heartbeat` is told of each heartbeat
// sent, `reply` of each answer; `check` says whether to replace now.
class replacement_rule {
 public:
  virtual ~replacement_rule() = default;
  virtual void heartbeat(std::uint64_t sequence, steady_time now) = 0;
  virtual void reply(std::uint64_t sequence, steady_time now) = 0;
  virtual bool check(steady_time now) = 0;
};

// The rule of peer::link; without growth, a fixed timeout.
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

// PLB's rule: a number of consecutive bad rounds, then a pause of one to two
// recovery times. A round is bad if its heartbeat has no reply when the next
// one is due.
class rounds_rule final : public replacement_rule {
 public:
  rounds_rule(int bad_rounds, milliseconds recovery, std::uint64_t seed)
      : bad_rounds_(bad_rounds), recovery_(recovery), random_(seed) {}
  void heartbeat(std::uint64_t, steady_time) override {
    if (!first_) rounds_ = answered_ ? 0 : rounds_ + 1;
    first_ = false;
    answered_ = false;
  }
  void reply(std::uint64_t, steady_time) override { answered_ = true; }
  bool check(steady_time now) override {
    if (rounds_ < bad_rounds_ || now < paused_until_) return false;
    rounds_ = 0;
    first_ = true;
    std::uniform_real_distribution<double> factor(1, 2);
    paused_until_ =
        now +
        milliseconds(static_cast<int>(factor(random_) * recovery_.count()));
    return true;
  }

 private:
  int bad_rounds_;
  milliseconds recovery_;
  std::mt19937_64 random_;
  steady_time paused_until_;
  int rounds_ = 0;
  bool answered_ = true;
  bool first_ = true;
};

using rule_maker =
    std::function<std::unique_ptr<replacement_rule>(std::uint64_t seed)>;

// One connection, whose peer answers unless told otherwise.
struct link_trial {
  std::unique_ptr<replacement_rule> rule;
  steady_time next_heartbeat = kStart;
  std::uint64_t sequence = 0;
  std::multimap<steady_time, std::uint64_t> replies;
  std::vector<steady_time> replacements;
  steady_time stalled_until = kStart;  // Replies wait until then.
  bool silent = false;                 // No reply ever on this connection.
  bool unreachable = false;            // Nor on a new one.
};

void step(link_trial& link, steady_time now) {
  if (now >= link.next_heartbeat) {
    link.next_heartbeat += kInterval;
    link.rule->heartbeat(++link.sequence, now);
    if (!link.silent && !link.unreachable) {
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
  link.silent = false;
  link.replies.clear();
}

std::vector<link_trial> make_links(const rule_maker& make) {
  std::vector<link_trial> links(kLinks);
  for (int i = 0; i < kLinks; ++i) {
    links[i].rule = make(i + 1);
    links[i].next_heartbeat += milliseconds(i * 997 % kInterval.count());
  }
  return links;
}

void run(std::vector<link_trial>& links, steady_time from, steady_time to) {
  for (steady_time now = from; now < to; now += kStep) {
    for (link_trial& link : links) step(link, now);
  }
}

double percentile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  std::size_t index = static_cast<std::size_t>(share * (values.size() - 1));
  return values[index];
}

void measure_detection(const std::string& name, const rule_maker& make) {
  std::vector<link_trial> links = make_links(make);
  steady_time cut = kStart + milliseconds(20000);
  run(links, kStart, cut);
  for (link_trial& link : links) link.silent = true;
  run(links, cut, cut + milliseconds(60000));
  std::vector<double> times;
  for (const link_trial& link : links) {
    if (link.replacements.empty()) continue;
    times.push_back(std::chrono::duration<double, std::milli>(
                        link.replacements.front() - cut)
                        .count());
  }
  print_figure(name + ".replaced_after_p50", percentile(times, 0.5), "ms");
  print_figure(name + ".replaced_after_p99", percentile(times, 0.99), "ms");
}

// The peers stall now and then, for an exponential time of 0.7 s on average.
void measure_false_alarms(const std::string& name, const rule_maker& make) {
  std::vector<link_trial> links = make_links(make);
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

// Nothing passes between the regions for ten minutes.
void measure_outage(const std::string& name, const rule_maker& make) {
  std::vector<link_trial> links = make_links(make);
  steady_time cut = kStart + milliseconds(20000);
  steady_time back = cut + std::chrono::minutes(10);
  run(links, kStart, cut);
  for (link_trial& link : links) link.unreachable = true;
  run(links, cut, back);
  std::map<std::int64_t, int> in_same_step;
  double replaced = 0;
  for (link_trial& link : links) {
    replaced += link.replacements.size();
    for (steady_time at : link.replacements) {
      if (at >= cut + milliseconds(30000)) {
        ++in_same_step[at.time_since_epoch() / kStep];
      }
    }
    link.replacements.clear();
    link.unreachable = false;
  }
  int most = 0;
  for (const auto& [at, count] : in_same_step) most = std::max(most, count);
  print_figure(name + ".outage_replacements", replaced / kLinks / 10,
               "/link/min");
  print_figure(name + ".outage_most_at_once", 100.0 * most / kLinks,
               "%_of_links_in_50ms");
  run(links, back, back + milliseconds(60000));
  double after = 0;
  for (const link_trial& link : links) after += link.replacements.size();
  print_figure(name + ".replaced_after_return", after / kLinks, "/link");
}

void measure(const std::string& name, const rule_maker& make) {
  measure_detection(name, make);
  measure_false_alarms(name, make);
  measure_outage(name, make);
}

rule_maker silence_maker(milliseconds limit, milliseconds max_limit) {
  return [limit, max_limit](std::uint64_t seed) {
    return std::make_unique<silence_rule>(limit, max_limit, seed);
  };
}

rule_maker rounds_maker(int bad_rounds, milliseconds recovery) {
  return [bad_rounds, recovery](std::uint64_t seed) {
    return std::make_unique<rounds_rule>(bad_rounds, recovery, seed);
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
