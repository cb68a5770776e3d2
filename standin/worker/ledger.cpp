#include "standin/worker/ledger.h"

#include <xxhash.h>

#include <utility>

namespace ebonygrade::standin::worker {

namespace {

constexpr int kMaxViolations = 50;

std::uint64_t task_hash(const job::attempt_key& key) {
  return XXH3_64bits_withSeed(key.request_id.data(), key.request_id.size(),
                              key.task_index);
}

void record_violation(ledger_book& book, standin::violation_kind kind,
                      std::string_view worker, const job::attempt_key& key,
                      std::string detail) {
  if (book.totals.violations_size() >= kMaxViolations) return;
  standin::violation* added = book.totals.add_violations();
  added->set_kind(kind);
  added->set_worker(std::string(worker));
  *added->mutable_key() = to_wire(key);
  added->set_detail(std::move(detail));
}

std::string describe(const job::resources& amount) {
  return std::to_string(amount.millicores) + " millicores, " +
         std::to_string(amount.memory_mb) + " MB, " +
         std::to_string(amount.accelerators) + " accelerators, " +
         std::to_string(amount.slots) + " slots";
}

void record_started_once(ledger_book& book, std::uint64_t hash) {
  book.started_order.push_back(hash);
  if (book.started_order.size() <= kMaxRecordedTasks) return;
  book.started_once.erase(book.started_order.front());
  book.started_order.pop_front();
  book.totals.set_forgotten(book.totals.forgotten() + 1);
}

void check_repeated_start(ledger_book& book, std::string_view worker,
                          const job::attempt_key& key, std::uint64_t hash) {
  if (book.started_once.insert(hash).second) {
    return record_started_once(book, hash);
  }
  book.totals.set_repeated_starts(book.totals.repeated_starts() + 1);
  record_violation(book, standin::repeated_start, worker, key,
                   "non-idempotent task started again");
}

}  // namespace

void record_start(ledger_book& book, std::string_view worker,
                  const job::attempt_key& key, bool idempotent,
                  const job::resources& in_use,
                  const job::resources& capacity) {
  std::uint64_t hash = task_hash(key);
  book.totals.set_starts(book.totals.starts() + 1);
  book.totals.set_running(book.totals.running() + 1);
  if (!fits(in_use, capacity)) {
    book.totals.set_over_commits(book.totals.over_commits() + 1);
    record_violation(book, standin::over_commit, worker, key,
                     describe(in_use) + " in use of " + describe(capacity));
  }
  if (++book.running[hash] > 1) {
    book.totals.set_double_runs(book.totals.double_runs() + 1);
    record_violation(book, standin::double_run, worker, key,
                     "task runs already");
  }
  if (!idempotent) check_repeated_start(book, worker, key, hash);
}

void record_end(ledger_book& book, const job::attempt_key& key,
                wire::task_end end) {
  book.totals.set_ends(book.totals.ends() + 1);
  book.totals.set_running(book.totals.running() - 1);
  if (end == wire::lease_expired) {
    book.totals.set_leases_expired(book.totals.leases_expired() + 1);
  }
  auto found = book.running.find(task_hash(key));
  if (found != book.running.end() && --found->second == 0) {
    book.running.erase(found);
  }
}

void record_fenced(ledger_book& book) {
  book.totals.set_fenced(book.totals.fenced() + 1);
}

}  // namespace ebonygrade::standin::worker
