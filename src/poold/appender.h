// Appends records under one producer, one append at a time. An append whose
// outcome is unknown is retried with the same sequence number until the store
// replies, so each batch is written exactly once unless the producer is
// fenced.
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
  // Whether the outcome of the current write is unknown, as an attempt got no
  // reply.
  bool in_doubt() const { return busy_ && in_doubt_; }
  // Whether an attempt of the current write got no reply or was rejected.
  bool has_failed_attempt() const { return busy_ && (in_doubt_ || rejected_); }
  // Offset of the first record of the last write that was written.
  std::uint64_t last_offset() const { return last_offset_; }
  void stop();

 private:
  void attempt();
  void finish(write_outcome outcome);
  void on_result(const append_result& result);

  store_client& store_;
  std::string topic_;
  platform::producer producer_;
  clock::timer timer_;
  std::vector<jobs::record> records_;
  std::function<bool()> should_retry_;
  std::function<void(write_outcome)> handler_;
  bool busy_ = false;
  bool in_doubt_ = false;
  bool rejected_ = false;
  std::uint32_t unanswered_attempts_ = 0;
  std::uint64_t last_offset_ = 0;
  bool stopped_ = false;
  http::backoff backoff_{milliseconds(40), 3, 0};
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
