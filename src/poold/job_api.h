// HTTP API for callers: job submissions, job states, cancellations and queues.
// Reads are served from this daemon's copy of the journal, or by the pool's
// owner if this daemon has no copy. Changes are written to the journal before
// the caller gets a reply.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock/timer.h"
#include "http/server.h"
#include "jobs/job_table.h"
#include "pool/manifest.h"
#include "poold/appender.h"
#include "poold/call_access.h"
#include "poold/owner.h"
#include "poold/queue_length.h"
#include "poold/recent_ids.h"
#include "poold/store_client.h"
#include "poold/topic_follower.h"
#include "tenants/access.h"
#include "wire/journal.pb.h"

namespace ebonygrade::poold {

// Requests a journal write from the pool's owner.
using owner_writer = std::function<void(
    const jobs::record& record, milliseconds timeout, write_handler handler)>;

// Queries the pool's owner for the end of a job and applies it to the job
// table. Calls `then` in any case, also if the owner is unreachable.
using end_fetcher =
    std::function<void(const std::string& job, std::function<void()> then)>;

struct forward_result {
  std::optional<http::response> reply;  // Absent: the owner didn't serve it.
  bool maybe_served = false;            // The owner may have received it.
};

// Passes a caller's call about a job to the pool's owner.
using query_forwarder =
    std::function<void(const wire::job_query& query, milliseconds timeout,
                       std::function<void(forward_result)> handler)>;

// Tells the pool's owner of cancellations that are in the journal. Returns at
// once; the owner may never learn of them in this way.
using cancellation_teller =
    std::function<void(const wire::recorded_cancellations& told)>;

// The length of a queue as the owner last reported it, however long ago. Empty
// without a report.
using queue_reader =
    std::function<std::optional<queue_length>(const std::string& queue)>;

// What the API needs from the pool's owner.
struct owner_calls {
  owner_writer write;
  end_fetcher fetch_end;
  query_forwarder forward;
  cancellation_teller tell_cancelled;
  queue_reader not_started;
  // How long callers should wait after the owner refused a write.
  std::function<std::chrono::seconds()> retry_after;
};

class job_api : public std::enable_shared_from_this<job_api> {
 public:
  // All references must outlive the object. Requests get 503 until the first
  // set_manifest.
  job_api(boost::asio::io_context& context, store_client& store,
          const clock::clock& clock, const std::string& daemon,
          const jobs::table& table, owner_calls owner,
          measurements& measurements);

  // Sets the follower that keeps `table` up to date; null if this daemon has no
  // copy of the journal. Requires !waits_for_journal().
  void set_journal(std::shared_ptr<topic_follower> journal);
  // Whether replies depend on the next read of the journal.
  bool waits_for_journal() const { return !pending_reads_.empty(); }
  // Replies to a call that another daemon forwarded. Requires a copy of the
  // journal.
  void answer_query(const wire::job_query& query, http::responder respond);
  // Settings of the checks of keys, see call_access::configure().
  void set_access(const access_settings& settings,
                  std::function<steady_time()> confirmed_at) {
    access_.configure(settings, std::move(confirmed_at));
  }
  void set_manifest(std::shared_ptr<const pool::manifest> manifest);
  void handle(http::request&& request, http::responder respond);
  // Whether this daemon or an earlier owner may have written the record of an
  // earlier call with the same id.
  bool may_be_stored(const jobs::record& record);
  // Whether an append by this daemon itself has no answer yet.
  bool has_open_append() const { return !in_flight_.empty(); }
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
    std::string tenant;
    bool is_cancellation = false;
    bool answered = false;
    bool maybe_written = false;  // A write through the owner may have worked.
    bool repeated = false;       // Sent to the next owner after such a write.
    std::chrono::seconds retry_after{1};  // Told with a refusal.
  };
  using write_list = std::vector<std::shared_ptr<pending_write>>;

  struct job_request {
    http::verb method = http::verb::get;
    std::string queue;  // Name of the route.
    std::string id;
    steady_time deadline;
    tenants::caller caller;
  };

  // A call that waits for the owner's reply.
  struct forwarded_query {
    wire::job_query query;
    steady_time received;
    steady_time deadline;
    http::responder respond;
    steady_time retry_at{};
    bool maybe_served = false;  // An earlier attempt may have been served.
  };

  // Whether this daemon's copy of the journal is complete.
  bool has_journal() const { return journal_ && journal_->loaded(); }
  void read_queue(const std::string& queue, const http::responder& respond);
  void submit(const job_request& request, const pool::queue_route& route,
              const std::string& body, http::responder respond);
  void read_state(const job_request& request, http::responder respond);
  void cancel(const job_request& request, http::responder respond);
  // Passes the call to the owner, again while the owner doesn't serve it. State
  // queries and cancellations may be repeated.
  void forward(const job_request& request, http::responder respond);
  void send_query(std::shared_ptr<forwarded_query> call);
  void on_query_result(std::shared_ptr<forwarded_query> call,
                       forward_result result);
  void retry_queries(steady_time now);
  void refuse_query(const forwarded_query& call);
  // Runs `then` once this daemon has read the journal up to the present, or
  // replies with 503 if the read takes too long.
  void when_current(steady_time deadline, http::responder respond,
                    std::function<void()> then);
  void run_current_reads();
  // Writes through the owner, so that one append serves many callers. Falls
  // back to an append by this daemon if no owner can be reached.
  void write(std::shared_ptr<pending_write> pending);
  // After a write that the owner didn't serve. `owner_ended`: the owner had
  // received it, and then its connection ended.
  void write_elsewhere(std::shared_ptr<pending_write> pending,
                       bool owner_ended);
  void write_directly(std::shared_ptr<pending_write> pending);
  void confirm(pending_write& pending);
  // Tells the owner of the cancellations among the records, which have been
  // written from `offset` on.
  void tell_cancelled(const write_list& written, std::uint64_t offset);
  void record_latency(const pending_write& pending);
  void flush();
  // Replies with 503, or with 504 if the owner may have written the record.
  void refuse(pending_write& pending, std::string_view reason);
  // The owner says that the id is of another tenant's job.
  void refuse_other_tenant(pending_write& pending);
  // Replies with 429: the owner has no room for the job in time.
  void reject(pending_write& pending, std::chrono::seconds retry_after);
  void refuse_queue(std::string_view reason);
  // Whether this daemon's append of a record that has waited for `waited` would
  // be acknowledged in time.
  bool is_acceptable(milliseconds waited) const;
  void refuse_late_writes(steady_time now);
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
  std::shared_ptr<topic_follower> journal_;
  owner_calls owner_;
  measurements& measurements_;
  std::shared_ptr<const pool::manifest> manifest_;
  call_access access_;
  std::shared_ptr<appender> appender_;
  recent_ids maybe_stored_;  // Keys of such records.
  write_list queued_;        // For the next append.
  write_list in_flight_;     // In the current append.
  std::vector<pending_read> pending_reads_;
  // Queries that the owner didn't serve yet; their number is limited.
  std::vector<std::shared_ptr<forwarded_query>> unserved_queries_;
  clock::timer deadline_timer_;
  bool timer_armed_ = false;
  bool stopped_ = false;
};

}  // namespace ebonygrade::poold
