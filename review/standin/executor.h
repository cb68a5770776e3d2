// Stand-in for an executor that receives its orders by calls. What a task does
// is written in the job's spec: "work=MS" is its run time (0: it lasts),
// "gang=N" the size of its gang, and with "fails=N" its first member fails in
// each of the first N runs, "after=MS" after the start.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "record.h"
#include "store.h"
#include "web.h"

namespace review {

inline constexpr milliseconds kHoldMax{10000};
inline constexpr milliseconds kHeartbeat{1500};
inline constexpr milliseconds kTick{5};
inline constexpr std::int64_t kGangMs = 3000;
inline constexpr std::size_t kMaxListedEnds = 500;
// A lasting task is at work after this time.
inline constexpr std::int64_t kStartupMs = 300;

struct run_end {
  std::uint64_t number = 0;
  std::string task;
  std::uint32_t run = 0;
  std::string how;
};

struct active_run {
  std::string task;
  std::uint32_t run = 0;
  std::int64_t started_ms = 0;  // On the executor's clock.
  std::int64_t work_ms = 0;
  std::int64_t fails_after_ms = 0;  // 0: it doesn't fail.
  std::uint32_t gang = 0;           // Size; 0: none.
};

// What clients could learn of the runs; the check of a case reads it.
struct run_fact {
  std::string executor;
  std::string task;
  std::uint32_t run = 0;
  std::int64_t begun_ms = 0;
  std::int64_t ended_ms = -1;
  std::string how;
  std::uint64_t end_number = 0;
  std::int64_t noted_ms = -1;  // When `lastSeen` reached the end.
};

// Members of gangs that are present, by task prefix and run.
struct gang_table {
  std::map<std::string, std::map<std::string, std::string>> present;
  std::set<std::string> broken;
};

inline std::int64_t spec_number(const std::string& spec,
                                const std::string& name) {
  std::size_t at = spec.find(name + "=");
  if (at == std::string::npos) return 0;
  return std::strtoll(spec.c_str() + at + name.size() + 1, nullptr, 10);
}

inline std::string step_of(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

inline std::int64_t index_of(const std::string& task) {
  return std::strtoll(task.c_str() + task.rfind('.') + 1, nullptr, 10);
}

class executor {
 public:
  struct description {
    std::string id;
    std::string service;
    std::int64_t cpu = 0;
    std::int64_t memory_mb = 65536;
    std::string kind;
    std::string rack;
  };

  executor(asio::io_context* context, description about, store* platform,
           record* log, std::vector<run_fact>* facts, gang_table* gangs)
      : about_(std::move(about)),
        platform_(platform),
        log_(log),
        facts_(facts),
        gangs_(gangs),
        born_(unix_ms()),
        created_(steady::now()) {
    address_ = serve(
        context, [this](const request& received) { return handle(received); });
    asio::co_spawn(*context, heartbeat(), asio::detached);
    asio::co_spawn(*context, tick(), asio::detached);
  }

  std::size_t running() const { return runs_.size(); }
  const description& about() const { return about_; }

 private:
  std::int64_t clock_ms() const {
    return 1000 +
           std::chrono::duration_cast<milliseconds>(steady::now() - created_)
               .count();
  }

  asio::awaitable<void> heartbeat() {
    while (true) {
      json::object entry;
      entry["service"] = about_.service;
      entry["addr"] = address_;
      entry["zone"] = "zone-a";
      entry["version"] = "v1";
      entry["slots"] = 8;
      entry["state"] = "ready";
      entry["coldLeftMs"] = 0;
      entry["capacity"] = {
          {"cpu", about_.cpu}, {"memMb", about_.memory_mb}, {"gpu", 0}};
      entry["labels"] = {about_.kind, about_.rack};
      entry["clockMs"] = clock_ms();
      entry["seq"] = ++sequence_;
      entry["born"] = born_;
      platform_->put("keyed.servers", about_.id, json::serialize(entry));
      co_await pause(kHeartbeat);
    }
  }

  asio::awaitable<void> tick() {
    while (true) {
      co_await pause(kTick);
      std::int64_t now = clock_ms();
      if (!runs_.empty() && now > until_ms_) {
        while (!runs_.empty()) end(runs_.begin()->first, "lapsed");
      }
      std::vector<std::pair<std::string, std::string>> ended;
      for (const std::pair<const std::string, active_run>& each : runs_) {
        std::string how = outcome(each.second, now);
        if (!how.empty()) ended.emplace_back(each.first, how);
      }
      for (const std::pair<std::string, std::string>& each : ended) {
        end(each.first, each.second);
      }
    }
  }

  static std::string gang_key(const active_run& run) {
    return step_of(run.task) + "/" + std::to_string(run.run);
  }

  // How the run ends now; empty if it goes on.
  std::string outcome(const active_run& run, std::int64_t now) const {
    std::int64_t age = now - run.started_ms;
    if (run.gang > 0) {
      std::string key = gang_key(run);
      if (gangs_->broken.count(key) > 0) return "broken";
      if (gangs_->present[key].size() < run.gang) {
        return age > kGangMs ? "alone" : "";
      }
    }
    if (run.fails_after_ms > 0 && age >= run.fails_after_ms) return "failed";
    if (run.work_ms > 0 && age >= run.work_ms) return "done";
    return "";
  }

  void end(const std::string& task, const std::string& how) {
    active_run run = runs_.at(task);
    runs_.erase(task);
    if (run.gang > 0 && how != "done") gangs_->broken.insert(gang_key(run));
    std::uint32_t& highest = ended_runs_[task];
    highest = std::max(highest, run.run);
    ends_.push_back({++last_number_, task, run.run, how});
    for (std::size_t i = facts_->size(); i-- > 0;) {
      run_fact& fact = (*facts_)[i];
      if (fact.executor != about_.id || fact.task != task ||
          fact.run != run.run) {
        continue;
      }
      fact.ended_ms = log_->now_ms();
      fact.how = how;
      fact.end_number = last_number_;
      break;
    }
    log_->line("executor " + about_.id + ": task " + task + " run " +
               std::to_string(run.run) + " ends " + how + " (end " +
               std::to_string(last_number_) + ")");
  }

  response conflict(const std::string& reason) const {
    json::object out;
    out["clockMs"] = clock_ms();
    out["reason"] = reason;
    return make_reply(409, json::serialize(out));
  }

  response confirmation() const {
    json::object out;
    out["clockMs"] = clock_ms();
    return make_reply(200, json::serialize(out));
  }

  // Executors cut longer leases; a lease never gets shorter.
  void renew(const json::object& body) {
    if (const json::value* until = body.if_contains("untilMs")) {
      std::int64_t longest = clock_ms() + kHoldMax.count();
      until_ms_ = std::max(until_ms_,
                           std::min(until->to_number<std::int64_t>(), longest));
    }
  }

  asio::awaitable<std::optional<response>> handle(const request& received) {
    std::string target(received.target());
    if (received["X-Expect-Instance"] != about_.id) {
      co_return make_reply(421, "{}");
    }
    boost::system::error_code failed;
    json::value parsed = json::parse(received.body(), failed);
    if (failed || !parsed.is_object()) co_return make_reply(400, "{}");
    json::object body = parsed.get_object();
    std::uint64_t fence = 0;
    if (const json::value* told = body.if_contains("fence")) {
      fence = told->to_number<std::uint64_t>();
    }
    if (fence < fence_) co_return conflict("fence");
    fence_ = fence;
    if (target == "/run-start") co_return start(body);
    if (target == "/run-stop") co_return stop(body);
    if (target != "/hold") co_return make_reply(404, "{}");
    renew(body);
    acknowledge(body);
    std::int64_t wait = 0;
    if (const json::value* told = body.if_contains("waitMs")) {
      wait = std::min<std::int64_t>(2000, told->to_number<std::int64_t>());
    }
    std::int64_t wait_until = clock_ms() + wait;
    while (ends_.empty() && clock_ms() < wait_until) {
      co_await pause(kTick);
    }
    co_return lists();
  }

  void acknowledge(const json::object& body) {
    const json::value* told = body.if_contains("lastSeen");
    if (told == nullptr) return;
    std::uint64_t seen = told->to_number<std::uint64_t>();
    std::size_t forgotten = 0;
    for (const run_end& each : ends_) {
      if (each.number > seen) break;
      ++forgotten;
      for (run_fact& fact : *facts_) {
        if (fact.executor != about_.id || fact.end_number != each.number) {
          continue;
        }
        fact.noted_ms = log_->now_ms();
      }
    }
    if (forgotten == 0) return;
    ends_.erase(ends_.begin(),
                ends_.begin() + static_cast<std::ptrdiff_t>(forgotten));
    log_->line("executor " + about_.id + ": lastSeen " + std::to_string(seen) +
               ", " + std::to_string(ends_.size()) + " ends are left");
  }

  response lists() const {
    json::array running;
    std::int64_t now = clock_ms();
    for (const std::pair<const std::string, active_run>& each : runs_) {
      const active_run& run = each.second;
      std::int64_t age = now - run.started_ms;
      std::int64_t percent =
          run.work_ms > 0 ? std::min<std::int64_t>(100, 100 * age / run.work_ms)
                          : (age >= kStartupMs ? 100 : 0);
      running.push_back({run.task, run.run, "", percent, 0});
    }
    json::array finished;
    for (const run_end& each : ends_) {
      if (finished.size() == kMaxListedEnds) break;
      finished.push_back({each.number, each.task, each.run, each.how, ""});
    }
    json::object out;
    out["clockMs"] = now;
    out["born"] = born_;
    out["running"] = std::move(running);
    out["finished"] = std::move(finished);
    return make_reply(200, json::serialize(out));
  }

  response start(const json::object& body) {
    std::string task(body.at("task").as_string());
    std::uint32_t number = body.at("run").to_number<std::uint32_t>();
    std::string spec(body.at("spec").as_string());
    std::map<std::string, active_run>::const_iterator there = runs_.find(task);
    if (there != runs_.end() && there->second.run == number) {
      renew(body);
      return confirmation();
    }
    std::map<std::string, std::uint32_t>::const_iterator ended =
        ended_runs_.find(task);
    if (ended != ended_runs_.end() && number <= ended->second) {
      renew(body);
      return conflict("old");
    }
    if (body.at("untilMs").to_number<std::int64_t>() < clock_ms()) {
      return conflict("late");
    }
    renew(body);
    active_run run;
    run.task = task;
    run.run = number;
    run.started_ms = clock_ms();
    run.gang = static_cast<std::uint32_t>(spec_number(spec, "gang"));
    run.work_ms = spec_number(spec, "work");
    bool fails = index_of(task) == 0 && number <= spec_number(spec, "fails");
    if (fails) run.fails_after_ms = spec_number(spec, "after");
    if (run.gang > 0) gangs_->present[gang_key(run)][task] = about_.id;
    runs_[task] = run;
    facts_->push_back({about_.id, task, number, log_->now_ms(), -1, "", 0, -1});
    log_->line("executor " + about_.id + ": task " + task + " run " +
               std::to_string(number) + " begins");
    return confirmation();
  }

  response stop(const json::object& body) {
    std::string task(body.at("task").as_string());
    std::uint32_t number = body.at("run").to_number<std::uint32_t>();
    std::map<std::string, active_run>::const_iterator there = runs_.find(task);
    if (there != runs_.end() && there->second.run == number) {
      end(task, "stopped");
    }
    std::uint32_t& highest = ended_runs_[task];
    highest = std::max(highest, number);
    return confirmation();
  }

  description about_;
  store* platform_;
  record* log_;
  std::vector<run_fact>* facts_;
  gang_table* gangs_;
  std::string address_;
  std::int64_t born_;
  steady::time_point created_;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t until_ms_ = 0;
  std::map<std::string, active_run> runs_;  // By task.
  std::map<std::string, std::uint32_t> ended_runs_;
  std::vector<run_end> ends_;
  std::uint64_t last_number_ = 0;
};

}  // namespace review
