#include "standin/worker/task_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace job = ebonygrade::job;
namespace wire = ebonygrade::wire;
namespace worker = ebonygrade::standin::worker;
using ebonygrade::clock::milliseconds;
using ebonygrade::clock::steady_time;

namespace {

struct fixture {
  worker::task_table table;
  worker::ledger_book book;
  steady_time now{std::chrono::seconds(100)};

  fixture() {
    table.options.id = "w1";
    table.options.capacity = {16000, 65536, 0, 8};
  }
  static wire::attempt_key key(const std::string& id, std::uint64_t attempt) {
    wire::attempt_key result;
    result.set_request_id(id);
    result.set_attempt(attempt);
    return result;
  }
  wire::start_status start(job::epoch epoch, const std::string& id,
                           std::uint64_t attempt, const std::string& payload,
                           wire::job_class kind = wire::batch) {
    wire::start_request request;
    request.set_epoch(epoch);
    wire::task_start* task = request.add_tasks();
    *task->mutable_key() = key(id, attempt);
    task->set_lease_ms(1000);
    task->set_payload(payload);
    task->set_class_(kind);
    return worker::start(table, book, request, now).results(0).status();
  }
  wire::stop_status stop(job::epoch epoch, const std::string& id,
                         std::uint64_t attempt,
                         wire::stop_mode mode = wire::stop) {
    wire::stop_request request;
    request.set_epoch(epoch);
    request.set_mode(mode);
    *request.add_keys() = key(id, attempt);
    return worker::stop(table, book, request, now).results(0).status();
  }
  bool renew(job::epoch epoch) {
    wire::renew_request request;
    request.set_epoch(epoch);
    request.set_lease_ms(1000);
    return worker::renew(table, request, now).accepted();
  }
  void advance(milliseconds by) {
    now += by;
    worker::advance(table, book, now);
  }
  wire::task_event last_event() {
    wire::events_reply reply = worker::events(table, 0, now);
    REQUIRE(reply.events_size() > 0);
    return reply.events(reply.events_size() - 1);
  }
};

}  // namespace

TEST_CASE("a task without a payload completes at once") {
  fixture f;
  CHECK(f.start(1, "a", 1, "") == wire::started);
  CHECK(f.last_event().end() == wire::completed);
  CHECK(f.last_event().output() == "ok");
  CHECK(f.book.totals.ends() == 1);
}

TEST_CASE("a task follows its payload") {
  fixture f;
  f.start(1, "a", 1, "run_ms=50 exit=3 output_bytes=7");
  f.advance(milliseconds(49));
  CHECK(f.table.running.size() == 1);
  CHECK(worker::next_due(f.table) == f.now + milliseconds(1));
  f.advance(milliseconds(1));
  CHECK(f.last_event().end() == wire::failed);
  CHECK(f.last_event().exit_code() == 3);
  CHECK(f.last_event().output() == "a:0 a:0");
}

TEST_CASE("start, renewal and stop with a stale epoch are rejected") {
  fixture f;
  f.start(5, "a", 1, "run_ms=100");
  CHECK(f.start(4, "b", 2, "") == wire::fenced);
  CHECK_FALSE(f.renew(4));
  CHECK(f.stop(4, "a", 1) == wire::stop_fenced);
  wire::fence_request request;
  request.set_epoch(4);
  wire::fence_reply reply = worker::fence(f.table, request, f.now);
  CHECK_FALSE(reply.accepted());
  CHECK(reply.epoch() == 5);
  CHECK(f.book.totals.fenced() == 1);
}

TEST_CASE("a repeated attempt is started once") {
  fixture f;
  CHECK(f.start(1, "a", 1, "run_ms=10") == wire::started);
  CHECK(f.start(1, "a", 1, "run_ms=10") == wire::started);
  f.advance(milliseconds(10));
  CHECK(f.start(1, "a", 1, "run_ms=10") == wire::started);
  CHECK(f.book.totals.starts() == 1);
}

TEST_CASE("a stop before the start revokes the attempt") {
  fixture f;
  CHECK(f.stop(1, "a", 1) == wire::never_started);
  CHECK(f.start(1, "a", 1, "") == wire::revoked);
  CHECK(f.start(1, "a", 2, "") == wire::started);
  CHECK(f.stop(1, "a", 2) == wire::already_ended);
  CHECK(f.book.totals.starts() == 1);
}

TEST_CASE("a lease that is not renewed ends the task") {
  fixture f;
  f.start(1, "a", 1, "", wire::service);
  f.advance(milliseconds(900));
  CHECK(f.renew(1));
  f.advance(milliseconds(999));
  CHECK(f.table.running.size() == 1);
  f.advance(milliseconds(1));
  CHECK(f.last_event().end() == wire::lease_expired);
  CHECK(f.book.totals.leases_expired() == 1);
}

TEST_CASE("a frozen worker makes no progress but its leases expire") {
  fixture f;
  f.start(1, "a", 1, "run_ms=10");
  f.table.frozen = true;
  f.advance(milliseconds(500));
  CHECK(f.table.running.size() == 1);
  f.advance(milliseconds(500));
  CHECK(f.last_event().end() == wire::lease_expired);
}

TEST_CASE("a task can be throttled, checkpointed and stopped") {
  fixture f;
  f.start(1, "a", 1, "run_ms=100");
  CHECK(f.stop(1, "a", 1, wire::throttle) == wire::throttled);
  f.advance(milliseconds(150));
  CHECK(f.table.running.size() == 1);
  CHECK(f.stop(1, "a", 1, wire::checkpoint) == wire::stop_confirmed);
  CHECK(f.last_event().end() == wire::stopped);
}

TEST_CASE(
    "usage is first reported after the interval, then once each interval") {
  fixture f;
  f.table.options.usage_lag = milliseconds(100);
  f.start(1, "a", 1, "use_millicores=7", wire::service);
  CHECK(worker::events(f.table, 0, f.now).usage_size() == 0);
  f.now += milliseconds(100);
  wire::events_reply reply = worker::events(f.table, 0, f.now);
  REQUIRE(reply.usage_size() == 1);
  CHECK(reply.usage(0).used().millicores() == 7);
  CHECK(worker::events(f.table, 0, f.now).usage_size() == 0);
}

TEST_CASE(
    "events are read after a sequence and dropped after the retention time") {
  fixture f;
  f.start(1, "a", 1, "");
  f.start(1, "b", 2, "");
  wire::events_reply reply = worker::events(f.table, 1, f.now);
  REQUIRE(reply.events_size() == 1);
  CHECK(reply.events(0).key().request_id() == "b");
  CHECK(reply.next() == 3);
  CHECK_FALSE(worker::has_events(f.table, 2));
  f.advance(f.table.options.retention);
  CHECK(f.table.events.empty());
  CHECK(f.table.ended.empty());
}

TEST_CASE("a fence lists running and ended tasks, without tombstones") {
  fixture f;
  f.start(1, "a", 1, "");
  f.start(1, "b", 2, "", wire::service);
  f.stop(1, "c", 3);
  wire::fence_request request;
  request.set_epoch(2);
  wire::fence_reply reply = worker::fence(f.table, request, f.now);
  CHECK(reply.accepted());
  CHECK(reply.tasks_size() == 2);
  CHECK(reply.next_event() == 2);
}

TEST_CASE("a reboot loses the tasks and changes the boot id") {
  fixture f;
  f.start(1, "a", 1, "", wire::service);
  std::uint64_t boot = f.table.boot;
  worker::reboot(f.table, f.book);
  CHECK(f.table.boot != boot);
  CHECK(f.table.running.empty());
  CHECK(f.book.totals.running() == 0);
}
