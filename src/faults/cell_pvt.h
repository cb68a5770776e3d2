// State of the faulty cell. Not for other slices.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "faults/faulty_cell.h"

namespace ebonygrade::faults {

inline constexpr int kDaemons = 3;
inline constexpr std::uint16_t kShards = 2;
inline constexpr int kWorkers = 4;
inline constexpr int kSlots = 2;  // Of a worker; a task takes one.
inline constexpr int kRequestIds = 6;
inline constexpr char kRegion[] = "north";

// A daemon's process: an id that restarts under a new incarnation.
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
struct fence_answer {
  process_id to;
  int worker = 0;
  job::shard_id shard;
  job::epoch epoch = 0;
  std::vector<wire::task_record> tasks;
  bool accepted = true;  // False: `epoch` is the higher one seen.
};
struct start_message {
  process_id from;
  int worker = 0;
  job::epoch epoch = 0;
  wire::task_start task;
  std::set<std::uint64_t> submissions;  // Whose request it is.
};
struct stop_message {
  process_id from;
  int worker = 0;
  job::epoch epoch = 0;
  job::attempt_key key;
};
struct request_event {  // A worker's answer or event.
  process_id to;
  requests::event event;
};
struct intent_message {
  process_id from;
  std::string id;
  job::shard_id home;
  job::epoch epoch = 0;
};
struct intent_answer {
  process_id to;
  std::string id;
  job::shard_id home;
  job::epoch epoch = 0;
  bool written = false;
};
using message =
    std::variant<fence_message, fence_answer, start_message, stop_message,
                 request_event, intent_message, intent_answer>;

// ---- Participants --------------------------------------------------------

struct worker_task {
  wire::task_record record;
  std::set<std::uint64_t> submissions;
};

struct fake_worker {
  job::epoch epoch = 0;
  process_id owner;
  // Owners below this epoch have ceased to renew leases here and to start
  // idempotent tasks.
  job::epoch lapsed_below = 0;
  std::map<job::attempt_key, worker_task> tasks;
  std::set<job::attempt_key> revoked;

  int running() const;
};

struct waiting_task {
  std::string id;
  std::uint32_t task_index = 0;
  job::shard_id home;
};

// What a shard still needs before it may serve.
struct fencing_state {
  job::epoch epoch = 0;
  std::set<int> unanswered;  // Workers.
  bool intents_read = false;
  bool given_up = false;  // Serves without the workers left.
  bool served = false;
  ownership::claim_state previous;
};

struct fake_daemon {
  bool alive = true;
  bool frozen = false;
  std::set<int> unreachable;  // Workers that its messages don't reach.
  bool cut_off = false;       // Not heard by others; reads no claims by itself.
  process_id id;
  ownership::state ownership;
  requests::table requests;
  std::map<int, int> used;  // Slots given out, by worker.
  std::deque<waiting_task> queue;
  std::map<std::uint16_t, fencing_state> fencing;
  std::set<job::attempt_key> unanswered;  // Starts.
  std::map<job::attempt_key, int> worker_of;
  steady_time started;
  steady_time silent_since;
};

struct intent_entry {
  std::string id;
  job::shard_id home;
};

struct submission {
  std::string id;
  bool told_not_run = false;
  bool ran = false;
};

class cell {
 public:
  cell(fault injected, bool with_trace);
  void act(std::uint32_t code);
  run_result result() const;
  bool has_failed() const { return !violation_.empty(); }

 private:
  // Actions.
  void start_daemon(int index);
  void tick(milliseconds by);
  void deliver(std::size_t index);
  bool is_blocked(const message& input);
  void time_out(std::size_t index);
  template <typename Wanted>
  fake_daemon* pick(int first, Wanted&& wanted);
  void submit(int daemon, int id);
  void silence(fake_daemon& at, bool fake_daemon::*cause);
  void cancel(int daemon, int id);
  void place(int daemon);
  void give_up_fences(int daemon);
  void lapse_leases(int worker, job::epoch epoch);
  void end_task(std::uint32_t choice, wire::task_end end);
  void note(const std::string& text);

  // Fake core of a daemon.
  void own(fake_daemon& at, const ownership::event& input);
  void handle(fake_daemon& at, const requests::event& input);
  void carry_out(fake_daemon& at, const ownership::effect& effect);
  void carry_out(fake_daemon& at, const requests::effect& effect);
  void read_claims(fake_daemon& at);
  void begin_fencing(fake_daemon& at, const ownership::fence_shard& effect);
  void finish_fencing(fake_daemon& at);
  bool is_in_flight(const fence_message& wanted) const;
  void read_intents(fake_daemon& at, std::uint16_t shard,
                    const fencing_state& fencing);
  void drop_shard(fake_daemon& at, job::shard_id shard);
  void check_quiesced(fake_daemon& at);
  void take_reply(fake_daemon& at, const requests::reply& reply);
  fake_daemon* find(const process_id& id);
  job::epoch epoch_of(const fake_daemon& at, int worker) const;
  std::vector<ownership::member> members() const;

  // Messages.
  void receive(const fence_message& input);
  void receive(const fence_answer& input);
  void receive(const start_message& input);
  void receive(const stop_message& input);
  void receive(const request_event& input);
  void receive(const intent_message& input);
  void receive(const intent_answer& input);
  void answer_start(const start_message& input, wire::start_status status);
  void run_task(const start_message& input);
  void append(const wire::record& record);

  // The judge.
  void fail(const std::string& text);
  void judge_start(const start_message& input);
  void judge_not_run(const fake_daemon& at, std::uint64_t token);

  fault injected_;
  bool with_trace_;
  steady_time now_{std::chrono::hours(1)};
  bool log_up_ = true;
  bool intents_delayed_ = false;
  std::vector<wire::record> claims_;
  ownership::claim_table truth_;
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
