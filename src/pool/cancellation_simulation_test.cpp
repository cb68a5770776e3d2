// Cancellations in random simulations of a whole cell, checked against the runs
// at the workers.
#include <catch2/catch.hpp>
#include <string_view>

#include "pool/simulated_cell.h"
#include "pool/simulation_seeds.h"

namespace ebonygrade::pool {

namespace {

constexpr milliseconds kLimit{180000};

// More work than the workers can do at once, so that cancelled jobs have tasks
// at work and tasks that wait.
cell_options cancellations() {
  cell_options options;
  options.workers = 6;
  options.jobs = 100;
  options.submit_every = milliseconds(250);
  options.task_time = milliseconds(2500);
  options.faults_for = milliseconds(30000);
  options.cancellations.every = milliseconds(500);
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
    CHECK(cell.open_jobs().empty());
    CHECK(cell.wrongly_complete().empty());
    sum = sum + cell.reached();
  }
  INFO("cancellations " << sum.cancellations << " starts "
                        << sum.cancelled_starts << " runs "
                        << sum.cancelled_runs << " outdated rounds "
                        << sum.outdated_rounds);
  CHECK(sum.cancellations > 20 * seed_count());
  CHECK(sum.cancelled_runs > 20 * seed_count());
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

TEST_CASE("cancelled jobs stop without faults") {
  check_cells(cancellations());
}

TEST_CASE("cancelled jobs stop while orders are late and replies are lost") {
  cell_options options = cancellations();
  options.message_loss = 0.05;
  options.reply_loss = 0.1;
  options.late_delivery = 0.1;
  check_cells(options);
}

TEST_CASE("cancelled jobs stop while workers crash") {
  cell_options options = cancellations();
  options.crash_every = milliseconds(1500);
  options.reply_loss = 0.05;
  options.late_delivery = 0.05;
  check_cells(options);
}

TEST_CASE("cancelled jobs stop while workers restart together") {
  cell_options options = cancellations();
  options.workers = 8;
  options.crash_every = milliseconds(8000);
  options.crash_share = 0.35;
  options.late_delivery = 0.1;
  check_cells(options);
}

TEST_CASE("cancelled jobs stop through takeovers") {
  cell_options options = cancellations();
  options.takeover_every = milliseconds(2500);
  options.surviving_owner = 0.5;
  options.late_delivery = 0.05;
  options.reply_loss = 0.05;
  check_cells(options);
}

cell_options lagging_copies() {
  cell_options options = cancellations();
  options.cancellations.longest_lag = milliseconds(10000);
  return options;
}

// Guards against lost cancellations: owners started tasks of jobs whose one had
// been acknowledged and wasn't in their copy of the journal yet.
TEST_CASE("no task of a cancelled job starts while the owner's copy lags") {
  situations reached = check_cells(lagging_copies());
  CHECK(reached.outdated_rounds > 100 * seed_count());
}

TEST_CASE("copies that lag and takeovers start no task of a cancelled job") {
  cell_options options = lagging_copies();
  options.takeover_every = milliseconds(6000);
  options.surviving_owner = 0.5;
  options.late_delivery = 0.1;
  options.reply_loss = 0.05;
  check_cells(options);
}

TEST_CASE("the simulation finds owners that take their copy as current") {
  cell_options options = lagging_copies();
  options.cancellations.fault = cancellation_fault::copy_taken_as_current;
  CHECK(count_violations(options, "started after its cancellation") >
        seed_count());
}

TEST_CASE("the simulation finds cancellations that a takeover forgets") {
  cell_options options = cancellations();
  options.takeover_every = milliseconds(2500);
  options.cancellations.fault = cancellation_fault::forgotten_at_takeover;
  CHECK(count_violations(options, "cancelled, and recorded as COMPLETE") > 0);
}

TEST_CASE("the simulation finds stops that aren't sent") {
  cell_options options = cancellations();
  options.task_time = milliseconds(5000);
  options.cancellations.fault = cancellation_fault::stops_not_sent;
  CHECK(count_violations(options, "runs after its cancellation") >
        seed_count());
}

}  // namespace

}  // namespace ebonygrade::pool
