#include "site.h"

#include <boost/json.hpp>
#include <cstdio>
#include <sstream>
#include <utility>

namespace ebonygrade::review {

namespace json = boost::json;

std::string body_of(const job_spec& job) {
  json::array steps;
  for (const step_spec& each : job.steps) {
    json::object step;
    step["count"] = each.count;
    if (each.cpu > 0) step["cpu"] = each.cpu;
    if (each.memory_mb > 0) step["memMb"] = each.memory_mb;
    if (each.estimate.count() > 0) step["estMs"] = each.estimate.count();
    if (each.checkpoint) step["checkpoint"] = true;
    if (each.gang) step["gang"] = true;
    if (each.long_running) step["longRunning"] = true;
    if (each.may_miss > 0) step["mayMiss"] = each.may_miss;
    if (each.max_per_server > 0) step["maxPerServer"] = each.max_per_server;
    if (!each.data_rack.empty()) step["dataRack"] = each.data_rack;
    if (!each.after.empty()) {
      step["dependsOn"] = json::array(each.after.begin(), each.after.end());
    }
    if (each.target_ms > 0) step["targetMs"] = each.target_ms;
    if (each.fills) step["fills"] = true;
    if (!each.image.empty()) step["image"] = each.image;
    steps.push_back(std::move(step));
  }
  json::object body;
  body["spec"] = "job " + job.id;
  body["steps"] = std::move(steps);
  return json::serialize(body);
}

bool parse_task(const std::string& text, task_name* out) {
  std::istringstream in(text);
  std::string parts[4];
  for (std::string& each : parts) {
    if (!std::getline(in, each, '.') || each.empty()) return false;
  }
  out->job = parts[0];
  out->occurrence = static_cast<std::uint32_t>(std::stoul(parts[1]));
  out->step = static_cast<std::uint32_t>(std::stoul(parts[2]));
  out->index = static_cast<std::uint32_t>(std::stoul(parts[3]));
  return true;
}

site::site(const std::string& record_path) : record_(record_path) {}

milliseconds site::now() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - begun_);
}

void site::log(const std::string& text) {
  std::lock_guard<std::mutex> guard(record_lock_);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f ",
                static_cast<double>(now().count()) / 1000);
  record_ << time << text << '\n';
  record_.flush();
}

const step_spec* site::find_step(const task_name& task) const {
  std::map<std::string, job_spec>::const_iterator found = jobs.find(task.job);
  if (found == jobs.end() || task.step >= found->second.steps.size()) {
    return nullptr;
  }
  return &found->second.steps[task.step];
}

}  // namespace ebonygrade::review
