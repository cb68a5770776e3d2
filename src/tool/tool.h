// The command-line tool `ebonygrade` as a library, with its output streams as
// parameters. docs/CLI.md describes the exit codes.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace ebonygrade::tool {

// Success: a request was accepted, or was answered without a failed task.
inline constexpr int kExitDone = 0;
// A request was not run, or an operation was refused.
inline constexpr int kExitRefused = 1;
// The command line or a file is invalid.
inline constexpr int kExitBadInput = 2;
// No daemon replied, or it was overloaded; the call had no effect.
inline constexpr int kExitUnreachable = 3;
// The outcome is unknown; the call may have taken effect.
inline constexpr int kExitUnknown = 4;
// The outcome was not final at the end of the wait.
inline constexpr int kExitPending = 5;
// The request was answered, but a task did not complete.
inline constexpr int kExitTaskFailed = 6;

// Runs the tool; `arguments` excludes the program's name. Writes results to
// `out` and messages "ebonygrade: WHAT: WHY" to `err`. Returns the exit code.
int run(const std::vector<std::string>& arguments, std::ostream& out,
        std::ostream& err);

}  // namespace ebonygrade::tool
