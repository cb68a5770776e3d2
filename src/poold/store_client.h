// Client of the platform's store. Returns typed results and tracks the health
// of each route to the store.
//
// The store may reject calls of this daemon while it serves others. Calls then
// go through another daemon, which relays them unchanged. An append without a
// reply may be retried over another route, as the store identifies an append by
// its producer and sequence number.
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
  replied,      // `reply` holds the outcome.
  not_applied,  // The store did not apply the append and won't.
  unknown,      // The append may have been applied, or may be later.
};

struct append_result {
  append_status status = append_status::unknown;
  platform::append_reply reply;
};

class store_client {
 public:
  store_client(boost::asio::io_context& context, const std::string& address,
               const clock::clock& clock);

  // `unanswered_attempts` earlier attempts of this append got no reply; each
  // doubles the timeout, up to a limit.
  void append(const platform::append_request& request,
              const std::vector<jobs::record>& records,
              std::uint32_t unanswered_attempts,
              std::function<void(append_result)> handler);
  // Long poll: waits up to `wait` for a record at offset `from`. A reply that
  // makes progress is not broken off before a total time limit, which doubles
  // with each of `failed_attempts`, up to a limit.
  void read(std::string_view topic, std::uint64_t from, milliseconds wait,
            std::uint32_t failed_attempts,
            std::function<void(error::result<platform::read_reply>)> handler);
  // Reads a page. The time limits are like those of read(); the limit without
  // progress doubles, too.
  void newest(
      std::string_view topic, std::string_view after,
      std::uint32_t failed_attempts,
      std::function<void(error::result<platform::newest_reply>)> handler);

  // Peer addresses of the daemons that may relay calls.
  void set_relays(const std::vector<std::string>& addresses);
  // Relays a call of another daemon. Replies with 503 at once if direct calls
  // of this daemon have failed recently, too. If `on_progress` is set, it is
  // called while the reply to a read arrives and returns whether the reply is
  // still wanted; such a read has the time limits of read().
  void relay(http::request&& request, std::function<bool()> on_progress,
             std::function<void(http::call_result&&)> handler);

  // Time of the last reply that was not a rejection.
  steady_time last_reply() const { return last_reply_; }
  std::uint64_t calls() const { return calls_; }
  // Shortest round trip of a call that is not a long poll; empty before the
  // first reply.
  std::optional<milliseconds> min_round_trip() const { return min_round_trip_; }

 private:
  // Client for one kind of calls over one route. Reads and appends have
  // separate clients, as reads are long polls and may hang while appends get
  // replies.
  struct route_client {
    std::unique_ptr<http::client> client;
    steady_time retry_at;
  };
  // A direct or relayed route to the store.
  struct route {
    // Path prefix at the relay; empty for the direct route.
    std::string path_prefix;
    std::string address;
    route_client reads;
    route_client appends;
  };
  static route_client& client_for(route& route, bool appends);

  std::shared_ptr<route> make_route(const std::string& address,
                                    const std::string& path_prefix);
  std::shared_ptr<route> choose_route(bool appends);
  void call(std::string_view step, http::request&& request, bool appends,
            http::call_options options,
            std::function<void(http::call_result&&)> handler);
  // Updates the health of the route with the result of a call.
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
  milliseconds smoothed_append_time_{20};  // Round trip of appends.
  bool unreachable_ = false;
  std::uint64_t calls_ = 0;
  // Expires with this object; later replies are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
