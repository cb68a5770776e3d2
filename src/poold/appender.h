// Appends records under one producer, one write at a time. A write without a
// reply is repeated with the same sequence number, while the earlier attempts
// are still awaited (append_pacing.h), until the store replies. So each batch
// is written exactly once unless the producer is fenced.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clock/timer.h"
#include "http/backoff.h"
#include "poold/append_pacing.h"
#include "poold/store_client.h"

namespace ebonygrade::poold {

enum class write_outcome {
  written,
  fenced,     // A newer epoch of the producer exists.
  abandoned,  // Not written, and no attempt can still take effect.
};

class appender : public std::enable_shared_from_this<appender> {
 public:
  appender(boost::asio::io_context& context, store_client& store,
           std::string topic, platform::producer producer);

  // Requires idle(). `should_retry` is called after each attempt that the store
  // did not apply. If it returns false, the write is abandoned unless an
  // earlier attempt may still take effect.
  void write(std::vector<jobs::record> records,
             std::function<bool()> should_retry,
             std::function<void(write_outcome)> handler);
  bool idle() const { return !busy_; }
  // Whether the current write may have been applied: an attempt is awaited or
  // got no reply.
  bool in_doubt() const;
  // Whether the store rejected an attempt of the current write.
  bool is_rejected() const { return busy_ && rejected_; }
  // First attempt of the current or last write.
  steady_time begun() const { return begun_; }
  // How the store replies while a write is in flight; normal if idle().
  store_state state() const;
  // Time until records that are written next are acknowledged.
  milliseconds predicted() const;
  // Offset of the first record of the last write that was written.
  std::uint64_t last_offset() const { return last_offset_; }
  // Attempts that were sent while an earlier one was awaited.
  std::uint64_t repeated_attempts() const { return repeated_attempts_; }
  void stop();

 private:
  struct open_attempt {
    std::uint64_t id = 0;
    steady_time sent;
    std::uint64_t write = 0;  // Number of the write.
  };

  void attempt();
  // Repeats the attempt when its reply is taken as lost.
  void await_reply();
  void attempt_at(steady_time when);
  void on_timer();
  void finish(write_outcome outcome);
  void on_result(std::uint64_t write, const append_result& result);
  // Handles a failed attempt of the current write.
  void on_failure(append_status status);
  // Drops the attempts before the one that got a reply.
  void abandon_before(std::uint64_t attempt);
  // Send times of the attempts that are awaited: all, or those of the current
  // write.
  std::vector<steady_time> open_attempts(bool of_current_write) const;

  store_client& store_;
  std::string topic_;
  platform::producer producer_;
  clock::timer timer_;
  std::vector<jobs::record> records_;
  std::function<bool()> should_retry_;
  std::function<void(write_outcome)> handler_;
  bool busy_ = false;
  bool unanswered_ = false;  // An attempt ended without a reply.
  bool rejected_ = false;
  steady_time begun_;
  std::uint64_t write_ = 0;          // Number of the current write.
  std::uint32_t sent_attempts_ = 0;  // Of the current write.
  // Awaited, in the order of sending. Late replies to earlier writes only tell
  // how long appends take.
  std::vector<open_attempt> open_;
  std::uint64_t repeated_attempts_ = 0;
  std::uint64_t last_offset_ = 0;
  bool stopped_ = false;
  http::backoff backoff_{milliseconds(40), 3, 0};
  steady_time logged_;  // When a repetition was last logged.
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
