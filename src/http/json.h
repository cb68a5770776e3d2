// Conversion of protobuf messages to and from JSON by protobuf's own mapping:
// fields by their proto names, enums by name, 64-bit integers as strings, bytes
// as base64.
#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

#include "error/error.h"

namespace ebonygrade::http {

// Prints every field, including those with default values.
std::string to_json(const google::protobuf::Message& message);
// Omits fields with default values; meant for messages between programs.
std::string to_compact_json(const google::protobuf::Message& message);

// Parses `text` into `message`. Unknown fields, wrong types and values out of
// range fail with error::code::invalid_argument; `detail` is "FIELD: reason",
// or the reason alone if `text` is not a JSON object.
error::result<void> from_json(std::string_view text,
                              google::protobuf::Message* message);

// Returns the field named in a failure of from_json; empty if it names none.
std::string failed_field(const error::failure& failure);

}  // namespace ebonygrade::http
