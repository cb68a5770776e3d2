#include "tool/render.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

namespace ebonygrade::tool {

namespace {

constexpr std::size_t kMaxPrintedBytes = 2000;

bool is_printable(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char c) {
    unsigned char byte = static_cast<unsigned char>(c);
    return byte >= 0x20 && byte != 0x7f;
  });
}

std::string plural(std::uint64_t count, std::string_view noun) {
  return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}

std::string answer_line(const wire::task_answer& answer) {
  std::string line = fmt::format("  task {}: {}", answer.task_index(),
                                 wire::task_end_Name(answer.end()));
  if (answer.end() == wire::failed) {
    line += fmt::format(" with exit code {}", answer.exit_code());
  }
  if (!answer.worker().empty()) line += " on " + answer.worker();
  if (!answer.output().empty()) line += ": " + printable(answer.output());
  return line + "\n";
}

std::string joined(const google::protobuf::RepeatedPtrField<std::string>& all) {
  return fmt::format("{}", fmt::join(all, ", "));
}

// Shards of one region with the same owner and phase.
struct shard_group {
  std::string region;
  std::string owner;
  std::string phase;

  friend auto operator<=>(const shard_group&, const shard_group&) = default;
};

}  // namespace

std::string printable(std::string_view bytes) {
  if (!is_printable(bytes)) return plural(bytes.size(), "byte");
  std::string text(bytes.substr(0, kMaxPrintedBytes));
  if (bytes.size() > kMaxPrintedBytes) text += "...";
  return text;
}

std::string json_string(std::string_view text) {
  std::string quoted = "\"";
  for (char c : text) {
    unsigned char byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < 0x20) {
      quoted += fmt::format("\\u{:04x}", byte);
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

std::string outcome_line(const wire::request_status& status) {
  const wire::outcome& outcome = status.outcome();
  std::string line = status.id() + ": ";
  switch (outcome.kind()) {
    case wire::pending:
      line += "pending";
      if (outcome.running_tasks() > 0) {
        line += ", " + plural(outcome.running_tasks(), "task") + " running";
      }
      break;
    case wire::answered:
      line +=
          "answered, " +
          plural(static_cast<std::uint64_t>(outcome.answers_size()), "task");
      break;
    case wire::not_run:
      line += "not run";
      break;
    default:
      line += "unknown";
      break;
  }
  if (!outcome.reason().empty()) line += ": " + printable(outcome.reason());
  if (outcome.kind() == wire::not_run) {
    line += outcome.retry_after_ms() > 0
                ? fmt::format("; come back in {} ms", outcome.retry_after_ms())
                : "; do not come back";
  }
  return line;
}

std::string status_text(const wire::request_status& status) {
  std::string text = outcome_line(status) + "\n";
  for (const wire::task_answer& answer : status.outcome().answers()) {
    text += answer_line(answer);
  }
  return text;
}

std::string bundle_line(const wire::bundle_status& status) {
  std::string line = fmt::format("version {} of {} by {}", status.version(),
                                 status.name(), status.author());
  if (status.approvers_size() > 0) {
    line += ", approved by " + joined(status.approvers());
  }
  if (status.in_force()) {
    line += fmt::format(", in force as roll {}", status.roll());
  }
  return line;
}

std::string bundles_text(const wire::bundle_list& list) {
  std::string text;
  for (const wire::bundle_status& each : list.bundles()) {
    text += bundle_line(each) + "\n";
  }
  if (list.version_in_force() == 0) text += "no version is in force\n";
  return text;
}

std::string cell_text(const wire::cell_status& status) {
  std::string text =
      fmt::format("daemon {} in {}: {}, bundle version {}\n", status.daemon(),
                  status.zone(), status.ready() ? "ready" : "not ready",
                  status.bundle_version());
  text += fmt::format("  {}, {} queued, {} running\n",
                      plural(status.workers(), "worker"), status.queued(),
                      status.running());
  text += fmt::format("  peers: {}\n", joined(status.peers()));
  std::map<shard_group, std::vector<std::uint32_t>> groups;
  for (const wire::shard_status& shard : status.shards()) {
    std::string owner = shard.owner().empty() ? "nobody" : shard.owner();
    groups[{shard.region(), owner, shard.phase()}].push_back(shard.shard());
  }
  for (const auto& [group, shards] : groups) {
    text +=
        fmt::format("  region {}: shards {} owned by {} ({})\n", group.region,
                    fmt::join(shards, " "), group.owner, group.phase);
  }
  return text;
}

}  // namespace ebonygrade::tool
