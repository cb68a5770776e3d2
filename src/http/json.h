// Protobuf messages as JSON, by protobuf's own mapping: fields by their proto
// names, enums by name, 64-bit integers as strings, bytes as base64.
#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

#include "error/error.h"

namespace ebonygrade::http {

// Every field is printed, also those with default values.
std::string to_json(const google::protobuf::Message& message);
// Fields with default values are left out; for traffic between programs.
std::string to_compact_json(const google::protobuf::Message& message);

// Reads `text` into `message`. Unknown fields, wrong types and values out of
// range are refused: error::code::invalid_argument, `detail` is "FIELD:
// reason", or the reason alone for text that is no JSON object.
error::result<void> from_json(std::string_view text,
                              google::protobuf::Message* message);

// The field that a failure of from_json names; empty if none.
std::string failed_field(const error::failure& failure);

}  // namespace ebonygrade::http
