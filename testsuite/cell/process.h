// A program of the project that a test runs as a separate process.
//
// The program reports its address in the first line of its standard output. Its
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
  // Starts the program; `arguments` don't include its name.
  process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& error_file);
  // Kills and reaps the process if it still runs.
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Reads the line "listening ADDRESS" and returns the address, or an empty
  // string if the process ends before the line.
  std::string read_address();

  void send_signal(int signal_number) const;
  // Waits up to `timeout` for the end of the process. Returns the exit code,
  // 128 plus the signal number for a killed process, or nothing if the process
  // still runs.
  std::optional<int> wait(std::chrono::milliseconds timeout);
  bool running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace ebonygrade::testsuite
