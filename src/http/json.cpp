#include "http/json.h"

#include <google/protobuf/util/json_util.h>

#include <utility>

namespace ebonygrade::http {

namespace {

namespace protobuf = google::protobuf;

std::string print(const protobuf::Message& message, bool print_defaults) {
  protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = print_defaults;
  std::string text;
  // Fails only for messages of type Any, which src/wire does not use.
  (void)protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

error::failure invalid(std::string detail) {
  return {error::code::invalid_argument, "parse JSON", "", std::move(detail)};
}

// Converts protobuf's error message "(path.to.field): reason" to
// "path.to.field: reason". The path is empty or missing if the text is not
// JSON.
std::string reformat_error(std::string_view message) {
  std::size_t open = message.find('(');
  std::size_t close = message.find("): ");
  if (open != 0 || close == std::string_view::npos) {
    return std::string(message);
  }
  std::string detail(message.substr(1, close - 1));
  if (!detail.empty()) detail += ": ";
  detail += message.substr(close + 3);
  return detail;
}

}  // namespace

std::string to_json(const protobuf::Message& message) {
  return print(message, true);
}

std::string to_compact_json(const protobuf::Message& message) {
  return print(message, false);
}

error::result<void> from_json(std::string_view text,
                              protobuf::Message* message) {
  message->Clear();
  if (text.empty()) return invalid("empty body; expected a JSON object");
  protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = false;
  protobuf::util::Status status = protobuf::util::JsonStringToMessage(
      {text.data(), text.size()}, message, options);
  if (status.ok()) return {};
  return invalid(
      reformat_error({status.message().data(), status.message().size()}));
}

std::string failed_field(const error::failure& failure) {
  std::size_t colon = failure.detail.find(": ");
  if (colon == std::string::npos) return {};
  std::string field = failure.detail.substr(0, colon);
  return field.find_first_of(" \n") == std::string::npos ? field
                                                         : std::string();
}

}  // namespace ebonygrade::http
