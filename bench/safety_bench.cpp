// Cost of claims, of reconciliation after a takeover, and of requests::step()
// at the size planned for in two years. Prints one "name value unit" line per
// figure.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "ownership/ownership.h"
#include "requests/requests.h"

namespace job = ebonygrade::job;
namespace ownership = ebonygrade::ownership;
namespace requests = ebonygrade::requests;
namespace wire = ebonygrade::wire;

namespace {

constexpr int kWorkers = 10000;
constexpr int kRunningTasks = 46000;
constexpr std::uint16_t kShards = 128;
constexpr int kClaims = 100000;
constexpr int kTicks = 1000;
constexpr int kIntentStarts = 1000;
constexpr job::steady_time kNow{std::chrono::hours(1)};

void print(const char* name, double value, const char* unit) {
  std::printf("%s %.1f %s\n", name, value, unit);
}

// Run time of `work` in nanoseconds.
template <typename Work>
double nanoseconds_of(Work&& work) {
  std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  work();
  std::chrono::nanoseconds elapsed = std::chrono::steady_clock::now() - begin;
  return static_cast<double>(elapsed.count());
}

std::string worker_of(int task) {
  return "w" + std::to_string(task % kWorkers);
}

std::string id_of(int task) { return "request-" + std::to_string(task); }

job::request request_of(int task, bool idempotent) {
  job::request request;
  request.id = id_of(task);
  request.team = "team";
  request.idempotent = idempotent;
  request.per_task.millicores = 1000;
  return request;
}

wire::task_record record_of(int task) {
  wire::task_record record;
  record.mutable_key()->set_request_id(id_of(task));
  record.mutable_key()->set_attempt(1 << 24);
  record.set_idempotent(true);
  record.set_team("team");
  record.set_class_(wire::batch);
  return record;
}

// A record in which a daemon claims a shard.
wire::record claim_of(int number, job::epoch previous) {
  wire::record record;
  record.mutable_writer()->set_daemon("d" + std::to_string(number % 9));
  record.mutable_writer()->set_incarnation(1);
  wire::shard_claim* claim = record.mutable_claim()->add_shards();
  claim->set_region("north");
  claim->set_shard(static_cast<std::uint32_t>(number % kShards));
  claim->set_previous_epoch(previous);
  return record;
}

void measure_claims() {
  ownership::claim_table table =
      ownership::make_claim_table({"north"}, kShards);
  std::vector<wire::record> records;
  for (int i = 0; i < kClaims; ++i) {
    int previous = i < kShards ? 0 : i - kShards + 1;
    records.push_back(claim_of(i, static_cast<job::epoch>(previous)));
  }
  double elapsed = nanoseconds_of([&] {
    for (int i = 0; i < kClaims; ++i) {
      ownership::apply(table, records[static_cast<std::size_t>(i)],
                       static_cast<std::uint64_t>(i));
    }
  });
  print("claim_apply", elapsed / kClaims, "ns");
}

// Time per tick that the owner of every shard takes to find the preferred
// owners.
void measure_preferred_owners() {
  std::vector<ownership::member> members(9);
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].id = "d" + std::to_string(i);
    members[i].region = "north";
  }
  std::size_t found = 0;
  double elapsed = nanoseconds_of([&] {
    for (int i = 0; i < kTicks; ++i) {
      for (std::uint16_t shard = 0; shard < kShards; ++shard) {
        found += ownership::preferred_owner("north", shard, members,
                                            std::chrono::milliseconds(1000))
                     .size();
      }
    }
  });
  if (found == 0) return;
  print("preferred_owners_128_shards_9_daemons", elapsed / kTicks / 1000, "us");
}

void measure_reconciliation() {
  requests::table table;
  std::vector<requests::event> found;
  for (int task = 0; task < kRunningTasks; ++task) {
    found.push_back(requests::task_found{record_of(task), worker_of(task), {}});
  }
  double elapsed = nanoseconds_of([&] {
    for (const requests::event& each : found) {
      requests::step(table, each, kNow);
    }
  });
  print("reconcile_10000_workers_46000_tasks", elapsed / 1e6, "ms");
}

// Starts the request's task and returns the key of the attempt.
job::attempt_key start(requests::table& table, const job::request& request) {
  requests::step(table, requests::submitted{request, {}, 1}, kNow);
  std::vector<requests::effect> effects =
      requests::step(table, requests::placed{request.id, 0, "w1", 1}, kNow);
  if (!request.idempotent) {
    effects = requests::step(table, requests::intent_durable{request.id}, kNow);
  }
  const auto& sent = std::get<requests::send_start>(effects.front());
  job::attempt_key key = job::from_wire(sent.task.key());
  requests::step(table, requests::start_answered{key, wire::started}, kNow);
  return key;
}

void measure_requests() {
  requests::table table;
  std::vector<job::attempt_key> keys;
  std::size_t before = mallinfo2().uordblks;
  double elapsed = nanoseconds_of([&] {
    for (int task = 0; task < kRunningTasks; ++task) {
      keys.push_back(start(table, request_of(task, true)));
    }
  });
  std::size_t keys_bytes = kRunningTasks * (sizeof(job::attempt_key) + 32);
  std::size_t bytes = mallinfo2().uordblks - before - keys_bytes;
  print("request_start_at_46000_running", elapsed / kRunningTasks / 1000, "us");
  print("bytes_per_running_request", static_cast<double>(bytes) / kRunningTasks,
        "bytes");
  elapsed = nanoseconds_of([&] {
    for (int i = 0; i < kTicks; ++i) {
      requests::step(table, requests::tick{}, kNow);
    }
  });
  print("requests_tick_at_46000_running", elapsed / kTicks, "ns");
  elapsed = nanoseconds_of([&] {
    for (const job::attempt_key& key : keys) {
      requests::step(
          table, requests::task_ended{key, wire::completed, 0, "", "w1"}, kNow);
    }
  });
  print("task_end_at_46000_running", elapsed / kRunningTasks / 1000, "us");
}

// Counts the intents that must be in the log before the starts are sent. The
// core writes the intents of one round trip to the log as one append.
void measure_intents(bool idempotent, const char* name) {
  requests::table table;
  int intents = 0;
  for (int task = 0; task < kIntentStarts; ++task) {
    job::request request = request_of(task, idempotent);
    requests::step(table, requests::submitted{request, {}, 1}, kNow);
    for (const requests::effect& each : requests::step(
             table, requests::placed{request.id, 0, "w1", 1}, kNow)) {
      if (std::holds_alternative<requests::write_intent>(each)) ++intents;
    }
  }
  print(name, intents, "intents");
}

void measure_worker_loss() {
  requests::table table;
  for (int task = 0; task < kRunningTasks; ++task) {
    start(table, request_of(task, true));
  }
  double elapsed = nanoseconds_of(
      [&] { requests::step(table, requests::worker_lost{"w2"}, kNow); });
  print("worker_lost_at_46000_running", elapsed / 1e6, "ms");
}

}  // namespace

int main() {
  measure_claims();
  measure_preferred_owners();
  measure_reconciliation();
  measure_requests();
  measure_worker_loss();
  measure_intents(true, "intents_per_1000_idempotent_starts");
  measure_intents(false, "intents_per_1000_other_starts");
  return 0;
}
