// What callers reach: submissions, states, cancellations and queues. Answers
// come from this daemon's copy of the journal; what callers change is written
// to the journal before they are told.
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

// Asks the pool's owner to write a record.
using owner_writer =
    std::function<void(const jobs::record& record, milliseconds timeout,
                       std::function<void(owner_write_result)> handler)>;

// Learns from the pool's owner whether the job has ended, and then calls
// `then`, also if the owner can't be asked.
using end_fetcher =
    std::function<void(const std::string& job, std::function<void()> then)>;

class job_api : public std::enable_shared_from_this<job_api> {
 public:
  // All references must outlive the object. `manifest` may become non-null
  // later.
  job_api(boost::asio::io_context& context, store_client& store,
          const clock::clock& clock, const std::string& daemon,
          const jobs::table& table, topic_follower& journal,
          owner_writer write_through_owner, end_fetcher fetch_end,
          measurements& measurements);

  void set_manifest(std::shared_ptr<const pool::manifest> manifest);
  void handle(http::request&& request, http::responder answer);
  // The journal has been read further.
  void on_journal_read() { run_current_reads(); }
  void stop();

 private:
  struct pending_write {
    jobs::record record;
    http::responder answer;
    steady_time received;
    steady_time deadline;
    std::string job;
    std::string queue;
    bool is_cancellation = false;
    bool answered = false;
    bool may_be_written = false;  // The owner may have written it.
  };
  using write_list = std::vector<std::shared_ptr<pending_write>>;

  struct job_request {
    http::verb method = http::verb::get;
    const pool::queue_route* route = nullptr;
    std::string id;
    steady_time deadline;
  };

  void submit(const job_request& request, const std::string& body,
              http::responder answer);
  void read_state(const job_request& request, http::responder answer);
  void cancel(const job_request& request, http::responder answer);
  // Runs `then` once this daemon has read the journal up to now, or answers
  // 503 if it can't.
  void after_current_read(steady_time deadline, http::responder answer,
                          std::function<void()> then);
  void run_current_reads();
  // By the owner if it answers, so that one append serves many callers, else
  // by this daemon itself.
  void write(std::shared_ptr<pending_write> wanted);
  void write_directly(std::shared_ptr<pending_write> wanted);
  void confirm(pending_write& wanted);
  void record_latency(const pending_write& wanted);
  void flush();
  // The request has not been stored and never will be.
  void refuse(pending_write& wanted, std::string_view reason);
  void refuse_queue(std::string_view reason);
  void on_written(const write_list& batch, write_outcome outcome);
  void check_deadlines();
  void arm_timer();

  struct pending_read {
    steady_time received;
    steady_time deadline;
    http::responder answer;
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
  write_list in_flight_;  // Of the present one.
  std::vector<pending_read> readers_;
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
