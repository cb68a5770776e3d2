// Distributes advice requests over the daemons. The advice service handles one
// call at a time per calling VM, so each daemon is a separate queue.
//
// Requests wait here in priority order until a daemon can send them.
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

  // Records an announcement of another daemon, which can then relay requests.
  void record_daemon(const std::string& daemon,
                     const std::string& peer_address);
  // Number of daemons that may send a request now, this one included.
  std::size_t available_daemons() const;
  // The handler gets no value if there was no usable reply. It may be called
  // before this function returns.
  void submit(const pool::advice_request& request, handler handler);

 private:
  struct advice_channel {
    std::unique_ptr<http::client> client;
    std::string address;
    std::string target;  // Path of the relay route; unused for `local`.
    bool local = false;
    steady_time last_contact;
    steady_time retry_at;
    channel_load load;
  };
  struct pending_request {
    pool::advice_request request;
    handler handle;
  };

  bool is_available(const advice_channel& channel, steady_time now) const;
  // Null if no channel may take the request now.
  std::shared_ptr<advice_channel> choose(const pool::advice_request& request,
                                         steady_time now) const;
  void dispatch();
  void send(std::shared_ptr<advice_channel> chosen, pending_request pending,
            steady_time now);

  boost::asio::io_context& context_;
  const clock::clock& clock_;
  std::map<std::string, std::shared_ptr<advice_channel>> channels_;
  // By priority, then in order of arrival.
  std::multimap<std::uint32_t, pending_request> waiting_;
  // Expires with this object; later replies are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ebonygrade::poold
