// Stand-in of an executor: runs tasks under leases and fencing tokens as
// PROTOCOL.md says, and lists its ends until they are taken note of.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "service.h"
#include "site.h"

namespace ebonygrade::review {

// Bounds of the settings that executors follow.
struct executor_bounds {
  milliseconds longest_lease{6000};
  milliseconds stop_time{100};  // Of the 400 ms that a stop may take.
  milliseconds gang_wait{3000};
  milliseconds checkpoint_interval{1000};
  milliseconds startup{320};  // Of a task that lasts.
  int far_factor = 3;
};

struct executor_kind {
  std::string service;
  std::string kind;
  std::string rack;
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 65536;
};

struct active_run {
  std::string text;  // The task's name as on the wire.
  task_name task;
  std::uint32_t run = 0;
  step_spec spec;
  steady::time_point begun;  // Of the work; max() while a gang gathers.
  steady::time_point present;
  milliseconds work{0};
  std::optional<steady::time_point> stops_at;
  std::string checkpoint;
  std::int64_t saves = 0;
};

class fleet;

class executor {
 public:
  executor(fleet& all, std::string machine, executor_kind kind);

  // Begins a lifetime under a new id and writes its entry.
  void join();
  // Ends the lifetime with all that it runs. Its port refuses connections.
  void leave();
  void tick(steady::time_point now);

  bool is_up() const { return server_ != nullptr; }
  const std::string& id() const { return id_; }
  const std::string& machine() const { return machine_; }
  const executor_kind& kind() const { return kind_; }
  const std::vector<active_run>& runs() const { return runs_; }
  std::vector<active_run>& mutable_runs() { return runs_; }
  // Ends a run now.
  void end(std::size_t index, const std::string& how);

 private:
  struct finished {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::string checkpoint;
  };
  struct waiting_hold {
    http::responder answer;
    steady::time_point until;
  };

  // Writes the entry in service discovery, at the start and at each heartbeat.
  void write_entry();
  void handle(const http::request& request, const http::responder& answer);
  http::response start(const boost::json::object& body);
  http::response stop(const boost::json::object& body);
  void hold(const boost::json::object& body, const http::responder& answer);
  http::response report() const;
  void answer_holds();
  bool accept_fence(const boost::json::object& body);
  void extend_lease(std::int64_t until_ms);
  std::int64_t clock_ms() const;
  int percent(const active_run& run, steady::time_point now) const;
  std::string conflict_body(const std::string& reason) const;

  fleet& fleet_;
  std::string machine_;
  executor_kind kind_;
  std::string id_;
  std::unique_ptr<http::server> server_;
  std::uint16_t port_ = 0;  // Of all lifetimes on the machine.
  steady::time_point born_;
  std::int64_t born_ms_ = 0;
  std::uint64_t entries_ = 0;  // Of this lifetime.
  steady::time_point next_entry_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_ms_ = 0;
  std::vector<active_run> runs_;
  std::map<std::string, std::uint32_t> closed_;  // Highest run that is over.
  std::vector<finished> finished_;
  std::uint64_t next_end_ = 1;
  std::vector<waiting_hold> holds_;
};

// All executors of the site. Called with the site's lock.
class fleet {
 public:
  fleet(boost::asio::io_context& context, site& shared, store& entries,
        executor_bounds limits);

  void add(const std::string& machine, const executor_kind& kind);
  void tick();

  std::vector<std::unique_ptr<executor>>& members() { return members_; }
  // Takes the executor down at once. Its entry goes when three heartbeats have
  // passed.
  void crash(executor* lost);
  // Takes the machine down for `down`; then a new executor joins.
  bool begin_upkeep(const std::string& machine, milliseconds down);
  std::vector<machine_row> rows() const;

  // Runs of the job that go on.
  std::size_t running(const std::string& job) const;
  bool is_running(const std::string& task) const;
  // Whether a task that lasts is past its startup.
  bool is_at_work(const std::string& task) const;
  // Thousandths of a core that runs use, and that all executors have.
  std::int64_t used_cpu() const;
  std::int64_t total_cpu() const;
  std::int64_t free_slots(const step_spec& need) const;

  boost::asio::io_context& context() { return context_; }
  site& shared() { return site_; }
  store& entries() { return store_; }
  const executor_bounds& limits() const { return limits_; }
  std::string new_id();
  // Ends of runs, for the checks of a case: task, how.
  std::function<void(const executor&, const active_run&, const std::string&)>
      on_end;

 private:
  void gather_gangs(steady::time_point now);

  boost::asio::io_context& context_;
  site& site_;
  store& store_;
  executor_bounds limits_;
  std::vector<std::unique_ptr<executor>> members_;
  std::map<std::string, steady::time_point> returns_;   // By machine.
  std::map<std::string, steady::time_point> removals_;  // By executor id.
  std::uint64_t ids_ = 0;
};

}  // namespace ebonygrade::review
