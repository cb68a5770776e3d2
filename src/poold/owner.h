// The pool's owner: runs the scheduling rounds of src/pool and connects them to
// the workers, the advice service and the journal.
//
// Exists from the time when this daemon's claim wins until the daemon releases
// the pool or is superseded by another owner.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "clock/timer.h"
#include "jobs/job_table.h"
#include "pool/manifest.h"
#include "pool/pool.h"
#include "poold/admission_gate.h"
#include "poold/advice_dispatcher.h"
#include "poold/appender.h"
#include "poold/departure_history.h"
#include "poold/machine_pace.h"
#include "poold/maintenance_runner.h"
#include "poold/measurements.h"
#include "poold/settings.h"
#include "poold/standby.h"
#include "poold/store_client.h"
#include "poold/topic_follower.h"
#include "poold/worker_link.h"

namespace ebonygrade::poold {

// Producer name of the owner's records. Each claim starts a higher epoch of
// this producer, so the store rejects later appends of an earlier owner.
inline constexpr char kOwnerProducer[] = "owner";

// Result of a write request to the owner.
enum class owner_reply {
  written,
  refused,       // Not written; the daemon is not the owner or is unreachable.
  unavailable,   // Not written; the store accepts no appends from the owner.
  unknown,       // May have been written.
  other_tenant,  // Not written; the job's id is of another tenant's job.
  late,      // As unknown, but the owner is alive: it has the record in hand.
  rejected,  // Not written; the job can't be served in time.
};

// Converts from and to the result alone, as only `rejected` has more to tell.
struct write_reply {
  owner_reply result = owner_reply::refused;
  // When the caller of a rejected submission is to come back.
  std::chrono::seconds retry_after{0};

  write_reply(owner_reply result,  // NOLINT
              std::chrono::seconds retry_after = std::chrono::seconds(0))
      : result(result), retry_after(retry_after) {}
  operator owner_reply() const {  // NOLINT
    return result;
  }
};
using write_handler = std::function<void(write_reply)>;

class owner : public std::enable_shared_from_this<owner> {
 public:
  // `epoch` is the claim's epoch and serves as the fencing token.
  // `on_superseded` is called at most once, asynchronously, when another owner
  // is known to exist. `on_record` is called for each written record, and
  // `on_appended` with the offsets of a written append (the first, and one
  // after the last) and the time when it was first sent.
  owner(boost::asio::io_context& context, store_client& store,
        const clock::clock& clock, const node_settings& settings,
        measurements& measurements, std::uint64_t epoch,
        std::function<void()> on_superseded,
        std::function<void(const jobs::record&)> on_record,
        std::function<void(std::uint64_t, std::uint64_t, steady_time)>
            on_appended);

  // Loads the jobs of the journal and starts scheduling. `claimed` is the time
  // when the claim was sent.
  void start(const jobs::table& table, const pool::manifest& manifest,
             steady_time claimed);
  // Stops at once, without waiting for calls in flight.
  void stop();
  // Stops scheduling, writes the pending records and the release to the
  // journal, then calls `done`.
  void release(std::function<void()> done);

  // Writes a caller's record in one append with the owner's own records, or
  // rejects it if admission control is enabled. Replies `unavailable` at once
  // if it can't be acknowledged in time. `maybe_stored`: an earlier
  // attempt to write it may have worked.
  void write(jobs::record record, write_handler handler,
             bool maybe_stored = false);
  // The copy of the journal is complete as of `current_as_of`.
  void on_journal_read(steady_time current_as_of);
  void on_change(const jobs::table& table, const jobs::change& change);
  void on_wave(const pool::maintenance_wave& wave, const jobs::table& table);
  void on_manifest(const pool::manifest& manifest);
  void record_daemon(const daemon_info& daemon);

  daemon_registry& daemons() { return daemons_; }
  // Whether the journal accepted a record of this owner recently, or the owner
  // waits for a slow store.
  bool journal_reachable() const;
  // How long refused callers should wait before they try again.
  std::chrono::seconds retry_after() const;
  std::uint64_t repeated_appends() const {
    return journal_->repeated_attempts();
  }
  std::uint64_t refused_writes() const { return refused_writes_; }
  // Whether release() has been called.
  bool is_releasing() const { return releasing_; }
  // Since when its copies of the store's records are too old for starts, as of
  // the last round. Default value: they are recent.
  steady_time outdated_since() const { return outdated_since_; }
  // Of all rounds so far.
  const work_time& round_time() const { return round_time_; }
  // Advice requests that were sent a second time.
  std::uint64_t repeated_questions() const {
    return advice_dispatcher_.repeated();
  }
  std::uint64_t epoch() const { return epoch_; }
  const pool::pool_state& state() const { return pool_; }
  // Null unless the settings ask for it.
  admission_gate* admission() const { return admission_.get(); }
  // Entries of service discovery that name no worker to use.
  std::size_t unreadable_entries() const { return unreadable_entries_.size(); }

 private:
  struct caller_write {
    jobs::record record;
    write_handler handler;
    steady_time arrived;
  };

  pool::unix_time wall_now() const;
  void queue_write(jobs::record record, write_handler handler);
  void start_discovery();
  void start_maintenance();
  void on_discovery_records(const std::vector<jobs::record>& records, bool all);
  void on_discovery_record(const jobs::record& record);
  // After the first load of the directory: looks for workers that left before.
  void trace_departures(std::size_t entries);
  void on_unreadable_entry(const std::string& key, const error::failure& cause);
  void open_link(const std::string& worker, const std::string& address);
  void close_link(const std::string& worker);
  void on_worker_poll(const platform::worker_poll_request& request,
                      const platform::worker_poll_reply* reply,
                      steady_time sent);
  void schedule_round();
  void schedule_round_at(steady_time when);
  void run_round();
  // Logs when the owner loses its right to give leases, and when it is back. A
  // loss that ends before the next round isn't seen.
  void watch_isolation(steady_time now);
  // Logs when a copy of the store's records becomes too old for starts, and
  // when all are recent again.
  void watch_copies(steady_time now);
  // Limits the rate of rounds by the time of the last one.
  void measure_round(steady_time begun);
  // Logs the load of the pool once a second.
  void emit_load(steady_time now);
  void record_latency(const pool::job_event& event);
  void emit_job_events();
  void emit_worker_events();
  void emit_forgotten_jobs();
  void send_orders(const pool::decisions& orders);
  void send_start(const pool::start_order& order);
  void send_stop(const pool::stop_order& order);
  void request_advice(const pool::advice_request& request);
  void schedule_flush();
  void flush();
  // `releases`: the batch ends with the record that releases the pool.
  void send(pool::journal_batch batch, std::vector<caller_write> callers,
            bool releases);
  void on_written(const pool::journal_batch& batch, write_outcome outcome,
                  bool releases);
  void apply_written(const pool::journal_batch& batch);
  // Replies to the callers whose records have not been sent.
  void fail_queued_callers(owner_reply reply);
  void refuse(caller_write refused);
  // Refuses the queued records that can't be acknowledged in time.
  void refuse_late_callers();
  // Moves the records for the next append out of the queue, in order and up to
  // the size of an append.
  std::vector<caller_write> take_callers();
  // Whether a record that has waited for `waited` can be acknowledged in time.
  bool is_acceptable(milliseconds waited) const;
  void reply_to_callers(const std::vector<caller_write>& callers,
                        write_outcome outcome);
  // A release tells the leases, and none is granted after that.
  jobs::record ownership_record(bool released);
  void step_down();
  void finish_release();

  boost::asio::io_context& context_;
  store_client& store_;
  const clock::clock& clock_;
  const node_settings& settings_;
  measurements& measurements_;
  std::uint64_t epoch_;
  std::function<void()> on_superseded_;
  std::function<void(const jobs::record&)> on_record_;
  std::function<void(std::uint64_t, std::uint64_t, steady_time)> on_appended_;
  std::vector<caller_write> caller_writes_;  // For the next append.
  pool::pool_state pool_;
  std::unique_ptr<admission_gate> admission_;
  steady_time journal_current_as_of_;
  std::shared_ptr<appender> journal_;
  std::shared_ptr<topic_follower> discovery_;
  bool directory_loaded_ = false;
  std::shared_ptr<departure_history> departures_;  // Null if none may be found.
  // When the directory ended with the records that have been read; later ones
  // were written after this.
  steady_time directory_ended_at_;
  advice_dispatcher advice_dispatcher_;
  daemon_registry daemons_;
  // Null if the settings have no machines address.
  std::shared_ptr<maintenance_runner> maintenance_;
  std::unordered_map<std::string, std::shared_ptr<worker_link>> links_;
  // Keys of entries that can't be read. Each is logged once.
  std::unordered_set<std::string> unreadable_entries_;
  clock::timer round_timer_;
  clock::timer flush_timer_;
  bool flush_scheduled_ = false;
  bool stopped_ = false;
  bool releasing_ = false;
  std::function<void()> on_released_;
  steady_time last_round_;
  work_time round_time_;
  nanoseconds round_processor_begun_{0};         // Processor time at its begin.
  std::chrono::microseconds round_interval_{0};  // Minimum, by the last round.
  steady_time isolated_since_;                   // Default value: not isolated.
  steady_time outdated_since_;                   // Default value: not outdated.
  steady_time load_emitted_at_;
  // Longest time of a round since the load was last logged.
  std::chrono::microseconds longest_round_{0};
  steady_time next_round_ = steady_time::max();
  steady_time last_flush_;
  steady_time last_write_;  // When the last append of this owner succeeded.
  std::uint64_t refused_writes_ = 0;
  steady_time refusal_logged_;
};

}  // namespace ebonygrade::poold
