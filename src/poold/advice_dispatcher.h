// Distributes advice requests over the daemons. The advice service handles one
// call at a time per calling VM, so each daemon is a separate queue.
//
// Requests wait here in priority order until a daemon can send them. A late one
// is sent a second time by another daemon (src/poold/advice_plan).
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "clock/timer.h"
#include "http/client.h"
#include "pool/pool.h"
#include "poold/advice_plan.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

class advice_dispatcher {
 public:
  using handler = std::function<void(std::optional<std::vector<pool::ticket>>)>;

  advice_dispatcher(boost::asio::io_context& context, const clock::clock& clock,
                    const std::string& service_address);

  // Records an announcement of another daemon, which can then relay requests.
  void record_daemon(const std::string& daemon,
                     const std::string& peer_address);
  // Number of daemons that may send a request now, this one included.
  std::size_t available_daemons() const;
  // The handler is called once; it gets no value if there was no usable reply.
  void submit(const pool::advice_request& request, handler handler);
  // Requests that were sent a second time.
  std::uint64_t repeated() const { return plan_.repeated; }

 private:
  // Connection of a channel of the plan, with the same index.
  struct connection {
    std::unique_ptr<http::client> client;
    std::string target;  // Path of the relay route; empty for this daemon.
  };
  struct pending_request {
    pool::advice_request request;
    handler handle;
  };

  // Returns the index of the channel.
  std::size_t add_connection(bool local, const std::string& address,
                             const std::string& target);
  void dispatch();
  void arm_timer();
  void send(const advice_attempt& attempt);
  void on_reply(const advice_attempt& attempt,
                std::optional<std::vector<pool::ticket>> tickets);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  advice_plan plan_;
  std::vector<connection> connections_;
  struct known_daemon {
    std::string address;
    std::size_t channel = 0;
  };
  std::map<std::string, known_daemon> daemons_;
  std::map<std::uint64_t, pending_request> pending_;  // By number.
  clock::timer timer_;
  std::optional<steady_time> timer_at_;
  // Expires with this object; later replies are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
