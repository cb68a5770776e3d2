// Failures that name the step and the peer at which they arose, and the
// result type that carries either a value or a failure.
#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace ebonygrade::error {

// Codes of the project's own error category.
enum class code {
  unavailable = 1,   // The peer is down or asks to come back later.
  timeout,           // No answer in time; the effect is unknown.
  bad_reply,         // The peer's answer could not be read.
  invalid_argument,  // Input refused; `detail` names the field.
  rejected,          // The peer refused the call.
  connection_lost,   // The connection broke; the effect is unknown.
};

const std::error_category& category();
std::error_code make_error_code(code value);

// A failed operation: what went wrong, in which step, and with which peer.
struct failure {
  std::error_code code;
  std::string step;    // For example "append claim".
  std::string peer;    // Address or id; empty when no peer is involved.
  std::string detail;  // Text for the reader of the message.
};

// "STEP: PEER: MESSAGE: DETAIL", leaving out what is empty.
std::string to_string(const failure& value);

template <typename T>
using result = boost::system::result<T, failure>;

// Called by boost::system::result when value() is asked of a failure.
[[noreturn]] void throw_exception_from_error(const failure& value,
                                             const boost::source_location& at);

}  // namespace ebonygrade::error

template <>
struct std::is_error_code_enum<ebonygrade::error::code> : std::true_type {};
