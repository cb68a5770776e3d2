// Spreads questions to the advice service over the daemons: it answers one
// call at a time for each calling VM, so each daemon is a queue of its own.
//
// Questions wait here, the urgent ones first, until a daemon is free for them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock/clock.h"
#include "http/client.h"
#include "pool/pool.h"
#include "poold/adviser_choice.h"

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
  // Addresses of the daemons that were heard of lately.
  std::vector<std::string> peer_addresses() const;
  // Nothing in the handler: no usable answer. May be called at once.
  void ask(const pool::advice_request& order, handler handler);

 private:
  struct adviser {
    std::unique_ptr<http::client> client;
    std::string address;
    std::string target;  // Where the client takes the question.
    bool local = false;
    steady_time heard;
    steady_time avoid_until;
    adviser_load load;
  };
  struct question {
    pool::advice_request order;
    handler answer;
  };

  bool is_available(const adviser& adviser, steady_time now) const;
  // Null if none may take the question now.
  std::shared_ptr<adviser> choose(const pool::advice_request& order,
                                  steady_time now) const;
  void dispatch();
  void send(std::shared_ptr<adviser> chosen, question asked, steady_time now);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  std::map<std::string, std::shared_ptr<adviser>> advisers_;
  // By priority, then in the order of asking.
  std::multimap<std::uint32_t, question> waiting_;
  // Gone with this object; an answer that comes later is dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
