// Writes numbered log events, one line each, through spdlog:
//
//   events::emit(events::id::claim_won, "claim", "", "shard {}", name);
//
//   2026-01-05T07:00:00.123Z info 201 claim_won step=claim peer=- shard ...
//
// `start` begins to write, to standard error unless told otherwise, by a
// thread of its own, so that a
// slow reader never holds up a caller; when its queue is full the oldest line
// is dropped. Before `start` and after `stop`, events are dropped. `emit` is
// safe to call from any thread; `start` and `stop` belong to main.
#pragma once

#include <fmt/format.h>
#include <spdlog/logger.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "clock/clock.h"
#include "error/error.h"
#include "events/catalogue.h"

namespace ebonygrade::events {

// Lines of one event in a second; further ones are counted and left out. The
// next line that is written tells their number.
inline constexpr int kMaxLinesPerSecond = 50;
// Longest detail; the rest is cut off.
inline constexpr std::size_t kMaxDetailBytes = 1000;

enum class stream { standard_error, standard_output };

// Starts to write events of at least the level named "debug", "info",
// "warning", "error" or "off". `clock` must outlive the last event.
void start(std::string_view least_level, const clock::clock& clock,
           stream target = stream::standard_error);
// Writes to the given logger instead; its pattern is set.
void start(std::shared_ptr<spdlog::logger> logger, std::string_view least_level,
           const clock::clock& clock);
// Writes what is queued and stops.
void stop();

// Writes one event. `step` and `peer` may be empty.
void write(id number, std::string_view step, std::string_view peer,
           std::string_view detail);

// The same with a formatted detail.
template <typename... Args>
void emit(id number, std::string_view step, std::string_view peer,
          fmt::format_string<Args...> detail, Args&&... args) {
  write(number, step, peer, fmt::format(detail, std::forward<Args>(args)...));
}

// Writes a failure as the given event.
void emit(id number, const error::failure& cause);

// The line without time and level. Control characters are escaped, so that
// an event stays one line whatever its parts hold.
std::string format_line(id number, std::string_view step, std::string_view peer,
                        std::string_view detail);

}  // namespace ebonygrade::events
