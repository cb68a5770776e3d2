// The core thread of a daemon. It holds all scheduling state and calls the pure
// step functions of the other libraries. It receives commands from the HTTP
// server and reports from the I/O threads, and sends replies and commands to
// them. All of these messages go through bounded channels.
//
// All member functions must be called on the core's io_context, except where
// noted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/messages.h"
#include "clock/clock.h"
#include "entry/entry.h"
#include "ownership/ownership.h"
#include "peer/link.h"
#include "platform/client.h"
#include "requests/requests.h"
#include "ring/channel.h"
#include "worker/adapter.h"

namespace ebonygrade::core {

using clock::milliseconds;

struct region {
  std::string name;
  std::vector<std::string> zones;
};

struct core_options {
  std::string self;
  std::string zone;
  std::string http_address;
  std::string peer_address;
  std::uint64_t incarnation = 0;
  std::vector<region> regions;
  std::uint16_t shards_per_region = 2;
  ownership::ownership_options ownership;
  requests::table_options requests;
  entry::entry_options entry;
  milliseconds intent_flush_interval{20};
  milliseconds heartbeat_interval{500};
  milliseconds unresponsive_limit{2000};
  // Ownership becomes uncertain if the log sends no reply for this time and no
  // responsive daemon confirms that this one has read all claims.
  milliseconds isolation_limit{15000};
  // A longer gap between ticks means that the process was suspended.
  milliseconds suspension_threshold{1000};
};

// Channels to the other threads of the daemon.
struct core_outputs {
  ring::channel<api::reply>& api;
  ring::channel<worker::command>& workers;
  ring::channel<platform::command>& platform;
  ring::channel<peer::command>& peers;
};

class scheduler {
 public:
  scheduler(boost::asio::io_context& context, const clock::clock& clock,
            const core_options& options, const core_outputs& outputs);
  ~scheduler();

  // Starts the timers and follows the streams of the log.
  void start();

  void handle(api::command&& command);
  void handle(worker::report&& report);
  void handle(platform::report&& report);
  void handle(peer::report&& report);

  // Reports the daemon as not ready and hands over every shard. Calls
  // `on_drained` once all shards are handed over and no request is open, or
  // after `timeout`, with the number of requests that are still open.
  void drain(milliseconds timeout, std::function<void(std::size_t)> on_drained);

  // Whether the load balancer may route callers here. Safe from any thread.
  bool ready() const;

  // Requests of callers that wait for a reply here. Safe from any thread.
  std::size_t open_requests() const;

  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::core
