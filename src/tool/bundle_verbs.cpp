// The verbs of policy bundles.
#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <ostream>
#include <utility>

#include "bundle/bundle.h"
#include "http/json.h"
#include "tool/exchange.h"
#include "tool/files.h"
#include "tool/render.h"
#include "tool/tool.h"
#include "tool/verbs.h"

namespace ebonygrade::tool {

namespace {

std::optional<std::uint64_t> parse_version(std::string_view text) {
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result read = std::from_chars(text.data(), end, version);
  if (read.ec != std::errc() || read.ptr != end || version == 0) {
    return std::nullopt;
  }
  return version;
}

// Parses the version argument; writes an error if the version is invalid.
std::optional<std::uint64_t> version_argument(const invocation& command,
                                              const output& to) {
  std::optional<std::uint64_t> version = parse_version(command.positional[0]);
  if (!version) {
    write_error(to, command.json, "arguments",
                "expected a version, found '" + command.positional[0] + "'");
  }
  return version;
}

// A bundle's text and the policy that it defines.
struct bundle_source {
  std::string text;
  bundle::policy policy;
};

error::result<bundle_source> parse_source(const std::string& name,
                                          std::string text) {
  error::result<bundle::policy> policy = bundle::parse(text);
  if (policy.has_error()) {
    error::failure failure = policy.error();
    failure.step = name;
    return failure;
  }
  return bundle_source{std::move(text), std::move(*policy)};
}

error::result<bundle_source> read_bundle(const std::string& path) {
  error::result<std::string> text = read_file(path);
  if (text.has_error()) return text.error();
  return parse_source(path, std::move(*text));
}

// The published versions, or the exit code of the failure.
struct list_result {
  std::optional<wire::bundle_list> list;
  int exit_code = kExitDone;
};

list_result list_bundles(exchange& daemons, const invocation& command,
                         const output& to) {
  exchange_result result =
      daemons.send(make_call("list bundles", http::verb::get, "/v1/bundles"));
  if (!result.reply) return {std::nullopt, result.exit_code};
  wire::bundle_list list;
  if (!read_reply(*result.reply, command, to, &list)) {
    return {std::nullopt, kExitUnknown};
  }
  return {std::move(list), kExitDone};
}

const wire::bundle_status* find_version(const wire::bundle_list& list,
                                        std::uint64_t version) {
  for (const wire::bundle_status& each : list.bundles()) {
    if (each.version() == version) return &each;
  }
  return nullptr;
}

// Sends an operation on a bundle and writes the version's new state.
int send_operation(exchange& daemons, call call, const invocation& command,
                   const output& to) {
  call.repeat = repeat::unsafe;
  exchange_result result = daemons.send(std::move(call));
  if (!result.reply) {
    if (result.exit_code == kExitUnknown && !command.json) {
      to.err << "ebonygrade: bundle: the operation may have taken effect; see "
                "`ebonygrade bundle show`\n";
    }
    return result.exit_code;
  }
  wire::bundle_status status;
  if (!read_reply(*result.reply, command, to, &status)) return kExitUnknown;
  if (command.json) {
    to.out << result.reply->body() << "\n";
  } else {
    to.out << bundle_line(status) << "\n";
  }
  return kExitDone;
}

std::string version_target(std::uint64_t version, std::string_view action) {
  return fmt::format("/v1/bundles/{}/{}", version, action);
}

void write_lines(const std::vector<std::string>& lines,
                 const invocation& command, const output& to) {
  if (!command.json) {
    for (const std::string& line : lines) to.out << line << "\n";
    if (lines.empty()) to.out << "no difference\n";
    return;
  }
  std::string_view separator;
  to.out << "{\"changes\": [";
  for (const std::string& line : lines) {
    to.out << separator << json_string(line);
    separator = ", ";
  }
  to.out << "]}\n";
}

void write_valid_bundle(const std::string& path, const bundle::policy& policy,
                        const invocation& command, const output& to) {
  if (command.json) {
    to.out << "{\"file\": " << json_string(path)
           << ", \"valid\": true, \"name\": " << json_string(policy.name)
           << "}\n";
    return;
  }
  to.out << path << ": valid bundle " << policy.name << ", "
         << policy.teams.size() << " teams, " << policy.placement.approvals
         << " approvals needed\n";
}

// One side of `bundle diff`, from a file or a published version; without a
// source, the exit code of the failure.
struct diff_side {
  std::optional<bundle_source> source;
  int exit_code = kExitDone;
};

diff_side read_diff_side(const std::string& name, const invocation& command,
                         const output& to) {
  error::result<bundle_source> source =
      error::failure{error::code::invalid_argument, name, "", "no version"};
  std::optional<std::uint64_t> version = parse_version(name);
  if (version) {
    exchange daemons(command, to);
    list_result published = list_bundles(daemons, command, to);
    if (!published.list) return {std::nullopt, published.exit_code};
    const wire::bundle_status* found = find_version(*published.list, *version);
    if (found != nullptr) source = parse_source(name, found->text());
  } else {
    source = read_bundle(name);
  }
  if (source.has_error()) {
    write_error(to, command.json, source.error());
    return {std::nullopt, kExitBadInput};
  }
  return {std::move(*source), kExitDone};
}

}  // namespace

int bundle_check(const invocation& command, const output& to) {
  int exit_code = kExitDone;
  for (const std::string& path : command.positional) {
    error::result<bundle_source> source = read_bundle(path);
    if (source.has_error()) {
      write_error(to, command.json, source.error());
      exit_code = kExitBadInput;
      continue;
    }
    write_valid_bundle(path, source->policy, command, to);
  }
  return exit_code;
}

int bundle_diff(const invocation& command, const output& to) {
  diff_side from_side = read_diff_side(command.positional[0], command, to);
  if (!from_side.source) return from_side.exit_code;
  diff_side to_side = read_diff_side(command.positional[1], command, to);
  if (!to_side.source) return to_side.exit_code;
  write_lines(bundle::diff(from_side.source->policy, to_side.source->policy),
              command, to);
  return kExitDone;
}

int bundle_publish(const invocation& command, const output& to) {
  error::result<bundle_source> source = read_bundle(command.positional[0]);
  if (source.has_error()) {
    write_error(to, command.json, source.error());
    return kExitBadInput;
  }
  wire::publish_request request;
  request.set_name(command.name.empty() ? source->policy.name : command.name);
  request.set_text(source->text);
  request.set_author(command.operator_);
  exchange daemons(command, to);
  return send_operation(
      daemons,
      make_call("publish bundle", http::verb::post, "/v1/bundles", request),
      command, to);
}

int bundle_approve(const invocation& command, const output& to) {
  std::optional<std::uint64_t> version = version_argument(command, to);
  if (!version) return kExitBadInput;
  wire::approve_request request;
  request.set_approver(command.operator_);
  exchange daemons(command, to);
  return send_operation(daemons,
                        make_call("approve bundle", http::verb::post,
                                  version_target(*version, "approve"), request),
                        command, to);
}

int bundle_roll(const invocation& command, const output& to) {
  std::optional<std::uint64_t> version = version_argument(command, to);
  if (!version) return kExitBadInput;
  exchange daemons(command, to);
  wire::roll_request request;
  request.set_operator_(command.operator_);
  if (command.replaces) {
    request.set_replaces(*command.replaces);
  } else {
    list_result published = list_bundles(daemons, command, to);
    if (!published.list) return published.exit_code;
    request.set_replaces(published.list->version_in_force());
  }
  return send_operation(daemons,
                        make_call("roll bundle", http::verb::post,
                                  version_target(*version, "roll"), request),
                        command, to);
}

int bundle_show(const invocation& command, const output& to) {
  exchange daemons(command, to);
  list_result published = list_bundles(daemons, command, to);
  if (!published.list) return published.exit_code;
  if (command.positional.empty()) {
    to.out << (command.json ? http::to_json(*published.list) + "\n"
                            : bundles_text(*published.list));
    return kExitDone;
  }
  std::optional<std::uint64_t> version = version_argument(command, to);
  if (!version) return kExitBadInput;
  const wire::bundle_status* found = find_version(*published.list, *version);
  if (found == nullptr) {
    write_error(to, command.json, "bundle show",
                "no version " + command.positional[0]);
    return kExitRefused;
  }
  to.out << (command.json ? http::to_json(*found) + "\n" : found->text());
  return kExitDone;
}

}  // namespace ebonygrade::tool
