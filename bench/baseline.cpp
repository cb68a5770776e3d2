#include <algorithm>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "bench/scheduler.h"

namespace ebonygrade::bench {

namespace {

constexpr std::size_t kMaxJobsExamined = 200;  // In one decide().

struct worker {
  std::string id;
  job::resources free;
};

struct allocation {
  std::size_t worker = 0;
  job::resources resources;
};

class baseline final : public scheduler {
 public:
  explicit baseline(baseline_kind kind) : kind_(kind), random_(11) {}

  void add_worker(const place::worker_spec& spec) override {
    workers_.push_back({spec.id, spec.capacity});
  }

  place::admission enqueue(const place::task_group& group,
                           steady_time) override {
    waiting_.push_back(group);
    return {};
  }

  std::size_t withdraw(std::string_view id) override {
    return std::erase_if(
        waiting_, [&](const place::task_group& g) { return g.id == id; });
  }

  void task_ended(std::string_view id, std::uint32_t task, wire::task_end,
                  steady_time) override {
    auto found = running_.find(key(id, task));
    if (found == running_.end()) return;
    workers_[found->second.worker].free += found->second.resources;
    running_.erase(found);
  }

  place::decisions decide(steady_time, std::size_t max_starts) override {
    place::decisions out;
    std::size_t index = 0;
    for (std::size_t examined = 0; examined < kMaxJobsExamined; ++examined) {
      if (index >= waiting_.size() || out.starts.size() >= max_starts) break;
      if (kind_ == baseline_kind::random) swap_random_job_to(index);
      if (start_tasks(&waiting_[index], &out)) {
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
      } else if (kind_ == baseline_kind::fifo) {
        break;
      } else {
        ++index;
      }
    }
    return out;
  }

 private:
  static std::string key(std::string_view id, std::uint32_t task) {
    return std::string(id) + '/' + std::to_string(task);
  }

  void swap_random_job_to(std::size_t index) {
    std::uniform_int_distribution<std::size_t> distribution(
        index, waiting_.size() - 1);
    std::swap(waiting_[index], waiting_[distribution(random_)]);
  }

  // Starts as many tasks of the group as fit; a gang's tasks start together or
  // not at all. Returns whether no task is left to start.
  bool start_tasks(place::task_group* group, place::decisions* out) {
    const std::size_t before = out->starts.size();
    while (!group->tasks.empty()) {
      const std::size_t worker_index = find_worker(group->per_task);
      if (worker_index == workers_.size()) break;
      workers_[worker_index].free -= group->per_task;
      running_[key(group->id, group->tasks.back())] = {worker_index,
                                                       group->per_task};
      out->starts.push_back(
          {group->id, group->tasks.back(), workers_[worker_index].id});
      group->tasks.pop_back();
    }
    if (group->tasks.empty()) return true;
    if (group->kind == job::job_class::gang) undo_starts(group, before, out);
    return false;
  }

  void undo_starts(place::task_group* group, std::size_t before,
                   place::decisions* out) {
    while (out->starts.size() > before) {
      const std::uint32_t task = out->starts.back().task_index;
      task_ended(group->id, task, wire::stopped, {});
      group->tasks.push_back(task);
      out->starts.pop_back();
    }
  }

  std::size_t find_worker(const job::resources& demand) {
    std::size_t first = 0;
    if (kind_ == baseline_kind::random) {
      first = std::uniform_int_distribution<std::size_t>(
          0, workers_.size() - 1)(random_);
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const std::size_t index = (first + i) % workers_.size();
      if (job::fits(demand, workers_[index].free)) return index;
    }
    return workers_.size();
  }

  baseline_kind kind_;
  std::mt19937_64 random_;
  std::vector<worker> workers_;
  std::deque<place::task_group> waiting_;
  std::unordered_map<std::string, allocation> running_;
};

}  // namespace

std::unique_ptr<scheduler> make_baseline(baseline_kind kind) {
  return std::make_unique<baseline>(kind);
}

}  // namespace ebonygrade::bench
