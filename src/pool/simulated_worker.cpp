#include "pool/simulated_worker.h"

#include <algorithm>

namespace ebonygrade::pool {

namespace {

// A smaller capacity counts this long after it was set: an entry is written
// every 1.5 s, and it may take 3 s until its owner can have read it.
constexpr milliseconds kResizeNotice{4500};
// A deadly task may be started this often after so many crashes under it.
constexpr std::uint32_t kCrashesAllowed = 3;
constexpr std::uint32_t kStartsAfterCrashes = 2;
constexpr std::uint32_t kCrashesToGiveUp = 2;

std::string name_of(const task_key& task, std::uint32_t run) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index) +
         " run " + std::to_string(run);
}

}  // namespace

// ---- Ledger -----------------------------------------------------------------

void ledger::add_job(const std::string& id, const wire::job_submission& job,
                     std::uint32_t attempts) {
  jobs_[id] = {job, attempts};
}

std::uint32_t ledger::occurrences(const std::string& id) const {
  return std::max<std::uint32_t>(1, jobs_.at(id).submission.repeats());
}

bool ledger::step_done(const std::string& id, std::uint32_t occurrence,
                       std::uint32_t step) const {
  const wire::step_definition& definition =
      jobs_.at(id).submission.steps(static_cast<int>(step));
  for (std::uint32_t i = 0; i < definition.count(); ++i) {
    if (!is_done({id, occurrence, step, i})) return false;
  }
  return true;
}

bool ledger::job_done(const std::string& id) const {
  const known_job& job = jobs_.at(id);
  for (std::uint32_t occurrence = 0; occurrence < occurrences(id);
       ++occurrence) {
    for (int i = 0; i < job.submission.steps_size(); ++i) {
      std::uint32_t step = static_cast<std::uint32_t>(i);
      if (!step_done(id, occurrence, step)) return false;
    }
  }
  return true;
}

bool ledger::job_acknowledged(const std::string& id) const {
  const wire::job_submission& job = jobs_.at(id).submission;
  std::size_t tasks = 0;
  for (const wire::step_definition& step : job.steps()) tasks += step.count();
  std::ptrdiff_t acknowledged =
      std::count_if(done_acknowledged_.begin(), done_acknowledged_.end(),
                    [&](const task_key& each) { return each.job == id; });
  return acknowledged == static_cast<std::ptrdiff_t>(tasks * occurrences(id));
}

// Only failures that are acknowledged, at that time or later, count as
// attempts.
void ledger::check_attempts(const task_key& task, std::uint32_t attempts) {
  const std::set<std::uint32_t>& acknowledged = failed_acknowledged_[task];
  for (const std::set<std::uint32_t>& before : before_starts_[task]) {
    std::ptrdiff_t used = std::count_if(
        before.begin(), before.end(),
        [&](std::uint32_t run) { return acknowledged.count(run) > 0; });
    if (used >= static_cast<std::ptrdiff_t>(attempts)) {
      report_violation("started after the last attempt: " +
                       name_of(task, *before.rbegin()));
      return;
    }
  }
}

bool ledger::has_deadly_task(const std::string& job) const {
  return std::any_of(deadly_.begin(), deadly_.end(),
                     [&](const task_key& each) { return each.job == job; });
}

std::uint32_t ledger::crashes(const task_key& task) const {
  std::map<task_key, std::uint32_t>::const_iterator found = crashes_.find(task);
  return found == crashes_.end() ? 0 : found->second;
}

bool ledger::may_be_given_up(const std::string& job) const {
  const known_job& known = jobs_.at(job);
  // A gang fails as a whole.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::uint32_t>>
      failed_gangs;  // By occurrence and step.
  for (const std::pair<const task_key, std::set<std::uint32_t>>& each :
       failed_) {
    if (each.first.job != job) continue;
    if (each.second.size() >= known.attempts) return true;
    std::uint32_t step = each.first.step;
    if (!known.submission.steps(static_cast<int>(step)).gang()) continue;
    std::set<std::uint32_t>& runs = failed_gangs[{each.first.occurrence, step}];
    runs.insert(each.second.begin(), each.second.end());
    if (runs.size() >= known.attempts) return true;
  }
  for (const std::pair<const task_key, std::uint32_t>& each : crashes_) {
    if (each.first.job == job && each.second >= kCrashesToGiveUp) return true;
  }
  return false;
}

void ledger::check_crashes(const task_key& task, std::uint32_t run) {
  if (!is_deadly(task) || crashes(task) < kCrashesAllowed) return;
  if (++starts_after_crashes_[task] <= kStartsAfterCrashes) return;
  report_violation("started too often after three crashes: " +
                   name_of(task, run));
}

void ledger::record_start(const std::string& worker, const task_key& task,
                          std::uint32_t run) {
  ++starts_;
  last_start_ = task;
  started_jobs_.insert(task.job);
  std::set<std::pair<std::string, std::uint32_t>>& alive = alive_[task];
  if (!alive.empty()) {
    report_violation("two active runs: " + name_of(task, run) + " on " +
                     worker + ", already active on " + alive.begin()->first);
  }
  if (done_acknowledged_.count(task) > 0) {
    report_violation("started after completion: " + name_of(task, run));
  }
  for (std::uint32_t done : done_[task]) started_after_.insert({task, done});
  std::map<std::string, known_job>::const_iterator job = jobs_.find(task.job);
  if (job == jobs_.end())
    return report_violation("unknown job: " + name_of(task, run));
  const wire::step_definition& step =
      job->second.submission.steps(static_cast<int>(task.step));
  for (std::uint32_t earlier : step.after()) {
    if (!step_done(task.job, task.occurrence, earlier))
      report_violation("started before its dependencies: " +
                       name_of(task, run));
  }
  before_starts_[task].push_back(failed_[task]);
  check_attempts(task, job->second.attempts);
  check_crashes(task, run);
  alive.insert({worker, run});
}

void ledger::record_acknowledged(const reported_end& end, bool lapsed) {
  if (end.kind == end_kind::failed && !lapsed) {
    failed_acknowledged_[end.task].insert(end.run);
    check_attempts(end.task, jobs_.at(end.task.job).attempts);
  }
  if (end.kind != end_kind::done) return;
  if (!lapsed && started_after_.count({end.task, end.run}) > 0) {
    report_violation("started again after an acknowledged completion: " +
                     name_of(end.task, end.run));
  }
  done_acknowledged_.insert(end.task);
}

void ledger::record_end(const std::string& worker, const task_key& task,
                        std::uint32_t run, end_kind kind) {
  alive_[task].erase({worker, run});
  if (kind == end_kind::done) done_[task].insert(run);
  if (kind == end_kind::failed) failed_[task].insert(run);
}

// ---- Gangs ------------------------------------------------------------------

gang_registry::name gang_registry::name_of(const task_key& task,
                                           std::uint32_t run) {
  return {task.job, task.occurrence, task.step, run};
}

void gang_registry::join(simulated_worker* worker, const task_key& task,
                         std::uint32_t run, std::uint32_t count,
                         steady_time now, milliseconds work) {
  gang& joined = gangs_[name_of(task, run)];
  joined.count = count;
  joined.members[task] = worker;
  if (joined.members.size() == count && joined.ends_at == steady_time::max()) {
    joined.ends_at = now + work;
  }
}

void gang_registry::leave(simulated_worker* worker, const task_key& task,
                          std::uint32_t run) {
  gang& target = gangs_[name_of(task, run)];
  std::map<task_key, simulated_worker*>::iterator found =
      target.members.find(task);
  if (found != target.members.end() && found->second == worker) {
    target.members.erase(found);
    // The work begins anew if a member joins the same run again.
    target.ends_at = steady_time::max();
  }
}

steady_time gang_registry::ends_at(const task_key& task,
                                   std::uint32_t run) const {
  std::map<name, gang>::const_iterator found = gangs_.find(name_of(task, run));
  return found == gangs_.end() ? steady_time::max() : found->second.ends_at;
}

std::vector<std::pair<simulated_worker*, task_key>> gang_registry::others(
    const task_key& task, std::uint32_t run) const {
  std::vector<std::pair<simulated_worker*, task_key>> found;
  std::map<name, gang>::const_iterator gang = gangs_.find(name_of(task, run));
  if (gang == gangs_.end()) return found;
  for (const std::pair<const task_key, simulated_worker*>& each :
       gang->second.members) {
    if (each.first != task) found.emplace_back(each.second, each.first);
  }
  return found;
}

// ---- Worker -----------------------------------------------------------------

simulated_worker::simulated_worker(std::string id, resources capacity,
                                   behaviour behaviour, ledger* ledger,
                                   gang_registry* gangs, std::uint64_t seed)
    : id_(std::move(id)),
      capacities_({{steady_time(), capacity}}),
      behaviour_(behaviour),
      ledger_(ledger),
      gangs_(gangs),
      random_(static_cast<std::mt19937::result_type>(seed)) {}

worker_entry simulated_worker::entry() const {
  worker_entry entry;
  entry.id = id_;
  entry.service = "service-a";
  entry.address = "127.0.0.1:1";
  entry.capacity = capacity();
  entry.incarnation_ms = incarnation_ms_;
  entry.revision = capacities_.size();
  entry.draining = draining_;
  return entry;
}

worker_time simulated_worker::clock(steady_time now) const {
  milliseconds lived = std::chrono::duration_cast<milliseconds>(now - born_);
  return worker_time(static_cast<std::int64_t>(
      static_cast<double>(lived.count()) * behaviour_.clock_rate));
}

std::uint32_t simulated_worker::percent(const task_key& task,
                                        const active_run& run,
                                        steady_time now) const {
  if (!behaviour_.reports_progress) return 50;
  // The work of a gang begins late.
  steady_time ends_at = run.gang ? gangs_->ends_at(task, run.run) : run.ends_at;
  if (ends_at == steady_time::max()) return 0;
  milliseconds work = behaviour_.task_time;
  if (!run.gang) {
    work = std::chrono::duration_cast<milliseconds>(run.ends_at - run.began);
  }
  milliseconds left = std::chrono::duration_cast<milliseconds>(ends_at - now);
  std::int64_t done = 100 - left * 100 / std::max(work, milliseconds(1));
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(done, 0, 100));
}

end_kind simulated_worker::outcome() {
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(random_) < behaviour_.failure_rate ? end_kind::failed
                                                 : end_kind::done;
}

void simulated_worker::end(const task_key& task, end_kind kind) {
  active_run ended = runs_.at(task);
  runs_.erase(task);
  closed_runs_[task] = std::max(closed_runs_[task], ended.run);
  ends_.push_back({next_end_++, task, ended.run, kind, {}});
  ledger_->record_end(id_, task, ended.run, kind);
  if (ends_.back().number <= acked_end_) {
    // The lease can't have lapsed since.
    ledger_->record_acknowledged(ends_.back(), false);
    ends_.pop_back();
  }
  if (!ended.gang) return;
  gangs_->leave(this, task, ended.run);
  end_kind for_others =
      kind == end_kind::done ? end_kind::done : end_kind::broken;
  for (const std::pair<simulated_worker*, task_key>& each :
       gangs_->others(task, ended.run)) {
    each.first->end_member(each.second, ended.run, for_others);
  }
}

void simulated_worker::end_member(const task_key& task, std::uint32_t run,
                                  end_kind kind) {
  std::map<task_key, active_run>::iterator found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run) end(task, kind);
}

bool simulated_worker::due(const task_key& task, const active_run& run,
                           steady_time now) const {
  if (run.stopping || !run.gang) return run.ends_at <= now;
  return gangs_->ends_at(task, run.run) <= now;
}

std::vector<std::pair<task_key, std::uint32_t>> simulated_worker::active_runs()
    const {
  std::vector<std::pair<task_key, std::uint32_t>> names;
  for (const std::pair<const task_key, active_run>& each : runs_) {
    names.emplace_back(each.first, each.second.run);
  }
  return names;
}

std::vector<task_key> simulated_worker::gang_members() const {
  std::vector<task_key> members;
  for (const std::pair<const task_key, active_run>& each : runs_) {
    if (each.second.gang) members.push_back(each.first);
  }
  return members;
}

std::vector<std::pair<task_key, resources>> simulated_worker::needs_of_runs()
    const {
  std::vector<std::pair<task_key, resources>> needs;
  for (const std::pair<const task_key, active_run>& each : runs_) {
    needs.emplace_back(each.first, each.second.need);
  }
  return needs;
}

resources simulated_worker::counted_capacity(steady_time now) const {
  resources most = capacity();
  for (std::size_t i = 1; i < capacities_.size(); ++i) {
    if (now - capacities_[i].first > kResizeNotice) continue;
    const resources& former = capacities_[i - 1].second;
    most.cpu_milli = std::max(most.cpu_milli, former.cpu_milli);
    most.memory_mb = std::max(most.memory_mb, former.memory_mb);
    most.gpus = std::max(most.gpus, former.gpus);
  }
  return most;
}

void simulated_worker::resize(resources capacity, steady_time now) {
  capacities_.emplace_back(now, capacity);
}

void simulated_worker::tick(steady_time now) {
  for (const std::pair<const task_key, active_run>& each : runs_) {
    if (each.second.crashes_at <= now) return crash(now, behaviour_.down_time);
  }
  bool lease_expired = clock(now) > lease_;
  for (const std::pair<task_key, std::uint32_t>& each : active_runs()) {
    std::map<task_key, active_run>::iterator found = runs_.find(each.first);
    // Another member of the gang may have ended the run in this loop.
    if (found == runs_.end()) continue;
    const active_run& run = found->second;
    bool gang_timed_out =
        run.gang &&
        gangs_->ends_at(each.first, run.run) == steady_time::max() &&
        now - run.began > behaviour_.gang_wait;
    if (due(each.first, run, now)) {
      end(each.first, run.stopping ? end_kind::stopped : outcome());
    } else if (lease_expired) {
      end(each.first, end_kind::lapsed);
    } else if (gang_timed_out) {
      end(each.first, end_kind::alone);
    }
  }
  if (lease_expired) lapsed_end_ = next_end_ - 1;
}

void simulated_worker::crash(steady_time now, milliseconds down) {
  for (const std::pair<const task_key, active_run>& each : runs_) {
    ledger_->record_crash(each.first);
  }
  restart(now + down);
}

void simulated_worker::leave(steady_time now) {
  tick(now);
  restart(steady_time::max());
}

void simulated_worker::restart(steady_time born) {
  for (const std::pair<const task_key, active_run>& each : runs_) {
    ledger_->record_end(id_, each.first, each.second.run, end_kind::stopped);
  }
  std::map<task_key, active_run> ended = std::exchange(runs_, {});
  for (const std::pair<const task_key, active_run>& each : ended) {
    if (!each.second.gang) continue;
    gangs_->leave(this, each.first, each.second.run);
    for (const std::pair<simulated_worker*, task_key>& other :
         gangs_->others(each.first, each.second.run)) {
      other.first->end_member(other.second, each.second.run, end_kind::broken);
    }
  }
  runs_.clear();
  closed_runs_.clear();
  ends_.clear();
  next_end_ = 1;
  lapsed_end_ = 0;
  acked_end_ = 0;
  fence_ = 0;
  polled_token_ = 0;
  lease_ = worker_time(0);
  born_ = born;
  draining_ = false;
  ++incarnation_ms_;
}

bool simulated_worker::accept_fence(std::uint64_t fence) {
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

void simulated_worker::extend_lease(worker_time until, steady_time now) {
  until = std::min(until, clock(now) + behaviour_.longest_lease);
  lease_ = std::max(lease_, until);
}

start_outcome simulated_worker::start(const start_order& order,
                                      std::uint64_t fence, steady_time now) {
  tick(now);
  if (!accept_fence(fence)) return start_outcome::fenced;
  std::map<task_key, active_run>::iterator found = runs_.find(order.task);
  if (found != runs_.end() && found->second.run == order.run) {
    return start_outcome::running;
  }
  extend_lease(order.until, now);
  std::map<task_key, std::uint32_t>::const_iterator closed =
      closed_runs_.find(order.task);
  if (closed != closed_runs_.end() && order.run <= closed->second) {
    return start_outcome::ended;
  }
  if (order.until <= clock(now)) return start_outcome::lease_expired;
  if (found != runs_.end()) {
    ledger_->report_violation("two runs of one task on " + id_);
    return start_outcome::ended;
  }
  const wire::step_definition& step =
      order.job->steps(static_cast<int>(order.task.step));
  active_run result;
  result.run = order.run;
  result.need = {step.cpu_milli(), step.memory_mb(), step.gpus()};
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  result.ends_at =
      now +
      milliseconds(static_cast<std::int64_t>(
          spread(random_) * static_cast<double>(behaviour_.task_time.count())));
  resources used = result.need;
  for (const std::pair<const task_key, active_run>& each : runs_) {
    used = used + each.second.need;
  }
  if (!fits(used, counted_capacity(now))) {
    ledger_->report_violation(
        "over capacity: " + name_of(order.task, order.run) + " on " + id_);
  }
  result.gang = step.gang();
  result.began = now;
  if (ledger_->is_deadly(order.task)) {
    result.crashes_at = now + behaviour_.crash_after;
  }
  if (result.gang) {
    gangs_->join(this, order.task, order.run, step.count(), now,
                 behaviour_.task_time);
  }
  runs_[order.task] = result;
  ledger_->record_start(id_, order.task, order.run);
  return start_outcome::running;
}

bool simulated_worker::stop(const task_key& task, std::uint32_t run,
                            std::uint64_t fence, steady_time now) {
  tick(now);
  if (!accept_fence(fence)) return false;
  closed_runs_[task] = std::max(closed_runs_[task], run);
  std::map<task_key, active_run>::iterator found = runs_.find(task);
  if (found != runs_.end() && found->second.run <= run &&
      !found->second.stopping) {
    found->second.stopping = true;
    found->second.ends_at =
        std::min(found->second.ends_at, now + behaviour_.stop_time);
  }
  return true;
}

bool simulated_worker::poll(std::uint64_t fence, std::uint64_t acked,
                            worker_time until, steady_time now,
                            worker_report* out) {
  tick(now);
  if (!accept_fence(fence)) return false;
  polled_token_ = fence;
  extend_lease(until, now);
  acked_end_ = std::max(acked_end_, acked);
  std::erase_if(ends_, [&](const reported_end& end) {
    if (end.number > acked_end_) return false;
    ledger_->record_acknowledged(end, end.number <= lapsed_end_);
    return true;
  });
  out->clock = clock(now);
  out->incarnation_ms = incarnation_ms_;
  for (const std::pair<const task_key, active_run>& each : runs_) {
    out->running.push_back({each.first,
                            each.second.run,
                            {},
                            percent(each.first, each.second, now)});
  }
  std::size_t listed = std::min(ends_.size(), behaviour_.ends_per_report);
  out->ended.assign(ends_.begin(),
                    ends_.begin() + static_cast<std::ptrdiff_t>(listed));
  out->has_all_ends = listed < behaviour_.ends_per_report;
  return true;
}

}  // namespace ebonygrade::pool
