// Workers that leave in random simulations of a whole cell, beside workers that
// only look as if they had left.
#include <catch2/catch.hpp>
#include <string_view>

#include "pool/simulated_cell.h"
#include "pool/simulation_seeds.h"

namespace ebonygrade::pool {

namespace {

constexpr milliseconds kLimit{180000};
// What could run starts within this time.
constexpr milliseconds kRestartTarget{3000};

cell_options departures() {
  cell_options options;
  options.workers = 12;
  options.jobs = 60;
  options.submit_every = milliseconds(1000);
  options.task_time = milliseconds(8000);
  options.reports_progress = true;
  options.faults_for = milliseconds(60000);
  options.departures.every = milliseconds(2000);
  return options;
}

// Fewer jobs, so that only workers that have left can hold up a gang.
cell_options departures_and_free_room() {
  cell_options options = departures();
  options.workers = 16;
  options.jobs = 30;
  options.submit_every = milliseconds(2000);
  return options;
}

// Workers that drain and are taken for others that have left, if an owner goes
// by less than all of what tells of it.
cell_options departures_and_cuts() {
  cell_options options = departures();
  options.slow_workers = true;
  options.departures.every = milliseconds(1500);
  options.departures.cut_share = 0.6;
  options.departures.return_share = 0.4;
  options.departures.reset_every = milliseconds(1500);
  return options;
}

cell_options departures_and_slow_reads() {
  cell_options options = departures_and_cuts();
  options.departures.slowest_read = milliseconds(4000);
  return options;
}

situations check_cells(cell_options options) {
  situations sum;
  for (options.seed = 1; options.seed <= seed_count(); ++options.seed) {
    simulated_cell cell(options);
    cell.run(kLimit);
    INFO("seed " << options.seed);
    for (const std::string& each : cell.run_ledger().violations()) {
      UNSCOPED_INFO(each);
    }
    CHECK(cell.run_ledger().violations().empty());
    for (const std::string& each : cell.open_jobs()) {
      UNSCOPED_INFO("open: " << each);
    }
    CHECK(cell.open_jobs().empty());
    CHECK(cell.wrongly_complete().empty());
    for (const std::string& each : cell.wrongly_failed()) {
      UNSCOPED_INFO("given up without cause: " << each);
    }
    CHECK(cell.wrongly_failed().empty());
    sum = sum + cell.reached();
  }
  INFO("departures " << sum.departures << " returns " << sum.returns
                     << " unread ends " << sum.unread_ends << " departed runs "
                     << sum.departed_runs << " active " << sum.departed_active
                     << " leases passed " << sum.leases_passed << " gangs "
                     << sum.departed_gangs << " longest wait "
                     << sum.longest_gang_wait.count());
  CHECK(sum.departures > 10 * seed_count());
  CHECK(sum.departed_runs > 2 * seed_count());
  CHECK(sum.departed_active == 0);
  CHECK(sum.unread_ends > 0);
  return sum;
}

// How many violations of all the seeds begin with `kind`.
std::size_t count_violations(cell_options options, std::string_view kind) {
  std::size_t found = 0;
  for (options.seed = 1; options.seed <= seed_count(); ++options.seed) {
    simulated_cell cell(options);
    cell.run(kLimit);
    for (const std::string& each : cell.run_ledger().violations()) {
      if (each.starts_with(kind)) ++found;
    }
  }
  return found;
}

situations run_cells(cell_options options) {
  situations sum;
  for (options.seed = 1; options.seed <= seed_count(); ++options.seed) {
    simulated_cell cell(options);
    cell.run(kLimit);
    sum = sum + cell.reached();
  }
  return sum;
}

// Guards against gangs that wait for the lease of a worker that has left.
TEST_CASE("no gang waits long for a worker that has left in order") {
  situations reached = check_cells(departures_and_free_room());
  CHECK(reached.departed_gangs > seed_count());
  CHECK(reached.longest_gang_wait < kRestartTarget);
}

TEST_CASE("the simulation finds gangs that wait for a lease") {
  cell_options options = departures_and_free_room();
  options.departures.fault = departure_fault::waits_for_lease;
  CHECK(run_cells(options).longest_gang_wait > kRestartTarget);
}

// Guards against a second run of a task whose worker only seems to have left.
TEST_CASE("draining workers that are cut off keep their runs") {
  situations reached = check_cells(departures_and_cuts());
  CHECK(reached.returns > seed_count());
  CHECK(reached.leases_passed > seed_count());
}

TEST_CASE("draining workers that are cut off keep their runs in slow reads") {
  check_cells(departures_and_slow_reads());
}

TEST_CASE("draining workers keep their runs in store outages") {
  cell_options options = departures_and_cuts();
  options.departures.outage_every = milliseconds(12000);
  check_cells(options);
}

TEST_CASE("draining workers keep their runs through takeovers") {
  cell_options options = departures_and_slow_reads();
  options.takeover_every = milliseconds(6000);
  options.surviving_owner = 0.5;
  check_cells(options);
}

TEST_CASE("draining workers keep their runs while orders are late") {
  cell_options options = departures_and_cuts();
  options.late_delivery = 0.1;
  options.message_loss = 0.05;
  options.reply_loss = 0.1;
  check_cells(options);
}

TEST_CASE("draining workers keep their runs while others crash") {
  cell_options options = departures_and_cuts();
  options.crash_every = milliseconds(3000);
  check_cells(options);
}

TEST_CASE("draining workers keep their runs under all faults together") {
  cell_options options = departures_and_slow_reads();
  options.departures.outage_every = milliseconds(15000);
  options.takeover_every = milliseconds(8000);
  options.surviving_owner = 0.5;
  options.late_delivery = 0.1;
  options.reply_loss = 0.05;
  check_cells(options);
}

TEST_CASE("draining workers keep their runs while owners are suspended") {
  cell_options options = departures_and_cuts();
  options.lapse_every = milliseconds(12000);
  options.cut_workers = 0.3;
  options.pause = pause_kind::suspension;
  situations reached = check_cells(options);
  CHECK(reached.woken_superseded > seed_count() / 2);
}

// Guards against an entry that another writer has spoilt and that is taken as
// removed by its worker.
TEST_CASE("draining workers whose entries can't be read keep their runs") {
  cell_options options = departures_and_cuts();
  options.departures.spoilt_every = milliseconds(1000);
  check_cells(options);
}

TEST_CASE("the simulation finds expired entries that are taken as removed") {
  cell_options options = departures_and_cuts();
  options.departures.fault = departure_fault::age_ignored;
  CHECK(run_cells(options).departed_active > 0);
}

TEST_CASE("the simulation finds starts by an old copy of the directory") {
  cell_options options = departures_and_slow_reads();
  options.departures.fault = departure_fault::copy_taken_as_current;
  CHECK(count_violations(options, "started on a draining worker") > 0);
}

}  // namespace

}  // namespace ebonygrade::pool
