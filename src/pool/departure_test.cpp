// Tests of workers that leave: they say so, serve on for some seconds and exit
// with what they run.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "pool/test_pool.h"

namespace ebonygrade::pool {

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr std::uint32_t kMembers = 2;
constexpr milliseconds kHeartbeat{1500};
// Target: what could run starts within 3 s. Reading the directory and asking
// for advice take the rest.
constexpr milliseconds kRestartTime{500};

// A gang with a member on each of w1 and w2, and room on w3.
struct leaving_pool : test_pool {
  explicit leaving_pool(bool lasts = false) {
    for (const char* id : {"w1", "w2", "w3"}) add_worker(id, 1000);
    wire::step_definition gang = step(kMembers, 1000);
    gang.set_gang(true);
    gang.set_long_running(lasts);
    submit(kJob, {gang});
    first = round();
    REQUIRE(first.size() == kMembers);
    confirm(first);
    serve(milliseconds(1000));
  }

  // The workers but `absent` report what they run.
  void serve(milliseconds time, const std::string& absent = "") {
    advance(time);
    for (const std::pair<const std::string, worker>& each : state.workers) {
      if (each.first == absent) continue;
      std::vector<reported_run> runs;
      for (const start_order& start : first) {
        if (start.worker == each.first) runs.push_back(reported_run_of(start));
      }
      report(each.first, {{}, 1, std::move(runs), {}});
    }
  }

  void write_entry(const std::string& id, bool draining,
                   steady_time written_after) {
    worker_entry entry = state.workers.at(id).entry;
    entry.draining = draining;
    REQUIRE(observe_worker_entry(&state, entry, now, written_after));
  }

  // The members at other workers than `worker` end, as one has ended there.
  void break_gang(const std::string& worker) {
    for (const start_order& each : first) {
      if (each.worker == worker) continue;
      report(each.worker,
             {{}, 1, {}, {reported_end_of(1, each, end_kind::broken)}});
    }
  }

  // The starts of the next rounds, with the other workers idle.
  std::vector<start_order> restart(const std::string& absent) {
    first.clear();
    serve(kRestartTime, absent);
    return round();
  }

  // The worker's connection is lost, and its entry is removed at most
  // `since_entry` after it was written last. Returns what starts then.
  std::vector<start_order> leave(const std::string& id, bool draining,
                                 milliseconds since_entry) {
    write_entry(id, draining, now);
    serve(since_entry, id);
    break_gang(id);
    observe_contact_lost(&state, id, now);
    observe_worker_removed(&state, id, now);
    return restart(id);
  }

  std::vector<start_order> first;
};

// Guards against a gang that waits for the lease of a worker that has left with
// one of its members, although others have room.
TEST_CASE("a gang doesn't wait for the lease of a worker that has left") {
  leaving_pool pool;
  std::string left = pool.first.front().worker;
  std::vector<start_order> starts = pool.leave(left, true, kHeartbeat);
  REQUIRE(starts.size() == kMembers);
  for (const start_order& each : starts) CHECK(each.worker != left);
}

TEST_CASE("a lasting gang doesn't wait for a worker that has left") {
  leaving_pool pool(true);
  std::string left = pool.first.front().worker;
  CHECK(pool.leave(left, true, kHeartbeat).size() == kMembers);
}

TEST_CASE("a later owner doesn't wait for a worker that leaves") {
  leaving_pool pool;
  std::string left = pool.first.front().worker;
  pool.take_over();
  for (const char* id : {"w1", "w2", "w3"}) {
    worker_entry entry;
    entry.id = id;
    entry.service = kService;
    entry.address = "127.0.0.1:1";
    entry.capacity = {1000, 10000, 0};
    entry.incarnation_ms = 1;
    observe_worker_entry(&pool.state, entry, pool.now);
  }
  // It doesn't answer the new owner any more.
  CHECK(pool.leave(left, true, kHeartbeat).size() == kMembers);
}

// A worker that is cut off from the store and from the owner loses its entry
// after three heartbeats, and runs on until its lease has passed.
TEST_CASE("a draining worker whose entry may have expired keeps its runs") {
  leaving_pool pool;
  std::string cut = pool.first.front().worker;
  CHECK(pool.leave(cut, true, 3 * kHeartbeat).empty());
  pool.serve(milliseconds(6200), cut);
  CHECK(pool.round().size() == kMembers);
}

TEST_CASE("a worker that doesn't drain keeps its runs without an entry") {
  leaving_pool pool;
  std::string id = pool.first.front().worker;
  CHECK(pool.leave(id, false, milliseconds(500)).empty());
}

TEST_CASE("a worker keeps its runs if the age of its entry isn't known") {
  leaving_pool pool;
  std::string id = pool.first.front().worker;
  pool.write_entry(id, true, steady_time());
  pool.serve(milliseconds(500), id);
  pool.break_gang(id);
  observe_contact_lost(&pool.state, id, pool.now);
  observe_worker_removed(&pool.state, id, pool.now);
  CHECK(pool.restart(id).empty());
}

// Its runs go on, whatever has happened to its entry.
TEST_CASE("a worker that replies keeps its runs without an entry") {
  leaving_pool pool;
  std::string id = pool.first.front().worker;
  pool.write_entry(id, true, pool.now);
  observe_contact_lost(&pool.state, id, pool.now);
  observe_worker_removed(&pool.state, id, pool.now);
  pool.serve(milliseconds(200));
  pool.serve(milliseconds(1000), id);
  pool.round();
  CHECK(pool.state.workers.at(id).placements.size() == 1);
}

// The start may be carried out late, if the worker returns under its id.
TEST_CASE("a worker that has left keeps a start without a reply") {
  test_pool pool;
  pool.add_worker("w1", 1000);
  pool.submit(kJob, {test_pool::step(1, 1000)});
  REQUIRE(pool.round().size() == 1);
  worker_entry entry = pool.state.workers.at("w1").entry;
  entry.draining = true;
  observe_worker_entry(&pool.state, entry, pool.now, pool.now);
  observe_contact_lost(&pool.state, "w1", pool.now);
  observe_worker_removed(&pool.state, "w1", pool.now);
  pool.advance(kRestartTime);
  pool.round();
  CHECK(pool.state.workers.at("w1").placements.size() == 1);
}

// Guards against runs that are taken as over at a worker that lives: it has
// replied since its entry was removed, so it hadn't left, and a connection that
// breaks later proves nothing.
TEST_CASE(
    "a worker that replied without an entry keeps its runs when cut off") {
  leaving_pool pool;
  std::string id = pool.first.front().worker;
  pool.write_entry(id, true, pool.now);
  pool.serve(milliseconds(200));
  observe_worker_removed(&pool.state, id, pool.now);
  pool.serve(milliseconds(500));
  observe_contact_lost(&pool.state, id, pool.now);
  pool.serve(milliseconds(1000), id);
  pool.round();
  CHECK(pool.state.workers.at(id).placements.size() == 1);
}

// Guards against a task that runs twice: the earlier owner's start got no
// reply, and is carried out late by a worker that has left and returned.
TEST_CASE("a later owner keeps a start that a returned worker may carry out",
          "[!shouldfail]") {
  test_pool pool;
  for (const char* id : {"w1", "w2"}) pool.add_worker(id, 1000);
  pool.submit(kJob, {test_pool::step(1, 1000)});
  std::vector<start_order> lost = pool.round();
  REQUIRE(lost.size() == 1);
  std::string id = lost.front().worker;
  worker_entry entry = pool.state.workers.at(id).entry;
  worker_entry other = pool.state.workers.at(id == "w1" ? "w2" : "w1").entry;
  pool.take_over();
  observe_worker_entry(&pool.state, other, pool.now);
  pool.report(other.id, {});
  entry.draining = true;
  observe_worker_entry(&pool.state, entry, pool.now, pool.now);
  observe_contact_lost(&pool.state, id, pool.now);
  pool.advance(milliseconds(100));
  observe_worker_removed(&pool.state, id, pool.now);
  pool.advance(kRestartTime);
  pool.report(other.id, {});
  CHECK(pool.round().empty());
  // Well before the latest time of the first order, 12.6 s after it was sent.
  worker_report report;
  report.incarnation_ms = 2;
  report.running = {reported_run_of(lost.front())};
  entry.incarnation_ms = 2;
  entry.draining = false;
  observe_worker_entry(&pool.state, entry, pool.now, pool.now);
  pool.report(id, std::move(report));
  std::size_t runs = pool.state.workers.at(id).placements.size() +
                     pool.state.workers.at(other.id).placements.size();
  CHECK(runs == 1);
}

// Guards against work that is thrown away, and tickets that expire: members
// start that wait for one whose worker was found to leave before the starts
// were sent.
TEST_CASE("a gang isn't started in part if a worker drains before its starts") {
  test_pool pool;
  for (const char* id : {"w1", "w2"}) pool.add_worker(id, 1000);
  wire::step_definition gang = test_pool::step(kMembers, 1000);
  gang.set_gang(true);
  pool.submit(kJob, {gang});
  decide(&pool.state, pool.now, pool.wall);
  journal_batch batch = take_batch(&pool.state, pool.now);
  REQUIRE(batch.starts.size() == kMembers);
  worker_entry entry = pool.state.workers.at(batch.starts.back().worker).entry;
  entry.draining = true;
  observe_worker_entry(&pool.state, entry, pool.now);
  CHECK(observe_batch_written(&pool.state, batch, pool.now).empty());
}

// Guards against a gang that waits for a lease anew after each change of owner,
// for a member on a worker that no owner has reached since.
TEST_CASE("a second takeover doesn't put off the end of a lease") {
  leaving_pool pool;
  std::string left = pool.first.front().worker;
  std::vector<worker_entry> others;
  for (const std::pair<const std::string, worker>& each : pool.state.workers) {
    if (each.first != left) others.push_back(each.second.entry);
  }
  pool.first.clear();
  // No lease of the first owner lasts longer; a change of owner loses up to 2 s
  // of the pool time.
  milliseconds longest = max_previous_owner_lease(pool.state.limits);
  constexpr milliseconds kLostTime{3000};
  milliseconds passed{0};
  std::vector<start_order> starts;
  for (int takeover = 0; takeover < 2; ++takeover) {
    pool.take_over();
    for (const worker_entry& each : others) {
      observe_worker_entry(&pool.state, each, pool.now);
    }
    for (int i = 0; i < 8 && starts.empty(); ++i) {
      pool.serve(milliseconds(1000), left);
      passed += milliseconds(1000);
      observe_directory_read(&pool.state, pool.now);
      starts = pool.round();
    }
  }
  CHECK(starts.size() == kMembers);
  CHECK(passed >= longest);
  CHECK(passed <= longest + kLostTime);
}

// Guards against a gang that waits for room that may not come, beside idle
// workers that the advice service hasn't been asked for.
TEST_CASE("a gang doesn't wait for a busy worker beside idle ones") {
  constexpr std::uint32_t kSize = 30;
  test_pool pool;
  for (int i = 0; i < 200; ++i) {
    pool.add_worker("w" + std::to_string(i), 1000);
  }
  pool.submit("00000000000000ab", {test_pool::step(1, 200)});
  std::vector<start_order> small = pool.round();
  REQUIRE(small.size() == 1);
  pool.confirm(small);
  pool.policy.needs_advice = true;
  pool.policy.advice_validity = milliseconds(5000);
  set_queues(&pool.state, {{kQueue, pool.policy}});
  wire::step_definition gang = test_pool::step(kSize, 900);
  gang.set_gang(true);
  pool.submit(kJob, {gang});
  decisions out;
  REQUIRE(pool.round(&out).empty());
  REQUIRE(out.advice.size() == 1);
  advice_request request = out.advice.front();
  REQUIRE(request.workers.size() < 200);
  // All are idle but the first.
  std::string busy = small.front().worker;
  if (std::find(request.workers.begin(), request.workers.end(), busy) ==
      request.workers.end()) {
    request.workers.push_back(busy);
    request.incarnations_ms.push_back(1);
  }
  std::vector<ticket> tickets = {{busy, "t"}};
  for (const std::string& each : request.workers) {
    if (each != busy && tickets.size() < kSize) tickets.push_back({each, "t"});
  }
  observe_advice(&pool.state, request, true, tickets,
                 pool.now + milliseconds(5000), pool.now);
  pool.advance(milliseconds(100));
  REQUIRE(pool.round(&out).empty());
  CHECK(out.advice.size() == 1);
}

}  // namespace

}  // namespace ebonygrade::pool
