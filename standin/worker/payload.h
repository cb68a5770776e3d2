// What a stand-in's task does, as its payload says in `key=value` words:
//
//   run_ms=50            runs so long; else it ends at once, a service never
//   exit=3               exit code; other than 0 is a failure
//   output_bytes=100     size of its output; else the output is "ok"
//   fail_worker=w3       fails at once on that worker
//   use_millicores=200   what it really uses; else what it declared
//   use_memory_mb=64
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

// "ok", or text of the wanted size that is made from the task's name, so that
// a reader can tell whose output it is.
std::string make_output(const behaviour& behaviour, std::string_view request_id,
                        std::uint32_t task_index);

}  // namespace ebonygrade::standin::worker
