// Calls to one worker: start and stop orders, and the long poll that renews the
// worker's lease and returns the ends of its runs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "clock/clock.h"
#include "clock/timer.h"
#include "http/client.h"
#include "platform/workers.h"
#include "pool/pool.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

class worker_link : public std::enable_shared_from_this<worker_link> {
 public:
  struct handlers {
    // Called before each poll. Supplies the fencing token, the lease to request
    // and the number of the last recorded end. `connected`: the poll goes to
    // the incarnation that answered the last one. Otherwise it may reach a
    // later one.
    std::function<platform::worker_poll_request(const std::string& worker,
                                                bool connected)>
        prepare_poll;
    // Called after each poll. `reply` is null if the call failed. `request` is
    // the value from `prepare_poll`.
    std::function<void(const platform::worker_poll_request& request,
                       const platform::worker_poll_reply* reply,
                       steady_time sent)>
        on_poll_result;
    // Called before on_poll_result if the poll's connection broke, or none
    // could be opened.
    std::function<void(const std::string& worker)> on_contact_lost;
  };

  worker_link(boost::asio::io_context& context, const clock::clock& clock,
              std::string worker, const std::string& address,
              handlers handlers);

  void start();
  // Ends the polls. Orders that were sent still get their outcome.
  void stop();
  // Called when reported ends are in the journal. Polls again if the next poll
  // waits for them.
  void on_ends_recorded();
  void send_start(const pool::start_order& order,
                  std::function<void(pool::start_outcome)> handler);
  void send_stop(const pool::stop_order& order,
                 std::function<void(bool confirmed)> handler);
  const std::string& address() const { return address_; }

 private:
  void poll();
  void poll_after(milliseconds delay);
  void on_reply(http::call_result&& result,
                const platform::worker_poll_request& request, steady_time sent,
                bool connected);

  const clock::clock& clock_;
  std::string worker_;
  std::string address_;
  handlers handlers_;
  // Polls have a connection of their own, as its loss shows that the next poll
  // may reach another incarnation.
  http::client poll_client_;
  http::client order_client_;
  clock::timer timer_;
  bool stopped_ = false;
  bool answered_ = false;  // The last poll.
  // Answers in a row, each on a new connection.
  std::size_t answers_on_new_connections_ = 0;
  bool awaits_end_records_ = false;
};

}  // namespace ebonygrade::poold
