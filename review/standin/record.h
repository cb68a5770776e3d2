// The record of a case: what was sent, answered and run.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

class record {
 public:
  explicit record(const std::string& path)
      : out_(path), begun_(steady::now()) {}

  std::int64_t now_ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                                 begun_)
        .count();
  }
  void line(const std::string& text) {
    out_ << now_ms() << " ms  " << text << '\n';
    out_.flush();
  }

 private:
  std::ofstream out_;
  steady::time_point begun_;
};

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace review
