// Writes numbered log events through spdlog, one line per event:
//
//   events::emit(events::id::claim_won, "claim", "", "shard {}", name);
//
//   2026-01-05T07:00:00.123Z info 201 claim_won step=claim peer=- shard ...
//
// `start` starts a thread that writes queued lines, by default to standard
// error, so that a slow reader never blocks a caller. When the queue is full,
// the oldest line is dropped. Events before `start` and after `stop` are
// dropped. `emit` and `write` are safe to call from any thread. Only main calls
// `start` and `stop`.
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

// Limit per event. Further lines of the same event are dropped. The next line
// of the event that is written reports the number of dropped lines as left_out.
inline constexpr int kMaxLinesPerSecond = 50;
// Longer details are truncated.
inline constexpr std::size_t kMaxDetailBytes = 1000;

enum class stream { standard_error, standard_output };

// Starts to write events of level `min_level` and above: "debug", "info",
// "warning", "error" or "off". `clock` must outlive the last event.
void start(std::string_view min_level, const clock::clock& clock,
           stream target = stream::standard_error);
// The same with another logger, whose pattern and level are set here.
void start(std::shared_ptr<spdlog::logger> logger, std::string_view min_level,
           const clock::clock& clock);
// Writes the queued lines and stops the thread.
void stop();

// Writes one event. An empty `step` or `peer` is written as "-".
void write(id number, std::string_view step, std::string_view peer,
           std::string_view detail);

// Formats the detail and writes the event.
template <typename... Args>
void emit(id number, std::string_view step, std::string_view peer,
          fmt::format_string<Args...> detail, Args&&... args) {
  write(number, step, peer, fmt::format(detail, std::forward<Args>(args)...));
}

// Writes a failure as an event with its step and peer.
void emit(id number, const error::failure& cause);

// Formats the line of an event without time and level. Control characters are
// escaped, so that text from outside the process can't add lines.
std::string format_line(id number, std::string_view step, std::string_view peer,
                        std::string_view detail);

}  // namespace ebonygrade::events
