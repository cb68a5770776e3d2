// A complete pool daemon: follows the manifest, serves callers, and has one of
// three roles. The owner decides for the pool. A standby follows the journal
// and claims the pool when the pool has no owner. Any other daemon holds no
// copy of the journal and passes its callers' requests to the owner.
//
// Everything runs on one thread. On the small VMs, passing work between threads
// costs more CPU time than most of the work itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/server.h"
#include "jobs/job_table.h"
#include "poold/clock_watch.h"
#include "poold/handover.h"
#include "poold/job_api.h"
#include "poold/machine_pace.h"
#include "poold/measurements.h"
#include "poold/owner.h"
#include "poold/owner_writes.h"
#include "poold/queue_length.h"
#include "poold/settings.h"
#include "poold/standby.h"
#include "poold/store_client.h"
#include "poold/topic_follower.h"

namespace ebonygrade::poold {

class node {
 public:
  node(boost::asio::io_context& context, const clock::clock& clock,
       node_settings settings);
  ~node();

  // Binds the addresses and starts to follow the store's topics.
  error::result<void> start();
  // Graceful stop: releases the pool, replies to the open calls, then calls
  // `done`.
  void drain(std::function<void()> done);

  bool is_ready() const;
  bool owns_pool() const { return owner_ != nullptr; }
  // Whether this daemon follows the journal, as the owner or a standby.
  bool follows_journal() const { return journal_ != nullptr; }
  // For tests: replaces the timed computation that tells how slow the machine
  // is.
  void set_pace_probe(std::function<nanoseconds()> probe) {
    pace_probe_ = std::move(probe);
  }

 private:
  // Between two reads of the journal. Each read is a billed call to the store;
  // state that a caller needs in between is fetched from the owner.
  static constexpr milliseconds kFollowerReadInterval{250};

  // Starts a follower that passes every record of the topic to the handler.
  std::shared_ptr<topic_follower> follow(
      follower_options options,
      std::function<void(const std::vector<jobs::record>&)> handler);
  // Whether this daemon's copy of the journal is complete.
  bool has_journal() const { return journal_ && journal_->loaded(); }
  // Age of this daemon's copy of the journal. Requires has_journal().
  milliseconds journal_age() const;
  // Starts to follow the journal; the reason goes to the log.
  void become_standby(std::string_view reason);
  // Drops the copy of the journal and follows the directory instead.
  void leave_standby();
  // Becomes a standby if the pool has had no confirmed owner for too long.
  void consider_standby(steady_time now);
  void follow_directory();
  void stop_directory();
  void on_directory_records(const std::vector<jobs::record>& records);
  // Names this daemon as the owner in the directory.
  void write_directory(std::uint64_t epoch);
  void on_owner_status(const wire::owner_status& status, bool confirmed,
                       steady_time asked);
  void apply_record(const jobs::record& record);
  // Requests a journal write from the owner, which may be this daemon.
  void write_through_owner(const jobs::record& record, milliseconds timeout,
                           write_handler handler);
  // What this daemon knows of the owner while it sees no records of it.
  owner_silence silence_of_owner(steady_time now) const;
  // Ends the writes whose time is up, and asks whether the owner is alive while
  // a write waits.
  void watch_owner_writes(steady_time now);
  write_reply owner_reply_of(const http::call_result& result);
  void fetch_end(const std::string& job, std::function<void()> then);
  void forward_query(const wire::job_query& query, milliseconds timeout,
                     std::function<void(forward_result)> handler);
  // Tells the owner of cancellations that this daemon has appended: now, and at
  // each tick until it replies or some seconds have passed.
  void tell_owner(const wire::recorded_cancellations& appended);
  void send_untold(steady_time now);
  void handle_cancellations(const http::request& request,
                            const http::responder& respond);
  // As the owner: applies a record of the journal before it is read.
  void apply_recorded(const wire::recorded_cancellation& record);
  void handle_job_query(const http::request& request, http::responder respond);
  void handle_presence(const http::request& request,
                       const http::responder& respond);
  void handle_end_query(const http::request& request,
                        const http::responder& respond);
  void handle_peer_write(http::request&& request, http::responder respond);
  void on_journal_records(const std::vector<jobs::record>& records);
  void on_operator_records(const std::vector<jobs::record>& records);
  // Takes the manifest into force unless it is older than the one in force.
  // `value` is a record of the store, `peer` the daemon that passed it on.
  void apply_manifest(std::string_view step, std::string_view peer,
                      const std::string& value, std::uint64_t offset);
  // Version of the manifest in force; 0 without one.
  std::string manifest_version() const;
  // Fetches the manifest from the daemon if it has a later one and this daemon
  // can't read the store.
  void observe_manifest_version(boost::beast::string_view told,
                                const std::string& peer);
  void handle_manifest_query(const http::responder& respond);
  void apply_wave(const jobs::record& record);
  // Logs a pause of this daemon and steps of the time of day.
  void watch_clocks();
  // Measures how slow the machine is; logs a change of the judgement.
  void watch_pace(steady_time now);
  // As the owner: if the machine is slow, or the copies of the store's records
  // stay too old, asks a fit standby whether it can claim the pool, and
  // releases it once the standby confirms that.
  void consider_handover(steady_time now);
  void ask_successor(const daemon_info& successor, handover_cause cause,
                     steady_time now);
  void hand_over(const daemon_info& successor, handover_cause cause,
                 steady_time now);
  // "key=value" pairs on the copies of an outdated owner, for events.
  std::string describe_copies(steady_time now) const;
  // Logs that an outdated owner keeps the pool for want of a standby.
  void report_no_successor(steady_time now);
  // Confirms a question of an owner once the directory of workers has been read
  // up to its end.
  void confirm_directory(const http::responder& respond);
  // Whether this daemon can claim a pool that is released for it.
  bool can_succeed(steady_time now) const;
  void notify_successor(const daemon_info& successor, std::uint64_t epoch);
  void handle_handover(const http::request& request,
                       const http::responder& respond);
  // Whether the last owner has released the pool for this daemon.
  bool is_offered() const;
  // Delay of a claim from the time when the pool has no owner.
  milliseconds claim_wait(steady_time now);
  void on_tick();
  void arm_tick();
  void consider_claim(steady_time now);
  void send_claim();
  // Whether the newest claim in the journal is this daemon's last one.
  bool has_claim() const;
  // Whether the copy of the journal has every record up to that of the owner.
  // A load may return that record and lack earlier ones, as its first pages are
  // older; the reads after the load return them.
  bool has_read_to_owner() const {
    return table_.owner.offset < journal_->next();
  }
  // Takes over if the newest claim in the journal is this daemon's and the copy
  // is complete up to it.
  void check_claim();
  void take_over(std::uint64_t epoch);
  void step_down();
  // Whether the journal's owner is not the one that owner_link_ connects to.
  bool owner_moved() const {
    return table_.owner.record.peer_address() != owner_address_;
  }
  // Connects to the owner that this daemon knows of.
  void connect_owner();
  void announce(steady_time now);
  void handle_peer(http::request&& request, http::responder respond);
  void update_relays(const wire::owner_status& status);
  void relay_store_call(http::request&& request, http::responder respond);
  void relay_advice(http::request&& request, http::responder respond);
  std::string metrics_text() const;
  void append_owner_metrics(std::string* text) const;

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  node_settings settings_;
  store_client store_;
  jobs::table table_;
  measurements measurements_;
  std::shared_ptr<topic_follower> journal_;    // Null without a copy.
  std::shared_ptr<topic_follower> directory_;  // Null while journal_ is loaded.
  std::shared_ptr<appender>
      directory_writer_;  // While this daemon is the owner.
  std::shared_ptr<topic_follower> operator_;
  std::shared_ptr<const pool::manifest> manifest_;
  std::string manifest_value_;                      // As in the store.
  std::shared_ptr<http::client> manifest_fetcher_;  // During a fetch.
  std::map<std::uint64_t, pool::maintenance_wave> waves_;
  std::shared_ptr<job_api> job_api_;
  std::shared_ptr<owner> owner_;
  http::server callers_;
  http::server readiness_;
  http::server peers_;
  std::unique_ptr<http::client> advice_client_;
  std::unique_ptr<http::client> owner_link_;
  // Apart from the writes, which may wait for a slow store.
  std::unique_ptr<http::client> owner_probe_;
  // For cancellations, apart from the writes as well.
  std::unique_ptr<http::client> owner_notices_;
  struct untold_cancellation {
    wire::recorded_cancellation record;
    steady_time until;
  };
  std::vector<untold_cancellation> untold_;  // In the order of the journal.
  bool telling_ = false;
  owner_writes owner_writes_;
  std::chrono::seconds owner_retry_after_{1};  // Of its last refusal.
  steady_time owner_replied_at_;               // To an announcement.
  steady_time owner_confirmed_at_;
  std::string owner_address_;
  // To the standby that was asked to take the pool over, and after a handover.
  std::unique_ptr<http::client> successor_link_;
  bool asking_successor_ = false;
  // Standbys that didn't confirm, with the time when they were asked.
  std::map<std::string, steady_time> declined_;
  std::uint64_t declined_handovers_ = 0;
  steady_time no_successor_logged_;
  bool checking_directory_ = false;  // For an owner's question.
  clock::timer tick_timer_;
  clock::timer drain_timer_;
  steady_time last_owner_contact_;
  steady_time last_journal_read_;
  // An owner wrote to the journal since this daemon started.
  bool owner_seen_writing_ = false;
  queue_report reported_queues_;
  bool had_owner_ = false;  // An owner has confirmed its ownership.
  poold::standby_wait standby_wait_;
  steady_time surplus_since_;  // Default value: needed as a standby.
  bool announcing_ = false;
  // The owner's last reply was missing or didn't confirm its ownership.
  bool owner_unconfirmed_ = false;
  std::uint64_t seen_owner_records_ = 0;
  steady_time announced_at_;
  steady_time claim_after_;
  bool claiming_ = false;
  bool ownerless_ = false;           // No owner, or the owner is unconfirmed.
  int lost_claims_ = 0;              // In a row.
  bool claim_after_read_ = false;    // Claim after the next journal read.
  std::uint64_t claimed_epoch_ = 0;  // Epoch of the last claim; 0 if none.
  steady_time claim_sent_;           // When that claim was sent.
  bool claimed_after_release_ = false;  // That claim: of a released pool.
  bool draining_ = false;
  clock_reading last_tick_;
  std::uint64_t last_tick_epoch_ = 0;  // As the owner, else 0.
  std::uint64_t pauses_ = 0;
  milliseconds suspended_{0};  // During the pauses.
  std::uint64_t time_of_day_steps_ = 0;
  machine_pace pace_;
  slow_machine machine_;
  std::function<nanoseconds()> pace_probe_;  // Empty: the computation.
  steady_time owned_since_;                  // As the owner.
  // Epoch that a former owner released for this daemon to claim; 0: none.
  std::uint64_t offered_epoch_ = 0;
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
