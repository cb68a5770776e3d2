// Behaviour of a stand-in's task, given in its payload by `key=value` words
// that are separated by spaces:
//
//   run_ms=50            run time; by default a service runs until it is
//                        stopped, other tasks end at once
//   exit=3               exit code; other than 0 is a failure
//   output_bytes=100     size of the output; by default the output is "ok"
//   fail_worker=w3       worker on which the task fails at once
//   use_millicores=200   processor usage; by default the declared amount
//   use_memory_mb=64     memory usage; by default the declared amount
//
// Unknown words and malformed numbers are ignored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "clock/clock.h"
#include "wire/job.pb.h"

namespace ebonygrade::standin::worker {

using clock::milliseconds;

struct behaviour {
  std::optional<milliseconds> run_time;
  std::int32_t exit_code = 0;
  std::optional<std::size_t> output_bytes;
  std::string fail_worker;
  std::optional<std::int32_t> used_millicores;
  std::optional<std::int32_t> used_memory_mb;
};

inline constexpr std::size_t kMaxOutputBytes = 16 << 20;

behaviour parse_payload(std::string_view payload);

// "ok", or text of the requested size that repeats the request id and the task
// index, so that a reader can tell which task the output belongs to.
std::string make_output(const behaviour& plan, std::string_view request_id,
                        std::uint32_t task_index);

}  // namespace ebonygrade::standin::worker
