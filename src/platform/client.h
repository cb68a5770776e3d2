// Client of the platform's log and VM list. Runs in a thread of its own;
// commands come in and reports go out through bounded channels.
//
// Appends of one stream are sent in order. An append is not repeated by the
// client: one without an answer is reported as `append_failed` with
// `maybe_written`, and the caller finds out by reading the stream.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "ring/channel.h"
#include "wire/platform.pb.h"
#include "wire/record.pb.h"

namespace ebonygrade::platform {

using clock::milliseconds;

struct client_options {
  std::string log_address;   // IP:PORT
  std::string list_address;  // IP:PORT
  milliseconds call_timeout{2000};
  milliseconds follow_wait{10000};   // Long poll of a followed stream.
  milliseconds list_interval{1000};  // Between reads of the VM list.
  milliseconds retry_pause{200};     // After a failure; doubled up to 16 times,
                                     // with jitter.
  double appends_per_second = 30;    // This daemon's part of the log's rate.
};

// ---- Commands -----------------------------------------------------------

struct append {
  std::uint64_t token = 0;
  std::string stream;
  wire::record record;
};
// Reports every record from `from` on, now and as they come.
struct follow {
  std::string stream;
  std::uint64_t from = 0;
};
// Reports `end_reached` once every record that was in the stream when this
// command was handled has been reported. Reads a stream that is not followed
// from offset 0 and reports its records too.
struct read_to_end {
  std::uint64_t token = 0;
  std::string stream;
};
using command = std::variant<append, follow, read_to_end>;

// ---- Reports ------------------------------------------------------------

struct appended {
  std::uint64_t token = 0;
  std::uint64_t offset = 0;
};
struct append_failed {
  std::uint64_t token = 0;
  bool maybe_written = false;
  error::failure cause;
};
struct records {
  std::string stream;
  std::uint64_t oldest_offset = 0;  // Oldest offset that the log still keeps.
  std::vector<std::uint64_t> offsets;
  std::vector<wire::record> entries;  // Parallel to offsets. A record that
                                      // can't be parsed is left out.
  bool at_end = false;
};
struct end_reached {
  std::uint64_t token = 0;
};
struct read_failed {
  std::uint64_t token = 0;
  error::failure cause;
};
// The list as last read, whole.
struct list_read {
  wire::vm_list list;
};
// The log began or ceased to answer.
struct log_reachability {
  bool reachable = false;
  error::failure cause;  // When not.
};
using report = std::variant<appended, append_failed, records, end_reached,
                            read_failed, list_read, log_reachability>;

// Runs on `context`, which the caller runs in a thread of its own. While
// `reports` is full, nothing further is read.
class client {
 public:
  client(boost::asio::io_context& context, const clock::clock& clock,
         const client_options& options, ring::channel<report>& reports);
  ~client();

  // Called on `context`.
  void handle(command&& command);
  // Cancels what is in flight, so that the context can run out of work.
  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::platform
