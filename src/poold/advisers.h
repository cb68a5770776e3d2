// Spreads questions to the advice service over the daemons: it answers one
// call at a time for each calling VM, so each daemon is a queue of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "http/client.h"
#include "pool/pool.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

class advisers {
 public:
  using handler = std::function<void(std::optional<std::vector<pool::ticket>>)>;

  advisers(boost::asio::io_context& context, const clock::clock& clock,
           const std::string& service_address);

  // Another daemon is there to ask.
  void heard_of(const std::string& daemon, const std::string& peer_address);
  // Nothing in the handler: no usable answer.
  void ask(const pool::advice_order& order, handler handler);

 private:
  struct adviser {
    std::shared_ptr<http::client> client;
    std::string address;
    std::string target;  // Where the client takes the question.
    bool local = false;
    steady_time heard;
    steady_time free_at;  // When its questions so far will be answered.
    steady_time avoid_until;
    std::size_t open = 0;
  };

  adviser* choose(steady_time now);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  std::map<std::string, std::shared_ptr<adviser>> advisers_;
};

}  // namespace ebonygrade::poold
