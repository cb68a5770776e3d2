#include "tool/arguments.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iterator>
#include <span>
#include <utility>

#include "http/json.h"
#include "settings/value.h"
#include "tool/files.h"

namespace ebonygrade::tool {

namespace {

constexpr std::uint32_t kMaxCount = 1'000'000;
constexpr std::uint32_t kMaxParallel = 256;
constexpr std::uint32_t kMaxRetries = 1000;
constexpr milliseconds kMaxWait = std::chrono::hours(24);
constexpr milliseconds kMaxTimeout = std::chrono::minutes(10);
constexpr double kMaxCores = 1000;
constexpr double kMillicoresPerCore = 1000;
constexpr const char* kDefaultAddress = "127.0.0.1:8080";

struct verb_definition {
  tool::verb verb;
  std::string_view name;  // One or two words.
  std::string_view group;
  std::string_view positional;  // As shown in the help.
  std::size_t min_positional;
  std::size_t max_positional;
  std::string_view summary;
};

constexpr std::string_view kRequests = "Requests";
constexpr std::string_view kBundles = "Policy bundles";
constexpr std::string_view kOperation = "Operation";

constexpr verb_definition kVerbs[] = {
    {verb::submit, "submit", kRequests, "", 0, 0,
     "Submit a request, or many alike."},
    {verb::status, "status", kRequests, "ID", 1, 1,
     "Show what became of a request."},
    {verb::cancel, "cancel", kRequests, "ID...", 1, 10000,
     "Cancel requests; repeating it is harmless."},
    {verb::explain, "explain", kRequests, "ID", 1, 1,
     "Say why a request waits or was refused."},
    {verb::bundle_check, "bundle check", kBundles, "FILE...", 1, 100,
     "Check bundles without a daemon."},
    {verb::bundle_diff, "bundle diff", kBundles, "FROM TO", 2, 2,
     "Show what a roll changes; FROM and TO are files or versions."},
    {verb::bundle_publish, "bundle publish", kBundles, "FILE", 1, 1,
     "Publish a bundle; tells its version."},
    {verb::bundle_approve, "bundle approve", kBundles, "VERSION", 1, 1,
     "Approve a published version."},
    {verb::bundle_roll, "bundle roll", kBundles, "VERSION", 1, 1,
     "Put an approved version in force across the cell."},
    {verb::bundle_show, "bundle show", kBundles, "[VERSION]", 0, 1,
     "List the versions, or show the text of one."},
    {verb::cell, "cell", kOperation, "", 0, 0,
     "Show shards, workers and queues as each daemon sees them."},
    {verb::metrics, "metrics", kOperation, "", 0, 0,
     "Show waiting times, outcomes and bytes, summed over the daemons."},
    {verb::drain, "drain", kOperation, "", 0, 0,
     "Shut one daemon down gracefully."},
};

error::failure bad_argument(std::string detail) {
  return {error::code::invalid_argument, "arguments", "", std::move(detail)};
}

// The verb that the command line starts with, and its number of words.
struct verb_match {
  const verb_definition* definition = nullptr;
  std::size_t words = 0;
};

verb_match find_verb(const std::vector<std::string>& arguments) {
  std::string two_words;
  if (arguments.size() >= 2) two_words = arguments[0] + " " + arguments[1];
  for (const verb_definition& each : kVerbs) {
    if (each.name == arguments[0]) return {&each, 1};
    if (each.name == two_words) return {&each, 2};
  }
  return {};
}

bool is_any_of(tool::verb value, std::initializer_list<tool::verb> all) {
  return std::find(all.begin(), all.end(), value) != all.end();
}

bool is_offline(tool::verb value) { return value == verb::bundle_check; }

void add_submit_options(cxxopts::Options* options) {
  options->add_options("Request")("id",
                                  "id of the request; the idempotency key",
                                  cxxopts::value<std::string>(), "ID")(
      "team", "team that the request counts for", cxxopts::value<std::string>(),
      "TEAM")("class", "service, batch, gang or urgent",
              cxxopts::value<std::string>(), "CLASS")(
      "idempotent", "the tasks may be started again after a failure")(
      "deadline", "longest time until the start", cxxopts::value<std::string>(),
      "TIME")("runtime", "expected run time", cxxopts::value<std::string>(),
              "TIME")("payload", "passed to the worker",
                      cxxopts::value<std::string>(),
                      "TEXT")("payload-file", "file passed to the worker",
                              cxxopts::value<std::string>(), "FILE")(
      "file", "request as JSON; the other options go before it",
      cxxopts::value<std::string>(), "FILE");
  options->add_options("Resources of each task")(
      "cores", "processor cores, such as 0.5", cxxopts::value<double>(), "N")(
      "memory", "memory in MB", cxxopts::value<std::int32_t>(), "MB")(
      "accelerators", "accelerators", cxxopts::value<std::int32_t>(), "N")(
      "slots", "executor slots", cxxopts::value<std::int32_t>(), "N")(
      "tasks", "tasks of the request", cxxopts::value<std::uint32_t>(), "N");
  options->add_options("Submission")("count",
                                     "submit so many; ids are ID-1, ID-2, ...",
                                     cxxopts::value<std::uint32_t>(), "N")(
      "parallel", "requests in flight at once", cxxopts::value<std::uint32_t>(),
      "N")("retry", "times that each refused request comes back",
           cxxopts::value<std::uint32_t>(),
           "N")("verbose", "a line for each request");
}

cxxopts::Options make_options(const verb_definition& definition) {
  std::string name = "ebonygrade " + std::string(definition.name);
  cxxopts::Options options(name, std::string(definition.summary));
  options.positional_help(std::string(definition.positional));
  options.custom_help("[OPTIONS]");
  tool::verb verb = definition.verb;
  if (verb == verb::submit) add_submit_options(&options);
  if (is_any_of(verb, {verb::submit, verb::status})) {
    options.add_options("Waiting")("wait", "wait so long for the final outcome",
                                   cxxopts::value<std::string>(), "TIME");
  }
  if (is_any_of(verb,
                {verb::submit, verb::status, verb::cancel, verb::explain})) {
    options.add_options("Region")("region", "home region of the request",
                                  cxxopts::value<std::string>(), "REGION");
  }
  if (is_any_of(verb, {verb::bundle_publish, verb::bundle_approve,
                       verb::bundle_roll})) {
    options.add_options("Operator")("as", "who does this",
                                    cxxopts::value<std::string>(), "NAME");
  }
  if (verb == verb::bundle_publish) {
    options.add_options("Bundle")("name", "name, if not the one in the file",
                                  cxxopts::value<std::string>(), "NAME");
  }
  if (verb == verb::bundle_roll) {
    options.add_options("Bundle")("replaces",
                                  "version in force that is replaced",
                                  cxxopts::value<std::uint64_t>(), "VERSION");
  }
  if (verb == verb::metrics) {
    options.add_options("Output")("raw", "the daemons' own text");
  }
  if (!is_offline(verb)) {
    options.add_options("Connection")(
        "address", "a daemon; repeat it to name more, tried in turn",
        cxxopts::value<std::vector<std::string>>(),
        "IP:PORT")("timeout", "of one call to one daemon",
                   cxxopts::value<std::string>(), "TIME");
  }
  options.add_options("Output")("json", "machine-readable output")(
      "help", "show this help");
  options.add_options("hidden")("positional", "",
                                cxxopts::value<std::vector<std::string>>());
  options.parse_positional("positional");
  return options;
}

// Help of a verb, with its option groups in a fixed order.
std::string format_help(const cxxopts::Options& options) {
  constexpr const char* kGroups[] = {"Request",    "Resources of each task",
                                     "Submission", "Waiting",
                                     "Region",     "Operator",
                                     "Bundle",     "Connection",
                                     "Output"};
  std::vector<std::string> present = options.groups();
  std::vector<std::string> shown;
  for (const char* group : kGroups) {
    if (std::find(present.begin(), present.end(), group) != present.end()) {
      shown.push_back(group);
    }
  }
  return options.help(shown);
}

// Converts the parsed options of a verb to an invocation. Keeps the first
// failure.
class option_parser {
 public:
  option_parser(const cxxopts::ParseResult& options, invocation* target)
      : options_(options), target_(target) {}

  void run() {
    target_->json = options_.count("json") > 0;
    target_->raw = options_.count("raw") > 0;
    parse_text("region", &target_->region);
    parse_text("as", &target_->operator_);
    parse_text("name", &target_->name);
    if (has("replaces")) {
      target_->replaces = options_["replaces"].as<std::uint64_t>();
    }
    if (has("positional")) {
      target_->positional =
          options_["positional"].as<std::vector<std::string>>();
    }
    parse_time("wait", kMaxWait, &target_->wait);
    parse_time("timeout", kMaxTimeout, &target_->connection.timeout);
    parse_addresses();
    if (target_->verb == verb::submit) parse_submit();
  }

  const std::optional<error::failure>& failure() const { return failure_; }

 private:
  bool has(const std::string& name) const { return options_.count(name) > 0; }

  void fail(std::string detail) {
    if (!failure_) failure_ = bad_argument(std::move(detail));
  }

  void parse_text(const std::string& name, std::string* value) {
    if (has(name)) *value = options_[name].as<std::string>();
  }

  void parse_time(const std::string& name, milliseconds max,
                  milliseconds* value) {
    if (!has(name)) return;
    std::string text = options_[name].as<std::string>();
    std::optional<milliseconds> time = settings::parse_duration(text);
    if (!time || *time > max || *time == milliseconds(0)) {
      fail(
          fmt::format("--{}: expected a time such as 500ms or 10s of at most "
                      "{}s, found '{}'",
                      name, max.count() / 1000, text));
      return;
    }
    *value = *time;
  }

  void parse_count(const std::string& name, std::uint32_t max,
                   std::uint32_t* value) {
    if (!has(name)) return;
    *value = options_[name].as<std::uint32_t>();
    if (*value > max) {
      fail(fmt::format("--{}: must be at most {}", name, max));
    }
  }

  void parse_addresses() {
    std::vector<std::string>& addresses = target_->connection.addresses;
    addresses = {kDefaultAddress};
    if (has("address")) {
      addresses = options_["address"].as<std::vector<std::string>>();
    }
    for (const std::string& each : addresses) {
      if (settings::parse_endpoint(each)) continue;
      fail(fmt::format("--address: expected IP:PORT, found '{}'", each));
    }
  }

  void parse_submit() {
    submit_options& submit = target_->submit;
    submit.verbose = has("verbose");
    parse_count("count", kMaxCount, &submit.count);
    parse_count("parallel", kMaxParallel, &submit.parallel);
    parse_count("retry", kMaxRetries, &submit.retries);
    if (submit.count == 0) fail("--count: must be at least 1");
    if (submit.parallel == 0) fail("--parallel: must be at least 1");
    if (has("file")) read_request_file(options_["file"].as<std::string>());
    parse_request();
    check_request();
  }

  void read_request_file(const std::string& path) {
    error::result<std::string> text = read_file(path);
    if (text.has_error()) {
      if (!failure_) failure_ = text.error();
      return;
    }
    error::result<void> parsed =
        http::from_json(*text, &target_->submit.request);
    if (parsed.has_error() && !failure_) {
      failure_ = parsed.error();
      failure_->step = path;
    }
  }

  void parse_request() {
    wire::job_request& request = target_->submit.request;
    if (has("id")) request.set_id(options_["id"].as<std::string>());
    if (has("team")) request.set_team(options_["team"].as<std::string>());
    if (has("class")) parse_class(options_["class"].as<std::string>());
    if (has("idempotent")) request.set_idempotent(true);
    if (has("region")) request.set_region(target_->region);
    target_->region = request.region();
    parse_request_times(&request);
    if (has("payload")) {
      request.set_payload(options_["payload"].as<std::string>());
    }
    if (has("payload-file")) {
      read_payload(options_["payload-file"].as<std::string>(), &request);
    }
    parse_resources(&request);
    if (has("tasks")) {
      request.set_task_count(options_["tasks"].as<std::uint32_t>());
    }
  }

  void parse_class(const std::string& text) {
    wire::job_class kind = wire::job_class_unspecified;
    if (!wire::job_class_Parse(text, &kind) ||
        kind == wire::job_class_unspecified) {
      fail("--class: expected service, batch, gang or urgent, found '" + text +
           "'");
    }
    target_->submit.request.set_class_(kind);
  }

  void parse_request_times(wire::job_request* request) {
    milliseconds deadline(request->deadline_ms());
    milliseconds runtime(request->expected_runtime_ms());
    parse_time("deadline", kMaxWait, &deadline);
    parse_time("runtime", kMaxWait, &runtime);
    request->set_deadline_ms(static_cast<std::uint32_t>(deadline.count()));
    request->set_expected_runtime_ms(
        static_cast<std::uint32_t>(runtime.count()));
  }

  void read_payload(const std::string& path, wire::job_request* request) {
    error::result<std::string> bytes = read_file(path);
    if (bytes.has_error()) {
      if (!failure_) failure_ = bytes.error();
      return;
    }
    request->set_payload(*bytes);
  }

  void parse_resources(wire::job_request* request) {
    wire::resources& per_task = *request->mutable_per_task();
    if (has("cores")) {
      double cores = options_["cores"].as<double>();
      if (!(cores >= 0 && cores <= kMaxCores)) {
        fail("--cores: expected a number from 0 to 1000");
        return;
      }
      per_task.set_millicores(
          static_cast<std::int32_t>(std::lround(cores * kMillicoresPerCore)));
    }
    if (has("memory")) {
      per_task.set_memory_mb(options_["memory"].as<std::int32_t>());
    }
    if (has("accelerators")) {
      per_task.set_accelerators(options_["accelerators"].as<std::int32_t>());
    }
    if (has("slots")) per_task.set_slots(options_["slots"].as<std::int32_t>());
  }

  // Checks only the required fields; the daemon validates the others.
  void check_request() {
    const wire::job_request& request = target_->submit.request;
    if (request.id().empty()) fail("--id: is needed");
    if (request.team().empty()) fail("--team: is needed");
    if (request.class_() == wire::job_class_unspecified) {
      fail("--class: is needed");
    }
  }

  const cxxopts::ParseResult& options_;
  invocation* target_;
  std::optional<error::failure> failure_;
};

error::result<void> check_verb(const verb_definition& definition,
                               const invocation& parsed) {
  std::size_t given = parsed.positional.size();
  if (given < definition.min_positional) {
    return bad_argument(
        fmt::format("{}: expected {}", definition.name, definition.positional));
  }
  if (given > definition.max_positional) {
    return bad_argument(
        fmt::format("{}: unexpected '{}'", definition.name,
                    parsed.positional[definition.max_positional]));
  }
  if (is_any_of(parsed.verb, {verb::bundle_publish, verb::bundle_approve,
                              verb::bundle_roll}) &&
      parsed.operator_.empty()) {
    return bad_argument("--as: is needed");
  }
  if (parsed.verb == verb::drain && parsed.connection.addresses.size() != 1) {
    return bad_argument("--address: drain takes exactly one daemon");
  }
  return {};
}

error::result<invocation> parse_verb(const verb_definition& definition,
                                     std::span<const std::string> rest) {
  invocation parsed;
  parsed.verb = definition.verb;
  cxxopts::Options options = make_options(definition);
  std::vector<const char*> words = {"ebonygrade"};
  for (const std::string& each : rest) words.push_back(each.c_str());
  try {
    cxxopts::ParseResult result =
        options.parse(static_cast<int>(words.size()), words.data());
    if (result.count("help") > 0) {
      parsed.verb = verb::help;
      parsed.help = format_help(options);
      return parsed;
    }
    option_parser parser(result, &parsed);
    parser.run();
    if (parser.failure()) return *parser.failure();
  } catch (const cxxopts::exceptions::exception& parse_error) {
    return bad_argument(parse_error.what());
  }
  error::result<void> checked = check_verb(definition, parsed);
  if (checked.has_error()) return checked.error();
  return parsed;
}

}  // namespace

std::string overview() {
  std::string text =
      "Command-line tool of the ebonygrade scheduler.\n\n"
      "Usage: ebonygrade VERB [OPTIONS] [ARGUMENTS]\n";
  std::string_view group;
  for (const verb_definition& each : kVerbs) {
    if (each.group != group) {
      group = each.group;
      text += fmt::format("\n{}:\n", group);
    }
    text += fmt::format("  {:<25} {}\n",
                        fmt::format("{} {}", each.name, each.positional),
                        each.summary);
  }
  text += "\n`ebonygrade VERB --help` shows the options of a verb.\n";
  return text;
}

error::result<invocation> parse_arguments(
    const std::vector<std::string>& arguments) {
  if (arguments.empty()) return bad_argument("expected a verb; see --help");
  if (arguments[0] == "--help" || arguments[0] == "help") {
    invocation help;
    help.help = overview();
    return help;
  }
  verb_match found = find_verb(arguments);
  if (found.definition == nullptr) {
    return bad_argument("unknown verb '" + arguments[0] + "'; see --help");
  }
  return parse_verb(*found.definition,
                    std::span(arguments).subspan(found.words));
}

}  // namespace ebonygrade::tool
