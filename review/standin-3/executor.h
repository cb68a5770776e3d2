// Stand-in for an executor: it serves /run-start, /run-stop and /hold, keeps
// its entry in the store, and ends runs when their work is done or the lease
// has expired.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock/timer.h"
#include "http/server.h"
#include "store.h"

namespace ebonygrade::review {

using std::chrono::milliseconds;

// What the clients have asked for, as far as the executors need to know it.
struct step_spec {
  std::int64_t count = 1;
  std::int64_t cpu = 100;  // Thousandths of a core.
  milliseconds work{100};
  std::int64_t spread = 1;  // The longest task takes this many times as long.
  std::vector<std::int64_t> after;
  bool lasts = false;
  bool saves = false;
  std::int64_t max_per_executor = 0;
  bool deadly = false;  // Crashes each executor that starts it.
};
using job_book = std::map<std::string, std::vector<step_spec>>;

struct task_id {
  std::string job;
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  std::int64_t index = 0;
};

// Something that an executor has seen.
struct task_event {
  std::string executor;
  std::string task;
  std::uint64_t run = 0;
  std::string what;  // "start" or how the run has ended.
};

struct executor_options {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  std::string rack = "r1";
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 65536;
  milliseconds longest_lease{6000};
  milliseconds heartbeat{1500};
  milliseconds save_time{1000};
  milliseconds restore_time{600};
  milliseconds startup{300};  // Of a task that lasts, until it is at work.
  // After a crash of its host: nothing is sent, then connections are refused,
  // then the executor starts again under its id and address.
  milliseconds dark_time{2500};
  milliseconds refused_time{500};
};

class executor {
 public:
  executor(boost::asio::io_context& context, const executor_options& options,
           const job_book& book, store* store,
           std::function<void(const task_event&)> on_event);

  const std::string& id() const { return options_.id; }
  // Ends at once with all that it runs. Its entry stays.
  void terminate();
  // The tasks that run here, and whether they are at work.
  std::map<std::string, bool> tasks() const;
  std::int64_t used_cpu() const;

 private:
  struct run_state {
    std::uint64_t run = 0;
    clock::steady_time started;
    milliseconds work{0};
    std::int64_t cpu = 0;
    bool lasts = false;
    bool saves = false;
    std::string checkpoint;
    milliseconds done_before{0};  // What the checkpoint holds.
    std::int64_t saved = 0;
  };
  struct ended_run {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::string checkpoint;
  };
  struct waiting_hold {
    http::responder answer;
    clock::steady_time until;
  };

  void handle(http::request&& request, const http::responder& answer);
  void hold(const boost::json::object& body, const http::responder& answer);
  http::response start(const boost::json::object& body);
  http::response stop(const boost::json::object& body);
  http::response report() const;
  void end(const std::string& task, const std::string& how);
  void extend_lease(const boost::json::object& body);
  void answer_holds(bool all);
  void crash();
  void refuse();
  void restart();
  void listen();
  void tick();
  void beat();
  void announce();
  milliseconds now_ms() const;
  int percent(const run_state& run) const;

  boost::asio::io_context& context_;
  executor_options options_;
  const job_book& book_;
  store* store_;
  std::function<void(const task_event&)> on_event_;
  std::unique_ptr<http::server> server_;
  clock::timer tick_timer_;
  clock::timer beat_timer_;
  clock::timer crash_timer_;
  clock::steady_time begun_;
  std::int64_t born_ = 0;
  std::uint64_t entries_ = 0;
  std::uint64_t fence_ = 0;
  milliseconds lease_until_{0};
  std::map<std::string, run_state> running_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::vector<ended_run> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t last_checkpoint_ = 0;
  std::vector<waiting_hold> holds_;
  bool terminated_ = false;
  bool dark_ = false;
  std::string address_ = "127.0.0.1:0";
  std::vector<http::responder> unanswered_;  // While dark.
};

// Reads ID.K.STEP.INDEX.
std::optional<task_id> parse_task(const std::string& text);

}  // namespace ebonygrade::review
