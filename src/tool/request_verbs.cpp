// The verbs submit, status, cancel and explain.
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ostream>
#include <random>
#include <utility>

#include "http/json.h"
#include "tool/exchange.h"
#include "tool/render.h"
#include "tool/submission.h"
#include "tool/tool.h"
#include "tool/verbs.h"

namespace ebonygrade::tool {

namespace {

constexpr milliseconds kMaxWaitPerCall{5000};

bool has_failed_task(const wire::outcome& outcome) {
  return std::any_of(outcome.answers().begin(), outcome.answers().end(),
                     [](const wire::task_answer& answer) {
                       return answer.end() != wire::completed;
                     });
}

int exit_code_of(const wire::outcome& outcome, bool waited) {
  switch (outcome.kind()) {
    case wire::pending:
      return waited ? kExitPending : kExitDone;
    case wire::answered:
      return has_failed_task(outcome) ? kExitTaskFailed : kExitDone;
    case wire::not_run:
      return kExitRefused;
    default:
      return kExitUnknown;
  }
}

int exit_code_of(const submit_result& result, bool waited) {
  switch (result.kind) {
    case result_kind::outcome:
      return exit_code_of(result.status.outcome(), waited);
    case result_kind::refused_input:
      return kExitBadInput;
    case result_kind::unreachable:
      return kExitUnreachable;
    case result_kind::lost:
      return kExitUnknown;
  }
  return kExitUnknown;
}

// Writes and counts the results of a submission.
class result_collector {
 public:
  result_collector(const invocation& command, const output& to)
      : command_(command), to_(to) {}

  void add(const submit_result& result) {
    ++total_;
    attempts_ += result.attempts;
    int code = exit_code_of(result, command_.wait > milliseconds(0));
    ++by_exit_code_[static_cast<std::size_t>(code)];
    write(result);
  }

  std::uint64_t total() const { return total_; }

  // The most severe exit code; an unknown outcome takes precedence.
  int exit_code() const {
    constexpr int kBySeverity[] = {kExitUnknown,     kExitBadInput,
                                   kExitUnreachable, kExitPending,
                                   kExitRefused,     kExitTaskFailed};
    for (int code : kBySeverity) {
      if (by_exit_code_[static_cast<std::size_t>(code)] > 0) return code;
    }
    return kExitDone;
  }

  void write_summary() const {
    if (command_.submit.count == 1 || command_.json) return;
    struct part {
      int code;
      std::string_view name;
    };
    bool waited = command_.wait > milliseconds(0);
    const part parts[] = {
        {kExitDone, waited ? "answered" : "accepted"},
        {kExitTaskFailed, "answered with a failed task"},
        {kExitRefused, "not run"},
        {kExitUnknown, "unknown"},
        {kExitPending, "pending"},
        {kExitUnreachable, "unreachable"},
        {kExitBadInput, "refused as wrong"},
    };
    to_.out << command_.submit.request.id() << ": " << total_ << " requests, "
            << attempts_ << " attempts";
    for (const part& each : parts) {
      std::uint64_t count = by_exit_code_[static_cast<std::size_t>(each.code)];
      if (count > 0) to_.out << ", " << count << " " << each.name;
    }
    to_.out << "\n";
  }

 private:
  void write(const submit_result& result) const {
    bool shown = command_.submit.count == 1 || command_.submit.verbose;
    if (result.kind != result_kind::outcome) {
      if (shown || command_.json) write_failure(result);
    } else if (command_.json) {
      to_.out << http::to_compact_json(result.status) << "\n";
    } else if (shown) {
      to_.out << status_text(result.status);
    }
  }

  void write_failure(const submit_result& result) const {
    std::string why = error::to_string(result.cause);
    if (result.kind == result_kind::lost) why += "; may have run";
    write_error(to_, command_.json, result.status.id(), why);
  }

  const invocation& command_;
  const output& to_;
  std::uint64_t total_ = 0;
  std::uint64_t attempts_ = 0;
  std::array<std::uint64_t, kExitTaskFailed + 1> by_exit_code_{};
};

void write_status(const wire::request_status& status, const invocation& command,
                  const output& to) {
  if (command.json) {
    to.out << http::to_json(status) << "\n";
  } else {
    to.out << status_text(status);
  }
}

// Queries the daemons for the reason why a request waits, which only the owner
// of its home shard has. Empty if no daemon of the command line has it.
std::string fetch_explanation(exchange& daemons, std::string_view id,
                              std::string_view region) {
  call call =
      make_call("explain", http::verb::get,
                request_target(id, "/explain", region, milliseconds(0)));
  for (std::size_t i = 0; i < daemons.daemon_count(); ++i) {
    call_report report = daemons.send_to(i, call);
    if (!report.reply || report.reply->result() != http::status::ok) continue;
    std::string text = report.reply->body();
    while (text.ends_with('\n')) text.pop_back();
    return text;
  }
  return {};
}

}  // namespace

int submit(const invocation& command, const output& to) {
  boost::asio::io_context context;
  clock::system_clock clock;
  std::size_t parallel =
      std::min(command.submit.parallel, command.submit.count);
  caller daemons(context, command.connection, parallel);
  result_collector results(command, to);
  submission all(context, clock, daemons, command.submit, command.wait,
                 std::random_device()(), [&](const submit_result& result) {
                   results.add(result);
                   if (results.total() == command.submit.count) context.stop();
                 });
  all.start();
  context.run();
  results.write_summary();
  return results.exit_code();
}

int show_status(const invocation& command, const output& to) {
  exchange daemons(command, to);
  clock::system_clock clock;
  clock::steady_time wait_deadline = clock.now() + command.wait;
  while (true) {
    milliseconds remaining =
        std::chrono::duration_cast<milliseconds>(wait_deadline - clock.now());
    milliseconds call_wait =
        std::clamp(remaining, milliseconds(0), kMaxWaitPerCall);
    exchange_result result =
        daemons.send(make_call("status", http::verb::get,
                               request_target(command.positional[0], "",
                                              command.region, call_wait)),
                     call_wait);
    if (!result.reply) return result.exit_code;
    wire::request_status status;
    if (!read_reply(*result.reply, command, to, &status)) return kExitUnknown;
    bool final = status.outcome().kind() != wire::pending;
    if (!final && clock.now() < wait_deadline) continue;
    write_status(status, command, to);
    return exit_code_of(status.outcome(), command.wait > milliseconds(0));
  }
}

int cancel(const invocation& command, const output& to) {
  exchange daemons(command, to);
  int exit_code = kExitDone;
  for (const std::string& id : command.positional) {
    exchange_result result = daemons.send(
        make_call("cancel", http::verb::delete_,
                  request_target(id, "", command.region, milliseconds(0))));
    if (!result.reply) {
      exit_code = result.exit_code;
      continue;
    }
    wire::request_status status;
    if (!read_reply(*result.reply, command, to, &status)) return kExitUnknown;
    write_status(status, command, to);
  }
  return exit_code;
}

int explain(const invocation& command, const output& to) {
  exchange daemons(command, to);
  const std::string& id = command.positional[0];
  exchange_result result = daemons.send(
      make_call("explain", http::verb::get,
                request_target(id, "", command.region, milliseconds(0))));
  if (!result.reply) return result.exit_code;
  wire::request_status status;
  if (!read_reply(*result.reply, command, to, &status)) return kExitUnknown;
  std::string text = outcome_line(status);
  if (status.outcome().kind() == wire::pending) {
    std::string why = fetch_explanation(daemons, id, command.region);
    if (!why.empty()) text += "\n" + why;
  }
  if (command.json) {
    to.out << "{\"id\": " << json_string(id)
           << ", \"explanation\": " << json_string(text) << "}\n";
  } else {
    to.out << text << "\n";
  }
  return kExitDone;
}

}  // namespace ebonygrade::tool
