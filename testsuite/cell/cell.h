// A small cell of real processes on loopback: daemons and the stand-ins for the
// platform and the workers. Tests inject failures and check the workers' ledger
// and the outcomes that callers got.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/http_call.h"
#include "cell/process.h"
#include "control/control.pb.h"
#include "wire/api.pb.h"
#include "wire/platform.pb.h"

namespace ebonygrade::testsuite {

using std::chrono::milliseconds;

inline constexpr milliseconds kConditionTimeout{60000};

// Polls until the condition holds; false after kConditionLimit.
bool eventually(const std::function<bool()>& condition);

struct cell_options {
  std::size_t daemons = 3;
  std::size_t workers = 24;
  std::string task_lease = "3s";  // In the settings.
  int shards_per_region = 4;
  bool short_timers = true;  // False: the defaults of the settings apply.
};

class cell {
 public:
  explicit cell(const cell_options& options);
  ~cell();

  // Starts all processes, registers the daemons, puts the bundle in force and
  // waits until every shard is served.
  void start();

  // ---- Daemons ----------------------------------------------------------

  std::size_t daemon_count() const { return daemons_.size(); }
  process& daemon(std::size_t index) { return *daemons_[index].running; }
  const std::string& daemon_id(std::size_t index) const;
  const std::string& http_address(std::size_t index) const;
  void kill_daemon(std::size_t index);
  // Starts a new process for the same VM, without any state of the old one.
  void restart_daemon(std::size_t index);
  void list_daemon(std::size_t index);
  void unlist_daemon(std::size_t index);
  bool daemon_ready(std::size_t index);
  // Index of the daemon that owns the request's home shard, as reported by
  // daemon `queried`; nothing if the shard has no owner.
  std::optional<std::size_t> owner_of(const std::string& id,
                                      std::size_t queried);
  std::optional<wire::cell_status> cell_status(std::size_t index);
  bool every_shard_served();

  // ---- Platform and workers ---------------------------------------------

  void control_platform(const standin::platform_control& change);
  void control_worker(const standin::worker_control& change);
  standin::ledger ledger();

  // ---- Requests -----------------------------------------------------------

  // Submits through daemon `index` and waits for the outcome up to `wait`.
  std::optional<wire::request_status> submit(std::size_t index,
                                             const wire::job_request& request,
                                             milliseconds wait);
  // Number of calls of submit() whose connection broke after the request was
  // sent.
  std::size_t broken_exchanges() const { return broken_exchanges_.load(); }
  // One HTTP exchange with daemon `index`.
  http_reply call(std::size_t index, const std::string& method,
                  const std::string& target, const std::string& body);
  // Puts a bundle in force through daemon `index`: publishes, approves and
  // rolls it.
  bool roll_bundle(std::size_t index, const std::string& text);
  std::string bundle_text() const;
  // Standard error of every daemon, to be printed by a failed test.
  std::string daemon_logs() const;

 private:
  struct daemon_slot {
    std::string id;
    std::string zone;
    std::string http_address;
    std::string peer_address;
    std::string config_file;
    std::string log_file;
    std::unique_ptr<process> running;
  };

  void start_platform();
  void start_workers();
  void write_config(const daemon_slot& slot) const;
  void start_daemon(daemon_slot& slot);

  cell_options options_;
  std::string folder_;
  std::string platform_address_;
  std::string workers_address_;
  std::unique_ptr<process> platform_;
  std::unique_ptr<process> workers_;
  std::vector<daemon_slot> daemons_;
  std::atomic<std::size_t> broken_exchanges_{0};
};

// A batch request of one task that runs for `runtime`.
wire::job_request make_request(const std::string& id, bool idempotent,
                               milliseconds runtime);

}  // namespace ebonygrade::testsuite
