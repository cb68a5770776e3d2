#include "tool/tool.h"

#include <ostream>

#include "tool/arguments.h"
#include "tool/render.h"
#include "tool/verbs.h"

namespace ebonygrade::tool {

namespace {

int run_verb(const invocation& command, const output& to) {
  switch (command.verb) {
    case verb::help:
      to.out << command.help;
      return kExitDone;
    case verb::submit:
      return submit(command, to);
    case verb::status:
      return show_status(command, to);
    case verb::cancel:
      return cancel(command, to);
    case verb::explain:
      return explain(command, to);
    case verb::bundle_publish:
      return bundle_publish(command, to);
    case verb::bundle_approve:
      return bundle_approve(command, to);
    case verb::bundle_roll:
      return bundle_roll(command, to);
    case verb::bundle_show:
      return bundle_show(command, to);
    case verb::bundle_diff:
      return bundle_diff(command, to);
    case verb::bundle_check:
      return bundle_check(command, to);
    case verb::drain:
      return drain(command, to);
    case verb::cell:
      return show_cell(command, to);
    case verb::metrics:
      return show_metrics(command, to);
  }
  return kExitBadInput;
}

}  // namespace

void write_error(const output& to, bool json, std::string_view what,
                 std::string_view why) {
  if (json) {
    to.out << "{\"what\": " << json_string(what)
           << ", \"why\": " << json_string(why) << "}\n";
    return;
  }
  to.err << "ebonygrade: " << what << ": " << why << "\n";
}

void write_error(const output& to, bool json, const error::failure& cause) {
  error::failure why = cause;
  why.step.clear();
  // For invalid input, the detail alone is more useful than the error code.
  bool bad_input = cause.code == error::code::invalid_argument;
  write_error(to, json, cause.step,
              bad_input && !cause.detail.empty() ? cause.detail
                                                 : error::to_string(why));
}

int run(const std::vector<std::string>& arguments, std::ostream& out,
        std::ostream& err) {
  output to{out, err};
  error::result<invocation> command = parse_arguments(arguments);
  if (command.has_error()) {
    write_error(to, false, command.error());
    return kExitBadInput;
  }
  return run_verb(*command, to);
}

}  // namespace ebonygrade::tool
