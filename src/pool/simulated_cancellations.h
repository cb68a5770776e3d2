// Cancellations in a simulated cell, and checks of what the workers do after
// them, whatever the owners know. A cancellation is acknowledged once it is in
// the journal, as by a daemon that appends it itself; owners learn of it by
// reading.
//
// Reports as violations:
// - a start later than kCancelTime after the acknowledgement, by an order that
//   was sent after it. An order that the network holds up counts from when it
//   was sent.
// - a run that goes on for longer than kCancelTime and the time of a stop. The
//   time is counted from the start, the acknowledgement, a takeover, a stop
//   without a reply, or the last moment at which the owner couldn't reach the
//   worker or, before it has read the cancellation, couldn't read.
// - a job that isn't recorded as cancelled although it was open when the owner
//   had read its cancellation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jobs/job_table.h"
#include "pool/pool.h"
#include "pool/simulated_worker.h"

namespace ebonygrade::pool {

// Faults of owners, for tests that show that the checks find them.
enum class cancellation_fault {
  none,
  copy_taken_as_current,  // However old it is.
  forgotten_at_takeover,  // Cancellations that earlier owners have read.
  stops_not_sent,
};

struct cancellation_options {
  milliseconds every{0};  // Average interval of cancellations; 0: none.
  // The owner's reads of the journal get no reply for up to this time, again
  // and again, while its appends work; 0: they always work.
  milliseconds longest_lag{0};
  cancellation_fault fault = cancellation_fault::none;
};

class simulated_cancellations {
 public:
  simulated_cancellations(const cancellation_options& options,
                          std::uint64_t seed);

  bool present() const { return options_.every.count() > 0; }
  bool copies_lag() const { return options_.longest_lag.count() > 0; }
  bool has_fault(cancellation_fault fault) const {
    return options_.fault == fault;
  }
  // Uniform, of draws that nothing else uses, as seeds shall keep their
  // meaning.
  milliseconds draw(milliseconds low, milliseconds high);
  milliseconds draw_interval();
  milliseconds draw_lag();
  // An open job that isn't cancelled; empty if there is none.
  std::string choose(const jobs::table& table);

  void acknowledge(const std::string& job, steady_time now);
  // The jobs, in the order of their cancellations in the journal.
  const std::vector<std::string>& acknowledged() const { return order_; }
  // The job had ended before its owner read the cancellation.
  void observe_ended_before(const std::string& job) {
    ended_before_.insert(job);
  }
  // Whether an owner that has read so many cancellations knows of the job's.
  bool is_known(const std::string& job, std::size_t read) const;

  // A worker has begun the run by an order that was sent at `sent`.
  void check_start(const std::string& worker, const task_key& task,
                   std::uint32_t run, steady_time sent, steady_time now,
                   ledger* ledger);
  // A run is active; does nothing if its job isn't cancelled. `excused`: the
  // owner couldn't have it stopped until now.
  void check_run(const std::string& worker, const task_key& task,
                 std::uint32_t run, bool excused, steady_time now,
                 ledger* ledger);
  // All active runs have been checked.
  void finish_checks();
  // A stop got no reply.
  void excuse(const std::string& worker, const task_key& task,
              std::uint32_t run, steady_time now);
  // Whether a run of a cancelled job was active at the last checks.
  bool has_active_runs() const { return !active_.empty(); }
  void check_outcomes(const jobs::table& table, ledger* ledger) const;

  std::size_t starts_after() const { return starts_after_; }
  std::size_t runs_after() const { return runs_after_; }

 private:
  using run_key = std::tuple<std::string, task_key, std::uint32_t>;
  struct cancelled_job {
    std::size_t number = 0;  // In `order_`.
    steady_time acknowledged;
  };
  struct active_run {
    steady_time since;
    bool reported = false;
    std::uint64_t checked = 0;  // Number of the last checks that saw it.
  };

  cancellation_options options_;
  std::mt19937 random_;
  std::vector<std::string> order_;
  std::map<std::string, cancelled_job> jobs_;
  std::set<std::string> ended_before_;
  std::map<run_key, active_run> active_;
  std::uint64_t checks_ = 1;
  std::size_t starts_after_ = 0;  // Starts after the acknowledgement.
  std::size_t runs_after_ = 0;    // Runs that were active then or later.
};

}  // namespace ebonygrade::pool
