// A small deployment on loopback addresses, without its daemons: the store,
// the executors, the machines' API and the operator. The script starts the
// daemons with the settings files that are written here. The scene runs on a
// thread of its own and reaches the servers by ask().
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "executor.h"
#include "http/client.h"
#include "store.h"

namespace ebonygrade::review {

struct cell_options {
  std::string folder;  // For the settings files.
  std::string record;  // File with what was sent, answered and run.
  std::size_t daemons = 3;
  std::size_t executors = 48;
  milliseconds longest_lease{6000};
  milliseconds upkeep_time{2000};
  bool has_machines = false;
};

struct daemon_address {
  std::string id;
  std::string clients;
  std::string readiness;
  std::string peers;
};

// Status 0: no answer.
struct reply {
  unsigned status = 0;
  std::string body;
};

class cell {
 public:
  explicit cell(const cell_options& options);
  ~cell();

  // Runs the function on the servers' thread.
  template <typename F>
  auto ask(F function) -> decltype(function()) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    std::future<decltype(task.get_future().get())> result = task.get_future();
    boost::asio::post(context_, [&task] { task(); });
    return result.get();
  }

  // A line of the record. From any thread.
  void note(const std::string& line);
  milliseconds now() const;

  // Writes the settings files, then the file "ready", and waits until each
  // daemon answers its readiness check with 200. False after 20 s.
  bool wait_for_daemons();
  const std::vector<daemon_address>& daemons() const { return daemons_; }

  // The operator's manifest with one queue. To be called on any thread.
  void put_manifest(std::uint64_t version, std::uint32_t attempts);
  void put(const std::string& topic, const std::string& key,
           const std::string& value);

  // A client's calls, to the daemon of that number.
  reply submit(std::size_t daemon, const std::string& job,
               const std::vector<step_spec>& steps);
  reply read_state(std::size_t daemon, const std::string& job);

  // What runs, by task: the executor and whether the task is at work.
  struct running_task {
    std::string executor;
    bool at_work = false;
  };
  std::multimap<std::string, running_task> running();
  // Thousandths of a core, in use and in all.
  std::pair<std::int64_t, std::int64_t> cpu();
  // Ends the executor for good, as a crash does: it sends nothing, and its
  // entry is removed after three status report intervals.
  void lose_executor(const std::string& id);
  // A loopback address at which nothing listens.
  std::string unused_address() const { return unused_; }
  std::string machine_of(std::size_t number) const;

  // Called on the servers' thread.
  std::function<void(const task_event&)> on_task;
  // Before the executor ends for its upkeep.
  std::function<void(const std::string& machine, const std::string& executor)>
      on_upkeep;

 private:
  struct machine {
    std::string id;
    std::string state = "up";
    std::string executor;  // Empty while it is down.
    std::uint64_t fence = 0;
    std::set<std::int64_t> upkeeps;  // Waves.
  };

  void write_settings();
  reply call(const std::string& address, http::request request,
             milliseconds timeout);
  reply call_front(std::size_t daemon, http::verb method,
                   const std::string& job, const std::string& body);
  void add_executor(const std::string& machine);
  void end_executor(const std::string& id, milliseconds entry_stays);
  void handle_machines(http::request&& request, const http::responder& answer);
  http::response begin_upkeep(const http::request& request);
  void run_after(milliseconds delay, std::function<void()> step);

  cell_options options_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  clock::steady_time begun_;
  std::mutex record_mutex_;
  std::ofstream record_;
  std::unique_ptr<store> store_;
  std::unique_ptr<http::server> machines_server_;
  std::map<std::string, machine> machines_;
  std::map<std::string, std::unique_ptr<executor>> executors_;
  std::vector<std::unique_ptr<executor>> former_;
  std::uint64_t last_executor_ = 0;
  job_book book_;
  std::vector<daemon_address> daemons_;
  std::string unused_;
  std::thread thread_;
};

inline constexpr char kService[] = "huvo11a";
inline constexpr char kHost[] = "nony24.example";
inline constexpr char kPrefix[] = "/lohu930/";

}  // namespace ebonygrade::review
