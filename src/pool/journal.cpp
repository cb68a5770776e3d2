// Journal records of the owner's decisions and of the progress of jobs.
#include <algorithm>
#include <utility>

#include "pool/pool_pvt.h"
#include "pool/recorded_leases.h"

namespace ebonygrade::pool {

namespace {

// Ended jobs are deleted from the journal this long after callers can no longer
// query them.
constexpr milliseconds kRetentionMargin{10000};
// Time between records of the pool time. A change of owner loses up to this.
constexpr milliseconds kPoolTimeInterval{2000};

// As many as are written in a second.
constexpr std::size_t kMaxPendingForgotten = 50;

bool has_progress(const task& task) { return task.last_run > 0 && !task.done; }

void append_step(const step_state& step, wire::job_progress* out) {
  wire::step_progress written;
  written.set_occurrence(step.occurrence);
  written.set_step(step.step);
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const task& task = step.tasks[i];
    if (task.done) written.add_done(i);
    if (!has_progress(task)) continue;
    wire::task_progress* saved = written.add_tasks();
    saved->set_index(i);
    saved->set_last_run(task.last_run);
    for (std::uint32_t run : task.failed_runs) saved->add_failed_runs(run);
    for (std::uint32_t run : task.crashed_runs) saved->add_crashed_runs(run);
    for (std::uint32_t run : task.vanished_runs) saved->add_vanished_runs(run);
    for (std::uint32_t run : task.doubtful_runs) saved->add_doubtful_runs(run);
    saved->set_suspected(task.suspected);
    saved->set_checkpoint(task.checkpoint);
    saved->set_worker(task.worker);
    if (task.placed) saved->set_incarnation_ms(task.incarnation_ms);
  }
  if (written.done_size() + written.tasks_size() == 0) return;
  *out->add_steps() = std::move(written);
}

std::string serialize_progress(const job& job, milliseconds ended) {
  wire::job_progress out;
  out.set_outcome(job.outcome);
  out.set_started(job.started);
  out.set_tenant(job.submission->tenant());
  out.set_occurrences_done(job.occurrences_done);
  if (job.outcome != wire::OPEN) out.set_ended_pool_time_ms(ended.count());
  for (const std::pair<const std::uint32_t, std::vector<step_state>>& each :
       job.occurrences) {
    for (const step_state& step : each.second) append_step(step, &out);
  }
  return out.SerializeAsString();
}

// Requires that the job is still in the pool if it was.
void record_forgotten(pool_state* pool, const std::string& id,
                      milliseconds age) {
  ++pool->counters.forgotten_jobs;
  if (pool->forgotten_jobs.size() >= kMaxPendingForgotten) return;
  const job* job = find_job(pool, id);
  std::string outcome;
  if (job != nullptr) outcome = wire::job_outcome_Name(job->outcome);
  pool->forgotten_jobs.push_back({id, outcome, age});
}

void drop_expired_jobs(pool_state* pool, journal_batch* batch,
                       milliseconds time) {
  for (std::unordered_map<std::string, milliseconds>::iterator each =
           pool->ended_jobs.begin();
       each != pool->ended_jobs.end();) {
    if (time - each->second < pool->limits.status_time + kRetentionMargin) {
      ++each;
      continue;
    }
    const job* job = find_job(pool, each->first);
    // A new job of the same id would start its tasks beside runs that are left.
    if (job != nullptr && !job->workers.empty()) {
      ++each;
      continue;
    }
    batch->records.push_back({jobs::progress_key(each->first), {}, 0});
    // Repeated requests may have been recorded after the end.
    batch->records.push_back({jobs::cancellation_key(each->first), {}, 0});
    batch->records.push_back({jobs::submission_key(each->first), {}, 0});
    record_forgotten(pool, each->first, time - each->second);
    pool->jobs.erase(each->first);
    each = pool->ended_jobs.erase(each);
  }
}

// Appends the pool time from time to time, so that a later owner continues it.
void append_pool_time(pool_state* pool, journal_batch* batch,
                      milliseconds time) {
  if (time - pool->time.written < kPoolTimeInterval) return;
  wire::pool_time written;
  written.set_elapsed_ms(time.count());
  batch->records.push_back(
      {jobs::kPoolTimeKey, written.SerializeAsString(), 0});
  pool->time.written = time;
}

// Of a copy that is complete as of `current_as_of`; 0 before the first read.
milliseconds age_of(steady_time current_as_of, steady_time now) {
  if (current_as_of == steady_time()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - current_as_of);
}

}  // namespace

void continue_pool_time(pool_state* pool, milliseconds known, steady_time now) {
  pool->time = {known, now, known};
}

milliseconds pool_time(const pool_state& pool, steady_time now) {
  return pool.time.base +
         std::chrono::duration_cast<milliseconds>(now - pool.time.base_at);
}

void observe_journal_write(pool_state* pool, steady_time sent) {
  pool->last_journal_write = std::max(pool->last_journal_write, sent);
}

void observe_journal_read(pool_state* pool, steady_time current_as_of) {
  pool->journal_current_as_of = current_as_of;
}

milliseconds journal_age(const pool_state& pool, steady_time now) {
  return age_of(pool.journal_current_as_of, now);
}

void observe_directory_read(pool_state* pool, steady_time current_as_of) {
  pool->directory_current_as_of = current_as_of;
}

milliseconds directory_age(const pool_state& pool, steady_time now) {
  return age_of(pool.directory_current_as_of, now);
}

bool is_outdated(const pool_state& pool, steady_time now) {
  return journal_age(pool, now) > journal_age_limit(pool.limits) ||
         directory_age(pool, now) > directory_age_limit(pool.limits);
}

bool is_isolated(const pool_state& pool, steady_time now) {
  return now - pool.last_journal_write > isolation_limit(pool.limits);
}

journal_batch take_batch(pool_state* pool, steady_time now) {
  journal_batch batch;
  milliseconds time = pool_time(*pool, now);
  for (const std::string& id : pool->changed_jobs) {
    const job* job = find_job(pool, id);
    if (job == nullptr) continue;
    milliseconds ended{0};
    if (job->outcome != wire::OPEN) {
      std::pair<std::unordered_map<std::string, milliseconds>::iterator, bool>
          added = pool->ended_jobs.try_emplace(id, time);
      ended = added.first->second;
      if (added.second) batch.ended_jobs.push_back(id);
    }
    batch.records.push_back(
        {jobs::progress_key(id), serialize_progress(*job, ended), 0});
    if (job->outcome == wire::OPEN) continue;
    // Every daemon reads the newest record of each key at its start, and
    // submissions are by far the largest, so they are deleted at the end of the
    // job. While runs are being stopped, a later owner still needs the
    // submission to know their resources.
    if (!job->workers.empty()) continue;
    batch.records.push_back({jobs::submission_key(id), {}, 0});
    if (job->outcome == wire::CANCELLED) {
      batch.records.push_back({jobs::cancellation_key(id), {}, 0});
    }
  }
  pool->changed_jobs.clear();
  drop_expired_jobs(pool, &batch, time);
  append_pool_time(pool, &batch, time);
  append_leases(pool, &batch, now);
  batch.starts = std::exchange(pool->unrecorded_starts, {});
  for (const std::pair<const std::string, worker>& each : pool->workers) {
    if (each.second.last_end > each.second.acked_end) {
      batch.ends_to_acknowledge.push_back(
          {each.first, each.second.entry.incarnation_ms, each.second.last_end});
    }
  }
  return batch;
}

}  // namespace ebonygrade::pool
