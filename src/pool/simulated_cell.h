// Simulation of owners, a journal and workers under a simulated clock. The
// network delays and loses calls, or delivers them late. A seed determines the
// whole run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "pool/pool.h"
#include "pool/simulated_worker.h"

namespace ebonygrade::pool {

struct cell_options {
  std::uint64_t seed = 1;
  std::size_t workers = 4;
  std::size_t jobs = 12;
  double message_loss = 0;         // Share of calls to workers that are lost.
  double reply_loss = 0;           // Share of calls whose reply is lost.
  double late_delivery = 0;        // Share of calls delivered 2 to 12 s late.
  double failure_rate = 0;         // Share of runs that fail.
  milliseconds takeover_every{0};  // Interval of new owners; 0: none.
  double surviving_owner = 0;   // Share of takeovers whose old owner continues.
  milliseconds crash_every{0};  // Interval of worker crashes; 0: none.
  milliseconds outage_every{0};    // Interval of 3 s journal outages; 0: none.
  milliseconds faults_for{15000};  // No faults after this time.
};

class simulated_cell {
 public:
  explicit simulated_cell(const cell_options& options);

  // Runs until every job has ended, or `limit` has passed.
  void run(milliseconds limit);

  const ledger& run_ledger() const { return ledger_; }
  // Jobs that are open in the journal, and jobs whose recorded outcome is
  // wrong: complete without all tasks completed, or failed although all were
  // acknowledged.
  std::vector<std::string> open_jobs() const;
  std::vector<std::string> wrongly_complete() const;

 private:
  struct owner {
    pool_state state;
    std::uint64_t epoch = 0;
    bool alive = true;
    bool writing = false;
    // The incarnation of each worker that answered the last poll; 0: none did.
    std::map<std::string, std::int64_t> answered_by;
  };
  using event = std::function<void()>;

  void at(milliseconds delay, event what);
  bool chance(double share);
  milliseconds random_delay(std::int64_t low, std::int64_t high);
  bool faulty() const { return now_ - begin_ < options_.faults_for; }

  void submit_jobs();
  void begin_owner();
  void round(std::shared_ptr<owner> owner);
  void write(std::shared_ptr<owner> owner);
  void poll(std::shared_ptr<owner> owner, const std::string& worker);
  void send_start(std::shared_ptr<owner> owner, const start_order& order);
  void send_stop(std::shared_ptr<owner> owner, const stop_order& order);
  // Delivers `call` to a worker and its reply back, subject to the network
  // faults. Calls name the worker's id, which all its incarnations share, so a
  // call that is delivered late reaches the current one.
  void deliver(const std::string& worker, std::function<void()> call,
               std::function<void()> answered,
               std::function<void()> unanswered);
  void apply(const jobs::record& record);

  cell_options options_;
  std::mt19937 random_;
  ledger ledger_;
  gang_registry gangs_;
  steady_time begin_ = steady_time(std::chrono::hours(1));
  steady_time now_ = begin_;
  unix_time wall_ = unix_time(milliseconds(1'800'000'000'000));
  std::multimap<steady_time, event> events_;
  std::map<std::string, std::unique_ptr<simulated_worker>> workers_;
  jobs::table table_;
  std::uint64_t offset_ = 0;
  std::uint64_t epoch_ = 0;
  steady_time journal_down_until_;
  std::vector<event> repeating_events_;
  std::shared_ptr<owner> owner_;
  std::unordered_map<std::string, queue_policy> queues_;
};

}  // namespace ebonygrade::pool
