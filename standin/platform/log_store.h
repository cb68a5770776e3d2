// The records of an append-only log with streams, each with offsets of its
// own. Keeps records for a limited time and number, accepts a limited rate of
// appends. No I/O; the time is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "clock/clock.h"
#include "error/error.h"
#include "wire/platform.pb.h"

namespace ebonygrade::standin::platform {

using clock::milliseconds;
using clock::steady_time;

struct log_options {
  double appends_per_second = 400;  // Over all streams.
  milliseconds retention{600000};
  std::size_t max_records = 100000;  // Of one stream.
  std::size_t max_bytes = 64 << 20;  // Of one stream.
  std::size_t max_streams = 4096;
};

struct log_record {
  steady_time written;
  std::string data;
};

struct log_stream {
  std::uint64_t first = 0;
  std::size_t bytes = 0;
  std::deque<log_record> records;
};

struct log_store {
  log_options options;
  std::map<std::string, log_stream, std::less<>> streams;
  double allowance = 0;  // Appends that may be taken now.
  steady_time refilled;
};

log_store make_log_store(const log_options& options, steady_time now);

// Takes one append from the rate's allowance; false when it is used up.
bool take_allowance(log_store& store, steady_time now);

// Offset of the new record. Fails with rejected when there are too many
// streams.
error::result<std::uint64_t> append(log_store& store, std::string_view stream,
                                    std::string data, steady_time now);

// Up to `most` records from offset `from`, or from the oldest kept.
wire::log_read_reply read(log_store& store, std::string_view stream,
                          std::uint64_t from, std::size_t most,
                          steady_time now);

}  // namespace ebonygrade::standin::platform
