// Adapter to the workers: the only code that knows how a worker is spoken to.
// Runs in a thread of its own; commands come in and reports go out through
// bounded channels.
//
// For each watched worker it fences the worker under the given epoch, then
// keeps one long poll for events and renews the leases of its tasks. Starts
// and stops for the same worker are sent in order of their kind, batched while
// an earlier call is in flight. Every start command is answered by exactly one
// of `start_answered` and `start_unanswered`; one that surely never left, as
// when the worker can't be connected to, is answered as `rejected`. A stop has
// a connection of its own, so that it doesn't wait behind a silent start. One
// without an answer is not repeated.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "clock/clock.h"
#include "error/error.h"
#include "http/client.h"
#include "job/job.h"
#include "ring/channel.h"
#include "wire/worker.pb.h"

namespace ebonygrade::worker {

using clock::milliseconds;

struct adapter_options {
  std::string self;                 // Daemon id, shown to workers.
  milliseconds call_timeout{2000};  // Of fence, start, renew and stop.
  milliseconds event_wait{10000};   // Long poll; proof of life.
  milliseconds retry_pause{500};    // After a failed fence or poll.
  milliseconds task_lease{30000};   // Renewed at a third of it.
  std::uint32_t max_batch = 64;     // Starts in one call.
};

// ---- Commands -----------------------------------------------------------

// Fences the worker under `epoch`, then follows it. Repeats the fence until
// it is answered. A second watch with a higher epoch fences anew.
struct watch {
  std::string worker;
  std::string address;  // IP:PORT
  job::epoch epoch = 0;
};
// Stops following; pending starts are reported as unanswered or, if they
// never left, as `rejected`.
struct unwatch {
  std::string worker;
};
struct start {
  std::string worker;
  job::epoch epoch = 0;
  wire::task_start task;
};
struct stop {
  std::string worker;
  job::epoch epoch = 0;
  job::attempt_key key;
  wire::stop_mode mode = wire::stop;
};
using command = std::variant<watch, unwatch, start, stop>;

// ---- Reports ------------------------------------------------------------

struct fenced {
  std::string worker;
  job::epoch epoch = 0;
  wire::fence_reply reply;
};
// The worker knows a higher epoch: another daemon owns its shard.
struct superseded {
  std::string worker;
  job::epoch epoch = 0;  // The higher one.
};
// No answer for so long; sent once at each call timeout, until it answers.
struct unreachable {
  std::string worker;
  milliseconds unresponsive_for{0};
  error::failure cause;
};
// The worker lost its task table (its boot id changed): every task that it
// ran has ended without an answer.
struct rebooted {
  std::string worker;
};
struct start_answered {
  std::string worker;
  job::attempt_key key;
  wire::start_status status = wire::started;
};
struct start_unanswered {
  std::string worker;
  job::attempt_key key;
  error::failure cause;
};
struct stop_answered {
  std::string worker;
  job::attempt_key key;
  wire::stop_status status = wire::stop_confirmed;
};
struct ended {
  std::string worker;
  wire::task_event event;
};
struct usage {
  std::string worker;
  wire::task_usage usage;
};
using report =
    std::variant<fenced, superseded, unreachable, rebooted, start_answered,
                 start_unanswered, stop_answered, ended, usage>;

// Runs on `context`, which the caller runs in a thread of its own. `reports`
// leads to the core thread; while it is full, no further replies are read.
class adapter {
 public:
  adapter(boost::asio::io_context& context, const clock::clock& clock,
          const adapter_options& options, ring::channel<report>& reports);
  ~adapter();

  // Called on `context`.
  void handle(command&& command);
  // Cancels what is in flight, so that the context can run out of work.
  void close();
  // All traffic with workers so far. Called on `context`.
  http::client_traffic traffic() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::worker
