#include "cell/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <thread>

extern char** environ;  // NOLINT

namespace ebonygrade::testsuite {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

std::vector<char*> to_argv(const std::string& program,
                           const std::vector<std::string>& arguments) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& each : arguments) {
    argv.push_back(const_cast<char*>(each.c_str()));
  }
  argv.push_back(nullptr);
  return argv;
}

int to_exit_code(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

}  // namespace

process::process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& error_file) {
  std::array<int, 2> pipe_ends{};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe for the output of " +
                             program);
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::vector<char*> argv = to_argv(program, arguments);
  const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                 argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  output_ = pipe_ends[0];
  if (failed != 0) throw std::runtime_error("cannot start " + program);
}

process::~process() {
  if (running()) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
  }
  if (output_ >= 0) close(output_);
}

std::string process::read_address() {
  std::string line;
  char next = 0;
  while (read(output_, &next, 1) == 1 && next != '\n') line.push_back(next);
  const std::string prefix = "listening ";
  if (line.rfind(prefix, 0) != 0) return {};
  return line.substr(prefix.size());
}

void process::send_signal(int signal_number) const {
  kill(pid_, signal_number);
}

std::optional<int> process::wait(std::chrono::milliseconds timeout) {
  const std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + timeout;
  while (running()) {
    if (std::chrono::steady_clock::now() >= until) return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
  return exit_code_;
}

bool process::running() {
  if (exit_code_ || pid_ < 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_code_ = to_exit_code(status);
  return false;
}

}  // namespace ebonygrade::testsuite
