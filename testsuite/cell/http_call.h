// One blocking HTTP exchange with a program under test.
#pragma once

#include <chrono>
#include <string>

namespace ebonygrade::testsuite {

struct http_reply {
  int status = 0;  // 0: no whole reply came.
  std::string body;
  bool cut = false;  // The request was sent, and then the connection broke.
};

// Status 0 if the connection fails, breaks or stays silent for `limit`.
http_reply http_call(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& body,
                     std::chrono::milliseconds limit);

}  // namespace ebonygrade::testsuite
