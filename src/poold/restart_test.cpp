// A worker crashes and starts again under its id and address, over loopback.
// The ledger of the workers' runs judges the daemon. The tests don't depend on
// timing, except for the limit after which a condition counts as failed; calls
// that arrive earlier or later than intended only make a fault harder to see.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "poold/test_cell.h"

namespace ebonygrade::poold {

namespace {

using standin::worker_host;

constexpr char kFormerJob[] = "00000000000000ab";
constexpr std::uint32_t kFormerTasks = 30;
constexpr std::uint32_t kTasks = 6;
constexpr milliseconds kLongTask{2000};

struct restart_cell : cell {
  explicit restart_cell(milliseconds task_time = worker_host::kShortTask) {
    store.put("keyed.op", "config", kManifest);
    add_worker("w1", task_time);
  }

  worker_host& w1() { return *workers.front(); }

  void add_owner() {
    add_node("n1");
    REQUIRE(wait_until([&] { return nodes[0]->owns_pool(); }));
  }

  // Completes a job at the first incarnation, whose ends are then recorded.
  void complete_former_job(std::uint32_t tasks) {
    submit(kFormerJob, tasks);
    REQUIRE(completes(kFormerJob));
    REQUIRE(wait_until([&] { return ledger.job_acknowledged(kFormerJob); }));
  }

  bool polled(const worker_host& worker, std::uint64_t more = 1) {
    std::uint64_t before = worker.replies(worker_host::kPoll);
    return wait_until(
        [&] { return worker.replies(worker_host::kPoll) >= before + more; });
  }

  // Starts the next incarnation, which gets no polls yet.
  void restart_without_polls() {
    w1().crash();
    w1().drop_calls({worker_host::kPoll});
    w1().restart();
  }

  // The daemon reads the entry of the new incarnation, then polls it.
  void meet_by_entry() {
    // The second read shows that the daemon has applied the first.
    for (int i = 0; i < 2; ++i) {
      std::uint64_t before = store.reads_with_records("keyed.servers");
      w1().announce("ready");
      REQUIRE(wait_until(
          [&] { return store.reads_with_records("keyed.servers") > before; }));
    }
    w1().drop_calls({});
    REQUIRE(polled(w1()));
  }
};

// A first poll with the former incarnation's end number takes that many ends of
// the new one as read.
TEST_CASE("the ends of a worker's new incarnation are all read") {
  restart_cell cell;
  cell.add_owner();
  cell.complete_former_job(kFormerTasks);
  cell.w1().crash();
  cell.w1().restart();
  cell.w1().announce("ready");
  cell.submit(kJob, kTasks);
  CHECK(cell.completes(kJob));
  cell.check_runs();
}

// Guards against starts that get no reply, or are carried out by an incarnation
// that the daemon doesn't know yet. incarnation_test.cpp has the cases in which
// such a start was on its way.
TEST_CASE("a worker whose connection broke gets no start before it replies") {
  restart_cell cell;
  cell.add_owner();
  REQUIRE(cell.polled(cell.w1(), 2));
  cell.restart_without_polls();
  // The daemon polls again after it has seen that the former poll broke.
  REQUIRE(cell.wait_until([&] { return cell.w1().dropped_calls() > 0; }));
  cell.submit(kJob, 1);
  cell.w1().announce("ready");
  cell.add_worker("w2");
  CHECK(cell.completes(kJob));
  CHECK(cell.w1().replies(worker_host::kStart) == 0);
  cell.w1().drop_calls({});
  cell.check_runs();
}

// The late poll arrives after the daemon's first poll of the new incarnation.
TEST_CASE("a late poll of the former incarnation makes no ends unread") {
  restart_cell cell;
  cell.add_owner();
  cell.complete_former_job(kFormerTasks);
  cell.w1().keep_next_call(worker_host::kPoll);
  REQUIRE(cell.wait_until([&] { return cell.w1().keeps_call(); }));
  cell.restart_without_polls();
  cell.meet_by_entry();
  cell.w1().carry_out_kept_call();
  cell.submit(kJob, kTasks);
  CHECK(cell.completes(kJob));
  cell.check_runs();
}

// The daemon counts the leases of the new incarnation from its own polls.
TEST_CASE("a late poll of the former incarnation extends no lease") {
  // The task outlasts every lease.
  constexpr milliseconds kEndless{600000};
  restart_cell cell(kEndless);
  cell.add_owner();
  REQUIRE(cell.polled(cell.w1(), 2));
  cell.w1().keep_next_call(worker_host::kPoll);
  REQUIRE(cell.wait_until([&] { return cell.w1().keeps_call(); }));
  cell.restart_without_polls();
  cell.meet_by_entry();
  cell.submit(kJob, 1);
  REQUIRE(cell.wait_until(
      [&] { return cell.w1().replies(worker_host::kStart) > 0; }));
  REQUIRE(cell.polled(cell.w1()));
  cell.add_worker("w2", kEndless);
  REQUIRE(cell.polled(*cell.workers[1], 2));
  // No other call reaches the worker any more. The late one comes after the
  // daemon's last grant and before the end of the lease.
  cell.w1().drop_calls(
      {worker_host::kPoll, worker_host::kStart, worker_host::kStop});
  cell.context.run_for(std::chrono::seconds(4));
  cell.w1().carry_out_kept_call();
  CHECK(cell.wait_until(
      [&] { return cell.workers[1]->replies(worker_host::kStart) > 0; }));
  for (const std::string& each : cell.ledger.violations()) UNSCOPED_INFO(each);
  CHECK(cell.ledger.violations().empty());
}

// The former incarnation carried out another copy of the start. This one
// arrives after the daemon's first poll of the new incarnation.
TEST_CASE("a late start doesn't run a completed task in a new incarnation") {
  restart_cell cell;
  cell.add_owner();
  REQUIRE(cell.polled(cell.w1(), 2));
  cell.w1().keep_next_call(worker_host::kStart);
  cell.complete_former_job(1);
  REQUIRE(cell.w1().keeps_call());
  cell.restart_without_polls();
  cell.meet_by_entry();
  cell.w1().carry_out_kept_call();
  cell.submit(kJob, kTasks);
  CHECK(cell.completes(kJob));
  cell.check_runs();
}

// Before the daemon's first poll no fencing token refuses the late call.
TEST_CASE("a late poll before the first poll makes no ends unread",
          "[!shouldfail]") {
  restart_cell cell;
  cell.add_owner();
  cell.complete_former_job(kFormerTasks);
  cell.w1().keep_next_call(worker_host::kPoll);
  REQUIRE(cell.wait_until([&] { return cell.w1().keeps_call(); }));
  cell.restart_without_polls();
  cell.w1().carry_out_kept_call();
  cell.meet_by_entry();
  cell.submit(kJob, kTasks);
  CHECK(cell.completes(kJob));
  cell.check_runs();
}

TEST_CASE("a late start before the first poll runs no completed task",
          "[!shouldfail]") {
  restart_cell cell;
  cell.add_owner();
  REQUIRE(cell.polled(cell.w1(), 2));
  cell.w1().keep_next_call(worker_host::kStart);
  cell.complete_former_job(1);
  REQUIRE(cell.w1().keeps_call());
  cell.restart_without_polls();
  cell.w1().carry_out_kept_call();
  cell.meet_by_entry();
  cell.submit(kJob, kTasks);
  CHECK(cell.completes(kJob));
  cell.check_runs();
}

}  // namespace

}  // namespace ebonygrade::poold
