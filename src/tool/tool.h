// The command-line tool as a library: what `ebonygrade` does, with its streams
// passed in. Exit codes are documented in docs/CLI.md.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace ebonygrade::tool {

// Done; a request was accepted or answered.
inline constexpr int kExitDone = 0;
// Refused: not run, or an operation had no effect.
inline constexpr int kExitRefused = 1;
// The command line or a file is wrong.
inline constexpr int kExitBadInput = 2;
// No daemon answered; nothing was done.
inline constexpr int kExitUnreachable = 3;
// It may or may not have been done.
inline constexpr int kExitUnknown = 4;
// Not final when the time to wait was over.
inline constexpr int kExitPending = 5;
// Answered, but a task did not complete.
inline constexpr int kExitTaskFailed = 6;

// Runs the tool with the arguments after the program's name. Results go to
// `out`, messages "ebonygrade: WHAT: WHY" to `err`.
int run(const std::vector<std::string>& arguments, std::ostream& out,
        std::ostream& err);

}  // namespace ebonygrade::tool
