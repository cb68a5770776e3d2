#include "events/events.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <mutex>
#include <utility>

namespace ebonygrade::events {

namespace {

constexpr std::size_t kQueueCapacityLines = 8192;
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr std::size_t kMaxFieldBytes = 200;

// Counts the lines of one event in the current second.
struct line_rate {
  clock::steady_time window_start;
  int lines = 0;
  std::uint64_t dropped_lines = 0;
};

struct writer {
  std::mutex mutex;
  std::shared_ptr<spdlog::logger> logger;
  const clock::clock* clock = nullptr;
  std::array<line_rate, kCatalogue.size()> line_rates;
};

writer& global_writer() {
  static writer instance;
  return instance;
}

spdlog::level::level_enum to_spdlog(level value) {
  switch (value) {
    case level::debug:
      return spdlog::level::debug;
    case level::info:
      return spdlog::level::info;
    case level::warning:
      return spdlog::level::warn;
    case level::error:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

std::size_t index_of(id number) {
  return static_cast<std::size_t>(&find(number) - kCatalogue.data());
}

// Counts a line. Returns false, and counts the line as dropped, if the event
// has reached kMaxLinesPerSecond.
bool admit_line(line_rate* rate, clock::steady_time now) {
  if (now - rate->window_start >= std::chrono::seconds(1)) {
    rate->window_start = now;
    rate->lines = 0;
  }
  if (rate->lines >= kMaxLinesPerSecond) {
    ++rate->dropped_lines;
    return false;
  }
  ++rate->lines;
  return true;
}

void append_escaped(std::string* line, std::string_view text,
                    std::size_t max_bytes) {
  bool truncated = text.size() > max_bytes;
  if (truncated) text = text.substr(0, max_bytes);
  for (char c : text) {
    unsigned char byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) {
      line->append(fmt::format("\\x{:02x}", byte));
    } else {
      line->push_back(c);
    }
  }
  if (truncated) line->append("...");
}

void append_field(std::string* line, std::string_view name,
                  std::string_view value) {
  line->append(name);
  bool quoted = value.find_first_of(" \"=") != std::string_view::npos;
  if (quoted) line->push_back('"');
  append_escaped(line, value.empty() ? "-" : value, kMaxFieldBytes);
  if (quoted) line->push_back('"');
}

}  // namespace

std::string_view to_string(level value) {
  switch (value) {
    case level::debug:
      return "debug";
    case level::info:
      return "info";
    case level::warning:
      return "warning";
    case level::error:
      return "error";
  }
  return "error";
}

void start(std::string_view min_level, const clock::clock& clock,
           stream target) {
  spdlog::init_thread_pool(kQueueCapacityLines, 1);
  std::shared_ptr<spdlog::sinks::sink> sink;
  if (target == stream::standard_output) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  start(std::make_shared<spdlog::async_logger>(
            "ebonygrade", sink, spdlog::thread_pool(),
            spdlog::async_overflow_policy::overrun_oldest),
        min_level, clock);
}

void start(std::shared_ptr<spdlog::logger> logger, std::string_view min_level,
           const clock::clock& clock) {
  logger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(min_level)));
  writer& target = global_writer();
  std::scoped_lock lock(target.mutex);
  target.logger = std::move(logger);
  target.clock = &clock;
  target.line_rates = {};
}

void stop() {
  writer& target = global_writer();
  {
    std::scoped_lock lock(target.mutex);
    if (target.logger) target.logger->flush();
    target.logger.reset();
    target.clock = nullptr;
  }
  // Waits for the writer thread to write its queue and joins it.
  spdlog::shutdown();
}

void write(id number, std::string_view step, std::string_view peer,
           std::string_view detail) {
  writer& target = global_writer();
  spdlog::level::level_enum level = to_spdlog(find(number).level);
  std::scoped_lock lock(target.mutex);
  if (!target.logger || !target.logger->should_log(level)) return;
  line_rate& rate = target.line_rates[index_of(number)];
  if (!admit_line(&rate, target.clock->now())) return;
  std::string line = format_line(number, step, peer, detail);
  std::uint64_t dropped_lines = std::exchange(rate.dropped_lines, 0);
  if (dropped_lines > 0) line += fmt::format(" left_out={}", dropped_lines);
  target.logger->log(level, line);
}

void emit(id number, const error::failure& cause) {
  std::string text = cause.code.message();
  if (!cause.detail.empty()) text += ": " + cause.detail;
  write(number, cause.step, cause.peer, text);
}

std::string format_line(id number, std::string_view step, std::string_view peer,
                        std::string_view detail) {
  const definition& event = find(number);
  std::string line = fmt::format("{} {}", static_cast<int>(number), event.name);
  append_field(&line, " step=", step);
  append_field(&line, " peer=", peer);
  if (!detail.empty()) {
    line.push_back(' ');
    append_escaped(&line, detail, kMaxDetailBytes);
  }
  return line;
}

}  // namespace ebonygrade::events
