// Each daemon's in-memory copy of the journal: submissions, cancellations and
// progress of jobs. Records are applied in journal order, so two daemons that
// have read up to the same offset have equal tables.
//
//   jobs::table table;
//   jobs::change changed = apply(&table, record);
//   const jobs::entry* job = find(table, "5c0e7a21d94b36f8");
//
// Uses no clock and does no I/O. Not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/journal.pb.h"

namespace ebonygrade::jobs {

// One record of the journal. An empty value deletes the key.
struct record {
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
};

struct entry {
  // Null until read, and for jobs that have ended.
  std::shared_ptr<const wire::job_submission> submission;
  wire::job_progress progress;
  std::uint64_t progress_offset = 0;  // Of the newest record of the progress.
  std::uint64_t newest_offset = 0;    // Of all records of the job.
  bool cancelled = false;             // A caller requested the cancellation.
};

// Name of the job's tenant; empty for a job without one.
const std::string& tenant_of(const entry& job);

// State of a job as reported to callers.
enum class state { pending, running, complete, failed, cancelled };

struct observed_owner {
  wire::ownership_record record;
  std::uint64_t offset = 0;
};

struct known_silent_worker {
  wire::silent_worker record;
  std::uint64_t offset = 0;
};

struct table {
  std::unordered_map<std::string, entry> jobs;
  // Number of jobs without a started task, by queue.
  std::unordered_map<std::string, std::int64_t> not_started;
  std::unordered_map<std::string, wire::wave_record> waves;  // By number.
  observed_owner owner;
  // What the release told that the claim in force follows directly. Later
  // owners may have granted longer leases.
  std::vector<wire::worker_lease> released_leases;
  std::unordered_map<std::string, known_silent_worker> silent_workers;
  std::chrono::milliseconds pool_time{0};  // Highest one read.
  // Records that prove that an owner is alive.
  std::uint64_t owner_records = 0;
  std::uint64_t next = 0;                // Offset of the next record to read.
  std::uint64_t unreadable_records = 0;  // Records that could not be read.
};

enum class change_kind { none, submitted, cancelled, progressed, owner };

struct change {
  change_kind kind = change_kind::none;
  std::string job;  // Id for submitted, cancelled and progressed.
};

// Applies one record. Records of the keyed topic may be applied repeatedly, or
// the newest of each key first; progress and owners that are older than the
// known ones then change nothing. A job that has ended never becomes open
// again. An end may come without an offset.
change apply(table* table, const record& record);

// Removes the jobs that have no record in `newest`, the newest record of every
// key in a journal that ended at `end` or later. Jobs with later records stay.
void remove_missing(table* table, const std::vector<record>& newest,
                    std::uint64_t end);

// Takes the owner from a source other than the journal. An older owner than the
// known one is ignored.
void observe_owner(table* table, const wire::ownership_record& owner);

// Whether the record is the submission of a known job. A repeated submission
// has no effect.
bool is_repeated_submission(const table& table, const record& record);

// Whether the record is a repeated submission by another caller than the
// tenant that the known job is of. False for a known job without a tenant.
bool names_other_tenant(const table& table, const record& record);

// Returns null if the job is unknown.
const entry* find(const table& table, std::string_view id);

state state_of(const entry& job);

// Number of jobs of the queue that wait for their first start.
std::int64_t not_started(const table& table, const std::string& queue);

// ---- Keys -----------------------------------------------------------------

inline constexpr char kOwnerKey[] = "o";
inline constexpr char kPoolTimeKey[] = "t";
std::string submission_key(std::string_view id);
std::string cancellation_key(std::string_view id);
std::string progress_key(std::string_view id);
std::string wave_key(std::string_view number);
std::string silent_worker_key(std::string_view worker);

}  // namespace ebonygrade::jobs
