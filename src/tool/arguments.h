// Command line of the tool `ebonygrade`: its verbs, their options and help.
//
//   error::result<invocation> parsed = parse_arguments({"status", "job-1"});
//
// Nothing is contacted or read here but the file of `submit --file` and the
// payload file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "wire/job.pb.h"

namespace ebonygrade::tool {

using clock::milliseconds;

enum class verb {
  help,
  submit,
  status,
  cancel,
  explain,
  bundle_publish,
  bundle_approve,
  bundle_roll,
  bundle_show,
  bundle_diff,
  bundle_check,
  drain,
  cell,
  metrics,
};

// How the daemons are reached.
struct connection_options {
  std::vector<std::string> addresses;  // IP:PORT, tried in this order.
  milliseconds timeout{3000};          // Of one call to one daemon.
};

struct submit_options {
  wire::job_request request;
  std::uint32_t count = 1;     // Requests; their ids get a suffix from 2 on.
  std::uint32_t parallel = 1;  // Requests in flight at once.
  std::uint32_t retries = 0;   // Of each request after a refusal or failure.
  bool verbose = false;        // A line a request even if there are many.
};

// One run of the tool.
struct invocation {
  tool::verb verb = verb::help;
  connection_options connection;
  bool json = false;
  bool raw = false;       // metrics: the text of the daemons as it is.
  milliseconds wait{0};   // Time to wait for a final outcome.
  std::string region;     // Home region of a request; empty: the daemon's.
  std::string operator_;  // Who publishes, approves or rolls.
  std::string name;       // Name of a published bundle; empty: from its text.
  std::optional<std::uint64_t> replaces;  // Version that a roll replaces.
  std::vector<std::string> positional;    // After the verb.
  submit_options submit;
  std::string help;  // With verb::help: the text to print.
};

// `arguments` are those after the program's name. On failure the step is
// "arguments" or the file's name and `detail` says why.
error::result<invocation> parse_arguments(
    const std::vector<std::string>& arguments);

// Overview of the verbs, in groups.
std::string overview();

}  // namespace ebonygrade::tool
