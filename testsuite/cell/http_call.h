// One blocking HTTP exchange with a program under test.
#pragma once

#include <chrono>
#include <string>

namespace ebonygrade::testsuite {

struct http_reply {
  int status = 0;  // 0: no complete reply.
  std::string body;
  // The connection broke after the request was sent.
  bool broken_after_send = false;
};

// Status 0 if the connection fails, breaks or gives no complete reply within
// `timeout`.
http_reply http_call(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& body,
                     std::chrono::milliseconds timeout);

}  // namespace ebonygrade::testsuite
