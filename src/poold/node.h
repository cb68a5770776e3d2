// A pool daemon as a whole: follows the journal and the manifest, takes
// callers, and owns the pool when no other daemon does.
//
// One thread runs everything. A hand-over between threads costs more of the
// small VMs' processor time than most of the work that it would hand over.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/server.h"
#include "jobs/job_table.h"
#include "poold/job_api.h"
#include "poold/measurements.h"
#include "poold/owner.h"
#include "poold/settings.h"
#include "poold/store_client.h"
#include "poold/topic_follower.h"

namespace ebonygrade::poold {

class node {
 public:
  node(boost::asio::io_context& context, const clock::clock& clock,
       node_settings settings);
  ~node();

  // Binds the addresses and begins to follow the store.
  error::result<void> start();
  // Graceful stop: hands the pool over, answers what is open, then `done`.
  void drain(std::function<void()> done);

  bool is_ready() const;
  bool owns_pool() const { return owner_ != nullptr; }

 private:
  // Between two reads of the journal. What a caller asks for in between is
  // asked of the owner; each read is a priced call to the store.
  static constexpr milliseconds kFollowerReadInterval{250};

  // Hands every record of the topic to the handler, from now on.
  std::shared_ptr<topic_follower> follow(
      follower_options options,
      std::function<void(const std::vector<jobs::record>&)> handler);
  void apply_record(const jobs::record& record);
  // Lets the owner write a record.
  void write_through_owner(const jobs::record& record, milliseconds timeout,
                           std::function<void(owner_write_result)> handler);
  owner_write_result owner_write_result_of(const http::call_result& result);
  void fetch_end(const std::string& job, std::function<void()> then);
  void handle_end_query(const http::request& request,
                        const http::responder& answer);
  void handle_peer_write(http::request&& request, http::responder answer);
  void on_journal_records(const std::vector<jobs::record>& records);
  void on_operator_records(const std::vector<jobs::record>& records);
  void apply_wave(const jobs::record& record);
  void on_tick();
  void arm_tick();
  void consider_claim(steady_time now);
  void claim();
  // Becomes owner if the journal's newest claim is this daemon's.
  void check_claim();
  void become_owner(std::uint64_t epoch);
  void step_down();
  // The owner has another address than the link to it.
  bool owner_address_changed() const {
    return table_.owner.record.peer_address() != owner_address_;
  }
  void announce(steady_time now);
  void handle_peer(http::request&& request, http::responder answer);
  void update_relays(const wire::owner_status& status);
  void relay_store_call(http::request&& request, http::responder answer);
  void relay_advice(http::request&& request, http::responder answer);
  std::string metrics_text() const;
  void append_owner_metrics(std::string* text) const;

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  node_settings settings_;
  store_client store_;
  jobs::table table_;
  measurements measurements_;
  std::shared_ptr<topic_follower> journal_;
  std::shared_ptr<topic_follower> operator_;
  std::shared_ptr<const pool::manifest> manifest_;
  std::map<std::uint64_t, pool::maintenance_wave> waves_;
  std::shared_ptr<job_api> job_api_;
  std::shared_ptr<owner> owner_;
  http::server callers_;
  http::server readiness_;
  http::server peers_;
  std::unique_ptr<http::client> advice_;
  std::unique_ptr<http::client> owner_link_;
  std::string owner_address_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer drain_timer_;
  steady_time last_owner_contact_;
  steady_time last_journal_read_;
  bool owner_seen_writing_ =
      false;  // The owner wrote since this daemon started.
  bool announcing_ = false;
  bool owner_unconfirmed_ =
      false;  // Asked, the owner didn't confirm that it is.
  std::uint64_t seen_owner_records_ = 0;
  steady_time last_announcement_;
  steady_time claim_after_;
  bool claiming_ = false;
  bool ownerless_ = false;  // The pool was released or its owner denied it.
  int lost_claims_ = 0;     // In a row.
  bool claim_after_read_ = false;    // As soon as the journal has been read.
  std::uint64_t claimed_epoch_ = 0;  // Of the last claim sent; 0: none.
  bool draining_ = false;
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
