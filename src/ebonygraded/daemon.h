// A complete daemon: one thread each for the HTTP API, the core, the workers,
// the platform and the peers, connected by bounded channels.
//
//   daemon d(settings, clock);
//   error::result<void> started = d.start();
//   d.drain(timeout, [](std::size_t open_count) { ... });
//   d.stop();
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "clock/clock.h"
#include "error/error.h"
#include "settings/settings.h"

namespace ebonygrade::ebonygraded {

using clock::milliseconds;

class daemon {
 public:
  daemon(const settings::settings& settings, const clock::clock& clock);
  // Calls stop().
  ~daemon();

  // Binds the addresses and starts all threads. On failure no thread is
  // started.
  error::result<void> start();

  // Graceful shutdown: reports the daemon as not ready, hands over every shard
  // and replies to the open requests. Then, or after `timeout`, calls
  // `on_drained` on an internal thread with the number of requests that are
  // still open.
  void drain(milliseconds timeout, std::function<void(std::size_t)> on_drained);

  // Requests of callers that wait for a reply here.
  std::size_t open_requests() const;

  // Stops all threads at once. Open requests get no reply.
  void stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::ebonygraded
