// Appends records under one producer, one append at a time. An append whose
// fate is unknown is repeated with the same sequence number until the store
// answers, so each batch is written exactly once, or the producer is fenced.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/backoff.h"
#include "poold/store_client.h"

namespace ebonygrade::poold {

enum class write_outcome {
  written,
  fenced,     // A newer epoch of the producer exists.
  abandoned,  // The store has not done it, and never will.
};

class appender : public std::enable_shared_from_this<appender> {
 public:
  appender(boost::asio::io_context& context, store_client& store,
           std::string topic, platform::producer producer);

  // Only while idle. `keep_trying` is asked after each attempt that the store
  // has not done; when it says no, the write is given up, unless an earlier
  // attempt may still take effect.
  void write(std::vector<jobs::record> records,
             std::function<bool()> should_retry,
             std::function<void(write_outcome)> handler);
  bool idle() const { return !busy_; }
  // An attempt of the present write has gone without an answer.
  bool outcome_unknown() const { return busy_ && outcome_unknown_; }
  // An attempt of the present write has failed in any way.
  bool has_failed_attempt() const {
    return busy_ && (outcome_unknown_ || rejected_);
  }
  void stop();

 private:
  void attempt();
  void finish(write_outcome outcome);
  void on_result(const append_result& result);

  store_client& store_;
  std::string topic_;
  platform::producer producer_;
  boost::asio::steady_timer timer_;
  std::vector<jobs::record> records_;
  std::function<bool()> should_retry_;
  std::function<void(write_outcome)> handler_;
  bool busy_ = false;
  bool outcome_unknown_ = false;
  bool rejected_ = false;
  std::uint32_t unanswered_attempts_ = 0;  // Of attempts without an answer.
  bool stopped_ = false;
  http::backoff backoff_{milliseconds(40), 3, 0};
  std::mt19937 random_;
};

}  // namespace ebonygrade::poold
