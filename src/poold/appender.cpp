#include "poold/appender.h"

#include <utility>

#include "events/events.h"

namespace ebonygrade::poold {

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
  in_doubt_ = false;
  rejected_ = false;
  unanswered_attempts_ = 0;
  attempt();
}

void appender::stop() {
  stopped_ = true;
  timer_.cancel();
}

void appender::attempt() {
  platform::append_request request{topic_, producer_, std::nullopt};
  store_.append(request, records_, unanswered_attempts_,
                [self = shared_from_this()](append_result result) {
                  if (!self->stopped_) self->on_result(result);
                });
}

void appender::on_result(const append_result& result) {
  if (result.status == append_status::replied) {
    record_success(backoff_);
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
  } else if (result.status == append_status::unknown) {
    in_doubt_ = true;
    ++unanswered_attempts_;
  } else {
    rejected_ = true;
    if (!in_doubt_ && !should_retry_()) return finish(write_outcome::abandoned);
  }
  timer_.expires_after(next_delay(backoff_, random_));
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code failed) {
        if (!failed && !self->stopped_) self->attempt();
      });
}

void appender::finish(write_outcome outcome) {
  busy_ = false;
  std::function<void(write_outcome)> handler = std::exchange(handler_, nullptr);
  handler(outcome);
}

}  // namespace ebonygrade::poold
