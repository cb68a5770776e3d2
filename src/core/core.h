// The core thread of a daemon: holds all scheduling state and drives the pure
// step functions of the slices. Takes commands of the HTTP server and reports
// of the I/O duties, and sends commands to them through bounded channels.
//
// All members are called on the core's io_context, except where noted.
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
  milliseconds silence_limit{2000};
  // Without an answer of the log for so long, ownership is in doubt.
  milliseconds isolation_limit{15000};
  // A gap between ticks longer than this is a pause of the process.
  milliseconds pause_limit{1000};
};

// Channels that lead to the other duties' threads.
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

  // Starts timers and follows the log's streams.
  void start();

  void handle(api::command&& command);
  void handle(worker::report&& report);
  void handle(platform::report&& report);
  void handle(peer::report&& report);

  // Stops accepting work and hands over every shard, then calls `done` with
  // the number of requests that were still open after `limit`.
  void drain(milliseconds limit, std::function<void(std::size_t)> done);

  // Whether the balancer may send callers here. Safe from any thread.
  bool ready() const;

  // Requests of callers that wait for an answer here. Safe from any thread.
  std::size_t open_requests() const;

  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::core
