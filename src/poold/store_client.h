// The platform's store as this daemon calls it: typed results, and what was
// learned of its health.
//
// The store may turn this daemon away while it serves others. Calls then go
// through another daemon, which passes them on unchanged; an append that went
// without an answer may be repeated by another way, as the store knows it by
// its producer and number.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
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

enum class append_status {
  replied,   // `reply` tells how.
  not_done,  // The store did nothing.
  unknown,   // It may have been done, or may be later.
};

struct append_result {
  append_status status = append_status::unknown;
  platform::append_reply reply;
};

class store_client {
 public:
  store_client(boost::asio::io_context& context, const std::string& address,
               const clock::clock& clock);

  // `repetitions` of the same append went without an answer; each doubles
  // the time that this one is given.
  void append(const platform::append_request& request,
              const std::vector<jobs::record>& records,
              std::uint32_t unanswered_attempts,
              std::function<void(append_result)> handler);
  // Waits up to `wait` for a record at `from`.
  void read(std::string_view topic, std::uint64_t from, milliseconds wait,
            std::function<void(error::result<platform::read_reply>)> handler);
  void newest(
      std::string_view topic, std::string_view after, milliseconds timeout,
      std::function<void(error::result<platform::newest_reply>)> handler);

  // Daemons that may pass calls on.
  void set_relays(const std::vector<std::string>& addresses);
  // Passes a call of another daemon on: 503 without a call if the store has
  // turned this daemon away, too.
  void relay(http::request&& request,
             std::function<void(http::call_result&&)> handler);

  // When an answer last came that was not a refusal.
  steady_time last_reply() const { return last_reply_; }
  std::uint64_t calls() const { return calls_; }
  // Least time that the store took for an answer that didn't wait for
  // anything: how far it is. Nothing before the first one.
  std::optional<milliseconds> min_round_trip() const { return min_round_trip_; }

 private:
  // Calls of one kind by one way. Reads may wait for long and may hang while
  // appends are answered, so the two are kept apart.
  struct route_client {
    std::unique_ptr<http::client> client;
    steady_time retry_at;
  };
  // One way to the store.
  struct route {
    std::string prefix;  // Of the path; empty for the direct way.
    std::string address;
    route_client reads;
    route_client appends;
  };
  static route_client& client_for(route& route, bool appends);

  std::shared_ptr<route> make_route(const std::string& address,
                                    const std::string& prefix);
  std::shared_ptr<route> choose_route(bool appends);
  void call(std::string_view step, http::request&& request, bool appends,
            milliseconds timeout,
            std::function<void(http::call_result&&)> handler);
  // Takes note of how a call went.
  void record_result(route& route, bool appends, std::string_view step,
                     const http::call_result& result);
  milliseconds append_timeout(std::uint32_t unanswered_attempts) const;

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  std::shared_ptr<route> direct_;
  std::vector<std::shared_ptr<route>> relays_;
  std::size_t next_relay_ = 0;
  steady_time last_reply_;
  std::optional<milliseconds> min_round_trip_;
  milliseconds smoothed_append_time_{20};  // Smoothed, of answered appends.
  bool unreachable_ = false;
  std::uint64_t calls_ = 0;
  // Gone with this object; an answer that comes later is dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
