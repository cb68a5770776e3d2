// What the stand-ins of one site share: the jobs that clients have sent, the
// record of what was sent, answered and run, and one lock for all of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ebonygrade::review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// One step as the client sent it, and how its tasks behave.
struct step_spec {
  std::uint32_t count = 1;
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  milliseconds estimate{0};
  milliseconds work{0};  // On the rack of the data.
  // One task in so many takes `short_work` instead; 0: none.
  std::uint32_t short_every = 0;
  milliseconds short_work{0};
  bool checkpoint = false;
  bool gang = false;
  bool long_running = false;
  std::uint32_t may_miss = 0;
  std::uint32_t max_per_server = 0;
  std::string data_rack;
  std::vector<std::uint32_t> after;  // Steps that must be done first.
  std::int64_t target_ms = 0;        // Of a task that serves.
  bool fills = false;
  std::string image;
};

struct job_spec {
  std::string id;
  std::string queue;  // Path prefix.
  std::vector<step_spec> steps;
};

std::string body_of(const job_spec& job);

// The name of a task, ID.K.STEP.INDEX.
struct task_name {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
};
bool parse_task(const std::string& text, task_name* out);

// Locked by every handler of a stand-in and by the client.
struct site {
  explicit site(const std::string& record_path);

  // Adds a line to the record.
  void log(const std::string& text);
  // Requires the lock. Null for a job that no client has sent.
  const step_spec* find_step(const task_name& task) const;
  milliseconds now() const;

  std::mutex lock;
  std::map<std::string, job_spec> jobs;

 private:
  std::mutex record_lock_;
  std::ofstream record_;
  steady::time_point begun_ = steady::now();
};

}  // namespace ebonygrade::review
