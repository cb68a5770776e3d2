// Internal state of the simulated cell. Only for sources in this folder.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "faults/faulty_cell.h"

namespace ebonygrade::faults {

inline constexpr int kDaemonCount = 3;
inline constexpr std::uint16_t kShardCount = 2;
inline constexpr int kWorkerCount = 4;
inline constexpr int kSlotsPerWorker = 2;  // A task takes one slot.
inline constexpr int kRequestIdCount = 6;
inline constexpr char kRegion[] = "north";

// Identifies a process of a daemon. A restart increments the incarnation.
struct process_id {
  int daemon = 0;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const process_id&, const process_id&) = default;
};

// ---- Messages in flight --------------------------------------------------

struct fence_message {
  process_id from;
  int worker = 0;
  job::shard_id shard;
  job::epoch epoch = 0;
};
struct fence_reply {
  process_id to;
  int worker = 0;
  job::shard_id shard;
  job::epoch epoch = 0;
  std::vector<wire::task_record> tasks;
  // False if the worker knows a higher epoch; `epoch` then holds that one.
  bool accepted = true;
};
struct start_message {
  process_id from;
  int worker = 0;
  job::epoch epoch = 0;
  wire::task_start task;
  // Tokens of the submissions that wait for the request.
  std::set<std::uint64_t> submissions;
};
struct stop_message {
  process_id from;
  int worker = 0;
  job::epoch epoch = 0;
  job::attempt_key key;
};
// A worker's reply or event, delivered to a daemon.
struct request_event {
  process_id to;
  requests::event event;
};
struct intent_message {
  process_id from;
  std::string id;
  job::shard_id home;
  job::epoch epoch = 0;
};
struct intent_reply {
  process_id to;
  std::string id;
  job::shard_id home;
  job::epoch epoch = 0;
  bool written = false;
};
using message =
    std::variant<fence_message, fence_reply, start_message, stop_message,
                 request_event, intent_message, intent_reply>;

// ---- Daemons and workers -------------------------------------------------

struct worker_task {
  wire::task_record record;
  std::set<std::uint64_t> submissions;
};

struct fake_worker {
  job::epoch epoch = 0;
  process_id owner;
  // Owners with a lower epoch no longer renew leases on this worker, and their
  // starts of idempotent tasks are ignored.
  job::epoch expired_below_epoch = 0;
  std::map<job::attempt_key, worker_task> tasks;
  std::set<job::attempt_key> revoked;

  int running_count() const;
};

struct queued_task {
  std::string id;
  std::uint32_t task_index = 0;
  job::shard_id home;
};

// Progress of fencing a claimed shard. The shard serves once the intents are
// read and every worker has replied or fencing has timed out.
struct fencing_state {
  job::epoch epoch = 0;
  std::set<int> pending_workers;  // Workers that have not replied yet.
  bool intents_read = false;
  bool timed_out = false;  // Serves without the pending workers.
  bool served = false;
  ownership::claim_state previous;
};

struct fake_daemon {
  bool alive = true;
  bool frozen = false;
  // Workers that do not receive messages of this daemon.
  std::set<int> unreachable_workers;
  // Unresponsive to other daemons; reads no claims at ticks.
  bool partitioned = false;
  process_id id;
  ownership::state ownership;
  requests::table requests;
  std::map<int, int> used_slots;  // By worker.
  std::deque<queued_task> queue;
  std::map<std::uint16_t, fencing_state> fencing;
  // Starts that are neither replied to nor timed out.
  std::set<job::attempt_key> pending_starts;
  std::map<job::attempt_key, int> worker_of;
  steady_time started;
  steady_time unresponsive_since;
};

struct intent_entry {
  std::string id;
  job::shard_id home;
};

struct submission {
  std::string id;
  bool replied_not_run = false;
  bool ran = false;
};

class cell {
 public:
  cell(fault injected, bool with_trace);
  void apply_action(std::uint32_t code);
  run_result result() const;
  bool has_failed() const { return !violation_.empty(); }

 private:
  // Actions.
  void start_daemon(int index);
  void tick(milliseconds by);
  void deliver(std::size_t index);
  bool is_delayed(const message& input);
  void time_out_start(std::size_t index);
  template <typename Wanted>
  fake_daemon* find_active_daemon(int first, Wanted&& accepts);
  void submit(int daemon_index, int id);
  void make_unresponsive(fake_daemon& daemon, bool fake_daemon::*cause);
  void cancel(int daemon_index, int id);
  void place(int daemon_index);
  void time_out_fences(int daemon_index);
  void expire_leases(int worker, job::epoch epoch);
  void end_task(std::uint32_t choice, wire::task_end end);
  void add_trace(const std::string& text);

  // The daemon core, simulated.
  void step_ownership(fake_daemon& daemon, const ownership::event& input);
  void step_requests(fake_daemon& daemon, const requests::event& input);
  void execute(fake_daemon& daemon, const ownership::effect& effect);
  void execute(fake_daemon& daemon, const requests::effect& effect);
  void read_claims(fake_daemon& daemon);
  void begin_fencing(fake_daemon& daemon, const ownership::fence_shard& effect);
  void advance_fencing(fake_daemon& daemon);
  bool is_in_flight(const fence_message& wanted) const;
  void read_intents(fake_daemon& daemon, std::uint16_t shard,
                    const fencing_state& fencing);
  void drop_shard(fake_daemon& daemon, job::shard_id shard);
  void check_quiesced(fake_daemon& daemon);
  void record_reply(fake_daemon& daemon, const requests::reply& reply);
  fake_daemon* find_process(const process_id& id);
  job::epoch epoch_of(const fake_daemon& daemon, int worker) const;
  std::vector<ownership::member> members() const;

  // Messages.
  void receive(const fence_message& input);
  void receive(const fence_reply& input);
  void receive(const start_message& input);
  void receive(const stop_message& input);
  void receive(const request_event& input);
  void receive(const intent_message& input);
  void receive(const intent_reply& input);
  void reply_to_start(const start_message& input, wire::start_status status);
  void run_task(const start_message& input);
  void append(const wire::record& record);

  // Invariant checks.
  void report_violation(const std::string& text);
  void check_start(const start_message& input);
  void check_not_run(const fake_daemon& daemon, std::uint64_t token);

  fault injected_;
  bool with_trace_;
  steady_time now_{std::chrono::hours(1)};
  bool log_available_ = true;
  bool intents_delayed_ = false;
  std::vector<wire::record> claims_;
  ownership::claim_table authoritative_claims_;
  std::map<job::epoch, process_id> epoch_owner_;
  std::map<process_id, std::vector<intent_entry>> intents_;
  std::vector<fake_daemon> daemons_;
  std::vector<fake_worker> workers_;
  std::vector<message> network_;
  std::map<std::uint64_t, submission> submissions_;
  std::uint64_t next_token_ = 1;
  std::map<std::pair<std::string, std::uint32_t>, int> runs_;
  run_counts counts_;
  std::string violation_;
  std::vector<std::string> trace_;
};

job::shard_id shard_of_worker(int worker);
int worker_index(const std::string& name);
std::string worker_name(int worker);
job::request make_request(int id, steady_time now);

}  // namespace ebonygrade::faults
