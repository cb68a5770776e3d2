// Calls to one worker: a long poll that renews its lease and brings its ends,
// starts and stops.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "clock/clock.h"
#include "http/client.h"
#include "platform/workers.h"
#include "pool/pool.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

class worker_link : public std::enable_shared_from_this<worker_link> {
 public:
  struct handlers {
    // Asked before each poll: the lease to ask for, and the ends to forget.
    std::function<platform::hold_order(const std::string& worker)> prepare_poll;
    // Nothing came back: `reply` is null. `incarnation_ms` is that of the
    // prepared order.
    std::function<void(const std::string& worker,
                       const platform::hold_reply* reply, steady_time sent,
                       std::int64_t incarnation_ms)>
        on_poll_result;
  };

  worker_link(boost::asio::io_context& context, const clock::clock& clock,
              std::string worker, const std::string& address,
              std::uint64_t fencing_token, handlers handlers);

  void start();
  void stop();
  // Ends have become durable: poll again if that is what was waited for.
  void on_ends_recorded();
  void send_start(const pool::start_order& order,
                  std::function<void(pool::start_outcome)> handler);
  void send_stop(const pool::stop_order& order,
                 std::function<void(bool confirmed)> handler);
  const std::string& address() const { return address_; }

 private:
  void poll();
  void poll_after(milliseconds delay);
  void on_reply(http::call_result&& result, steady_time sent,
                std::int64_t incarnation_ms);

  const clock::clock& clock_;
  std::string worker_;
  std::string address_;
  std::uint64_t fencing_token_;
  handlers handlers_;
  http::client client_;
  boost::asio::steady_timer timer_;
  bool stopped_ = false;
  bool replied_once_ = false;
  bool awaits_end_records_ = false;
};

}  // namespace ebonygrade::poold
