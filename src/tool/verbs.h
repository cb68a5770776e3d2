// The verbs of the tool. Each function returns the exit code.
#pragma once

#include <iosfwd>

#include "tool/arguments.h"

namespace ebonygrade::tool {

// Streams for results and for error messages.
struct output {
  std::ostream& out;
  std::ostream& err;
};

// Writes "ebonygrade: WHAT: WHY" to the error stream or, if `json` is set,
// {"what": ..., "why": ...} to the results.
void write_error(const output& to, bool json, std::string_view what,
                 std::string_view why);
void write_error(const output& to, bool json, const error::failure& cause);

int submit(const invocation& command, const output& to);
int show_status(const invocation& command, const output& to);
int cancel(const invocation& command, const output& to);
int explain(const invocation& command, const output& to);

int bundle_check(const invocation& command, const output& to);
int bundle_diff(const invocation& command, const output& to);
int bundle_publish(const invocation& command, const output& to);
int bundle_approve(const invocation& command, const output& to);
int bundle_roll(const invocation& command, const output& to);
int bundle_show(const invocation& command, const output& to);

int drain(const invocation& command, const output& to);
int show_cell(const invocation& command, const output& to);
int show_metrics(const invocation& command, const output& to);

}  // namespace ebonygrade::tool
