#include "events/events.h"

#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

using ebonygrade::events::definition;
using ebonygrade::events::emit;
using ebonygrade::events::format_line;
using ebonygrade::events::id;
using ebonygrade::events::kCatalogue;
using ebonygrade::events::kMaxLinesPerSecond;

namespace {

// Captures the written lines.
struct capture {
  explicit capture(std::string_view level) {
    std::shared_ptr<spdlog::sinks::ostream_sink_mt> sink =
        std::make_shared<spdlog::sinks::ostream_sink_mt>(text);
    ebonygrade::events::start(std::make_shared<spdlog::logger>("test", sink),
                              level, clock);
  }
  ~capture() { ebonygrade::events::stop(); }

  std::ptrdiff_t lines() const {
    std::string all = text.str();
    return std::count(all.begin(), all.end(), '\n');
  }

  std::ostringstream text;
  ebonygrade::clock::manual_clock clock;
};

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE(
    "an event is written as one line with level, number, name, step and peer") {
  capture log("info");
  emit(id::worker_unreachable, "start tasks", "worker-7", "silent for {} ms",
       2000);
  CHECK(contains(log.text.str(),
                 "Z warning 302 worker_unreachable step=\"start tasks\" "
                 "peer=worker-7 silent for 2000 ms\n"));
}

TEST_CASE("a failure is written with its step and peer") {
  capture log("info");
  emit(id::append_failed, {ebonygrade::error::code::timeout, "append claim",
                           "127.0.0.1:9", "after 2 s"});
  CHECK(contains(log.text.str(),
                 "403 append_failed step=\"append claim\" peer=127.0.0.1:9 "
                 "timed out: after 2 s\n"));
}

TEST_CASE("text from outside the process can't add lines and is truncated") {
  std::string line = format_line(id::bad_request, "", "a\nb", "x\r\ny");
  CHECK(line == "702 bad_request step=- peer=a\\x0ab x\\x0d\\x0ay");
  CHECK(format_line(id::bad_request, "", "", std::string(1 << 20, 'x')).size() <
        1100);
}

TEST_CASE("events below the minimum level are not written") {
  capture log("error");
  emit(id::ready, "", "", "x");
  emit(id::log_down, "", "", "x");
  CHECK(log.lines() == 1);
}

TEST_CASE("lines beyond the rate limit of an event are dropped and counted") {
  capture log("info");
  for (int i = 0; i < 10 * kMaxLinesPerSecond; ++i) {
    emit(id::bad_request, "", "", "");
  }
  emit(id::ready, "", "", "");
  CHECK(log.lines() == kMaxLinesPerSecond + 1);
  log.clock.advance(std::chrono::seconds(1));
  emit(id::bad_request, "", "", "");
  CHECK(contains(log.text.str(), "left_out=450"));
}

TEST_CASE("numbers and names of the catalogue are unique") {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const definition& each : kCatalogue) {
    CHECK(numbers.insert(static_cast<int>(each.number)).second);
    CHECK(names.insert(each.name).second);
    CHECK(&find(each.number) == &each);
  }
}

TEST_CASE("every event of the catalogue is written by the code") {
  std::string code;
  std::filesystem::path source = SOURCE_DIR;
  for (const std::filesystem::directory_entry& each :
       std::filesystem::recursive_directory_iterator(source)) {
    bool in_events_folder = each.path().parent_path() == source / "events";
    if (in_events_folder || each.path().extension() != ".cpp") continue;
    std::ifstream file(each.path());
    code.append(std::istreambuf_iterator<char>(file), {});
  }
  for (const definition& each : kCatalogue) {
    INFO(each.name);
    CHECK(contains(code, "events::id::" + std::string(each.name) + ","));
  }
}

TEST_CASE("docs/EVENTS.md has the rows of the catalogue and no others") {
  std::ifstream file(std::string(DOCS_DIR) + "/EVENTS.md");
  std::set<std::string> rows;
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("| ") && line.size() > 2 && line[2] >= '0' &&
        line[2] <= '9') {
      // The last column holds advice, which only the page has.
      std::size_t last_column = line.rfind(" | ");
      rows.insert(line.substr(0, last_column));
    }
  }
  std::set<std::string> expected;
  for (const definition& each : kCatalogue) {
    expected.insert(
        fmt::format("| {} | {} | {} | {} | {}", static_cast<int>(each.number),
                    each.name, to_string(each.level), each.meaning, each.peer));
  }
  CHECK(rows == expected);
}
