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
#include "poold/store.h"
#include "poold/topic_follower.h"

namespace ebonygrade::poold {

// Asks the pool's owner to write a record.
using owner_writer =
    std::function<void(const jobs::record& record, milliseconds timeout,
                       std::function<void(owner_answer)> handler)>;

// Learns from the pool's owner whether the job has ended, and then calls
// `then`, also if the owner can't be asked.
using end_reader =
    std::function<void(const std::string& job, std::function<void()> then)>;

class entry : public std::enable_shared_from_this<entry> {
 public:
  // All references must outlive the object. `manifest` may become non-null
  // later.
  entry(boost::asio::io_context& context, store& store,
        const clock::clock& clock, const std::string& daemon,
        const jobs::table& table, topic_follower& journal,
        owner_writer by_owner, end_reader learn_end, measurements& measured);

  void set_manifest(std::shared_ptr<const pool::manifest> manifest);
  void handle(http::request&& request, http::responder answer);
  // The journal has been read further.
  void journal_read() { check_current(); }
  void stop();

 private:
  struct waiting_write {
    jobs::record record;
    http::responder answer;
    steady_time asked;
    steady_time deadline;
    std::string job;
    std::string queue;
    bool cancels = false;
    bool answered = false;
    bool tried = false;  // The owner may have written it.
  };
  using write_list = std::vector<std::shared_ptr<waiting_write>>;

  struct job_request {
    http::verb method = http::verb::get;
    const pool::queue_route* route = nullptr;
    std::string id;
    steady_time deadline;
  };

  void submit(const job_request& asked, const std::string& body,
              http::responder answer);
  void read_state(const job_request& asked, http::responder answer);
  void cancel(const job_request& asked, http::responder answer);
  // Runs `then` once this daemon has read the journal up to now, or answers
  // 503 if it can't.
  void when_current(steady_time deadline, http::responder answer,
                    std::function<void()> then);
  void check_current();
  // By the owner if it answers, so that one append serves many callers, else
  // by this daemon itself.
  void write(std::shared_ptr<waiting_write> wanted);
  void write_directly(std::shared_ptr<waiting_write> wanted);
  void confirm(waiting_write& wanted);
  void measure(const waiting_write& wanted);
  void flush();
  // The request has not been stored and never will be.
  void refuse(waiting_write& wanted, std::string_view reason);
  void refuse_queue(std::string_view reason);
  void on_written(const write_list& batch, write_outcome outcome);
  void check_deadlines();
  void arm_timer();

  struct waiting_reader {
    steady_time asked;
    steady_time deadline;
    http::responder answer;
    std::function<void()> then;
  };

  const clock::clock& clock_;
  std::string daemon_;
  const jobs::table& table_;
  topic_follower& journal_;
  owner_writer by_owner_;
  end_reader learn_end_;
  measurements& measured_;
  std::shared_ptr<const pool::manifest> manifest_;
  std::shared_ptr<appender> appender_;
  write_list queue_;      // For the next append.
  write_list in_flight_;  // Of the present one.
  std::vector<waiting_reader> readers_;
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
