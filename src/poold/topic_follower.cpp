#include "poold/topic_follower.h"

#include <algorithm>
#include <utility>

#include "events/events.h"

namespace ebonygrade::poold {

namespace {

// A read that is overdue by this much has been sent again.
constexpr milliseconds kOverdueRead{300};

}  // namespace

topic_follower::topic_follower(boost::asio::io_context& context,
                               store_client& store, const clock::clock& clock,
                               follower_options options, handlers handlers)
    : store_(store),
      clock_(clock),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      timer_(context),
      random_(std::random_device{}()) {}

void topic_follower::start() { load(); }

void topic_follower::load() {
  load_page(pages_.empty() ? std::string() : pages_.back().key);
}

void topic_follower::stop() {
  stopped_ = true;
  timer_.cancel();
}

void topic_follower::read_now() {
  if (!scheduled_ || !loaded_) return;
  scheduled_ = false;
  timer_.cancel();
  read();
}

void topic_follower::schedule(milliseconds delay,
                              void (topic_follower::*step)()) {
  scheduled_ = true;
  timer_.expires_after(delay);
  timer_.async_wait(
      [self = shared_from_this(), step](boost::system::error_code failed) {
        if (failed || self->stopped_ || !self->scheduled_) return;
        self->scheduled_ = false;
        (self.get()->*step)();
      });
}

void topic_follower::load_page(const std::string& after) {
  steady_time sent = clock_.now();
  store_.newest(
      options_.topic, after, backoff_.failures,
      [self = shared_from_this(), after,
       sent](error::result<platform::newest_reply> reply) {
        if (self->stopped_) return;
        if (reply.has_error()) {
          self->emit_failure("load", sent, reply.error());
          return self->schedule(next_delay(self->backoff_, self->random_),
                                &topic_follower::load);
        }
        record_success(self->backoff_);
        // Keys of earlier pages may change while later pages load. Reading on
        // from the end as of the first page returns those changes.
        if (after.empty()) {
          self->first_page_end_ = reply->end;
          self->first_page_sent_ = sent;
        }
        for (jobs::record& each : reply->records) {
          self->pages_.push_back(std::move(each));
        }
        if (reply->more && !self->pages_.empty()) {
          return self->load_page(self->pages_.back().key);
        }
        self->next_ = self->first_page_end_;
        self->known_end_.reset();
        self->loaded_ = true;
        self->current_as_of_ = self->first_page_sent_;
        std::vector<jobs::record> all = std::exchange(self->pages_, {});
        events::emit(events::id::journal_loaded, "load", self->options_.topic,
                     "records={} next={}", all.size(), self->next_);
        self->handlers_.on_snapshot(all);
        if (!self->stopped_) self->read();
      });
}

void topic_follower::skip(std::uint64_t from, std::uint64_t to,
                          steady_time sent) {
  if (!loaded_) return;
  skipped_.emplace_back(from, to);
  if (next_ != from) return;
  pass_skipped();
  // The topic ended at `from` when the append was applied.
  current_as_of_ = std::max(current_as_of_, sent);
}

void topic_follower::pass_skipped() {
  // Appends are in order, so the ranges are.
  for (const std::pair<std::uint64_t, std::uint64_t>& each : skipped_) {
    if (each.first <= next_) next_ = std::max(next_, each.second);
  }
  std::erase_if(skipped_,
                [&](const auto& each) { return each.second <= next_; });
  if (known_end_ && next_ >= known_end_->first) {
    current_as_of_ = std::max(current_as_of_, known_end_->second);
    known_end_.reset();
  }
}

bool topic_follower::is_skipped(std::uint64_t offset) const {
  return std::any_of(skipped_.begin(), skipped_.end(), [&](const auto& each) {
    return each.first <= offset && offset < each.second;
  });
}

void topic_follower::emit_failure(std::string_view step, steady_time sent,
                                  const error::failure& cause) const {
  steady_time now = clock_.now();
  events::emit(
      events::id::topic_read_failed, step, options_.topic,
      "next={} failures={} waited_ms={} behind_ms={} cause=\"{}\"", next_,
      backoff_.failures + 1,
      std::chrono::duration_cast<milliseconds>(now - sent).count(),
      loaded_ ? std::chrono::duration_cast<milliseconds>(now - current_as_of_)
                    .count()
              : 0,
      cause.detail);
}

bool topic_follower::failing() const {
  return backoff_.failures > 0 || overdue(clock_.now()) > kOverdueRead;
}

milliseconds topic_follower::overdue(steady_time now) const {
  if (!read_sent_) return milliseconds(0);
  milliseconds age =
      std::chrono::duration_cast<milliseconds>(now - *read_sent_);
  return std::max(age - options_.max_wait, milliseconds(0));
}

void topic_follower::read() {
  if (stopped_) return;
  read_sent_ = clock_.now();
  store_.read(
      options_.topic, next_, options_.max_wait, backoff_.failures,
      [self = shared_from_this()](error::result<platform::read_reply> reply,
                                  steady_time sent) {
        self->read_sent_.reset();
        if (self->stopped_) return;
        if (reply.has_error()) {
          self->emit_failure("read", sent, reply.error());
          return self->schedule(next_delay(self->backoff_, self->random_),
                                &topic_follower::read);
        }
        record_success(self->backoff_);
        if (reply->trimmed) return self->load();
        std::erase_if(reply->records, [&](const jobs::record& each) {
          // A read that was sent earlier may return what has been passed.
          return each.offset < self->next_ || self->is_skipped(each.offset);
        });
        // Records may have been skipped while the read was in flight.
        self->next_ = std::max(self->next_, reply->next);
        // An end further on follows once this one has been reached.
        if (!self->known_end_ || self->next_ >= reply->end) {
          self->known_end_ = {reply->end, sent};
        }
        self->pass_skipped();
        bool behind = self->next_ < reply->end;
        self->handlers_.on_records(reply->records);
        if (self->stopped_) return;
        self->schedule(behind ? milliseconds(0) : self->options_.read_interval,
                       &topic_follower::read);
      });
}

}  // namespace ebonygrade::poold
