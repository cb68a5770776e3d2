#include "pool/simulated_cancellations.h"

#include <algorithm>
#include <utility>

namespace ebonygrade::pool {

namespace {

// The platform's shortest time in which a cancellation takes effect.
constexpr milliseconds kCancelTime{3000};
constexpr milliseconds kStopTime{100};
// A call that takes longer was held up by the network.
constexpr milliseconds kLongestDelivery{40};

std::string name_of(const task_key& task, std::uint32_t run) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index) +
         " run " + std::to_string(run);
}

std::string time_between(steady_time from, steady_time to) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(to - from).count()) +
         " ms";
}

}  // namespace

simulated_cancellations::simulated_cancellations(
    const cancellation_options& options, std::uint64_t seed)
    : options_(options),
      random_(static_cast<std::mt19937::result_type>(seed * 7919 + 17)) {}

milliseconds simulated_cancellations::draw(milliseconds low,
                                           milliseconds high) {
  std::uniform_int_distribution<std::int64_t> draw(low.count(), high.count());
  return milliseconds(draw(random_));
}

milliseconds simulated_cancellations::draw_interval() {
  return draw(options_.every / 2, options_.every * 3 / 2);
}

milliseconds simulated_cancellations::draw_lag() {
  return draw(milliseconds(0), options_.longest_lag);
}

std::string simulated_cancellations::choose(const jobs::table& table) {
  std::vector<std::string> open;
  for (const std::pair<const std::string, jobs::entry>& each : table.jobs) {
    if (each.second.progress.outcome() != wire::OPEN) continue;
    if (each.second.submission && jobs_.count(each.first) == 0) {
      open.push_back(each.first);
    }
  }
  if (open.empty()) return {};
  std::sort(open.begin(), open.end());
  milliseconds chosen =
      draw(milliseconds(0), milliseconds(std::ssize(open) - 1));
  return open[static_cast<std::size_t>(chosen.count())];
}

void simulated_cancellations::acknowledge(const std::string& job,
                                          steady_time now) {
  jobs_[job] = {order_.size(), now};
  order_.push_back(job);
}

bool simulated_cancellations::is_known(const std::string& job,
                                       std::size_t read) const {
  std::map<std::string, cancelled_job>::const_iterator found = jobs_.find(job);
  return found == jobs_.end() || found->second.number < read;
}

void simulated_cancellations::check_start(const std::string& worker,
                                          const task_key& task,
                                          std::uint32_t run, steady_time sent,
                                          steady_time now, ledger* ledger) {
  std::map<std::string, cancelled_job>::const_iterator found =
      jobs_.find(task.job);
  if (found == jobs_.end()) return;
  ++starts_after_;
  steady_time acknowledged = found->second.acknowledged;
  if (sent <= acknowledged) return;
  steady_time counted = now - sent > kLongestDelivery ? sent : now;
  if (counted - acknowledged <= kCancelTime) return;
  ledger->report_violation(
      "started after its cancellation: " + name_of(task, run) + " on " +
      worker + ", sent " + time_between(acknowledged, sent) + " and begun " +
      time_between(acknowledged, now) + " after the acknowledgement");
}

void simulated_cancellations::check_run(const std::string& worker,
                                        const task_key& task, std::uint32_t run,
                                        bool excused, steady_time now,
                                        ledger* ledger) {
  std::map<std::string, cancelled_job>::const_iterator found =
      jobs_.find(task.job);
  if (found == jobs_.end()) return;
  std::pair<std::map<run_key, active_run>::iterator, bool> added =
      active_.try_emplace({worker, task, run}, active_run{now});
  if (added.second) ++runs_after_;
  active_run& active = added.first->second;
  active.checked = checks_;
  if (excused) active.since = now;
  if (active.reported || now - active.since <= kCancelTime + kStopTime) return;
  active.reported = true;
  ledger->report_violation(
      "runs after its cancellation: " + name_of(task, run) + " on " + worker +
      ", " + time_between(found->second.acknowledged, now) +
      " after the acknowledgement");
}

void simulated_cancellations::finish_checks() {
  std::erase_if(active_,
                [this](const std::pair<const run_key, active_run>& each) {
                  return each.second.checked != checks_;
                });
  ++checks_;
}

void simulated_cancellations::excuse(const std::string& worker,
                                     const task_key& task, std::uint32_t run,
                                     steady_time now) {
  std::map<run_key, active_run>::iterator found =
      active_.find({worker, task, run});
  if (found != active_.end()) found->second.since = now;
}

void simulated_cancellations::check_outcomes(const jobs::table& table,
                                             ledger* ledger) const {
  for (const std::string& id : order_) {
    const jobs::entry* job = jobs::find(table, id);
    if (job == nullptr) {
      ledger->report_violation("cancelled, and not in the journal: " + id);
      continue;
    }
    wire::job_outcome outcome = job->progress.outcome();
    if (outcome == wire::CANCELLED || ended_before_.count(id) > 0) continue;
    ledger->report_violation("cancelled, and recorded as " +
                             wire::job_outcome_Name(outcome) + ": " + id);
  }
}

}  // namespace ebonygrade::pool
