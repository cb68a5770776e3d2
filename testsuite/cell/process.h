// A program of the project that a test runs as a process of its own.
//
// Its standard output is read for one line that tells its address; its
// standard error goes to a file that is printed when a test fails.
#pragma once

#include <signal.h>
#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace ebonygrade::testsuite {

class process {
 public:
  // Starts the program; `arguments` are without its name.
  process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& error_file);
  // Kills and reaps the process if it still runs.
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Reads the line "listening ADDRESS". Empty if the process ends before.
  std::string read_address();

  void send_signal(int signal_number) const;
  // Waits up to `limit` for the end and returns the exit code, 128 + the
  // signal's number for a killed process, or nothing if it still runs.
  std::optional<int> wait(std::chrono::milliseconds limit);
  bool running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace ebonygrade::testsuite
