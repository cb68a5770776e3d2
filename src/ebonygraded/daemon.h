// A whole daemon: one thread a duty, joined by bounded channels.
//
//   daemon d(settings, clock);
//   error::result<void> started = d.start();
//   d.drain(limit, [](std::size_t abandoned) { ... });
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
  // Stops at once if it still runs.
  ~daemon();

  // Binds the addresses and starts every thread. On failure nothing runs.
  error::result<void> start();

  // Graceful shutdown: not ready, hands over every shard, answers what is in
  // flight. `done` is called on an inner thread with the number of requests
  // that were still unanswered after `limit`.
  void drain(milliseconds limit, std::function<void(std::size_t)> done);

  // Requests of callers that wait for an answer here.
  std::size_t open_requests() const;

  // Ends every thread; requests in flight get no answer.
  void stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::ebonygraded
