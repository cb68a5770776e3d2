#include "jobs/job_table.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace ebonygrade::jobs {

namespace {

constexpr char kSubmission = 's';
constexpr char kCancellation = 'c';
constexpr char kProgress = 'p';
constexpr char kWave = 'w';
constexpr char kSilentWorker = 'l';

bool waits_for_start(const entry& job) {
  return job.submission && job.submission->repeats() == 0 &&
         !job.progress.started() && !job.cancelled &&
         job.progress.outcome() == wire::OPEN;
}

// An ended job is known without its submission.
bool is_known(const entry& job) {
  return job.submission || job.progress.outcome() != wire::OPEN;
}

// Updates the count of jobs that wait for a start when an entry changes.
class pending_count_guard {
 public:
  pending_count_guard(table* table, entry* job)
      : table_(table), job_(job), before_(waits_for_start(*job)) {}
  ~pending_count_guard() {
    bool after = waits_for_start(*job_);
    if (after == before_) return;
    table_->not_started[job_->submission->queue()] += after ? 1 : -1;
  }
  pending_count_guard(const pending_count_guard&) = delete;
  pending_count_guard& operator=(const pending_count_guard&) = delete;

 private:
  table* table_;
  entry* job_;
  bool before_;
};

bool apply_submission(table* table, entry* job, const std::string& value) {
  // A repeated submission of the same id is ignored.
  if (job->submission) return false;
  std::shared_ptr<wire::job_submission> parsed =
      std::make_shared<wire::job_submission>();
  if (!parsed->ParseFromString(value)) {
    ++table->unreadable_records;
    return false;
  }
  pending_count_guard count(table, job);
  job->submission = std::move(parsed);
  return true;
}

void observe_pool_time(table* table, std::int64_t elapsed_ms) {
  table->pool_time =
      std::max(table->pool_time, std::chrono::milliseconds(elapsed_ms));
}

bool apply_progress(table* table, entry* job, const record& record) {
  wire::job_progress parsed;
  if (!parsed.ParseFromString(record.value)) {
    ++table->unreadable_records;
    return false;
  }
  observe_pool_time(table, parsed.ended_pool_time_ms());
  // The end may be applied before earlier records of the job are read.
  bool was_open = job->progress.outcome() == wire::OPEN;
  bool is_open = parsed.outcome() == wire::OPEN;
  if (!was_open && is_open) return false;
  // An end is newer than all progress, also if its offset is unknown.
  bool ends = was_open && !is_open;
  if (!ends && record.offset < job->progress_offset) return false;
  job->progress_offset = std::max(job->progress_offset, record.offset);
  pending_count_guard count(table, job);
  job->progress = std::move(parsed);
  return true;
}

bool apply_cancellation(table* table, entry* job) {
  if (job->cancelled) return false;
  pending_count_guard count(table, job);
  job->cancelled = true;
  return true;
}

// Removes one record of the job. The job is removed with its last record.
void remove_record(table* table, char kind, const std::string& id,
                   std::uint64_t offset) {
  std::unordered_map<std::string, entry>::iterator found = table->jobs.find(id);
  if (found == table->jobs.end()) return;
  entry* job = &found->second;
  if (kind == kProgress && offset < job->progress_offset) return;
  if (waits_for_start(*job)) {
    table->not_started[job->submission->queue()] -= 1;
  }
  if (kind == kSubmission) job->submission.reset();
  if (kind == kCancellation) job->cancelled = false;
  if (kind == kProgress) {
    job->progress.Clear();
    job->progress_offset = offset;
  }
  if (is_known(*job)) {
    if (waits_for_start(*job)) {
      table->not_started[job->submission->queue()] += 1;
    }
    return;
  }
  table->jobs.erase(found);
}

change apply_owner(table* table, const record& record) {
  ++table->owner_records;
  if (record.offset < table->owner.offset) return {};
  wire::ownership_record parsed;
  if (!parsed.ParseFromString(record.value)) {
    ++table->unreadable_records;
    return {};
  }
  wire::ownership_record& known = table->owner.record;
  if (parsed.epoch() != known.epoch()) {
    table->released_leases.assign(known.leases().begin(), known.leases().end());
  }
  known = std::move(parsed);
  table->owner.offset = record.offset;
  return {change_kind::owner, {}};
}

void apply_silent_worker(table* table, const std::string& id,
                         const record& record) {
  ++table->owner_records;
  std::unordered_map<std::string, known_silent_worker>::iterator known =
      table->silent_workers.find(id);
  bool is_known = known != table->silent_workers.end();
  if (is_known && record.offset < known->second.offset) return;
  if (is_known) table->silent_workers.erase(known);
  if (record.value.empty()) return;
  wire::silent_worker parsed;
  if (!parsed.ParseFromString(record.value)) {
    ++table->unreadable_records;
    return;
  }
  table->silent_workers[id] = {std::move(parsed), record.offset};
}

// Those without a record in `newest`, but for later ones.
void remove_missing_silent_workers(table* table,
                                   const std::vector<record>& newest,
                                   std::uint64_t end) {
  std::unordered_set<std::string> present;
  for (const record& each : newest) {
    if (each.key.starts_with(kSilentWorker)) {
      present.insert(each.key.substr(1));
    }
  }
  std::erase_if(table->silent_workers, [&](const auto& each) {
    return each.second.offset < end && present.count(each.first) == 0;
  });
}

void apply_pool_time(table* table, const record& record) {
  ++table->owner_records;
  wire::pool_time parsed;
  if (!parsed.ParseFromString(record.value)) {
    ++table->unreadable_records;
    return;
  }
  observe_pool_time(table, parsed.elapsed_ms());
}

}  // namespace

const std::string& tenant_of(const entry& job) {
  // The submission of an ended job is deleted, and another tenant's submission
  // of the same id may follow it in the journal.
  bool told = !job.progress.tenant().empty() || !job.submission ||
              job.progress.outcome() != wire::OPEN;
  return told ? job.progress.tenant() : job.submission->tenant();
}

change apply(table* table, const record& record) {
  if (record.key == kOwnerKey) return apply_owner(table, record);
  if (record.key == kPoolTimeKey) {
    apply_pool_time(table, record);
    return {};
  }
  if (record.key.size() < 2) {
    ++table->unreadable_records;
    return {};
  }
  char kind = record.key.front();
  std::string id = record.key.substr(1);
  if (kind == kSilentWorker) {
    apply_silent_worker(table, id, record);
    return {};
  }
  if (record.value.empty()) {
    remove_record(table, kind, id, record.offset);
    return {};
  }
  if (kind == kWave) {
    if (!table->waves[id].ParseFromString(record.value))
      ++table->unreadable_records;
    return {};
  }
  entry* job = &table->jobs[id];
  job->newest_offset = std::max(job->newest_offset, record.offset);
  bool changed = false;
  change_kind what = change_kind::none;
  switch (kind) {
    case kSubmission:
      changed = apply_submission(table, job, record.value);
      what = change_kind::submitted;
      break;
    case kCancellation:
      changed = apply_cancellation(table, job);
      what = change_kind::cancelled;
      break;
    case kProgress:
      ++table->owner_records;
      changed = apply_progress(table, job, record);
      what = change_kind::progressed;
      break;
    default:
      ++table->unreadable_records;
      break;
  }
  if (!changed) return {};
  return {what, std::move(id)};
}

void remove_missing(table* table, const std::vector<record>& newest,
                    std::uint64_t end) {
  remove_missing_silent_workers(table, newest, end);
  // A load has only the newest claim; the ones before it aren't known.
  table->released_leases.clear();
  table->owner.record.clear_leases();
  std::unordered_set<std::string_view> present;
  for (const record& each : newest) {
    if (each.key.size() > 1) {
      present.insert(std::string_view(each.key).substr(1));
    }
  }
  std::vector<std::string> missing;
  for (const std::pair<const std::string, entry>& each : table->jobs) {
    if (each.second.newest_offset >= end) continue;
    if (present.count(each.first) == 0) missing.push_back(each.first);
  }
  for (const std::string& id : missing) {
    for (char kind : {kSubmission, kCancellation, kProgress}) {
      remove_record(table, kind, id, end);
    }
  }
}

void observe_owner(table* table, const wire::ownership_record& owner) {
  if (owner.epoch() <= table->owner.record.epoch()) return;
  table->owner.record = owner;
}

bool is_repeated_submission(const table& table, const record& record) {
  return record.key.starts_with(kSubmission) &&
         find(table, std::string_view(record.key).substr(1)) != nullptr;
}

bool names_other_tenant(const table& table, const record& record) {
  if (!is_repeated_submission(table, record)) return false;
  const entry* known = find(table, std::string_view(record.key).substr(1));
  wire::job_submission repeated;
  return !tenant_of(*known).empty() &&
         (!repeated.ParseFromString(record.value) ||
          repeated.tenant() != tenant_of(*known));
}

const entry* find(const table& table, std::string_view id) {
  std::unordered_map<std::string, entry>::const_iterator found =
      table.jobs.find(std::string(id));
  if (found == table.jobs.end() || !is_known(found->second)) return nullptr;
  return &found->second;
}

state state_of(const entry& job) {
  switch (job.progress.outcome()) {
    case wire::COMPLETE:
      return state::complete;
    case wire::FAILED:
      return state::failed;
    case wire::CANCELLED:
      return state::cancelled;
    default:
      break;
  }
  if (job.cancelled) return state::cancelled;
  return job.progress.started() ? state::running : state::pending;
}

std::int64_t not_started(const table& table, const std::string& queue) {
  std::unordered_map<std::string, std::int64_t>::const_iterator found =
      table.not_started.find(queue);
  return found == table.not_started.end() ? 0 : found->second;
}

std::string submission_key(std::string_view id) {
  return std::string(1, kSubmission) + std::string(id);
}
std::string cancellation_key(std::string_view id) {
  return std::string(1, kCancellation) + std::string(id);
}
std::string progress_key(std::string_view id) {
  return std::string(1, kProgress) + std::string(id);
}
std::string wave_key(std::string_view number) {
  return std::string(1, kWave) + std::string(number);
}

std::string silent_worker_key(std::string_view worker) {
  return std::string(1, kSilentWorker) + std::string(worker);
}

}  // namespace ebonygrade::jobs
