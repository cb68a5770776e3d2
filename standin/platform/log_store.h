// The records of an append-only log. Each stream has its own offsets. The age
// and number of stored records and the rate of appends are limited. No I/O; the
// time is passed in.
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
  steady_time written_at;
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
  double tokens = 0;  // Of the token bucket that limits the append rate.
  steady_time refilled_at;
};

log_store make_log_store(const log_options& options, steady_time now);

// Takes a token for one append. False if the append rate is exceeded.
bool take_append_token(log_store& store, steady_time now);

// Returns the offset of the new record. Fails with `rejected` if there are too
// many streams.
error::result<std::uint64_t> append(log_store& store, std::string_view stream,
                                    std::string data, steady_time now);

// Reads up to `max_count` records from offset `from`, or from the oldest
// stored record if that is later.
wire::log_read_reply read(log_store& store, std::string_view stream,
                          std::uint64_t from, std::size_t max_count,
                          steady_time now);

}  // namespace ebonygrade::standin::platform
