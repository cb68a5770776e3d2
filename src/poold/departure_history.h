// Finds the workers that left in order before a new owner loaded the directory
// of workers, which has no entries of them any more.
//
// Reads a bounded part of the directory's history before the load, once, and
// gets the records after the load from the owner for a few heartbeats, as a
// removal is told from an expiry by what other workers write next. Gives up
// after some failed reads; the leases of the workers decide then.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "clock/clock.h"
#include "pool/directory_history.h"
#include "poold/store_client.h"

namespace ebonygrade::poold {

struct departure_history_options {
  std::uint64_t end = 0;    // First offset after the load.
  std::size_t entries = 0;  // Of the load.
  milliseconds heartbeat{1500};
};

// First offset to read of a history that ends at options.end: some heartbeats
// of all workers, within a limit.
std::uint64_t history_begin(const departure_history_options& options);

class departure_history
    : public std::enable_shared_from_this<departure_history> {
 public:
  // `handler` is called for each of `workers` that has left, possibly again
  // while it returns false.
  using handler = std::function<bool(const pool::departure&)>;

  departure_history(store_client& store, const clock::clock& clock,
                    const departure_history_options& options,
                    std::unordered_set<std::string> workers, handler handler);

  void start();
  void stop() { stopped_ = true; }
  // The next records after the load, in order; may be none. No effect after the
  // search has ended.
  void add(const std::vector<jobs::record>& records);
  // Ends the search and logs its outcome, with the cause if it was cut short.
  void finish(const std::string& cause);

 private:
  void read();
  void on_read(const platform::read_reply& reply);
  void search();

  store_client& store_;
  const clock::clock& clock_;
  departure_history_options options_;
  std::unordered_set<std::string> workers_;  // Not found so far.
  handler handler_;
  std::vector<pool::directory_record> records_;  // Of the history.
  std::vector<pool::directory_record> later_;    // While the history is read.
  std::size_t wanted_ = 0;
  std::size_t departed_ = 0;
  std::uint64_t next_ = 0;
  std::uint32_t failures_ = 0;
  std::string last_failure_;
  steady_time begun_;
  bool reading_ = false;
  bool loaded_ = false;  // All of the history has been read.
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
