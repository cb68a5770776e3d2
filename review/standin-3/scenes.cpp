#include "scenes.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ebonygrade::review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

void sleep_for(milliseconds time) { std::this_thread::sleep_for(time); }

std::string job_name(unsigned number) {
  char text[17];
  std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", number);
  return text;
}

bool shows(const reply& answer, const std::string& state) {
  return answer.status == 200 &&
         answer.body.find("\"" + state + "\"") != std::string::npos;
}

// Whether any task of the job runs.
bool runs(cell* deployment, const std::string& job) {
  for (const std::pair<const std::string, cell::running_task>& each :
       deployment->running()) {
    if (each.first.starts_with(job + ".")) return true;
  }
  return false;
}

int verdict(cell* deployment, bool broken, const std::string& rule) {
  deployment->note(broken ? rule + " is broken" : rule + " held");
  return broken ? kBroken : kHeld;
}

}  // namespace

int run_wide_job(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  cell deployment(options);
  std::atomic<std::size_t> starts = 0;
  std::atomic<std::size_t> done = 0;
  deployment.on_task = [&](const task_event& event) {
    if (event.what == "start") ++starts;
    if (event.what == "done") ++done;
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  std::vector<std::string> accepted;
  unsigned number = 0;
  step_spec first;
  first.count = 2;
  first.cpu = 1000;
  first.work = milliseconds(1500);
  step_spec second = first;
  second.after = {0};
  auto submit_small = [&] {
    std::string job = job_name(++number);
    if (deployment.submit(number % 3, job, {first, second}).status == 200) {
      accepted.push_back(job);
    }
  };
  for (int i = 0; i < 10; ++i) submit_small();
  step_spec wide;
  wide.count = input.trouble ? 6500 : 2500;
  wide.cpu = 20;
  wide.work = milliseconds(3000);
  std::string job = job_name(0xfff);
  if (deployment.submit(0, job, {wide, wide}).status != 200) return kCannotRun;
  accepted.push_back(job);
  for (int i = 0; i < 10; ++i) {
    sleep_for(milliseconds(1000));
    submit_small();
    deployment.note("starts=" + std::to_string(starts) +
                    " done=" + std::to_string(done));
  }
  deployment.note("end of the traffic");
  for (int i = 0; i < 14; ++i) {
    sleep_for(milliseconds(1000));
    deployment.note("starts=" + std::to_string(starts) +
                    " done=" + std::to_string(done) +
                    " running=" + std::to_string(deployment.running().size()));
  }
  // finish_s after the end of the traffic.
  std::set<std::string> idle;
  for (const std::string& each : accepted) {
    reply state = deployment.read_state(1, each);
    if (!shows(state, "complete")) idle.insert(each);
  }
  deployment.note(std::to_string(idle.size()) + " of " +
                  std::to_string(accepted.size()) +
                  " accepted jobs aren't complete");
  bool roomy = true;
  for (int i = 0; i < 30 && !idle.empty(); ++i) {
    std::pair<std::int64_t, std::int64_t> cpu = deployment.cpu();
    roomy = roomy && 2 * cpu.first < cpu.second;
    std::erase_if(
        idle, [&](const std::string& each) { return runs(&deployment, each); });
    sleep_for(milliseconds(100));
  }
  deployment.note(std::to_string(idle.size()) +
                  " of them had nothing running for 3 s, with under half of "
                  "the capacity in use: " +
                  (roomy ? "yes" : "no"));
  for (const std::string& each : idle) deployment.read_state(2, each);
  return verdict(&deployment, roomy && !idle.empty(), "LOST");
}

int run_wave(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 6;
  options.has_machines = true;
  cell deployment(options);
  constexpr std::size_t kMayMiss = 1;
  constexpr milliseconds kNotice{4500};
  struct task_state {
    std::string executor;  // Empty: not running.
    bool ended_by_order = false;
    milliseconds away_since{0};
  };
  std::map<std::string, task_state> tasks;  // On the servers' thread.
  bool broken = false;
  deployment.on_task = [&](const task_event& event) {
    task_state& task = tasks[event.task];
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
    if (event.what == "start") {
      task.executor = event.executor;
    } else if (task.executor == event.executor) {
      task.executor.clear();
      task.away_since = deployment.now();
    }
  };
  deployment.on_upkeep = [&](const std::string& machine,
                             const std::string& executor) {
    deployment.note("upkeep of " + machine + " begins; executor " + executor);
    for (std::pair<const std::string, task_state>& each : tasks) {
      if (each.second.executor != executor) continue;
      std::size_t away = 0;
      for (const std::pair<const std::string, task_state>& other : tasks) {
        if (other.first == each.first || !other.second.executor.empty()) {
          continue;
        }
        bool long_away = deployment.now() - other.second.away_since >= kNotice;
        if (other.second.ended_by_order || long_away) ++away;
      }
      deployment.note("  it ends " + each.first + " while " +
                      std::to_string(away) + " others of its step are away");
      if (away >= kMayMiss) broken = true;
      each.second.executor.clear();
      each.second.ended_by_order = true;
      each.second.away_since = deployment.now();
    }
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec lasting;
  lasting.count = 4;
  lasting.cpu = 4000;
  lasting.work = milliseconds(1000);
  lasting.lasts = true;
  lasting.max_per_executor = 1;
  lasting.may_miss = kMayMiss;
  std::string job = job_name(1);
  if (deployment.submit(0, job, {lasting}).status != 200) return kCannotRun;
  sleep_for(milliseconds(8000));
  std::size_t machines = input.trouble ? 3 : 1;
  // Machines with tasks.
  std::string list;
  std::size_t listed = 0;
  std::set<std::string> busy;
  for (const std::pair<const std::string, cell::running_task>& each :
       deployment.running()) {
    busy.insert(each.second.executor);
  }
  for (std::size_t i = 0; i < options.executors && listed < machines; ++i) {
    std::string machine = deployment.machine_of(i);
    if (busy.count(deployment.executor_on(machine)) == 0) continue;
    list += std::string(list.empty() ? "" : ",") + "\"" + machine + "\"";
    ++listed;
  }
  std::string wave =
      R"({"wave":1,"machines":[)" + list + R"(],"deadlineS":20,"maxCount":1})";
  deployment.note("op/wave/1 " + wave);
  deployment.put("keyed.op", "wave/1", wave);
  for (int i = 0; i < 400; ++i) {
    sleep_for(milliseconds(100));
    std::string status = deployment.newest_value("keyed.status", "wave/1");
    if (status.find("complete") != std::string::npos) {
      deployment.note("status/wave/1 " + status);
      break;
    }
  }
  sleep_for(milliseconds(3000));
  return verdict(&deployment, deployment.ask([&] { return broken; }), "AVAIL");
}

int run_waves(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 3;
  options.has_machines = true;
  cell deployment(options);
  std::atomic<std::size_t> failed = 0;
  deployment.on_task = [&](const task_event& event) {
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
    if (event.what == "failed") ++failed;
  };
  deployment.on_upkeep = [&](const std::string& machine,
                             const std::string& executor) {
    deployment.note("upkeep of " + machine + " begins; executor " + executor);
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec slow;
  slow.cpu = 4000;
  slow.work = milliseconds(90000);
  std::string job = job_name(1);
  if (deployment.submit(0, job, {slow}).status != 200) return kCannotRun;
  constexpr int kWaves = 6;
  for (int wave = 1; wave <= kWaves; ++wave) {
    sleep_for(milliseconds(5000));
    if (input.trouble) {
      std::string list;
      for (std::size_t i = 0; i < options.executors; ++i) {
        list += (i == 0 ? "\"" : ",\"") + deployment.machine_of(i) + "\"";
      }
      std::string number = std::to_string(wave);
      std::string text = R"({"wave":)" + number + R"(,"machines":[)" + list +
                         R"(],"deadlineS":10,"maxCount":1})";
      deployment.note("op/wave/" + number + " " + text);
      deployment.put("keyed.op", "wave/" + number, text);
    }
    sleep_for(milliseconds(10000));
    reply state = deployment.read_state(1, job);
    if (shows(state, "failed")) break;
  }
  reply state = deployment.read_state(2, job);
  deployment.note(std::to_string(failed) + " runs have ended as failed");
  return verdict(&deployment, shows(state, "failed") && failed == 0, "LOST");
}

int run_foreign_entry(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 6;
  cell deployment(options);
  deployment.on_task = [&](const task_event& event) {
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec slow;
  slow.count = 2;
  slow.cpu = 9000;
  slow.work = milliseconds(20000);
  std::string job = job_name(1);
  if (deployment.submit(0, job, {slow}).status != 200) return kCannotRun;
  sleep_for(milliseconds(5000));
  std::multimap<std::string, cell::running_task> before = deployment.running();
  if (before.size() != 2) return kCannotRun;
  if (input.trouble) {
    std::string id = before.begin()->second.executor;
    // No manifest names the service "archive".
    std::int64_t born = std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    std::string entry =
        R"({"service":"archive","addr":")" + deployment.unused_address() +
        R"(","zone":"sofia-a","version":"v1","slots":8,"state":"ready",)"
        R"("coldLeftMs":0,"capacity":{"cpu":16000,"memMb":65536,"gpu":0},)"
        R"("labels":["a","r1-0"],"clockMs":1000,"seq":1,"born":)" +
        std::to_string(born) + "}";
    deployment.note("another writer: servers/" + id + " " + entry);
    deployment.put("keyed.servers", id, entry);
  }
  std::size_t twice = 0;
  std::set<std::string> reported;
  for (int i = 0; i < 1500; ++i) {
    std::multimap<std::string, cell::running_task> now = deployment.running();
    for (const std::pair<const std::string, cell::running_task>& each : now) {
      if (now.count(each.first) < 2) continue;
      ++twice;
      if (!reported.insert(each.first).second) continue;
      for (const std::pair<const std::string, cell::running_task>& copy : now) {
        if (copy.first != each.first) continue;
        deployment.note(each.first + " runs on " + copy.second.executor);
      }
    }
    sleep_for(milliseconds(10));
  }
  deployment.note("two runs of one task were seen " + std::to_string(twice) +
                  " times, 10 ms apart");
  sleep_for(milliseconds(10000));
  deployment.read_state(1, job);
  return verdict(&deployment, twice > 0, "TWICE");
}

int run_deadly_task(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 12;
  cell deployment(options);
  std::size_t starts = 0;  // On the servers' thread, as the next two.
  std::size_t crashes = 0;
  std::size_t starts_after_third = 0;
  deployment.on_task = [&](const task_event& event) {
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
    if (event.what == "crash") ++crashes;
    if (event.what != "start") return;
    ++starts;
    if (crashes >= 3) ++starts_after_third;
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec deadly;
  deadly.cpu = 2000;
  deadly.work = milliseconds(1000);
  deadly.deadly = input.trouble;
  std::string job = job_name(1);
  if (deployment.submit(0, job, {deadly}).status != 200) return kCannotRun;
  for (int i = 0; i < 80; ++i) {
    sleep_for(milliseconds(1000));
    if (deployment.ask([&] { return starts_after_third; }) > 5) break;
  }
  deployment.read_state(1, job);
  return deployment.ask([&] {
    deployment.note(std::to_string(starts) + " starts, " +
                    std::to_string(crashes) + " executors have crashed, " +
                    std::to_string(starts_after_third) +
                    " starts after the third crash");
    return verdict(&deployment, starts_after_third >= 3, "BUDGET");
  });
}

int run_fills(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 6;
  cell deployment(options);
  deployment.on_task = [&](const task_event& event) {
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec serving;
  serving.count = 6;
  serving.cpu = 2000;
  serving.work = milliseconds(1000);
  serving.lasts = true;
  serving.max_per_executor = 1;
  serving.target_ms = 200;
  if (deployment.submit(0, job_name(1), {serving}).status != 200) {
    return kCannotRun;
  }
  sleep_for(milliseconds(5000));
  if (deployment.running().size() != 6) return kCannotRun;
  step_spec batch;
  batch.count = 4;
  batch.cpu = 1000;
  batch.work = milliseconds(1000);
  batch.fills = input.trouble;
  std::string job = job_name(2);
  if (deployment.submit(1, job, {batch}).status != 200) return kCannotRun;
  deployment.note("end of the traffic");
  sleep_for(milliseconds(14000));  // finish_s
  bool complete = shows(deployment.read_state(2, job), "complete");
  bool idle = !complete;
  for (int i = 0; i < 30 && idle; ++i) {
    std::pair<std::int64_t, std::int64_t> cpu = deployment.cpu();
    if (runs(&deployment, job) || 2 * cpu.first >= cpu.second) idle = false;
    sleep_for(milliseconds(100));
  }
  std::pair<std::int64_t, std::int64_t> cpu = deployment.cpu();
  deployment.note("in use: " + std::to_string(cpu.first) + " of " +
                  std::to_string(cpu.second) + " thousandths of a core");
  deployment.read_state(0, job);
  return verdict(&deployment, idle, "LOST");
}

int run_lost_executor(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 6;
  options.longest_lease = milliseconds(10000);
  cell deployment(options);
  std::map<std::string, milliseconds> started;  // On the servers' thread.
  deployment.on_task = [&](const task_event& event) {
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
    if (event.what == "start") started[event.task] = deployment.now();
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec lasting;
  lasting.count = 4;
  lasting.cpu = 4000;
  lasting.work = milliseconds(1000);
  lasting.lasts = true;
  lasting.max_per_executor = 1;
  if (deployment.submit(0, job_name(1), {lasting}).status != 200) {
    return kCannotRun;
  }
  sleep_for(milliseconds(12000));
  std::multimap<std::string, cell::running_task> before = deployment.running();
  if (before.size() != 4) return kCannotRun;
  std::string task = before.begin()->first;
  milliseconds lost = deployment.now();
  if (input.trouble) {
    deployment.note(before.begin()->second.executor + " is lost for good");
    deployment.lose_executor(before.begin()->second.executor);
  }
  // From 6 s after its last run the task may have nothing running for 3 s.
  sleep_for(milliseconds(9000));
  bool runs_again = deployment.running().count(task) > 0;
  deployment.note("after 9 s the task " +
                  std::string(runs_again ? "runs" : "has nothing running"));
  sleep_for(milliseconds(4000));
  milliseconds again = deployment.ask([&] { return started[task]; });
  if (again > lost) {
    deployment.note("it was started again after " +
                    std::to_string((again - lost).count()) + " ms");
  }
  return verdict(&deployment, !runs_again, "LOST");
}

}  // namespace ebonygrade::review
