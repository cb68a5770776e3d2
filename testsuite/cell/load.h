// Concurrent callers that submit requests and collect the outcomes.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cell/cell.h"

namespace ebonygrade::testsuite {

struct load_options {
  std::string prefix = "r";  // Of the request ids.
  std::size_t callers = 8;
  std::size_t requests = 40;  // Of each caller.
  milliseconds runtime{20};   // Of a task.
  bool idempotent = true;
  milliseconds wait{20000};
  // Indexes of the daemons to call, in rotation.
  std::vector<std::size_t> entries;
  // Skips daemons that aren't ready, as a load balancer does.
  bool only_ready = false;
};

// Final outcomes by request id. A caller resubmits its request under the same
// id to the next daemon until it gets a final outcome; `not_run` is one.
class load {
 public:
  load(cell& cell, const load_options& options);
  // Stops the callers; requests that are still open get no outcome.
  ~load();

  void start();
  // Waits until every caller has ended.
  void finish();

  std::size_t count(wire::outcome_kind kind) const;
  // Number of requests without an outcome.
  std::size_t without_outcome() const;
  const std::map<std::string, wire::outcome>& outcomes() const {
    return outcomes_;
  }
  // Number of requests that ended, with or without an outcome.
  std::size_t ended() const { return ended_.load(); }

 private:
  void run_caller(std::size_t caller);
  void submit_one(const wire::job_request& request, std::size_t first_entry);

  cell& cell_;
  load_options options_;
  std::vector<std::thread> threads_;
  std::atomic<bool> cancelled_{false};
  std::atomic<std::size_t> ended_{0};
  std::mutex mutex_;
  std::map<std::string, wire::outcome> outcomes_;
};

}  // namespace ebonygrade::testsuite
