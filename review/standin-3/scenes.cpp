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

int run_lost_executor(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 8;
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

int run_wave_hold(const scene_input& input) {
  cell_options options;
  options.folder = input.folder;
  options.record = input.record;
  options.executors = 6;
  options.has_machines = true;
  cell deployment(options);
  deployment.on_task = [&](const task_event& event) {
    deployment.note(event.executor + " " + event.what + " " + event.task + "/" +
                    std::to_string(event.run));
  };
  deployment.on_upkeep = [&](const std::string& machine,
                             const std::string& executor) {
    deployment.note("upkeep of " + machine + " begins; executor " + executor);
  };
  deployment.put_manifest(7, 4);
  if (!deployment.wait_for_daemons()) return kCannotRun;
  sleep_for(milliseconds(2000));
  step_spec lasting;
  lasting.count = static_cast<std::int64_t>(options.executors);
  lasting.cpu = 2000;
  lasting.work = milliseconds(1000);
  lasting.lasts = true;
  lasting.max_per_executor = 1;
  if (deployment.submit(0, job_name(1), {lasting}).status != 200) {
    return kCannotRun;
  }
  sleep_for(milliseconds(4000));
  if (deployment.running().size() != options.executors) return kCannotRun;
  if (input.trouble) {
    std::string list;
    for (std::size_t i = 0; i < options.executors; ++i) {
      list += (i == 0 ? "\"" : ",\"") + deployment.machine_of(i) + "\"";
    }
    std::string text = R"({"wave":1,"machines":[)" + list +
                       R"(],"deadlineS":60,"maxCount":6})";
    deployment.note("op/wave/1 " + text);
    deployment.put("keyed.op", "wave/1", text);
  }
  sleep_for(milliseconds(2000));
  step_spec small;
  small.count = 4;
  small.cpu = 1000;
  small.work = milliseconds(500);
  std::string job = job_name(2);
  if (deployment.submit(1, job, {small}).status != 200) return kCannotRun;
  deployment.note("end of the traffic");
  sleep_for(milliseconds(14000));  // finish_s
  bool idle = !shows(deployment.read_state(2, job), "complete");
  // As long as the rule looks, and on to the end of the wave's upkeeps.
  for (int i = 0; i < 30 && idle; ++i) {
    std::pair<std::int64_t, std::int64_t> cpu = deployment.cpu();
    if (runs(&deployment, job) || 2 * cpu.first >= cpu.second) idle = false;
    sleep_for(milliseconds(100));
  }
  std::pair<std::int64_t, std::int64_t> cpu = deployment.cpu();
  deployment.note("in use: " + std::to_string(cpu.first) + " of " +
                  std::to_string(cpu.second) + " thousandths of a core");
  for (int i = 0; i < 70 && idle; ++i) {
    if (shows(deployment.read_state(0, job), "complete")) break;
    sleep_for(milliseconds(1000));
  }
  return verdict(&deployment, idle, "LOST");
}

}  // namespace ebonygrade::review
