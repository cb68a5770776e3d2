#include "jobs/job_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace ebonygrade::jobs {

namespace {

constexpr char kJob[] = "00000000000000aa";

record submission_record() {
  wire::job_submission job;
  job.set_queue("q");
  job.add_steps()->set_count(1);
  return {submission_key(kJob), job.SerializeAsString(), 0};
}

record progress_record(wire::job_outcome outcome) {
  wire::job_progress progress;
  progress.set_started(true);
  progress.set_outcome(outcome);
  return {progress_key(kJob), progress.SerializeAsString(), 0};
}

TEST_CASE("a job's state follows its records") {
  table table;
  CHECK(find(table, kJob) == nullptr);
  CHECK(apply(&table, submission_record()).kind == change_kind::submitted);
  CHECK(state_of(*find(table, kJob)) == state::pending);
  CHECK(not_started(table, "q") == 1);
  apply(&table, progress_record(wire::OPEN));
  CHECK(state_of(*find(table, kJob)) == state::running);
  CHECK(not_started(table, "q") == 0);
  apply(&table, progress_record(wire::COMPLETE));
  CHECK(state_of(*find(table, kJob)) == state::complete);
}

TEST_CASE("a job whose records are deleted is unknown") {
  table table;
  apply(&table, submission_record());
  apply(&table, {submission_key(kJob), "", 0});
  CHECK(find(table, kJob) == nullptr);
  CHECK(not_started(table, "q") == 0);
}

// Guards against reopening an ended job: the end may come from the owner before
// earlier records of the job are read from the journal.
TEST_CASE("older records don't reopen an ended job") {
  table table;
  apply(&table, submission_record());
  apply(&table, progress_record(wire::COMPLETE));
  CHECK(apply(&table, progress_record(wire::OPEN)).kind == change_kind::none);
  CHECK(state_of(*find(table, kJob)) == state::complete);
  CHECK(not_started(table, "q") == 0);
}

// Guards against a takeover from an old copy: a load of the journal in pages
// brought back the progress from before the owner's last append, and a task
// that had ended as done was started again.
TEST_CASE("an older record doesn't replace newer progress") {
  table table;
  record older = progress_record(wire::OPEN);
  older.offset = 3;
  wire::job_progress progress;
  progress.set_started(true);
  progress.add_steps()->add_done(0);
  record newer{progress_key(kJob), progress.SerializeAsString(), 5};
  apply(&table, submission_record());
  apply(&table, newer);
  CHECK(apply(&table, older).kind == change_kind::none);
  REQUIRE(find(table, kJob)->progress.steps_size() == 1);
  CHECK(find(table, kJob)->progress.steps(0).done_size() == 1);
  apply(&table, {progress_key(kJob), "", 4});
  CHECK(find(table, kJob)->progress.steps_size() == 1);
}

// An end that a peer reported has no offset.
TEST_CASE("an end without an offset replaces newer progress") {
  table table;
  record progress = progress_record(wire::OPEN);
  progress.offset = 5;
  apply(&table, submission_record());
  apply(&table, progress);
  CHECK(apply(&table, progress_record(wire::COMPLETE)).kind ==
        change_kind::progressed);
  CHECK(state_of(*find(table, kJob)) == state::complete);
}

TEST_CASE("an ended job is known by its progress record alone") {
  table table;
  apply(&table, submission_record());
  apply(&table, progress_record(wire::COMPLETE));
  apply(&table, {submission_key(kJob), "", 0});
  REQUIRE(find(table, kJob) != nullptr);
  CHECK(state_of(*find(table, kJob)) == state::complete);
  apply(&table, {progress_key(kJob), "", 0});
  CHECK(find(table, kJob) == nullptr);
}

TEST_CASE("a repeated submission changes nothing") {
  table table;
  apply(&table, submission_record());
  apply(&table, progress_record(wire::OPEN));
  CHECK(apply(&table, submission_record()).kind == change_kind::none);
  CHECK(state_of(*find(table, kJob)) == state::running);
}

// Guards against a job that changes hands: an append by a daemon that doesn't
// know the job may follow its end.
TEST_CASE("a repeated submission doesn't change the tenant of a job") {
  auto with_tenant = [](const std::string& tenant) {
    wire::job_submission job;
    job.set_tenant(tenant);
    return record{submission_key(kJob), job.SerializeAsString(), 0};
  };
  table table;
  apply(&table, with_tenant("a"));
  CHECK(names_other_tenant(table, with_tenant("b")));
  CHECK_FALSE(names_other_tenant(table, with_tenant("a")));
  apply(&table, with_tenant("b"));
  CHECK(tenant_of(*find(table, kJob)) == "a");
  wire::job_progress ended;
  ended.set_outcome(wire::COMPLETE);
  ended.set_tenant("a");
  apply(&table, {progress_key(kJob), ended.SerializeAsString(), 1});
  apply(&table, {submission_key(kJob), "", 2});
  CHECK(tenant_of(*find(table, kJob)) == "a");
  apply(&table, with_tenant("b"));
  CHECK(tenant_of(*find(table, kJob)) == "a");
}

TEST_CASE("jobs without a record in a load are removed") {
  table table;
  record submission = submission_record();
  submission.offset = 3;
  apply(&table, submission);
  std::vector<record> newest = {{kOwnerKey, "", 4}, submission};
  remove_missing(&table, newest, 5);
  CHECK(find(table, kJob) != nullptr);
  // An append of this daemon that was applied during the load.
  remove_missing(&table, {}, 3);
  CHECK(find(table, kJob) != nullptr);
  remove_missing(&table, {}, 5);
  CHECK(find(table, kJob) == nullptr);
  CHECK(table.jobs.empty());
  CHECK(not_started(table, "q") == 0);
}

TEST_CASE("unreadable records are counted") {
  table table;
  apply(&table, {"", "x", 0});
  apply(&table, {"s" + std::string(kJob), "\xff\xff", 0});
  CHECK(table.unreadable_records == 2);
  CHECK(find(table, kJob) == nullptr);
}

// A daemon may read the records in any order, and the claim of an earlier
// version or a deleted job must not set the pool time back.
TEST_CASE("the pool time is the highest that was read") {
  table table;
  wire::pool_time written;
  written.set_elapsed_ms(5000);
  apply(&table, {kPoolTimeKey, written.SerializeAsString(), 1});
  CHECK(table.pool_time == std::chrono::milliseconds(5000));
  CHECK(table.owner_records == 1);
  wire::job_progress ended;
  ended.set_outcome(wire::COMPLETE);
  ended.set_ended_pool_time_ms(6000);
  apply(&table, {progress_key(kJob), ended.SerializeAsString(), 2});
  apply(&table, {progress_key(kJob), "", 3});
  apply(&table, {kPoolTimeKey, written.SerializeAsString(), 1});
  CHECK(table.pool_time == std::chrono::milliseconds(6000));
  apply(&table, {kPoolTimeKey, "\xff", 4});
  CHECK(table.unreadable_records == 1);
}

record ownership(std::uint64_t epoch, bool released, std::uint64_t offset) {
  wire::ownership_record owner;
  owner.set_epoch(epoch);
  owner.set_released(released);
  if (released) owner.add_leases()->set_worker("w1");
  return {kOwnerKey, owner.SerializeAsString(), offset};
}

TEST_CASE("a claim that follows a release directly knows its leases") {
  table table;
  apply(&table, ownership(1, true, 10));
  apply(&table, ownership(2, false, 11));
  CHECK(table.released_leases.size() == 1);
  apply(&table, ownership(2, false, 12));
  CHECK(table.released_leases.size() == 1);
  apply(&table, ownership(3, false, 13));
  CHECK(table.released_leases.empty());
}

// A load has the newest claim only. The owner of one that it lacks may have
// granted longer leases than were released before it.
TEST_CASE("a claim that a load may lack is not taken for none") {
  table table;
  apply(&table, ownership(1, true, 10));
  std::vector<record> newest = {ownership(3, false, 20)};
  remove_missing(&table, newest, 21);
  for (const record& each : newest) apply(&table, each);
  CHECK(table.released_leases.empty());
}

record silent_worker_record(std::int64_t ends, std::uint64_t offset) {
  wire::silent_worker silent;
  silent.set_incarnation_ms(1);
  silent.set_lease_ends_pool_ms(ends);
  return {silent_worker_key("w1"), silent.SerializeAsString(), offset};
}

// Guards against leases that are told by a record that has been replaced.
TEST_CASE("records of silent workers may be applied again") {
  table table;
  apply(&table, silent_worker_record(2000, 12));
  apply(&table, silent_worker_record(1000, 10));
  CHECK(table.silent_workers.at("w1").record.lease_ends_pool_ms() == 2000);
  apply(&table, {silent_worker_key("w1"), "", 11});
  CHECK(table.silent_workers.size() == 1);
  apply(&table, {silent_worker_key("w1"), "", 13});
  CHECK(table.silent_workers.empty());
}

TEST_CASE("records of silent workers that a load lacks are removed") {
  table table;
  apply(&table, silent_worker_record(2000, 12));
  remove_missing(&table, {silent_worker_record(2000, 12)}, 13);
  CHECK(table.silent_workers.size() == 1);
  // Written while the records were loaded.
  remove_missing(&table, {}, 12);
  CHECK(table.silent_workers.size() == 1);
  remove_missing(&table, {}, 13);
  CHECK(table.silent_workers.empty());
}

}  // namespace

}  // namespace ebonygrade::jobs
