// Client of the platform's store. Returns typed results and tracks the health
// of each route to the store.
//
// The store may reject calls of this daemon while it serves others. Calls then
// go through another daemon, which relays them unchanged. An append without a
// reply may be repeated over another connection or route while the first
// attempt is still awaited, as the store identifies an append by its producer
// and sequence number.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "clock/timer.h"
#include "error/error.h"
#include "http/client.h"
#include "platform/store.h"
#include "poold/append_pacing.h"

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
  std::uint64_t attempt = 0;  // As returned by append().
};

struct append_call {
  std::uint32_t attempt = 0;  // 0: the first attempt of this append.
  milliseconds timeout = kAttemptTimeout;
};

class store_client {
 public:
  store_client(boost::asio::io_context& context, const std::string& address,
               const clock::clock& clock);

  // Sends one attempt on a connection of its own, as one on which a reply was
  // lost returns nothing further. Every second attempt takes another route than
  // the first if there is one. Returns a number that identifies the attempt.
  std::uint64_t append(const platform::append_request& request,
                       const std::vector<jobs::record>& records,
                       const append_call& options,
                       std::function<void(append_result)> handler);
  // Drops an attempt whose reply must be lost, as a later one got its reply.
  // The handler isn't called. Avoids the attempt's route for a while.
  void abandon(std::uint64_t attempt);
  // Called once. `sent` is when the attempt that got the reply was sent.
  using read_handler = std::function<void(
      error::result<platform::read_reply> reply, steady_time sent)>;
  // Long poll: waits up to `wait` for a record at offset `from`. A read whose
  // reply is overdue is repeated over another route while the earlier attempts
  // are awaited, as the store may be slow or the route silent. A reply that
  // makes progress is not broken off before a total time limit, which doubles
  // with each of `failed_attempts`, up to a limit. After a failure the store is
  // asked not to wait, so that a silent route shows at once.
  void read(std::string_view topic, std::uint64_t from, milliseconds wait,
            std::uint32_t failed_attempts, read_handler handler);
  // Reads a page; repeated like read().
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
  // Reads that were sent again while an earlier attempt was awaited.
  std::uint64_t repeated_reads() const { return repeated_reads_; }
  // Round trips of appends, replies to earlier writes included.
  const append_pace& pace() const { return pace_; }
  // How much later than asked for the store replies to reads. 0 if on time.
  milliseconds read_delay() const { return read_delay_; }
  steady_time now() const { return clock_.now(); }
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
    std::uint32_t failures = 0;  // Since the last reply; of reads only.
  };
  // Connection for one attempt of an append.
  struct lane {
    std::unique_ptr<http::client> client;
    std::uint64_t attempt = 0;  // 0: free.
  };
  // A direct or relayed route to the store.
  struct route {
    // Path prefix at the relay; empty for the direct route.
    std::string path_prefix;
    std::string address;
    route_client reads;
    route_client appends;  // Its client serves relayed appends only.
    std::vector<std::shared_ptr<lane>> lanes;
  };
  struct read_attempt {
    std::shared_ptr<route> sent_over;
    steady_time late_at;  // Then its route is avoided.
    bool awaited = true;
    bool avoided = false;
  };
  // A read and its attempts.
  struct open_read {
    std::string step;
    // Encodes the request; the store waits up to `wait` for a record.
    std::function<http::request(milliseconds wait)> encode;
    milliseconds wait{0};          // Of the first attempt.
    milliseconds repeat_delay{0};  // From when the reply is due.
    http::call_options options;    // The stall timeout without the wait.
    // Called once with the reply to an attempt, and its wait and send time.
    std::function<void(http::call_result&&, milliseconds, steady_time)> handler;
    std::vector<read_attempt> attempts;
    steady_time repeat_at;
    bool lagged = false;  // The last attempt was given more time for a lag.
    steady_time begun;
    clock::timer timer;

    explicit open_read(boost::asio::io_context& context) : timer(context) {}
  };
  static route_client& client_for(route& route, bool appends);

  std::shared_ptr<route> make_route(const std::string& address,
                                    const std::string& path_prefix);
  std::shared_ptr<route> choose_route(bool appends);
  // The route of a repetition: not `first` if there is another one.
  std::shared_ptr<route> choose_other_route(
      const std::shared_ptr<route>& first);
  std::shared_ptr<lane> free_lane(route& route);
  void on_append_reply(steady_time sent, http::call_result&& result,
                       append_result* out);
  // Avoids the route for reads for a while, longer with each failure.
  void avoid_for_reads(route* route);
  // The route of the next attempt: one that this read hasn't tried yet if there
  // is one.
  std::shared_ptr<route> choose_read_route(const open_read& read);
  void begin_read(std::shared_ptr<open_read> read);
  void send_read(const std::shared_ptr<open_read>& read);
  // `index`: of the attempt.
  void on_read_reply(const std::shared_ptr<open_read>& read, std::size_t index,
                     http::call_result&& result, milliseconds wait,
                     steady_time sent);
  // Repeats the read when it is overdue.
  void watch_read(const std::shared_ptr<open_read>& read);
  void repeat_read(const std::shared_ptr<open_read>& read);
  // Avoids the routes of the attempts that are late. Returns the newest of
  // them; null without one.
  route* avoid_late_routes(open_read* read, steady_time now);
  // Updates the health of the route with the result of a call.
  void record_result(route& route, bool appends, std::string_view step,
                     const http::call_result& result);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  // Direct reads for other daemons, so that this daemon's don't wait for them.
  std::unique_ptr<http::client> relayed_reads_;
  std::shared_ptr<route> direct_;
  std::vector<std::shared_ptr<route>> relays_;
  std::size_t next_relay_ = 0;
  steady_time last_reply_;
  std::optional<milliseconds> min_round_trip_;
  append_pace pace_;
  milliseconds read_delay_{0};
  std::uint64_t append_attempts_ = 0;
  std::uint64_t repeated_reads_ = 0;
  steady_time repetition_logged_;
  bool unreachable_ = false;
  std::uint64_t calls_ = 0;
  // Expires with this object; later replies are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
