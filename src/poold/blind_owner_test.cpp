// An owner whose appends work while its reads of the store get no reply.
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "http/client.h"
#include "http/server.h"
#include "poold/peer_paths.h"
#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

// The platform's shortest limits for starts after a cancellation, and after a
// worker's notice that it leaves, was acknowledged.
constexpr milliseconds kCancelTime{3000};
constexpr milliseconds kDrainTime{2500};
constexpr milliseconds kTaskTime{150};
// One task fills the worker, so that starts go on for half a minute.
constexpr std::uint32_t kTasks = 200;
constexpr std::uint32_t kTaskCpu = 3000;

// Value of the record.
std::string cancellation() {
  wire::job_cancellation record;
  record.set_accepted_ms(1);
  return record.SerializeAsString();
}

struct blind_cell : cell {
  // The owner has begun a job of many tasks and can't read the topic any more.
  explicit blind_cell(const std::string& topic) {
    store.put("keyed.op", "config", kManifest);
    add_worker("w1", kTaskTime);
    add_node("n1");
    REQUIRE(wait_until([&] { return nodes[0]->owns_pool(); }));
    submit(kJob, kTasks, kTaskCpu);
    REQUIRE(wait_until([&] { return ledger.starts() > 0; }));
    store.block_reads(topic);
  }
  void pass(milliseconds time) {
    steady_time end = clock.now() + time;
    wait_until([&] { return clock.now() >= end; });
  }
  // Writes a record that changes nothing for the pool's job.
  void write_to(const std::string& topic) {
    if (topic == "keyed.servers") return workers[0]->announce("ready");
    wire::job_cancellation other;
    other.set_accepted_ms(1);
    store.put(topic, jobs::cancellation_key("00000000000000ff"),
              other.SerializeAsString());
  }
  // Starts later than `limit` from now on, within half of it.
  std::uint64_t starts_after(milliseconds limit) {
    pass(limit);
    std::uint64_t before = ledger.starts();
    REQUIRE(before < kTasks);
    pass(limit / 2);
    return ledger.starts() - before;
  }
};

// Guards against lost cancellations: other daemons acknowledge one once they
// have appended it, and an owner whose copy was 10 s old went on with the job.
TEST_CASE("no task of a cancelled job starts while the owner can't read") {
  blind_cell cell("keyed.journal");
  cell.store.put("keyed.journal", jobs::cancellation_key(kJob), cancellation());
  CHECK(cell.starts_after(kCancelTime) == 0);
  cell.store.block_reads("");
  CHECK(cell.reaches_state(0, "cancelled"));
}

// Guards against the same for the notice of a worker.
TEST_CASE("no task starts on a worker that leaves while the owner can't read") {
  blind_cell cell("keyed.servers");
  cell.workers[0]->announce("draining");
  CHECK(cell.starts_after(kDrainTime) == 0);
}

// The owner as another daemon sees it: it takes no records of callers, and
// other calls arrive.
class owner_gateway {
 public:
  owner_gateway(boost::asio::io_context& context, const std::string& owner)
      : client_(context, owner, options()),
        server_(context, {},
                [this](http::request&& request, http::responder answer) {
                  if (request.target() == kRecordPath) {
                    return answer(http::error_response(http::status::conflict,
                                                       "no records"));
                  }
                  if (request.target() == kPresencePath) ++announcements_;
                  if (request.target() == kCancellationsPath) ++notices_;
                  client_.call("pass on", std::move(request),
                               [answer](http::call_result&& result) {
                                 if (result.has_error()) return answer.drop();
                                 answer(std::move(*result));
                               });
                }) {
    server_.listen("127.0.0.1:0").value();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }
  std::size_t announcements() const { return announcements_; }
  // Calls that tell the owner of cancellations.
  std::size_t notices() const { return notices_; }

 private:
  static http::client_options options() {
    http::client_options options;
    options.connections = 8;
    return options;
  }

  std::size_t announcements_ = 0;
  std::size_t notices_ = 0;
  http::client client_;
  http::server server_;
};

// The first daemon owns the pool and runs a job's tasks, the second appends for
// its callers itself, and neither can read the journal any more.
struct unread_cell : cell {
  static constexpr milliseconds kLongTask{60000};
  static constexpr std::uint32_t kRunning = 2;
  std::unique_ptr<owner_gateway> gateway;

  unread_cell() {
    store.put("keyed.op", "config", kManifest);
    add_worker("w1", kLongTask);
    add_node("n1");
    REQUIRE(wait_until([&] { return nodes[0]->owns_pool(); }));
    add_node("n2");
    REQUIRE(wait_until([&] { return has_copy(1); }));
    submit(kJob, kRunning);
    REQUIRE(wait_until([&] { return ledger.starts() == kRunning; }));
    REQUIRE(reaches_state(1, "running"));
    gateway = std::make_unique<owner_gateway>(context, peer_addresses.front());
    // The owner names its own address again with its next records.
    REQUIRE(wait_until([&] {
      name_owner(gateway->address());
      pass(milliseconds(20));
      return gateway->announcements() > 0;
    }));
    store.block_reads("keyed.journal");
  }
  // Gives other daemons this address of the owner.
  void name_owner(const std::string& address) {
    wire::ownership_record owner;
    for (const standin::stored_record& each : store.records("keyed.journal")) {
      if (each.key == jobs::kOwnerKey) owner.ParseFromString(each.value);
    }
    owner.set_peer_address(address);
    store.put("keyed.journal", jobs::kOwnerKey, owner.SerializeAsString());
  }
  void pass(milliseconds time) {
    steady_time end = clock.now() + time;
    wait_until([&] { return clock.now() >= end; });
  }
  unsigned cancel(std::size_t node_index) {
    return call(node_index, http::verb::delete_, "/q/" + std::string(kJob))
        .first;
  }
  std::string state_at_owner() {
    return call(0, http::verb::get, "/q/" + std::string(kJob)).second;
  }
  std::uint64_t stops() const {
    return workers[0]->replies(standin::worker_host::kStop);
  }
  // Status of the reply to a notice at the owner.
  unsigned tell_owner(const std::string& job, const std::string& value,
                      std::uint64_t offset) {
    wire::recorded_cancellations message;
    wire::recorded_cancellation* record = message.add_records();
    record->set_job(job);
    record->set_value(value);
    record->set_offset(offset);
    caller_addresses.push_back(peer_addresses.front());
    unsigned status = call(caller_addresses.size() - 1, http::verb::post,
                           kCancellationsPath, message.SerializeAsString())
                          .first;
    caller_addresses.pop_back();
    return status;
  }
};

// Guards against runs of a cancelled job that went on until the owner had read
// the cancellation, which another daemon had appended and acknowledged.
TEST_CASE("an owner that can't read stops the runs of a cancelled job") {
  unread_cell cell;
  REQUIRE(cell.cancel(1) == 200);
  steady_time acknowledged = cell.clock.now();
  cell.wait_until([&] {
    return cell.stops() == unread_cell::kRunning ||
           cell.clock.now() - acknowledged > kCancelTime;
  });
  CHECK(cell.stops() == unread_cell::kRunning);
  CHECK(cell.gateway->notices() == 1);
  CHECK(cell.state_at_owner() == R"({"state":"cancelled"})");
  // The owner reads the record that it has been told of.
  cell.store.block_reads("");
  cell.pass(kCancelTime);
  CHECK(cell.state_at_owner() == R"({"state":"cancelled"})");
  CHECK(cell.stops() == unread_cell::kRunning);
  CHECK(cell.ledger.violations().empty());
}

// Guards against an owner that cancels what isn't in the journal.
TEST_CASE("the owner isn't told of a cancellation before it is acknowledged") {
  unread_cell cell;
  cell.store.lose_replies(1);
  CHECK(cell.cancel(1) == 504);
  CHECK(cell.gateway->notices() == 0);
  CHECK(cell.stops() == 0);
  cell.store.lose_replies(0);
  CHECK(cell.wait_until([&] { return cell.gateway->notices() > 0; }));
}

// Guards against a cancellation that is lost as the owner hasn't read the
// submission either.
TEST_CASE("a job starts nothing if its cancellation arrives before it") {
  constexpr char kUnread[] = "00000000000000bb";
  unread_cell cell;
  wire::job_submission job = submission();
  job.set_queue("r");
  job.set_service("pool-a");
  cell.ledger.add_job(kUnread, job, 2);
  cell.store.put("keyed.journal", jobs::submission_key(kUnread),
                 job.SerializeAsString());
  std::uint64_t offset = cell.store.records("keyed.journal").size();
  // Not stored here, so that the job ends by the notice alone.
  CHECK(cell.tell_owner(kUnread, cancellation(), offset) == 200);
  cell.store.block_reads("");
  CHECK(cell.wait_until([&] {
    return cell.call(0, http::verb::get, "/q/" + std::string(kUnread)).second ==
           R"({"state":"cancelled"})";
  }));
  CHECK(cell.ledger.starts() == unread_cell::kRunning);
}

// Guards against a late notice that cancels a later job of the same id, and
// against an empty record, which deletes.
TEST_CASE(
    "the owner ignores a cancellation that it has read, or an empty one") {
  unread_cell cell;
  std::string value = cancellation();
  std::uint64_t end = cell.store.records("keyed.journal").size();
  CHECK(cell.tell_owner(kJob, value, 0) == 200);
  CHECK(cell.tell_owner(kJob, "", end) == 400);
  CHECK(cell.tell_owner("", value, end) == 400);
  cell.pass(milliseconds(500));
  CHECK(cell.state_at_owner() == R"({"state":"running"})");
  CHECK(cell.stops() == 0);
}

// Leaves the daemons that read the topic behind its next record.
void leave_behind(blind_cell* cell, const std::string& topic) {
  cell->store.block_readers_behind(topic);
  cell->write_to(topic);
}

// Guards against a pool that starts nothing for good: standbys took an owner
// that could append as sound.
TEST_CASE("an owner that can't read hands over to a standby that can") {
  std::string topic = GENERATE("keyed.journal", "keyed.servers");
  CAPTURE(topic);
  blind_cell cell("");
  leave_behind(&cell, topic);
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.has_copy(1); }));
  steady_time ready = cell.clock.now();
  REQUIRE(cell.wait_until([&] { return cell.nodes[1]->owns_pool(); }));
  std::uint64_t before = cell.ledger.starts();
  REQUIRE(before < kTasks);
  CHECK(cell.wait_until([&] { return cell.ledger.starts() > before; }));
  CHECK(cell.clock.now() - ready < kCancelTime + kDrainTime);
  CHECK(cell.has_metric(0, "ebonygrade_pool_outdated_handovers_total 1"));
  CHECK(cell.ledger.violations().empty());
  // It leaves the pool to the new owner, also once it may claim again.
  cell.pass(kCancelTime + kDrainTime);
  CHECK(cell.nodes[1]->owns_pool());
  CHECK_FALSE(cell.nodes[0]->owns_pool());
}

// Guards against a pool that changes hands while no daemon can read.
TEST_CASE("a store that no daemon can read hands nothing over") {
  std::string topic = GENERATE("keyed.journal", "keyed.servers");
  CAPTURE(topic);
  blind_cell cell("");
  cell.add_node("n2");
  REQUIRE(cell.wait_until([&] { return cell.has_copy(1); }));
  // The standby has announced its copy.
  cell.pass(milliseconds(1500));
  cell.store.block_reads(topic);
  cell.write_to(topic);
  cell.pass(kCancelTime + kDrainTime);
  CHECK(cell.nodes[0]->owns_pool());
  CHECK(cell.has_metric(0, "ebonygrade_pool_handovers_total 0"));
}

}  // namespace

}  // namespace ebonygrade::poold
