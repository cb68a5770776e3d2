// Callers that submit requests and keep what they were answered.
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
  std::vector<std::size_t> entries;  // Daemons to call, in turn.
  bool only_ready = false;  // As behind the balancer: skip those not ready.
};

// Final outcomes by request id. A caller asks again under the same id, at the
// next daemon, until it is told an outcome; `not_run` ends a request.
class load {
 public:
  load(cell& cell, const load_options& options);
  // Callers give up.
  ~load();

  void start();
  // Waits for every caller to be done.
  void finish();

  std::size_t count(wire::outcome_kind kind) const;
  // Requests that never got an outcome.
  std::size_t lost() const;
  const std::map<std::string, wire::outcome>& outcomes() const {
    return outcomes_;
  }
  std::size_t done() const { return done_.load(); }

 private:
  void run_caller(std::size_t caller);
  void submit_one(const wire::job_request& request, std::size_t turn);

  cell& cell_;
  load_options options_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::size_t> done_{0};
  std::mutex mutex_;
  std::map<std::string, wire::outcome> outcomes_;
};

}  // namespace ebonygrade::testsuite
