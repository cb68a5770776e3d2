#include "standin/worker/payload.h"

#include <algorithm>
#include <charconv>

namespace ebonygrade::standin::worker {

namespace {

template <typename number>
std::optional<number> parse_number(std::string_view text) {
  number value = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

void apply_word(std::string_view key, std::string_view value,
                behaviour* result) {
  if (key == "run_ms") {
    std::optional<std::uint32_t> time = parse_number<std::uint32_t>(value);
    if (time) result->run_time = milliseconds(*time);
  } else if (key == "exit") {
    result->exit_code = parse_number<std::int32_t>(value).value_or(0);
  } else if (key == "output_bytes") {
    result->output_bytes = parse_number<std::size_t>(value);
  } else if (key == "fail_worker") {
    result->fail_worker = value;
  } else if (key == "use_millicores") {
    result->used_millicores = parse_number<std::int32_t>(value);
  } else if (key == "use_memory_mb") {
    result->used_memory_mb = parse_number<std::int32_t>(value);
  }
}

}  // namespace

behaviour parse_payload(std::string_view payload) {
  behaviour result;
  while (!payload.empty()) {
    std::size_t space = std::min(payload.find(' '), payload.size());
    std::string_view word = payload.substr(0, space);
    payload.remove_prefix(std::min(space + 1, payload.size()));
    std::size_t equals = word.find('=');
    if (equals == std::string_view::npos) continue;
    apply_word(word.substr(0, equals), word.substr(equals + 1), &result);
  }
  return result;
}

std::string make_output(const behaviour& plan, std::string_view request_id,
                        std::uint32_t task_index) {
  if (!plan.output_bytes) return "ok";
  std::size_t size = std::min(*plan.output_bytes, kMaxOutputBytes);
  std::string name =
      std::string(request_id) + ":" + std::to_string(task_index) + " ";
  std::string output;
  output.reserve(size + name.size());
  while (output.size() < size) output += name;
  output.resize(size);
  return output;
}

}  // namespace ebonygrade::standin::worker
