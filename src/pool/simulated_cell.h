// Simulation of owners, a journal and workers under a simulated clock. The
// network delays and loses calls, or delivers them late. A seed determines the
// whole run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pool/pool.h"
#include "pool/simulated_cancellations.h"
#include "pool/simulated_departures.h"
#include "pool/simulated_tenants.h"
#include "pool/simulated_worker.h"

namespace ebonygrade::pool {

enum class pause_kind {
  none,
  freeze,      // Its steady clock goes on.
  suspension,  // Of its machine; see clock_counts_suspension.
};

struct cell_options {
  std::uint64_t seed = 1;
  std::size_t workers = 4;
  std::size_t jobs = 12;
  double message_loss = 0;   // Share of calls to workers that are lost.
  double reply_loss = 0;     // Share of calls whose reply is lost.
  double late_delivery = 0;  // Share of calls delivered 2 to 12 s late.
  // Whether a late call reaches a new incarnation before the owner's first
  // poll.
  bool late_first_calls = false;
  double failure_rate = 0;         // Share of runs that fail.
  milliseconds takeover_every{0};  // Interval of new owners; 0: none.
  double surviving_owner = 0;   // Share of takeovers whose old owner continues.
  milliseconds crash_every{0};  // Interval of worker crashes; 0: none.
  // Share of the workers that crash at the same time, without a reset of their
  // connections, and are back after .5 to .9 s, half of them behind a cut from
  // the owner; 0: one of them, back at once.
  double crash_share = 0;
  milliseconds outage_every{0};    // Interval of 3 s journal outages; 0: none.
  milliseconds faults_for{15000};  // No faults after this time.
  milliseconds submit_every{0};    // Interval of the jobs; 0: all at the begin.
  // Occurrences of each job, 250 ms apart; 0: the jobs aren't scheduled.
  std::uint32_t repeats = 0;
  // Average run time of tasks, and whether workers report how far they are. An
  // owner stops runs of more than 3.5 s that make no progress.
  milliseconds task_time{1000};
  bool reports_progress = false;
  std::size_t ends_per_report = 500;
  bool slow_workers = false;  // Half of the worker clocks are 2% slow.
  // Interval at which the owner loses touch: it is paused for 3 to 10 s, cut
  // from the journal, or both, and another owner claims the pool; 0: never.
  milliseconds lapse_every{0};
  pause_kind pause = pause_kind::none;
  // Whether an owner's steady clock counts the time of suspensions. Timers
  // don't count it in either case.
  bool clock_counts_suspension = true;
  // Share of workers that an owner can't reach for 5 to 30 s, in one direction
  // or both, from about its claim and about each of its lapses.
  double cut_workers = 0;
  // Interval of jumps of the owner's time of day; 0: none.
  milliseconds jump_every{0};
  // Share of jobs with a task that crashes each worker that starts it. The
  // worker is back after 3 s, half of them under another id at the same
  // address.
  double deadly_share = 0;
  // Interval at which a worker's capacity changes; 0: never.
  milliseconds resize_every{0};
  // Whether no job may be given up without cause.
  bool check_given_up = true;
  double stale_entries = 0;  // Share of entries that are read again later.
  // Interval of repeated submissions while jobs are visible; 0: none.
  milliseconds resubmit_every{0};
  // Share of changes of owner that follow a release.
  double released = 0;
  // Time from a claim until its owner knows the workers.
  milliseconds directory_delay{0};
  tenant_options tenants;
  cancellation_options cancellations;
  departure_options departures;
};

// How often a simulation came into the situations that it is meant for.
struct situations {
  std::size_t woken_superseded = 0;  // Owners that were paused past a claim.
  // Calls of superseded owners that extended a lease, and starts of theirs.
  std::size_t superseded_extensions = 0;
  std::size_t superseded_starts = 0;
  std::size_t confirmed_late = 0;   // Batches with starts, after a later claim.
  std::size_t leases_passed = 0;    // Runs freed without the worker's word.
  std::size_t silent_restarts = 0;  // Workers of crashes without a reset.
  std::size_t jumps = 0;
  std::size_t resubmitted_after_end = 0;
  std::size_t accepted_again = 0;  // Of them, taken as new jobs.
  std::size_t deadly_crashes = 0;
  std::size_t deadly_given_up = 0;  // Jobs with a deadly task.
  std::size_t sound_given_up = 0;   // Jobs that could be done.
  std::size_t resizes = 0;
  std::size_t held_rounds = 0;  // In which a quota held work back.
  std::size_t cancellations = 0;
  // Starts of cancelled jobs after the acknowledgement, and runs that were
  // active then or later.
  std::size_t cancelled_starts = 0;
  std::size_t cancelled_runs = 0;
  std::size_t outdated_rounds = 0;  // Of owners whose copy was too old.
  std::size_t departures = 0;       // Workers that exited after a drain.
  std::size_t returns = 0;          // Of them, as another incarnation.
  std::size_t unread_ends = 0;      // Of workers that exited, not acknowledged.
  // Runs freed since their worker had left, and of them those that went on.
  std::size_t departed_runs = 0;
  std::size_t departed_active = 0;
  // Gangs that started again after one of their workers had left in order, and
  // the longest time until then.
  std::size_t departed_gangs = 0;
  milliseconds longest_gang_wait{0};
  std::size_t releases = 0;
  // Leases that the journal told at a takeover.
  std::size_t known_leases = 0;
  // Leases of silent workers that were recorded, and records deleted.
  std::size_t recorded_leases = 0;
  std::size_t deleted_leases = 0;
};
situations operator+(const situations& a, const situations& b);

class simulated_cell {
 public:
  explicit simulated_cell(const cell_options& options);

  // Runs until every job has ended, or `limit` has passed.
  void run(milliseconds limit);

  const ledger& run_ledger() const { return ledger_; }
  const situations& reached() const { return reached_; }
  // Jobs that are open in the journal, and jobs whose recorded outcome is
  // wrong: complete without all tasks completed, or failed although all were
  // acknowledged.
  std::vector<std::string> open_jobs() const;
  std::vector<std::string> wrongly_complete() const;
  // Jobs that are recorded as failed without cause.
  std::vector<std::string> wrongly_failed() const;

 private:
  using event = std::function<void()>;
  // Nothing passes in the direction between these times.
  struct cut {
    steady_time begin;
    steady_time end;
  };
  struct link_cuts {
    cut calls;
    cut replies;
  };
  struct owner {
    pool_state state;
    std::uint64_t epoch = 0;
    bool alive = true;
    bool writing = false;
    // The incarnation of each worker that answered the last poll; 0: none did.
    std::map<std::string, std::int64_t> answered_by;
    // Nothing of a paused owner runs. What reaches it meanwhile waits.
    bool paused = false;
    bool suspended = false;
    steady_time paused_at;
    std::vector<event> waiting;
    std::vector<std::pair<milliseconds, event>> stopped_timers;
    milliseconds uncounted{0};  // Of its pauses, by its steady clock.
    milliseconds jumped{0};     // Its time of day is ahead by this.
    link_cuts journal_cuts;
    std::map<std::string, link_cuts> worker_cuts;
    std::size_t cancellations_read = 0;
    steady_time copy_lags_until;  // Reads of the journal get no reply.
    std::size_t entries_read = 0;
    steady_time directory_ended_at;
    // Workers that are polled. False: not any more, once the last poll is over.
    std::map<std::string, bool> links;
  };
  struct append {
    journal_batch batch;
    steady_time sent;  // First, by the owner's clock.
    bool applied = false;
  };

  void at(milliseconds delay, event what);
  // Run something of the owner: when it arrives there, and by its timer.
  void arrive(const std::shared_ptr<owner>& owner, event what);
  void arrive_in(milliseconds delay, const std::shared_ptr<owner>& owner,
                 event what);
  void after(milliseconds delay, const std::shared_ptr<owner>& owner,
             event what);
  // The owner's clocks.
  steady_time time_of(const owner& owner) const {
    return now_ - owner.uncounted;
  }
  unix_time wall_of(const owner& owner) const { return wall_ + owner.jumped; }
  void pause(const std::shared_ptr<owner>& owner, milliseconds time);
  void resume(const std::shared_ptr<owner>& owner);
  // Lapses now, or while the record of a start is on its way.
  void lapse_soon();
  void lapse();
  cut draw_cut(milliseconds latest);
  void draw_cuts(link_cuts* cuts, milliseconds latest);
  void cut_workers(owner* owner, milliseconds latest);
  // Cuts each worker from either the owner or the next one. Owners that reach
  // the same worker learn by its token which of them is superseded.
  void split_workers(owner* owner, milliseconds latest);
  bool is_cut(const cut& cut) const {
    return faulty() && cut.begin <= now_ && now_ < cut.end;
  }
  bool chance(double share);
  // Lapses, cuts and jumps have draws of their own, as seeds shall keep their
  // meaning.
  bool lapse_chance(double share);
  milliseconds lapse_delay(std::int64_t low, std::int64_t high);
  milliseconds random_delay(std::int64_t low, std::int64_t high);
  bool faulty() const { return now_ - begin_ < options_.faults_for; }

  void crash_one();
  void crash_many();
  // The owner reads the entry of the worker's next incarnation after `delay`.
  void announce_restart(simulated_worker* worker, milliseconds delay);
  void resize_one();
  // The present owner reads the new quotas at once.
  void change_quotas();
  // Lets the workers go on that a deadly task has crashed.
  void watch_crashes();
  // Another worker takes the address of one that has crashed.
  void replace(const std::string& crashed);
  // The present owner reads the entry after `delay`.
  void announce(const worker_entry& entry, milliseconds delay);
  // Whether another worker has taken the worker's address.
  bool is_replaced(const std::string& worker) const {
    return replaced_.count(worker) > 0;
  }
  void submit_jobs();
  void submit(const std::string& id);
  void resubmit();
  void begin_owner(bool old_survives);
  void begin_observing_workers(const std::shared_ptr<owner>& owner);
  // The present owner releases the pool, and another one claims it.
  void release();
  void round(std::shared_ptr<owner> owner);
  // Counts the runs that the owner takes as over since their lease passed, and
  // reports those that go on.
  void check_passed(const owner& owner);
  void write(std::shared_ptr<owner> owner);
  void send_append(const std::shared_ptr<owner>& owner,
                   const std::shared_ptr<append>& sent);
  void observe_reply(const std::shared_ptr<owner>& owner, const append& sent);
  void poll(std::shared_ptr<owner> owner, const std::string& worker);
  void send_start(std::shared_ptr<owner> owner, const start_order& order);
  void send_stop(std::shared_ptr<owner> owner, const stop_order& order);
  // Delivers `call` to a worker and its reply back, subject to the network
  // faults. Calls name the worker's id, which all its incarnations share, so a
  // call that is delivered late reaches the current one.
  void deliver(const std::shared_ptr<owner>& owner, const std::string& worker,
               std::uint64_t token, std::function<void()> call,
               std::function<void()> answered,
               std::function<void()> unanswered);
  // Carries out a call on the worker, and counts what superseded owners do.
  void carry_out(const owner& owner, const std::string& worker,
                 const std::function<void()>& call);
  // Appends a cancellation, which no owner has seen yet.
  void cancel_one();
  // Lets the present owner's copy of the journal lag from time to time.
  void lag_copy();
  bool can_read(const owner& owner) const;
  void read_journal(std::shared_ptr<owner> owner);
  // The first `end` cancellations are in the reply to a read.
  void observe_read(owner* owner, steady_time sent, std::size_t end);
  // Jobs that have ended before the present owner read their cancellations.
  void observe_unread_ends();
  // A new owner has read all cancellations.
  void cancel_known(owner* owner);
  void check_cancelled_runs();
  // Whether callers may ask for the job.
  bool is_visible(const std::string& job) const;
  void apply(const jobs::record& record);

  // Departures.
  void begin_departures();
  void repeat_departures(milliseconds every, event what);
  void expire_entries();
  // The worker writes its entry each heartbeat.
  void beat(const std::string& worker);
  void write_entry(const std::string& worker);
  void drain_one();
  // Resets the connection of a draining worker, which lives on.
  void reset_one();
  void exit_worker(const std::string& id, std::int64_t incarnation_ms);
  void withdraw_entry(const std::string& id, std::int64_t incarnation_ms);
  void join_worker();
  // The worker's cut from the owner or the store, or null.
  const simulated_departures::cut_off* cut_of(const std::string& worker) const;
  // Whether a call meets a cut; it remains unanswered then.
  bool meets_cut(const std::shared_ptr<owner>& owner, const std::string& worker,
                 event unanswered, milliseconds timeout);
  // The worker's host refuses the connection.
  void lose_contact(const std::shared_ptr<owner>& owner,
                    const std::string& worker, event then);
  void load_directory(const std::shared_ptr<owner>& owner);
  void read_directory(std::shared_ptr<owner> owner);
  // The first `end` records are in the reply to a read.
  void observe_directory(const std::shared_ptr<owner>& owner, steady_time sent,
                         std::size_t end);
  void open_link(const std::shared_ptr<owner>& owner,
                 const std::string& worker);
  bool keeps_link(owner* owner, const std::string& worker);

  cell_options options_;
  std::mt19937 random_;
  std::mt19937 lapse_random_;
  situations reached_;
  ledger ledger_;
  gang_registry gangs_;
  steady_time begin_ = steady_time(std::chrono::hours(1));
  steady_time now_ = begin_;
  unix_time wall_ = unix_time(milliseconds(1'800'000'000'000));
  std::multimap<steady_time, event> events_;
  simulated_worker::behaviour behaviour_;
  simulated_workers workers_;
  simulated_tenants tenants_;
  simulated_cancellations cancellations_;
  simulated_departures departures_;
  std::set<std::string> gone_;       // Workers that have left for good.
  std::uint64_t checked_epoch_ = 0;  // Of the last check of cancelled runs.
  std::set<std::string> replaced_;
  // The incarnations whose entries are on their way or have been read.
  std::map<std::string, std::int64_t> announced_;
  jobs::table table_;
  std::map<std::string, std::string> submissions_;
  std::map<std::string, steady_time> ended_;
  std::uint64_t offset_ = 0;
  std::uint64_t epoch_ = 0;
  steady_time journal_down_until_;
  std::vector<event> repeating_events_;
  std::shared_ptr<owner> owner_;
  std::set<std::string> cut_from_next_owner_;
  bool lapse_at_start_ = false;
  std::unordered_map<std::string, queue_policy> queues_;
};

}  // namespace ebonygrade::pool
