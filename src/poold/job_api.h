// HTTP API for callers: job submissions, job states, cancellations and queues.
// Reads are served from this daemon's copy of the journal. Changes are written
// to the journal before the caller gets a reply.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/server.h"
#include "jobs/job_table.h"
#include "pool/manifest.h"
#include "poold/appender.h"
#include "poold/owner.h"
#include "poold/store_client.h"
#include "poold/topic_follower.h"

namespace ebonygrade::poold {

// Requests a journal write from the pool's owner.
using owner_writer =
    std::function<void(const jobs::record& record, milliseconds timeout,
                       std::function<void(owner_reply)> handler)>;

// Queries the pool's owner for the end of a job and applies it to the job
// table. Calls `then` in any case, also if the owner is unreachable.
using end_fetcher =
    std::function<void(const std::string& job, std::function<void()> then)>;

class job_api : public std::enable_shared_from_this<job_api> {
 public:
  // All references must outlive the object. Requests get 503 until the first
  // set_manifest.
  job_api(boost::asio::io_context& context, store_client& store,
          const clock::clock& clock, const std::string& daemon,
          const jobs::table& table, topic_follower& journal,
          owner_writer write_through_owner, end_fetcher fetch_end,
          measurements& measurements);

  void set_manifest(std::shared_ptr<const pool::manifest> manifest);
  void handle(http::request&& request, http::responder respond);
  // Called after each read of the journal.
  void on_journal_read() { run_current_reads(); }
  void stop();

 private:
  struct pending_write {
    jobs::record record;
    http::responder respond;
    steady_time received;
    steady_time deadline;
    std::string job;
    std::string queue;
    bool is_cancellation = false;
    bool answered = false;
    bool maybe_written = false;  // A write through the owner may have worked.
  };
  using write_list = std::vector<std::shared_ptr<pending_write>>;

  struct job_request {
    http::verb method = http::verb::get;
    const pool::queue_route* route = nullptr;
    std::string id;
    steady_time deadline;
  };

  void submit(const job_request& request, const std::string& body,
              http::responder respond);
  void read_state(const job_request& request, http::responder respond);
  void cancel(const job_request& request, http::responder respond);
  // Runs `then` once this daemon has read the journal up to the present, or
  // replies with 503 if the read takes too long.
  void when_current(steady_time deadline, http::responder respond,
                    std::function<void()> then);
  void run_current_reads();
  // Writes through the owner, so that one append serves many callers. Falls
  // back to an append by this daemon unless the owner has confirmed the write
  // or reports the store as unavailable.
  void write(std::shared_ptr<pending_write> pending);
  void write_directly(std::shared_ptr<pending_write> pending);
  void confirm(pending_write& pending);
  void record_latency(const pending_write& pending);
  void flush();
  // Replies with 503, or with 504 if the owner may have written the record.
  void refuse(pending_write& pending, std::string_view reason);
  void refuse_queue(std::string_view reason);
  void on_written(const write_list& batch, write_outcome outcome);
  void check_deadlines();
  void arm_timer();

  struct pending_read {
    steady_time received;
    steady_time deadline;
    http::responder respond;
    std::function<void()> then;
  };

  const clock::clock& clock_;
  std::string daemon_;
  const jobs::table& table_;
  topic_follower& journal_;
  owner_writer write_through_owner_;
  end_fetcher fetch_end_;
  measurements& measurements_;
  std::shared_ptr<const pool::manifest> manifest_;
  std::shared_ptr<appender> appender_;
  write_list queued_;     // For the next append.
  write_list in_flight_;  // In the current append.
  std::vector<pending_read> pending_reads_;
  boost::asio::steady_timer deadline_timer_;
  bool timer_armed_ = false;
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
