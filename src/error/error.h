// Failures with the step and the peer at which they occurred, and a result type
// that holds either a value or a failure.
#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>
#include <system_error>

namespace ebonygrade::error {

// Codes of the project's own error category.
enum class code {
  unavailable = 1,   // The peer is down or requests a later retry.
  timeout,           // No reply in time; the outcome is unknown.
  bad_reply,         // The peer's reply could not be parsed.
  invalid_argument,  // Invalid input; `detail` names the field.
  rejected,          // The peer rejected the call.
  connection_lost,   // The connection broke; the outcome is unknown.
};

const std::error_category& category();
std::error_code make_error_code(code value);

// A failed operation: what went wrong, in which step, and with which peer.
struct failure {
  std::error_code code;
  std::string step;    // For example "append claim".
  std::string peer;    // Address or id; empty when no peer is involved.
  std::string detail;  // Further explanation for a reader.
};

// Formats "STEP: PEER: MESSAGE: DETAIL" without the empty parts.
std::string to_string(const failure& value);

template <typename T>
using result = boost::system::result<T, failure>;

// Called by boost::system::result when value() is called on a failure.
[[noreturn]] void throw_exception_from_error(const failure& value,
                                             const boost::source_location& at);

}  // namespace ebonygrade::error

template <>
struct std::is_error_code_enum<ebonygrade::error::code> : std::true_type {};
