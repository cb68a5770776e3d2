// Runs random simulations of a cell with tenants. After every event, no start
// may have brought a tenant above its quota and the excess, by what runs at the
// workers.
#include <catch2/catch.hpp>
#include <string>

#include "pool/simulated_cell.h"
#include "pool/simulation_seeds.h"

namespace ebonygrade::pool {

namespace {

constexpr milliseconds kLimit{180000};
// Calls are delivered up to 12 s late.
constexpr milliseconds kLongestDelivery{15000};

tenant_options quotas(std::size_t tenants, std::int64_t cpu_milli) {
  tenant_options options;
  options.count = tenants;
  options.quota_cpu_milli = cpu_milli;
  // A gang of 4 cores still fits.
  options.lowered_cpu_milli = 4000;
  options.longest_delivery = kLongestDelivery;
  return options;
}

void check_cells(cell_options options) {
  std::size_t held_rounds = 0;
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
    held_rounds += cell.reached().held_rounds;
  }
  CHECK(held_rounds > 10 * seed_count());
}

std::size_t count_over_quota(cell_options options) {
  std::size_t found = 0;
  for (options.seed = 1; options.seed <= seed_count(); ++options.seed) {
    simulated_cell cell(options);
    cell.run(kLimit);
    for (const std::string& each : cell.run_ledger().violations()) {
      if (each.starts_with("over quota")) ++found;
    }
  }
  return found;
}

cell_options takeovers() {
  cell_options options;
  options.jobs = 24;
  options.failure_rate = 0.05;
  options.reply_loss = 0.05;
  options.late_delivery = 0.05;
  options.takeover_every = milliseconds(1200);
  options.surviving_owner = 0.5;
  options.tenants = quotas(2, 5000);
  return options;
}

cell_options mass_restarts() {
  cell_options options;
  options.workers = 8;
  options.jobs = 60;
  options.submit_every = milliseconds(1000);
  options.task_time = milliseconds(3000);
  options.reports_progress = true;
  options.slow_workers = true;
  options.faults_for = milliseconds(60000);
  options.crash_every = milliseconds(8000);
  options.crash_share = 0.35;
  options.late_delivery = 0.15;
  options.takeover_every = milliseconds(28000);
  options.surviving_owner = 0.5;
  options.tenants = quotas(3, 5000);
  return options;
}

cell_options suspensions() {
  cell_options options;
  options.workers = 8;
  options.jobs = 24;
  options.submit_every = milliseconds(3000);
  options.task_time = milliseconds(10000);
  options.reports_progress = true;
  options.slow_workers = true;
  options.faults_for = milliseconds(80000);
  options.lapse_every = milliseconds(15000);
  options.cut_workers = 0.5;
  options.pause = pause_kind::suspension;
  options.tenants = quotas(3, 5000);
  return options;
}

TEST_CASE("quotas are kept to through takeovers") { check_cells(takeovers()); }

TEST_CASE("quotas are kept to while workers restart together") {
  check_cells(mass_restarts());
}

TEST_CASE("quotas are kept to by owners that were suspended") {
  check_cells(suspensions());
}

TEST_CASE("quotas that are lowered and raised are kept to") {
  cell_options options;
  options.jobs = 60;
  options.submit_every = milliseconds(300);
  options.message_loss = 0.05;
  options.takeover_every = milliseconds(5000);
  options.faults_for = milliseconds(30000);
  options.tenants = quotas(2, 7000);
  options.tenants.change_every = milliseconds(4000);
  options.tenants.longest_delivery = milliseconds(2500);
  check_cells(options);
}

TEST_CASE("the simulation finds usage that a takeover forgets") {
  cell_options options = takeovers();
  options.tenants.fault = usage_fault::forgotten_at_takeover;
  CHECK(count_over_quota(options) > 0);
}

TEST_CASE("the simulation finds stops that don't count") {
  cell_options options = mass_restarts();
  options.tenants.fault = usage_fault::stops_not_counted;
  CHECK(count_over_quota(options) > 0);
}

TEST_CASE("the simulation finds gangs that count as one task") {
  cell_options options = takeovers();
  options.tenants.fault = usage_fault::gang_counts_as_task;
  CHECK(count_over_quota(options) > 0);
}

}  // namespace

}  // namespace ebonygrade::pool
