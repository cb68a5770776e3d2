#include "poold/appender.h"

#include <algorithm>
#include <utility>

#include "events/events.h"

namespace ebonygrade::poold {

namespace {

// Limits the rate of log lines about repetitions.
constexpr milliseconds kLogInterval{1000};
// Replies to other calls may show that a reply is lost.
constexpr milliseconds kCheckInterval{100};

}  // namespace

appender::appender(boost::asio::io_context& context, store_client& store,
                   std::string topic, platform::producer producer)
    : store_(store),
      topic_(std::move(topic)),
      producer_(std::move(producer)),
      timer_(context),
      random_(std::random_device{}()) {}

void appender::write(std::vector<jobs::record> records,
                     std::function<bool()> should_retry,
                     std::function<void(write_outcome)> handler) {
  records_ = std::move(records);
  should_retry_ = std::move(should_retry);
  handler_ = std::move(handler);
  busy_ = true;
  unanswered_ = false;
  rejected_ = false;
  sent_attempts_ = 0;
  ++write_;
  begun_ = store_.now();
  attempt();
}

void appender::stop() {
  stopped_ = true;
  timer_.cancel();
}

std::vector<steady_time> appender::open_attempts(bool of_current_write) const {
  std::vector<steady_time> sent;
  for (const open_attempt& each : open_) {
    if (!of_current_write || each.write == write_) sent.push_back(each.sent);
  }
  return sent;
}

bool appender::in_doubt() const {
  return busy_ && (unanswered_ || !open_attempts(true).empty());
}

store_state appender::state() const {
  if (!busy_) return store_state::normal;
  return judge_store(store_.pace(), {begun_, store_.last_reply()},
                     store_.now());
}

milliseconds appender::predicted() const {
  std::vector<steady_time> attempts;
  if (busy_) attempts = open_attempts(true);
  if (busy_ && attempts.empty()) attempts.push_back(begun_);
  return predict_acknowledgement(store_.pace(), attempts, store_.now());
}

void appender::attempt() {
  platform::append_request request{topic_, producer_, std::nullopt};
  std::uint64_t id = store_.append(
      request, records_, {sent_attempts_, kAttemptTimeout},
      [self = shared_from_this(), write = write_](append_result result) {
        if (!self->stopped_) self->on_result(write, result);
      });
  ++sent_attempts_;
  open_.push_back({id, store_.now(), write_});
  await_reply();
}

void appender::await_reply() {
  attempt_at(std::min(next_attempt_at(store_.pace(), open_attempts(false)),
                      store_.now() + kCheckInterval));
}

void appender::attempt_at(steady_time when) {
  timer_.expires_at(when);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (!failed && !self->stopped_ && self->busy_) self->on_timer();
      });
}

void appender::on_timer() {
  std::vector<steady_time> awaited = open_attempts(true);
  if (awaited.empty()) return attempt();
  steady_time now = store_.now();
  if (now < next_attempt_at(store_.pace(), open_attempts(false))) {
    return await_reply();
  }
  ++repeated_attempts_;
  if (now - logged_ >= kLogInterval) {
    logged_ = now;
    events::emit(
        events::id::append_delayed, "append", topic_,
        "producer={} sequence={} attempt={} waited_ms={} expected_ms={} "
        "reply_age_ms={} repeated={}",
        producer_.name, producer_.sequence, sent_attempts_ + 1,
        std::chrono::duration_cast<milliseconds>(now - begun_).count(),
        expected_time(store_.pace()).count(),
        std::chrono::duration_cast<milliseconds>(now - store_.last_reply())
            .count(),
        repeated_attempts_);
  }
  attempt();
}

void appender::abandon_before(std::uint64_t attempt) {
  std::erase_if(open_, [&](const open_attempt& each) {
    if (each.id >= attempt) return false;
    store_.abandon(each.id);
    return true;
  });
}

void appender::on_result(std::uint64_t write, const append_result& result) {
  std::erase_if(open_, [&](const open_attempt& each) {
    return each.id == result.attempt;
  });
  if (write != write_ || !busy_) return;
  if (result.status != append_status::replied) return on_failure(result.status);
  record_success(backoff_);
  abandon_before(result.attempt);
  switch (result.reply.outcome) {
    case platform::append_outcome::written:
      ++producer_.sequence;
      last_offset_ = result.reply.offset;
      return finish(write_outcome::written);
    case platform::append_outcome::fenced:
      return finish(write_outcome::fenced);
    case platform::append_outcome::out_of_order:
      // Unexpected, as only this object numbers the producer's appends.
      events::emit(events::id::append_failed, "append", topic_,
                   "producer {} sequence {}: the store expects sequence {}",
                   producer_.name, producer_.sequence,
                   result.reply.expected_sequence);
      producer_.sequence = result.reply.expected_sequence;
      break;
    default:
      break;
  }
  attempt_at(store_.now() + next_delay(backoff_, random_));
}

void appender::on_failure(append_status status) {
  bool awaited = !open_attempts(true).empty();
  if (status == append_status::unknown) {
    unanswered_ = true;
  } else {
    rejected_ = true;
    if (!unanswered_ && !awaited && !should_retry_()) {
      return finish(write_outcome::abandoned);
    }
  }
  steady_time when = store_.now() + next_delay(backoff_, random_);
  if (awaited) {
    when = std::max(when, next_attempt_at(store_.pace(), open_attempts(false)));
  }
  attempt_at(when);
}

void appender::finish(write_outcome outcome) {
  busy_ = false;
  timer_.cancel();
  std::function<void(write_outcome)> handler = std::exchange(handler_, nullptr);
  handler(outcome);
}

}  // namespace ebonygrade::poold
