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

constexpr std::size_t kQueuedLines = 8192;
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr std::size_t kMaxFieldBytes = 200;

// How often an event was written within the present second.
struct rate {
  clock::steady_time window;
  int lines = 0;
  std::uint64_t left_out = 0;
};

struct writer {
  std::mutex mutex;
  std::shared_ptr<spdlog::logger> logger;
  const clock::clock* clock = nullptr;
  std::array<rate, kCatalogue.size()> rates;
};

writer& the_writer() {
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

// Counts a line; false if the event had its lines for this second.
bool admit(rate* each, clock::steady_time now) {
  if (now - each->window >= std::chrono::seconds(1)) {
    each->window = now;
    each->lines = 0;
  }
  if (each->lines >= kMaxLinesPerSecond) {
    ++each->left_out;
    return false;
  }
  ++each->lines;
  return true;
}

void append_escaped(std::string* line, std::string_view text,
                    std::size_t most) {
  bool cut = text.size() > most;
  if (cut) text = text.substr(0, most);
  for (char c : text) {
    unsigned char byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) {
      line->append(fmt::format("\\x{:02x}", byte));
    } else {
      line->push_back(c);
    }
  }
  if (cut) line->append("...");
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

void start(std::string_view least_level, const clock::clock& clock,
           stream target) {
  spdlog::init_thread_pool(kQueuedLines, 1);
  std::shared_ptr<spdlog::sinks::sink> sink;
  if (target == stream::standard_output) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  start(std::make_shared<spdlog::async_logger>(
            "ebonygrade", sink, spdlog::thread_pool(),
            spdlog::async_overflow_policy::overrun_oldest),
        least_level, clock);
}

void start(std::shared_ptr<spdlog::logger> logger, std::string_view least_level,
           const clock::clock& clock) {
  logger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(least_level)));
  writer& target = the_writer();
  std::scoped_lock lock(target.mutex);
  target.logger = std::move(logger);
  target.clock = &clock;
  target.rates = {};
}

void stop() {
  writer& target = the_writer();
  {
    std::scoped_lock lock(target.mutex);
    if (target.logger) target.logger->flush();
    target.logger.reset();
    target.clock = nullptr;
  }
  // Joins the thread after it has written its queue.
  spdlog::shutdown();
}

void write(id number, std::string_view step, std::string_view peer,
           std::string_view detail) {
  writer& target = the_writer();
  spdlog::level::level_enum level = to_spdlog(find(number).level);
  std::scoped_lock lock(target.mutex);
  if (!target.logger || !target.logger->should_log(level)) return;
  rate& each = target.rates[index_of(number)];
  if (!admit(&each, target.clock->now())) return;
  std::string line = format_line(number, step, peer, detail);
  std::uint64_t left_out = std::exchange(each.left_out, 0);
  if (left_out > 0) line += fmt::format(" left_out={}", left_out);
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
