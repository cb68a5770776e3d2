// Command line of the tool `ebonygrade`: its verbs, their options and help.
//
//   error::result<invocation> parsed = parse_arguments({"status", "job-1"});
//
// The parser contacts no daemon. The only files that it reads are those of
// `submit --file` and `submit --payload-file`.
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

// Daemons to call.
struct connection_options {
  std::vector<std::string> addresses;  // IP:PORT, tried in this order.
  milliseconds timeout{3000};          // Of a call to one daemon.
};

struct submit_options {
  wire::job_request request;
  std::uint32_t count = 1;     // Number of requests; above 1, ids get a suffix.
  std::uint32_t parallel = 1;  // Requests in flight at once.
  std::uint32_t retries = 0;   // Per request, after a refusal or failure.
  bool verbose = false;        // Writes each result also if count is above 1.
};

// A parsed command line.
struct invocation {
  tool::verb verb = verb::help;
  connection_options connection;
  bool json = false;
  bool raw = false;       // For metrics: writes the daemons' text unchanged.
  milliseconds wait{0};   // Longest wait for a final outcome.
  std::string region;     // Home region of a request; default: the daemon's.
  std::string operator_;  // Who publishes, approves or rolls.
  std::string name;       // Of a published bundle; default: from its text.
  std::optional<std::uint64_t> replaces;  // Version that a roll replaces.
  std::vector<std::string> positional;    // After the verb.
  submit_options submit;
  std::string help;  // With verb::help: the text to print.
};

// `arguments` excludes the program's name. On failure, `step` is "arguments" or
// the name of the file, and `detail` is the reason.
error::result<invocation> parse_arguments(
    const std::vector<std::string>& arguments);

// Help text that lists the verbs in groups.
std::string overview();

}  // namespace ebonygrade::tool
