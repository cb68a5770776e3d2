// Workers of a simulated cell that leave, and the directory that tells of them.
// A worker that leaves in order says that it drains, serves on, and exits with
// all that it runs; its entry is removed. Others lose their entries or their
// connections while they run on: they are cut off from the store or from the
// owner, the store is down, connections are reset, or another writer has spoilt
// the entry.
//
// Reports as a violation a start on a worker that has said for longer than the
// drain time that it drains, by an order that was sent after that time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "pool/pool.h"
#include "pool/simulated_worker.h"

namespace ebonygrade::pool {

// Faults of owners, for tests that show that the checks find them.
enum class departure_fault {
  none,
  age_ignored,      // A draining worker without an entry counts as withdrawn.
  waits_for_lease,  // No worker counts as withdrawn.
  copy_taken_as_current,  // Of the directory, however old it is.
};

struct departure_options {
  milliseconds every{0};  // Average interval of drains; 0: none.
  // Longest time that a worker serves on after the drain time; one that is cut
  // off may serve on for 10 s.
  milliseconds longest_service{3000};
  double cut_share = 0;     // Share of draining workers that are cut off.
  double return_share = 0;  // Share that return as another incarnation.
  // Some reads of the directory take this much longer, each way; 0: none.
  milliseconds slowest_read{0};
  // Average intervals of resets of a draining worker's connection, of store
  // outages, and of unreadable entries of draining workers; 0: none.
  milliseconds reset_every{0};
  milliseconds outage_every{0};
  milliseconds spoilt_every{0};
  departure_fault fault = departure_fault::none;
};

// One change of the directory. An empty id in `entry`: it can't be read.
struct simulated_record {
  std::string worker;
  bool removed = false;
  worker_entry entry;
};

class simulated_departures {
 public:
  struct cut_off {
    steady_time begin;
    steady_time end;
    bool from_owner = false;
    bool from_store = false;
    bool refuses = false;  // Calls of the owner fail at once, not by timeout.
  };

  simulated_departures(const departure_options& options, std::uint64_t seed);

  bool present() const { return options_.every.count() > 0; }
  bool has_fault(departure_fault fault) const {
    return options_.fault == fault;
  }
  // Uniform, of draws that nothing else uses, as seeds shall keep their
  // meaning.
  milliseconds draw(std::int64_t low, std::int64_t high);
  milliseconds draw_interval(milliseconds average);
  bool chance(double share);
  milliseconds draw_read_time();

  // ---- Directory
  void write(const worker_entry& entry, steady_time now);
  void remove(const std::string& worker);
  // Another writer overwrites the entry, until the worker writes its next one.
  void spoil(const std::string& worker);
  // Removes the entries that weren't written for three heartbeats.
  void expire(steady_time now);
  bool is_listed(const std::string& worker) const {
    return listed_.count(worker) > 0;
  }
  const std::vector<simulated_record>& records() const { return records_; }
  // The entries in force.
  std::vector<worker_entry> entries() const;
  void begin_outage(steady_time now, milliseconds time);
  bool store_is_down(steady_time now) const { return now < down_until_; }

  // ---- Workers
  // Whether this is the first entry of the incarnation that says so.
  bool accept_drain(const worker_entry& entry, steady_time now);
  void draw_cut(const std::string& worker, steady_time now);
  // The worker's cut at this time, or null.
  const cut_off* cut_of(const std::string& worker, steady_time now) const;
  std::vector<std::string> draining() const;
  // The worker has exited with these members of gangs.
  void record_exit(const std::string& worker,
                   const std::vector<task_key>& members, steady_time now);
  // The worker's present incarnation has begun the task, by an order that was
  // sent at `sent`.
  void observe_start(const worker_entry& worker, const task_key& task,
                     steady_time sent, steady_time now, ledger* ledger);

  // Gangs that started again after a worker had left with a member, and the
  // longest time from then.
  std::size_t gangs_restarted() const { return gangs_restarted_; }
  milliseconds longest_wait() const { return longest_wait_; }

 private:
  struct listing {
    worker_entry entry;
    steady_time accepted;
    bool readable = true;
  };
  struct drain {
    std::int64_t incarnation_ms = 0;
    steady_time accepted;
  };
  // Job, occurrence and step.
  using gang = std::tuple<std::string, std::uint32_t, std::uint32_t>;

  departure_options options_;
  std::mt19937 random_;
  std::vector<simulated_record> records_;
  std::map<std::string, listing> listed_;
  steady_time down_until_;
  bool expires_while_down_ = false;
  std::map<std::string, drain> drains_;
  std::map<std::string, cut_off> cuts_;
  std::map<gang, steady_time> waiting_;
  std::size_t gangs_restarted_ = 0;
  milliseconds longest_wait_{0};
};

}  // namespace ebonygrade::pool
