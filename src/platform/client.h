// Client of the platform's log and VM list. Runs in its own thread; bounded
// channels carry commands in and reports out.
//
// Appends to one stream are sent in order. The client doesn't repeat an append.
// It reports one without a reply as `append_failed` with `maybe_written`; the
// caller reads the stream to find out whether the record was written.
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
  milliseconds follow_wait{10000};   // Wait of a long poll of a stream.
  milliseconds list_interval{1000};  // Between reads of the VM list.
  milliseconds retry_pause{200};     // First delay after a failure; grows up to
                                     // 16 times as long, with jitter.
  double appends_per_second = 30;    // This daemon's share of the log's rate.
};

// ---- Commands -----------------------------------------------------------

struct append {
  std::uint64_t token = 0;
  std::string stream;
  wire::record record;
};
// Reports every record from the offset `from` on, including later appends.
struct follow {
  std::string stream;
  std::uint64_t from = 0;
};
// Reports `end_reached` once all records that the stream had when this command
// was handled have been reported. A stream that is not followed is read from
// offset 0, and its records are reported.
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
  std::uint64_t oldest_offset = 0;  // Oldest record in the log.
  std::vector<std::uint64_t> offsets;
  std::vector<wire::record> entries;  // Parallel to offsets. Records that
                                      // can't be parsed are omitted.
  bool at_end = false;
};
struct end_reached {
  std::uint64_t token = 0;
};
struct read_failed {
  std::uint64_t token = 0;
  error::failure cause;
};
// The complete list as last read.
struct list_read {
  wire::vm_list list;
};
// The log has become reachable or unreachable.
struct log_reachability {
  bool reachable = false;
  error::failure cause;  // Set if not reachable.
};
using report = std::variant<appended, append_failed, records, end_reached,
                            read_failed, list_read, log_reachability>;

// Runs on `context`, which the caller runs in a separate thread. While
// `reports` is full, followed streams are not read.
class client {
 public:
  client(boost::asio::io_context& context, const clock::clock& clock,
         const client_options& options, ring::channel<report>& reports);
  ~client();

  // Called on `context`.
  void handle(command&& command);
  // Cancels all calls and timers, so that the context can run out of work.
  void close();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace ebonygrade::platform
