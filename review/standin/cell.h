// A small deployment on loopback addresses: the store, executors, the operator
// and clients as stand-ins, and the project's daemons as separate processes.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "executor.h"
#include "record.h"
#include "store.h"
#include "web.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;
inline constexpr char kProgram[] = "target/ebonygrade-poold";
inline constexpr char kTemplate[] = "deploy/settings.ini";
inline constexpr char kHost[] = "review.example";
inline constexpr char kService[] = "workers";
inline constexpr milliseconds kCallerTimeout{3000};

struct daemon {
  std::string name;
  std::string clients;
  std::string readiness;
  std::string folder;
  pid_t process = 0;
};

struct queue {
  std::string name;
  std::string prefix;
  int priority = 0;
  int attempts = 3;
};

class cell {
 public:
  cell(asio::io_context* context, record* log)
      : context_(context), log_(log), platform_(context, log) {
    char pattern[] = "/tmp/ebonygrade-review-XXXXXX";
    char* made = mkdtemp(pattern);
    folder_ = made == nullptr ? "" : made;
    machines_ = serve(context, [](const request&) { return no_machines(); });
  }
  ~cell() {
    for (daemon& each : daemons_) end_process(&each, SIGKILL);
    if (!folder_.empty()) {
      for (const daemon& each : daemons_) {
        std::remove((folder_ + "/" + each.name + ".ini").c_str());
        std::remove((folder_ + "/" + each.name + ".log").c_str());
      }
      rmdir(folder_.c_str());
    }
  }
  cell(const cell&) = delete;
  cell& operator=(const cell&) = delete;

  store& platform() { return platform_; }
  record& log() { return *log_; }
  std::vector<run_fact>& facts() { return facts_; }
  std::vector<daemon>& daemons() { return daemons_; }
  std::vector<std::unique_ptr<executor>>& executors() { return executors_; }

  void put_manifest(const std::vector<queue>& queues) {
    json::array routes;
    for (const queue& each : queues) {
      routes.push_back({{"name", each.name},
                        {"host", kHost},
                        {"pathPrefix", each.prefix},
                        {"kind", "unsafe"},
                        {"timeoutMs", 3000},
                        {"targetLatencyMs", 3000},
                        {"priority", each.priority},
                        {"service", kService},
                        {"attempts", each.attempts},
                        {"stretch", 4.0}});
    }
    json::object manifest;
    manifest["version"] = 1;
    manifest["routes"] = std::move(routes);
    manifest["services"] = json::array{{{"name", kService},
                                        {"healthPath", "/healthz"},
                                        {"maxConns", 64},
                                        {"proto", "h1"},
                                        {"tls", false},
                                        {"rejectsOverload", false},
                                        {"spare", false}}};
    manifest["limits"] = {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 262144},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}};
    platform_.put("keyed.op", "config", json::serialize(manifest));
  }

  void add_executor(const std::string& id, std::int64_t cpu,
                    const std::string& kind = "a") {
    executor::description about;
    about.id = id;
    about.service = kService;
    about.cpu = cpu;
    about.kind = kind;
    about.rack = "r1-1";
    executors_.push_back(std::make_unique<executor>(context_, about, &platform_,
                                                    log_, &facts_, &gangs_));
  }

  void start_daemons(int count) {
    for (int i = 1; i <= count; ++i) {
      daemon added;
      added.name = "front-" + std::to_string(i);
      added.clients = free_address(context_);
      added.readiness = free_address(context_);
      daemons_.push_back(added);
      if (!write_settings(added)) return;
      start_process(&daemons_.back());
    }
  }

  // The platform starts a killed process again after a short delay.
  void kill_daemon(daemon* target, milliseconds down) {
    log_->line("operator: SIGKILL to " + target->name);
    end_process(target, SIGKILL);
    asio::co_spawn(*context_, start_again(target, down), asio::detached);
  }

  // The daemon that took the pool last, by the events in the daemons' logs.
  daemon* owner() {
    daemon* newest = nullptr;
    std::string newest_line;
    for (daemon& each : daemons_) {
      if (each.process == 0) continue;
      std::ifstream log(folder_ + "/" + each.name + ".log");
      std::string line;
      while (std::getline(log, line)) {
        if (line.find(" pool_taken ") == std::string::npos) continue;
        // A line begins with its time.
        if (line < newest_line) continue;
        newest_line = line;
        newest = &each;
      }
    }
    return newest;
  }

  bool daemons_run() {
    for (daemon& each : daemons_) {
      if (each.process == 0) continue;
      int status = 0;
      if (waitpid(each.process, &status, WNOHANG) != each.process) continue;
      log_->line("daemon " + each.name + " has ended by itself, status " +
                 std::to_string(status));
      each.process = 0;
      return false;
    }
    return true;
  }

  asio::awaitable<bool> all_ready(milliseconds within) {
    steady::time_point until = steady::now() + within;
    for (daemon& each : daemons_) {
      while (true) {
        std::map<std::string, std::string> headers;
        call_result ready =
            co_await call(each.readiness, http::verb::get, "/readyz", "",
                          std::move(headers), milliseconds(500));
        if (ready.status == 200) break;
        if (steady::now() > until) co_return false;
        co_await pause(milliseconds(100));
      }
    }
    log_->line("daemons: all are ready");
    co_return true;
  }

  // One attempt at the daemon. Clients don't know which one is the owner.
  asio::awaitable<call_result> client_call(const daemon& at, http::verb method,
                                           std::string target,
                                           std::string body) {
    std::map<std::string, std::string> headers;
    headers["Host"] = kHost;
    headers["X-Deadline-Ms"] = "3000";
    call_result result =
        co_await call(at.clients, method, target, std::move(body),
                      std::move(headers), kCallerTimeout);
    log_->line("client: " + std::string(http::to_string(method)) + " " +
               target + " at " + at.name + " -> " +
               (result.status == 0 ? "no answer"
                                   : std::to_string(result.status) + " " +
                                         result.body.substr(0, 100)));
    co_return result;
  }

  // Hands a job in, with retries at other daemons as clients do. Returns
  // whether it was accepted.
  asio::awaitable<bool> submit(std::string target, std::string body,
                               std::size_t first = 0) {
    constexpr std::size_t kAttempts = 5;
    for (std::size_t i = 0; i < kAttempts; ++i) {
      const daemon* at = living(first + i);
      if (at == nullptr) co_return false;
      call_result result =
          co_await client_call(*at, http::verb::post, target, body);
      if (result.status / 100 == 2) co_return true;
      co_await pause(milliseconds(500));
    }
    co_return false;
  }

  asio::awaitable<call_result> read(std::string target, std::size_t at) {
    const daemon* chosen = living(at);
    if (chosen == nullptr) co_return call_result();
    co_return co_await client_call(*chosen, http::verb::get, target, "");
  }

  const daemon* living(std::size_t number) const {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const daemon& each = daemons_[(number + i) % daemons_.size()];
      if (each.process != 0) return &each;
    }
    return nullptr;
  }

 private:
  static asio::awaitable<std::optional<response>> no_machines() {
    co_return make_reply(200, R"({"machines":[],"nextToken":null})");
  }

  // Fills the deploy file's template, as the platform does.
  bool write_settings(const daemon& target) {
    std::ifstream in(kTemplate);
    if (!in) return false;
    std::ostringstream text;
    text << in.rdbuf();
    std::string filled = text.str();
    std::string peers = free_address(context_);
    std::map<std::string, std::string> values = {
        {"node", target.name},
        {"zone", "zone-a"},
        {"region", "region-a"},
        {"limits.cpuShare", "0.25"},
        {"listen.front", target.clients},
        {"listen.ready", target.readiness},
        {"ip", peers.substr(0, peers.find(':'))},
        {"portRange.0", peers.substr(peers.find(':') + 1)},
        {"platform.addr", platform_.address()},
        {"advice", ""},
        {"cloud.addr", machines_},
        {"bounds.upkeepS", "2"},
        {"bounds.holdMaxMs", std::to_string(kHoldMax.count())},
        {"bounds.graceS", "6"},
        {"bounds.status_s", "120"}};
    for (const std::pair<const std::string, std::string>& each : values) {
      std::string mark = "{{" + each.first + "}}";
      std::size_t at = filled.find(mark);
      while (at != std::string::npos) {
        filled.replace(at, mark.size(), each.second);
        at = filled.find(mark, at + each.second.size());
      }
    }
    std::ofstream out(folder_ + "/" + target.name + ".ini");
    out << filled;
    return static_cast<bool>(out);
  }

  void start_process(daemon* target) {
    std::string settings = folder_ + "/" + target->name + ".ini";
    std::string output = folder_ + "/" + target->name + ".log";
    pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int file = open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2(file, STDOUT_FILENO);
      dup2(file, STDERR_FILENO);
      setenv("EBONYGRADE_CONFIG", settings.c_str(), 1);
      execl(kProgram, kProgram, static_cast<char*>(nullptr));
      _exit(kCannotRun);
    }
    target->process = child;
    log_->line("operator: starts " + target->name);
  }

  asio::awaitable<void> start_again(daemon* target, milliseconds after) {
    co_await pause(after);
    start_process(target);
  }

  static void end_process(daemon* target, int signal) {
    if (target->process == 0) return;
    kill(target->process, signal);
    int status = 0;
    waitpid(target->process, &status, 0);
    target->process = 0;
  }

  asio::io_context* context_;
  record* log_;
  store platform_;
  std::string machines_;
  std::string folder_;
  std::vector<daemon> daemons_;
  std::vector<run_fact> facts_;
  gang_table gangs_;
  std::vector<std::unique_ptr<executor>> executors_;
};

}  // namespace review
