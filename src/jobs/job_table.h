// Every daemon's copy of the journal: what was submitted, cancelled and
// achieved. The table applies records in the order of the journal, so two
// daemons that have read as far hold the same.
//
//   jobs::table table;
//   jobs::change changed = apply(&table, record);
//   const jobs::entry* job = find(table, "5c0e7a21d94b36f8");
//
// Keeps no clock and does no I/O. Not thread safe.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wire/journal.pb.h"

namespace ebonygrade::jobs {

// One record of the journal. An empty value drops the key.
struct record {
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
};

struct entry {
  // Null until read, and for jobs that have ended.
  std::shared_ptr<const wire::job_submission> submission;
  wire::job_progress progress;
  bool cancelled = false;  // A caller asked for the cancellation.
};

// What a caller is told of a job.
enum class state { pending, running, complete, failed, cancelled };

struct observed_owner {
  wire::ownership_record record;
  std::uint64_t offset = 0;
};

struct table {
  std::unordered_map<std::string, entry> jobs;
  // Jobs of a queue of which no task has started.
  std::unordered_map<std::string, std::int64_t> not_started;
  std::unordered_map<std::string, wire::wave_record> waves;  // By number.
  observed_owner owner;
  std::uint64_t owner_records = 0;  // Records that show that an owner lives.
  std::uint64_t next = 0;           // Offset of the next record to read.
  std::uint64_t unreadable_records = 0;  // Records that could not be read.
};

enum class change_kind { none, submitted, cancelled, progressed, owner };

struct change {
  change_kind kind = change_kind::none;
  std::string job;  // Id, for the first three.
};

// Applies one record. Records of the keyed topic may be applied again, or
// newest first by key; older ones than the table holds change nothing. A job
// that has ended stays so.
change apply(table* table, const record& record);

// Null if no such job is known.
const entry* find(const table& table, std::string_view id);

state state_of(const entry& job);

// Jobs of the queue that wait for their first start.
std::int64_t not_started(const table& table, const std::string& queue);

// ---- Keys -----------------------------------------------------------------

inline constexpr char kOwnerKey[] = "o";
std::string submission_key(std::string_view id);
std::string cancellation_key(std::string_view id);
std::string progress_key(std::string_view id);
std::string wave_key(std::string_view number);

}  // namespace ebonygrade::jobs
