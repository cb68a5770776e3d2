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
#include "poold/advice_channel.h"

namespace ebonygrade::poold {

using clock::milliseconds;
using clock::steady_time;

class advice_dispatcher {
 public:
  using handler = std::function<void(std::optional<std::vector<pool::ticket>>)>;

  advice_dispatcher(boost::asio::io_context& context, const clock::clock& clock,
                    const std::string& service_address);

  // Another daemon is there to ask.
  void record_daemon(const std::string& daemon,
                     const std::string& peer_address);
  // Addresses of the daemons that were heard of lately.
  std::vector<std::string> peer_addresses() const;
  // Nothing in the handler: no usable answer. May be called at once.
  void request(const pool::advice_request& order, handler handler);

 private:
  struct advice_channel {
    std::unique_ptr<http::client> client;
    std::string address;
    std::string target;  // Where the client takes the question.
    bool local = false;
    steady_time last_contact;
    steady_time retry_at;
    channel_load load;
  };
  struct pending_request {
    pool::advice_request order;
    handler answer;
  };

  bool is_available(const advice_channel& advice_channel,
                    steady_time now) const;
  // Null if none may take the question now.
  std::shared_ptr<advice_channel> choose(const pool::advice_request& order,
                                         steady_time now) const;
  void dispatch();
  void send(std::shared_ptr<advice_channel> chosen, pending_request request,
            steady_time now);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  std::map<std::string, std::shared_ptr<advice_channel>> channels_;
  // By priority, then in the order of asking.
  std::multimap<std::uint32_t, pending_request> waiting_;
  // Gone with this object; an answer that comes later is dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
