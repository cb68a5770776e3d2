#include "poold/appender.h"

#include <utility>

#include "events/events.h"

namespace ebonygrade::poold {

appender::appender(boost::asio::io_context& context, store& store,
                   std::string topic, platform::producer producer)
    : store_(store),
      topic_(std::move(topic)),
      producer_(std::move(producer)),
      timer_(context),
      random_(std::random_device{}()) {}

void appender::write(std::vector<jobs::record> records,
                     std::function<bool()> keep_trying,
                     std::function<void(write_outcome)> handler) {
  records_ = std::move(records);
  keep_trying_ = std::move(keep_trying);
  handler_ = std::move(handler);
  busy_ = true;
  uncertain_ = false;
  refused_ = false;
  repetitions_ = 0;
  attempt();
}

void appender::stop() {
  stopped_ = true;
  timer_.cancel();
}

void appender::attempt() {
  platform::append_request request{topic_, producer_, std::nullopt};
  store_.append(request, records_, repetitions_,
                [self = shared_from_this()](append_result result) {
                  if (!self->stopped_) self->on_result(result);
                });
}

void appender::on_result(const append_result& result) {
  if (result.fate == append_fate::settled) {
    succeeded(backoff_);
    switch (result.reply.outcome) {
      case platform::append_outcome::written:
        ++producer_.sequence;
        return settle(write_outcome::written);
      case platform::append_outcome::fenced:
        return settle(write_outcome::fenced);
      case platform::append_outcome::out_of_order:
        // Only this object numbers the producer's appends.
        events::emit(events::id::append_failed, "append", topic_,
                     "producer {} sequence {}: the store expects {}",
                     producer_.name, producer_.sequence,
                     result.reply.expected_sequence);
        producer_.sequence = result.reply.expected_sequence;
        break;
      default:
        break;
    }
  } else if (result.fate == append_fate::unknown) {
    uncertain_ = true;
    ++repetitions_;
  } else {
    refused_ = true;
    if (!uncertain_ && !keep_trying_()) return settle(write_outcome::given_up);
  }
  timer_.expires_after(next_pause(backoff_, random_));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code e) {
    if (!e && !self->stopped_) self->attempt();
  });
}

void appender::settle(write_outcome outcome) {
  busy_ = false;
  std::function<void(write_outcome)> handler = std::exchange(handler_, nullptr);
  handler(outcome);
}

}  // namespace ebonygrade::poold
