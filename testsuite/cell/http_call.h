// One blocking HTTP exchange with a program under test.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace ebonygrade::testsuite {

struct http_reply {
  int status = 0;
  std::string body;
};

// Nothing if the connection fails, breaks or stays silent for `limit`.
std::optional<http_reply> http_call(const std::string& address,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body,
                                    std::chrono::milliseconds limit);

}  // namespace ebonygrade::testsuite
