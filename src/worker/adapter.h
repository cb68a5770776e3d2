// Client of the workers and the only implementation of their protocol. Runs in
// its own thread; bounded channels carry commands in and reports out.
//
// The adapter fences each watched worker under the given epoch. Then it keeps
// one long poll for events open and renews the leases of the worker's tasks.
// Starts for a worker are sent in order, and so are stops; commands that arrive
// while a call is in flight are batched into the next one. Each start command
// yields exactly one `start_answered` or `start_unanswered`. A start that was
// certainly not sent, for instance because the connection was refused, yields
// `start_answered` with the status `rejected`. Stops use a separate connection,
// so that an unresponsive start call doesn't delay them. A stop without a reply
// is not repeated.
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
  std::string self;                 // Daemon id, sent to workers.
  milliseconds call_timeout{2000};  // Of fence, start, renew and stop.
  milliseconds event_wait{10000};   // Wait of a long poll; its reply shows that
                                    // the worker is alive.
  milliseconds retry_pause{500};    // First delay after a failed fence or poll.
  milliseconds task_lease{30000};   // Renewed every third of its length.
  std::uint32_t max_batch = 64;     // Starts, or stops, in one call.
};

// ---- Commands -----------------------------------------------------------

// Fences the worker under `epoch` and then follows its events. Repeats the
// fence until the worker replies. A second watch with a higher epoch fences
// again.
struct watch {
  std::string worker;
  std::string address;  // IP:PORT
  job::epoch epoch = 0;
};
// Stops following the worker. Starts in flight are reported as unanswered,
// those that were not sent as `rejected`.
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
// The worker has seen a higher epoch: another daemon owns its shard.
struct superseded {
  std::string worker;
  job::epoch epoch = 0;  // The higher epoch.
};
// The worker doesn't reply. Sent at most once per call timeout until it
// replies.
struct unreachable {
  std::string worker;
  milliseconds unresponsive_for{0};
  error::failure cause;
};
// The boot id of the worker changed, so it has lost its task table. Every task
// that ran on it has ended without a reported end.
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

// Runs on `context`, which the caller runs in a separate thread. `reports`
// leads to the core thread; while that channel is full, no further starts,
// stops or polls are sent.
class adapter {
 public:
  adapter(boost::asio::io_context& context, const clock::clock& clock,
          const adapter_options& options, ring::channel<report>& reports);
  ~adapter();

  // Called on `context`.
  void handle(command&& command);
  // Cancels all calls and timers, so that the context can run out of work.
  void close();
  // Traffic with workers since the start. Called on `context`.
  http::client_traffic traffic() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::worker
