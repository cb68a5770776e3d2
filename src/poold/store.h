// The platform's store as this daemon calls it: one client, typed results,
// and what was learned of its health.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "http/client.h"
#include "platform/store.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

enum class append_fate {
  settled,   // `reply` tells how.
  not_done,  // The store did nothing.
  unknown,   // It may have been done, or may be later.
};

struct append_result {
  append_fate fate = append_fate::unknown;
  platform::append_reply reply;
};

class store {
 public:
  store(boost::asio::io_context& context, const std::string& address,
        const clock::clock& clock);

  // `repetitions` of the same append went without an answer; each doubles
  // the time that this one is given.
  void append(const platform::append_request& request,
              const std::vector<jobs::record>& records,
              std::uint32_t repetitions,
              std::function<void(append_result)> handler);
  // Waits up to `wait` for a record at `from`.
  void read(std::string_view topic, std::uint64_t from, milliseconds wait,
            std::function<void(error::result<platform::read_reply>)> handler);
  void newest(
      std::string_view topic, std::string_view after,
      std::function<void(error::result<platform::newest_reply>)> handler);

  // When an answer last came that was not a refusal.
  steady_time last_answer() const { return last_answer_; }
  std::uint64_t calls() const { return calls_; }

 private:
  void answered();
  // For the first attempt of an append; repetitions get more.
  milliseconds append_timeout(std::uint32_t repetitions) const;
  void failed(const error::failure& cause);

  const clock::clock& clock_;
  // Reads may wait for long, so appends have connections of their own.
  http::client reads_;
  http::client appends_;
  steady_time last_answer_;
  milliseconds append_time_{20};  // Smoothed, of answered appends.
  bool down_ = false;
  std::uint64_t calls_ = 0;
};

}  // namespace ebonygrade::poold
