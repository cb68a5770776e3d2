// Cancellations that this daemon has appended beside the owner. The owner would
// learn of them only when it reads the journal, and may lag.
#include <algorithm>
#include <string>
#include <utility>

#include "platform/callers.h"
#include "poold/node.h"
#include "poold/peer_paths.h"

namespace ebonygrade::poold {

namespace {

constexpr milliseconds kTellTimeout{1000};
// Then, or beyond this number, they are left to the owner's reads.
constexpr milliseconds kTellPeriod{5000};
constexpr std::size_t kMaxUntold = 1024;

}  // namespace

void node::tell_owner(const wire::recorded_cancellations& appended) {
  steady_time now = clock_.now();
  for (const wire::recorded_cancellation& each : appended.records()) {
    if (untold_.size() >= kMaxUntold) break;
    untold_.push_back({each, now + kTellPeriod});
  }
  send_untold(now);
}

void node::send_untold(steady_time now) {
  if (telling_) return;
  std::erase_if(untold_, [now](const untold_cancellation& each) {
    return each.until <= now;
  });
  if (untold_.empty()) return;
  if (owner_) {
    for (const untold_cancellation& each : std::exchange(untold_, {})) {
      apply_recorded(each.record);
    }
    return;
  }
  connect_owner();
  if (!owner_notices_) return;
  wire::recorded_cancellations message;
  for (const untold_cancellation& each : untold_) {
    *message.add_records() = each.record;
  }
  http::request request{http::verb::post, kCancellationsPath,
                        http::kHttpVersion11};
  request.body() = message.SerializeAsString();
  request.prepare_payload();
  telling_ = true;
  owner_notices_->call(
      "tell cancellations", std::move(request), kTellTimeout,
      [this, told = untold_.size()](http::call_result&& result) {
        telling_ = false;
        // After a failure, the next tick tells them again.
        if (result.has_error() || result->result() != http::status::ok) return;
        untold_.erase(untold_.begin(),
                      untold_.begin() + static_cast<std::ptrdiff_t>(told));
        send_untold(clock_.now());
      });
}

void node::handle_cancellations(const http::request& request,
                                const http::responder& respond) {
  wire::recorded_cancellations message;
  bool valid = message.ParseFromString(request.body()) &&
               std::all_of(message.records().begin(), message.records().end(),
                           [](const wire::recorded_cancellation& each) {
                             return platform::is_job_id(each.job()) &&
                                    !each.value().empty();
                           });
  if (!valid) {
    return respond(http::error_response(http::status::bad_request,
                                        "expected recorded cancellations"));
  }
  if (!owner_) {
    return respond(
        http::error_response(http::status::conflict, "not the owner"));
  }
  for (const wire::recorded_cancellation& each : message.records()) {
    apply_recorded(each);
  }
  respond(http::text_response(http::status::ok, "text/plain", ""));
}

void node::apply_recorded(const wire::recorded_cancellation& record) {
  // What has been read may have been deleted since, and the id used again.
  if (record.offset() < journal_->next()) return;
  apply_record(
      {jobs::cancellation_key(record.job()), record.value(), record.offset()});
}

}  // namespace ebonygrade::poold
