// Admission control at the pool's owner: decides about submissions before they
// are queued for the journal, and makes sure that a refused one isn't there.
//
// A refused caller is told that its job was not run, so nothing of the job may
// be in the journal or on its way there. A submission is admitted if an earlier
// attempt of it may have been stored:
// - its entry daemon says so (recent_ids of the job API);
// - this owner knows the job, or was given it before;
// - another daemon may have appended it without the owner. Daemons do so while
//   they have no owner or can't reach it. Everything is therefore admitted for
//   some time after a takeover, after such an append was read from the journal,
//   and after a daemon became silent.
// A refusal is also held until the owner has read the journal up to a time
// after the submission's arrival, for kMaxHoldTime at most.
//
// Not thread-safe. Everything is bounded; at a bound submissions are admitted.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"
#include "jobs/job_table.h"
#include "pool/pool.h"
#include "poold/measurements.h"
#include "poold/recent_ids.h"

namespace ebonygrade::poold {

using clock::steady_time;

// A refusal isn't given if neither a read nor an append of the owner shows the
// journal's end in this time. Covers two heartbeats at a sound store.
inline constexpr milliseconds kMaxHoldTime{300};

class admission_gate {
 public:
  // Called once with the time after which the caller is to come back, or with
  // none if the submission is admitted.
  using handler =
      std::function<void(std::optional<std::chrono::seconds> retry_after)>;

  // The pool and the measurements must outlive the object. `now` is the time of
  // the takeover.
  admission_gate(pool::pool_state& pool, measurements& measurements,
                 steady_time now);

  // Decides about a record that is to be written; records other than
  // submissions are admitted. `maybe_stored`: an earlier attempt may have been
  // written. Calls `decided` before it returns, or from settle() or stop().
  void offer(const jobs::record& record, bool maybe_stored, steady_time now,
             pool::unix_time wall, handler decided);
  // Decides about the held refusals. The owner's copy of the journal is
  // complete as of `current_as_of`.
  void settle(steady_time current_as_of, steady_time now, pool::unix_time wall);
  // Admits what is held.
  void stop();

  // A submission was applied to the pool, by this owner or from the journal.
  void on_submission(const std::string& job, steady_time now);
  // Another daemon has an append without an answer.
  void on_direct_append(steady_time now);
  // The daemon is in contact with the owner.
  void on_daemon(const std::string& daemon, steady_time now);
  void on_job_event(const pool::job_event& event);

  void append_metrics(std::string* text) const;

 private:
  struct held_refusal {
    pool::admission_request request;
    steady_time arrived;
    handler decided;
  };

  bool may_be_stored(const std::string& job, steady_time now);
  void admit(const pool::admission_request& request,
             const pool::admission_verdict& verdict, steady_time now,
             pool::unix_time wall, const handler& decided);
  void refuse(const held_refusal& held, const pool::admission_verdict& verdict,
              steady_time now, pool::unix_time wall);
  void emit_refusal(const held_refusal& held,
                    const pool::admission_verdict& verdict, steady_time now);

  pool::pool_state& pool_;
  measurements& measurements_;
  steady_time admit_all_until_;
  recent_ids admitted_;
  std::map<std::string, steady_time> daemons_;  // Time of the last contact.
  std::vector<held_refusal> held_;
  steady_time events_since_;
  std::size_t events_ = 0;  // Since `events_since_`.
  std::size_t unlogged_ = 0;
};

// The reply to a refused caller, also between daemons.
http::response refusal_response(std::chrono::seconds retry_after);
// The time in such a reply; one second if it has none.
std::chrono::seconds retry_after_of(const http::response& reply);

}  // namespace ebonygrade::poold
