// The command-line tool as a library: what `ebonygrade` does, with its streams
// passed in. Exit codes are documented in docs/CLI.md.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace ebonygrade::tool {

enum exit_code : int {
  kExitDone = 0,         // Done; a request was accepted or answered.
  kExitRefused = 1,      // Refused: not run, or an operation had no effect.
  kExitBadInput = 2,     // The command line or a file is wrong.
  kExitUnreachable = 3,  // No daemon answered; nothing was done.
  kExitUnknown = 4,      // It may or may not have been done.
  kExitPending = 5,      // Not final when the time to wait was over.
  kExitTaskFailed = 6,   // Answered, but a task did not complete.
};

// Runs the tool with the arguments after the program's name. Results go to
// `out`, messages "ebonygrade: WHAT: WHY" to `err`.
int run(const std::vector<std::string>& arguments, std::ostream& out,
        std::ostream& err);

}  // namespace ebonygrade::tool
