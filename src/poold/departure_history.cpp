#include "poold/departure_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "events/events.h"
#include "platform/discovery.h"

namespace ebonygrade::poold {

namespace {

// A takeover takes about two heartbeats, a worker that leaves has written its
// last entry up to one before, and the other workers write one around that.
constexpr std::uint64_t kHeartbeatsRead = 5;
constexpr std::uint64_t kMaxRecordsRead = 8000;
// A worker that drained before the load has written again, or has left, within
// a heartbeat, and the others have written within the next.
constexpr int kHeartbeatsFollowed = 3;
constexpr std::uint32_t kMaxFailures = 3;

pool::directory_record decode(const jobs::record& record) {
  pool::directory_record result;
  result.offset = record.offset;
  result.worker = record.key;
  if (record.value.empty()) {
    result.change = pool::directory_change::removal;
    return result;
  }
  error::result<pool::worker_entry> entry =
      platform::decode_worker_entry(record.key, record.value);
  if (entry.has_error()) return result;
  result.change = pool::directory_change::entry;
  result.draining = entry->draining;
  result.address = std::move(entry->address);
  result.incarnation_ms = entry->incarnation_ms;
  return result;
}

}  // namespace

std::uint64_t history_begin(const departure_history_options& options) {
  std::uint64_t count = std::min<std::uint64_t>(
      kHeartbeatsRead * options.entries, kMaxRecordsRead);
  return options.end - std::min(options.end, count);
}

departure_history::departure_history(store_client& store,
                                     const clock::clock& clock,
                                     const departure_history_options& options,
                                     std::unordered_set<std::string> workers,
                                     handler handler)
    : store_(store),
      clock_(clock),
      options_(options),
      workers_(std::move(workers)),
      handler_(std::move(handler)),
      wanted_(workers_.size()),
      next_(history_begin(options)),
      begun_(clock.now()) {}

void departure_history::start() { read(); }

void departure_history::read() {
  if (next_ >= options_.end) {
    loaded_ = true;
    std::move(later_.begin(), later_.end(), std::back_inserter(records_));
    later_.clear();
    return search();
  }
  reading_ = true;
  store_.read(platform::kDiscoveryTopic, next_, milliseconds(0), failures_,
              [self = shared_from_this()](
                  error::result<platform::read_reply> reply, steady_time) {
                self->reading_ = false;
                if (self->stopped_) return;
                if (reply.has_error()) {
                  self->last_failure_ = reply.error().detail;
                  // The next records repeat the read.
                  if (++self->failures_ == kMaxFailures) {
                    self->finish(self->last_failure_);
                  }
                  return;
                }
                self->on_read(*reply);
              });
}

void departure_history::on_read(const platform::read_reply& reply) {
  if (reply.trimmed) {
    // Reads from the oldest offset left; without one there is no history.
    records_.clear();
    next_ = reply.first > next_ ? reply.first : options_.end;
    return read();
  }
  if (reply.next <= next_) return finish("the reply has no records");
  for (const jobs::record& each : reply.records) {
    if (each.offset < options_.end) records_.push_back(decode(each));
  }
  next_ = reply.next;
  read();
}

void departure_history::add(const std::vector<jobs::record>& records) {
  if (stopped_) return;
  std::vector<pool::directory_record>& into = loaded_ ? records_ : later_;
  for (const jobs::record& each : records) into.push_back(decode(each));
  bool over =
      clock_.now() - begun_ > kHeartbeatsFollowed * options_.heartbeat ||
      records_.size() + later_.size() > 2 * kMaxRecordsRead;
  if (over) {
    bool complete = loaded_;
    return finish(complete                ? ""
                  : last_failure_.empty() ? "timed out"
                                          : last_failure_);
  }
  if (loaded_) {
    if (!records.empty()) search();
  } else if (!reading_) {
    read();
  }
}

void departure_history::search() {
  for (const pool::departure& each :
       pool::find_departures(records_, workers_)) {
    if (!handler_(each)) continue;
    ++departed_;
    workers_.erase(each.worker);
  }
  if (workers_.empty()) finish("");
}

void departure_history::finish(const std::string& cause) {
  if (stopped_) return;
  stopped_ = true;
  std::string text;
  if (!cause.empty()) text = " cause=\"" + cause + "\"";
  events::emit(events::id::departures_traced, "trace", "",
               "workers={} departed={} first={} end={} records={} "
               "failures={}{}",
               wanted_, departed_, history_begin(options_), options_.end,
               records_.size(), failures_, text);
  records_ = {};
  later_ = {};
}

}  // namespace ebonygrade::poold
