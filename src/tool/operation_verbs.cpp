// The verbs cell, metrics and drain.
#include <ostream>

#include "http/json.h"
#include "tool/exchange.h"
#include "tool/exposition.h"
#include "tool/render.h"
#include "tool/tool.h"
#include "tool/verbs.h"

namespace ebonygrade::tool {

namespace {

bool is_ok(const call_report& report) {
  return report.reply && report.reply->result() == http::status::ok;
}

void write_call_error(const call_report& report, const call& call,
                      const output& to) {
  // Written to the error stream even with --json, as the results are those of
  // the other daemons.
  write_error(to, false,
              report.reply ? http::status_failure(*report.reply, call.step,
                                                  report.address)
                           : report.cause);
}

}  // namespace

int drain(const invocation& command, const output& to) {
  exchange daemons(command, to);
  exchange_result result =
      daemons.send(make_call("drain", http::verb::post, "/v1/drain"));
  if (!result.reply) return result.exit_code;
  if (command.json) {
    to.out << "{\"draining\": " << json_string(daemons.address(0)) << "}\n";
  } else {
    to.out << daemons.address(0) << " is draining\n";
  }
  return kExitDone;
}

int show_cell(const invocation& command, const output& to) {
  exchange daemons(command, to);
  call call = make_call("show cell", http::verb::get, "/v1/cell");
  std::size_t reply_count = 0;
  for (std::size_t i = 0; i < daemons.daemon_count(); ++i) {
    call_report report = daemons.send_to(i, call);
    wire::cell_status status;
    if (!is_ok(report)) {
      write_call_error(report, call, to);
    } else if (read_reply(*report.reply, command, to, &status)) {
      ++reply_count;
      to.out << (command.json ? http::to_json(status) + "\n"
                              : cell_text(status));
    }
  }
  return reply_count > 0 ? kExitDone : kExitUnreachable;
}

int show_metrics(const invocation& command, const output& to) {
  exchange daemons(command, to);
  call call = make_call("show metrics", http::verb::get, "/metrics");
  cell_metrics total;
  std::size_t reply_count = 0;
  for (std::size_t i = 0; i < daemons.daemon_count(); ++i) {
    call_report report = daemons.send_to(i, call);
    if (!is_ok(report)) {
      write_call_error(report, call, to);
      continue;
    }
    if (command.raw) {
      to.out << report.reply->body();
      ++reply_count;
      continue;
    }
    error::result<std::vector<sample>> samples =
        parse_exposition(report.reply->body());
    if (samples.has_error()) {
      write_error(to, false, samples.error());
      continue;
    }
    add_samples(*samples, &total);
    ++reply_count;
  }
  if (reply_count == 0) return kExitUnreachable;
  if (!command.raw) {
    to.out << (command.json ? metrics_json(total) : metrics_text(total));
  }
  return kExitDone;
}

}  // namespace ebonygrade::tool
