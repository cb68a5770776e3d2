// Plays one case of the second review: a site of stand-ins, real daemons, and a
// client. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
//
//   review_case CASE DAEMON RECORD FOLDER, with TROUBLE=0 for no disruption
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "daemons.h"
#include "executor.h"
#include "service.h"
#include "site.h"

namespace ebonygrade::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr milliseconds kTick{20};
constexpr milliseconds kSample{50};
constexpr milliseconds kDeadline{3000};     // Of a client's call.
constexpr milliseconds kFinish{14000};      // `finish_s`.
constexpr milliseconds kNothingRuns{3000};  // Of the rule LOST.
constexpr char kService[] = "huvo11a";
constexpr char kHost[] = "nony24.example";
constexpr char kFirst[] = "/pule252/";   // Priority 0.
constexpr char kSecond[] = "/lohu930/";  // Priority 1.
constexpr char kThird[] = "/pufi791/";   // Priority 2.

std::string manifest() {
  auto route = [](const std::string& name, const std::string& prefix,
                  int priority, int attempts, double stretch, int target) {
    return R"({"name":")" + name + R"(","host":")" + kHost +
           R"(","pathPrefix":")" + prefix +
           R"(","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":)" +
           std::to_string(target) + R"(,"priority":)" +
           std::to_string(priority) + R"(,"service":")" + kService +
           R"(","attempts":)" + std::to_string(attempts) + R"(,"stretch":)" +
           std::to_string(stretch) + "}";
  };
  return R"({"version":7,"routes":[)" + route("r-a", kFirst, 0, 3, 1.5, 400) +
         "," + route("r-b", kSecond, 1, 4, 2.2, 1200) + "," +
         route("r-c", kThird, 2, 2, 4.0, 3000) + R"(],"services":[{"name":")" +
         kService +
         R"(","healthPath":"/healthz","maxConns":64,"proto":"h1",)"
         R"("tls":false,"rejectsOverload":false,"spare":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

struct options {
  std::string program;
  std::string record;
  std::string folder;
  bool trouble = true;
};

// A site with its stand-ins on a thread of their own.
class stage {
 public:
  stage(const options& from, std::size_t executors, executor_bounds bounds)
      : shared_(from.record),
        store_(context_, shared_),
        fleet_(context_, shared_, store_, bounds),
        cloud_(context_, shared_,
               {[this] { return fleet_.rows(); },
                [this](const std::string& machine, std::uint64_t) {
                  if (on_upkeep) on_upkeep(machine);
                  return fleet_.begin_upkeep(machine, milliseconds(2000));
                }}),
        timer_(context_),
        work_(context_.get_executor()) {
    constexpr std::size_t kExecutorsOfRack = 8;
    store_.put("keyed.op", "config", manifest());
    for (std::size_t i = 0; i < executors; ++i) {
      executor_kind kind;
      kind.service = kService;
      kind.kind = i % 2 == 0 ? "a" : "b";
      kind.rack = "r1-" + std::to_string(i / kExecutorsOfRack + 1);
      fleet_.add("m-" + std::to_string(100 + i), kind);
    }
    fleet_.on_end = [this](const executor&, const active_run& run,
                           const std::string& how) {
      if (how == "done") done_.insert(run.text);
    };
    tick();
    thread_ = std::thread([this] { context_.run(); });
    daemon_settings settings;
    settings.program = from.program;
    settings.folder = from.folder;
    settings.store = store_.address();
    settings.cloud = cloud_.address();
    settings.lease = bounds.longest_lease;
    daemons_ = std::make_unique<daemons>(shared_, settings);
  }
  ~stage() {
    daemons_.reset();
    work_.reset();
    context_.stop();
    thread_.join();
  }
  stage(const stage&) = delete;
  stage& operator=(const stage&) = delete;

  // Runs a step on the thread of the stand-ins, with their lock.
  void run(const std::function<void()>& step) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      std::lock_guard<std::mutex> guard(shared_.lock);
      step();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Sends a job as the pages say: with the same id to another daemon after no
  // answer, 502 or 504, and again after 429 and 503.
  bool submit(const job_spec& job, int tries = 5) {
    run([&] { shared_.jobs[job.id] = job; });
    std::string body = body_of(job);
    for (int i = 0; i < tries; ++i) {
      std::size_t to = next_daemon_++ % daemons_->size();
      reply got = call(daemons_->address(to), "POST", job.queue + job.id, kHost,
                       body, kDeadline);
      shared_.log("client: POST " + job.queue + job.id + " at daemon " +
                  std::to_string(to + 1) + " gets " +
                  std::to_string(got.status));
      if (got.status >= 200 && got.status < 300) return true;
      if (got.status == 429 || got.status == 503) {
        std::this_thread::sleep_for(milliseconds(1000));
      }
    }
    return false;
  }

  // The state that a daemon tells; the status if it isn't 200.
  std::string state(const job_spec& job) {
    std::size_t to = next_daemon_++ % daemons_->size();
    reply got = call(daemons_->address(to), "GET", job.queue + job.id, kHost,
                     "", kDeadline);
    std::string text =
        got.status == 200 ? got.body : std::to_string(got.status);
    shared_.log("client: GET " + job.queue + job.id + " at daemon " +
                std::to_string(to + 1) + " gets " + text);
    return text;
  }

  bool is_complete(const job_spec& job) {
    return state(job).find("complete") != std::string::npos;
  }

  bool wait_for(milliseconds limit, const std::function<bool()>& condition) {
    steady::time_point end = steady::now() + limit;
    while (steady::now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(kSample);
    }
    return condition();
  }

  // Whether the daemons serve a first small job.
  bool settle() {
    if (!daemons_->all_ready(milliseconds(15000))) return false;
    job_spec probe{"00000000000000ff", kFirst, {small_step(1)}};
    if (!submit(probe, 10)) return false;
    return wait_for(milliseconds(10000), [&] { return is_complete(probe); });
  }

  static step_spec small_step(std::uint32_t count) {
    step_spec step;
    step.count = count;
    step.cpu = 980;
    step.memory_mb = 2800;
    step.estimate = step.work = milliseconds(1000);
    return step;
  }

  // The tasks of a job that haven't ended done. Requires the lock.
  std::size_t open_tasks(const job_spec& job) const {
    std::size_t open = 0;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      for (std::uint32_t i = 0; i < job.steps[step].count; ++i) {
        open += done_.count(task_text(job, step, i)) == 0 ? 1 : 0;
      }
    }
    return open;
  }

  static std::string task_text(const job_spec& job, std::uint32_t step,
                               std::uint32_t index) {
    return job.id + ".0." + std::to_string(step) + "." + std::to_string(index);
  }

  // The rule LOST, for jobs whose steps are alike and in turn: whether one of
  // them has nothing running for 3 s, while there is capacity for it twice over
  // and under half of the capacity of the service is in use.
  bool has_idle_job(const std::vector<job_spec>& jobs, milliseconds watch) {
    std::map<std::string, steady::time_point> since;
    std::map<std::string, milliseconds> longest;
    steady::time_point end = steady::now() + watch;
    while (steady::now() < end) {
      run([&] {
        bool light = 2 * fleet_.used_cpu() < fleet_.total_cpu();
        for (const job_spec& each : jobs) {
          const step_spec& step = each.steps.front();
          bool idle = light && open_tasks(each) > 0 &&
                      fleet_.running(each.id) == 0 &&
                      slots_for(step) >= 2 * std::int64_t{step.count};
          steady::time_point now = steady::now();
          if (!idle) {
            since.erase(each.id);
            continue;
          }
          since.try_emplace(each.id, now);
          longest[each.id] = std::max(
              longest[each.id],
              std::chrono::duration_cast<milliseconds>(now - since[each.id]));
        }
      });
      std::this_thread::sleep_for(kSample);
    }
    bool broken = false;
    for (const std::pair<const std::string, milliseconds>& each : longest) {
      bool too_long = each.second >= kNothingRuns;
      broken |= too_long;
      shared_.log("check: job " + each.first + " had nothing running for " +
                  std::to_string(each.second.count()) + " ms on end" +
                  (too_long ? ": LOST" : ""));
    }
    return broken;
  }

  site& shared() { return shared_; }
  store& entries() { return store_; }
  fleet& all() { return fleet_; }
  daemons& processes() { return *daemons_; }
  std::function<void(const std::string& machine)> on_upkeep;

 private:
  // Room for twice the tasks of a step.
  std::int64_t slots_for(step_spec step) const {
    step.count *= 2;
    return fleet_.free_slots(step);
  }
  void tick() {
    timer_.expires_after(kTick);
    timer_.async_wait([this](boost::system::error_code failed) {
      if (failed) return;
      {
        std::lock_guard<std::mutex> guard(shared_.lock);
        fleet_.tick();
      }
      tick();
    });
  }

  boost::asio::io_context context_{1};
  site shared_;
  store store_;
  fleet fleet_;
  cloud cloud_;
  boost::asio::steady_timer timer_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
  std::set<std::string> done_;
  std::unique_ptr<daemons> daemons_;
  std::size_t next_daemon_ = 0;
};

std::string job_id(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016" PRIx64, number);
  return text;
}

void pause(milliseconds time) { std::this_thread::sleep_for(time); }

// A gang that needs every executor waits for one of them, and no other work of
// its priority or below starts meanwhile.
int play_waiting_gang(const options& from) {
  constexpr std::size_t kExecutors = 48;
  stage site(from, kExecutors, executor_bounds());
  if (!site.settle()) return kNotRun;
  // No executor is on the rack with its data, so it takes three times
  // its 12 s.
  step_spec far;
  far.cpu = 7600;
  far.memory_mb = 34000;
  far.estimate = far.work = milliseconds(12000);
  far.data_rack = "r1-9";
  job_spec blocker{job_id(0xb10c), kSecond, {far}};
  if (!site.submit(blocker)) return kNotRun;
  pause(milliseconds(2000));
  step_spec wide;
  wide.count = 48;
  wide.cpu = 7600;
  wide.memory_mb = 34000;
  wide.estimate = wide.work = milliseconds(12000);
  wide.gang = true;
  job_spec gang{job_id(0x6a26), kSecond, {wide}};
  if (from.trouble && !site.submit(gang)) return kNotRun;
  pause(milliseconds(1000));
  std::vector<job_spec> others;
  for (std::uint64_t i = 0; i < 12; ++i) {
    step_spec step = stage::small_step(2);
    step.estimate = step.work = milliseconds(3400);
    others.push_back({job_id(0x1000 + i), kThird, {step}});
    if (!site.submit(others.back())) return kNotRun;
    pause(milliseconds(400));
  }
  site.shared().log("client: the traffic ends");
  pause(kFinish);
  bool broken = site.has_idle_job(others, milliseconds(8000));
  for (const job_spec& each : others) site.state(each);
  if (site.processes().any_ended()) return kNotRun;
  return broken ? kBroken : kHeld;
}

// One job of many small tasks, whose progress doesn't fit into one record.
int play_large_job(const options& from) {
  constexpr std::size_t kExecutors = 48;
  constexpr std::uint32_t kTasks = 8200;
  constexpr std::uint32_t kParts = 4;
  stage site(from, kExecutors, executor_bounds());
  if (!site.settle()) return kNotRun;
  step_spec many;
  many.count = from.trouble ? kTasks : kTasks / kParts;
  many.cpu = 43;
  many.memory_mb = 64;
  many.estimate = many.work = milliseconds(60000);
  // Spread over all executors.
  many.max_per_server = many.count / kExecutors + 1;
  many.short_every = 20;
  many.short_work = milliseconds(5000);
  many.checkpoint = true;
  std::vector<job_spec> large;
  for (std::uint32_t i = 0; i < (from.trouble ? 1 : kParts); ++i) {
    large.push_back({job_id(0x1a26e + i), kThird, {many}});
    if (!site.submit(large.back())) return kNotRun;
  }
  std::vector<job_spec> others;
  steady::time_point traffic_ends = steady::now() + milliseconds(25000);
  for (std::uint64_t i = 0; i < 20 && steady::now() < traffic_ends; ++i) {
    job_spec job{job_id(0x1000 + i), kFirst, {}};
    for (std::uint32_t step = 0; step < 4; ++step) {
      job.steps.push_back(stage::small_step(2));
      if (step > 0) job.steps.back().after = {step - 1};
    }
    if (site.submit(job, 1)) others.push_back(job);
    pause(milliseconds(500));
  }
  site.shared().log("client: the traffic ends, " +
                    std::to_string(others.size()) + " small jobs accepted");
  pause(kFinish);
  std::vector<job_spec> all = others;
  all.insert(all.end(), large.begin(), large.end());
  bool broken = site.has_idle_job(all, milliseconds(12000));
  std::size_t complete = 0;
  for (const job_spec& each : all) complete += site.is_complete(each) ? 1 : 0;
  site.shared().log("check: " + std::to_string(complete) + " of " +
                    std::to_string(all.size()) + " accepted jobs are complete");
  site.shared().log("check: the store refused " +
                    std::to_string(site.entries().oversized()) +
                    " appends for their size");
  if (site.processes().any_ended()) return kNotRun;
  return broken ? kBroken : kHeld;
}

// An executor with tasks that last is lost for good.
int play_lost_executor(const options& from) {
  constexpr std::size_t kExecutors = 48;
  constexpr milliseconds kLastingLimit{6000};
  executor_bounds bounds;
  bounds.longest_lease = milliseconds(10000);
  stage site(from, kExecutors, bounds);
  if (!site.settle()) return kNotRun;
  step_spec lasting;
  lasting.count = 8;
  lasting.cpu = 1000;
  lasting.memory_mb = 2000;
  lasting.estimate = milliseconds(320);
  lasting.long_running = true;
  lasting.max_per_server = 1;
  job_spec job{job_id(0x1a57), kThird, {lasting}};
  if (!site.submit(job)) return kNotRun;
  bool running = site.wait_for(milliseconds(10000), [&] {
    std::size_t found = 0;
    site.run([&] { found = site.all().running(job.id); });
    return found == lasting.count;
  });
  if (!running) return kNotRun;
  // Calm for longer than `stableMs`.
  pause(milliseconds(5000));
  std::vector<std::string> lost;
  if (from.trouble) {
    site.run([&] {
      for (const std::unique_ptr<executor>& each : site.all().members()) {
        if (each->runs().empty()) continue;
        for (const active_run& run : each->runs()) lost.push_back(run.text);
        site.all().crash(each.get());
        return;
      }
    });
  }
  std::map<std::string, milliseconds> away;
  steady::time_point begun = steady::now();
  while (steady::now() - begun < milliseconds(16000)) {
    site.run([&] {
      for (std::uint32_t i = 0; i < lasting.count; ++i) {
        std::string task = stage::task_text(job, 0, i);
        if (!site.all().is_running(task)) {
          away[task] =
              std::chrono::duration_cast<milliseconds>(steady::now() - begun);
        }
      }
    });
    pause(kSample);
  }
  bool broken = false;
  for (const std::pair<const std::string, milliseconds>& each : away) {
    bool too_long = each.second >= kLastingLimit + kNothingRuns;
    broken |= too_long;
    site.shared().log("check: task " + each.first + " had no run until " +
                      std::to_string(each.second.count()) +
                      " ms after its last one" + (too_long ? ": LOST" : ""));
  }
  if (site.processes().any_ended()) return kNotRun;
  return broken ? kBroken : kHeld;
}

// A wave of upkeep over machines with the tasks of a step that may miss one.
int play_wave(const options& from) {
  constexpr std::size_t kExecutors = 48;
  stage site(from, kExecutors, executor_bounds());
  if (!site.settle()) return kNotRun;
  step_spec lasting;
  lasting.count = 4;
  lasting.cpu = 1000;
  lasting.memory_mb = 2000;
  lasting.estimate = milliseconds(320);
  lasting.long_running = true;
  lasting.may_miss = 1;
  lasting.max_per_server = 1;
  job_spec job{job_id(0x1a57), kThird, {lasting}};
  if (!site.submit(job)) return kNotRun;
  auto at_work = [&] {
    std::size_t found = 0;
    site.run([&] {
      for (std::uint32_t i = 0; i < lasting.count; ++i) {
        found += site.all().is_at_work(stage::task_text(job, 0, i)) ? 1 : 0;
      }
    });
    return found == lasting.count;
  };
  if (!site.wait_for(milliseconds(10000), at_work)) return kNotRun;
  pause(milliseconds(5000));
  bool broken = false;
  std::string machines;
  site.run([&] {
    site.on_upkeep = [&](const std::string& machine) {
      for (const std::unique_ptr<executor>& each : site.all().members()) {
        if (each->machine() != machine || !each->is_up()) continue;
        std::size_t here = 0;
        for (const active_run& run : each->runs()) {
          here += run.task.job == job.id ? 1 : 0;
        }
        if (here == 0) return;
        std::size_t away = 0;
        for (std::uint32_t i = 0; i < lasting.count; ++i) {
          away += site.all().is_at_work(stage::task_text(job, 0, i)) ? 0 : 1;
        }
        bool too_many = away >= lasting.may_miss;
        broken |= too_many;
        site.shared().log("check: upkeep of " + machine + " ends " +
                          std::to_string(here) + " tasks while " +
                          std::to_string(away) + " others are away, " +
                          std::to_string(lasting.may_miss) + " may be missed" +
                          (too_many ? ": AVAIL" : ""));
      }
    };
    for (const std::unique_ptr<executor>& each : site.all().members()) {
      bool has_tasks = !each->runs().empty();
      if (!has_tasks) continue;
      if (!machines.empty()) machines += ",";
      machines += "\"" + each->machine() + "\"";
    }
    if (!from.trouble) return;
    site.shared().log("operator: wave 1 over " + machines + ", two at once");
    site.entries().put("keyed.op", "wave/1",
                       R"({"wave":1,"machines":[)" + machines +
                           R"(],"deadlineS":45,"maxCount":2})");
  });
  pause(milliseconds(60000));
  std::string status;
  site.run(
      [&] { status = site.entries().newest_value("keyed.status", "wave/1"); });
  site.shared().log("operator: the status of the wave is " + status);
  if (site.processes().any_ended()) return kNotRun;
  return broken ? kBroken : kHeld;
}

// Waits until so many tasks of the job run.
bool wait_for_runs(stage* site, const job_spec& job, std::size_t count) {
  return site->wait_for(milliseconds(15000), [&] {
    std::size_t found = 0;
    site->run([&] { found = site->all().running(job.id); });
    return found == count;
  });
}

// The executors with the tasks that serve users are lost for good, and all
// others have a task that fills.
int play_filler(const options& from) {
  constexpr std::size_t kExecutors = 48;
  constexpr std::uint32_t kServing = 6;
  constexpr milliseconds kLastingLimit{6000};
  stage site(from, kExecutors, executor_bounds());
  if (!site.settle()) return kNotRun;
  step_spec serving;
  serving.count = kServing;
  serving.cpu = 1000;
  serving.memory_mb = 2000;
  serving.estimate = milliseconds(320);
  serving.long_running = true;
  serving.max_per_server = 1;
  serving.target_ms = 100;
  serving.image = "shop";
  job_spec shop{job_id(0x5409), kSecond, {serving}};
  if (!site.submit(shop) || !wait_for_runs(&site, shop, kServing)) {
    return kNotRun;
  }
  step_spec filling = serving;
  filling.count = kExecutors - kServing;
  filling.cpu = 2000;
  filling.memory_mb = 1000;
  filling.target_ms = 0;
  filling.fills = true;
  filling.image = "index";
  job_spec index{job_id(0x1de8), kThird, {filling}};
  if (!site.submit(index) || !wait_for_runs(&site, index, filling.count)) {
    return kNotRun;
  }
  pause(milliseconds(5000));
  if (from.trouble) {
    site.run([&] {
      for (const std::unique_ptr<executor>& each : site.all().members()) {
        bool serves = std::any_of(
            each->runs().begin(), each->runs().end(),
            [&](const active_run& run) { return run.task.job == shop.id; });
        if (serves) site.all().crash(each.get());
      }
    });
  }
  std::map<std::string, milliseconds> away;
  std::int64_t slots = 0;
  steady::time_point begun = steady::now();
  while (steady::now() - begun < milliseconds(40000)) {
    site.run([&] {
      slots = site.all().free_slots(serving);
      for (std::uint32_t i = 0; i < kServing; ++i) {
        std::string task = stage::task_text(shop, 0, i);
        if (site.all().is_running(task)) continue;
        away[task] =
            std::chrono::duration_cast<milliseconds>(steady::now() - begun);
      }
    });
    pause(kSample);
  }
  bool broken = false;
  for (const std::pair<const std::string, milliseconds>& each : away) {
    bool too_long = each.second >= kLastingLimit + kNothingRuns;
    broken |= too_long;
    site.shared().log("check: task " + each.first + " had no run until " +
                      std::to_string(each.second.count()) +
                      " ms after its last one" + (too_long ? ": LOST" : ""));
  }
  site.shared().log("check: the executors have room for " +
                    std::to_string(slots) + " such tasks");
  site.state(shop);
  if (site.processes().any_ended()) return kNotRun;
  return broken ? kBroken : kHeld;
}

int play(const std::string& name, const options& from) {
  if (name == "waiting-gang") return play_waiting_gang(from);
  if (name == "large-job") return play_large_job(from);
  if (name == "lost-executor") return play_lost_executor(from);
  if (name == "wave") return play_wave(from);
  if (name == "filler") return play_filler(from);
  std::cerr << "review_case: no case " << name << "\n";
  return kNotRun;
}

}  // namespace
}  // namespace ebonygrade::review

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: review_case CASE DAEMON RECORD FOLDER\n";
    return 2;
  }
  ebonygrade::review::options from;
  from.program = argv[2];
  from.record = argv[3];
  from.folder = argv[4];
  const char* trouble = std::getenv("TROUBLE");
  from.trouble = trouble == nullptr || std::string(trouble) != "0";
  return ebonygrade::review::play(argv[1], from);
}
