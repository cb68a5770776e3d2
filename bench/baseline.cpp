#include <algorithm>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "bench/scheduler.h"

namespace ebonygrade::bench {

namespace {

constexpr std::size_t kWindow = 200;  // Waiting jobs looked at in one call.

struct worker {
  std::string id;
  job::resources free;
};

struct held_room {
  std::size_t worker = 0;
  job::resources amount;
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
    workers_[found->second.worker].free += found->second.amount;
    running_.erase(found);
  }

  place::decisions decide(steady_time, std::size_t most) override {
    place::decisions out;
    std::size_t at = 0;
    for (std::size_t tried = 0; tried < kWindow; ++tried) {
      if (at >= waiting_.size() || out.starts.size() >= most) break;
      if (kind_ == baseline_kind::random) bring_random_to(at);
      if (start(&waiting_[at], &out)) {
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(at));
      } else if (kind_ == baseline_kind::fifo) {
        break;
      } else {
        ++at;
      }
    }
    return out;
  }

 private:
  static std::string key(std::string_view id, std::uint32_t task) {
    return std::string(id) + '/' + std::to_string(task);
  }

  void bring_random_to(std::size_t at) {
    std::uniform_int_distribution<std::size_t> any(at, waiting_.size() - 1);
    std::swap(waiting_[at], waiting_[any(random_)]);
  }

  // Starts the group's tasks; a gang's only together. True if none is left.
  bool start(place::task_group* group, place::decisions* out) {
    const std::size_t before = out->starts.size();
    while (!group->tasks.empty()) {
      const std::size_t on = find(group->per_task);
      if (on == workers_.size()) break;
      workers_[on].free -= group->per_task;
      running_[key(group->id, group->tasks.back())] = {on, group->per_task};
      out->starts.push_back({group->id, group->tasks.back(), workers_[on].id});
      group->tasks.pop_back();
    }
    if (group->tasks.empty()) return true;
    if (group->kind == job::job_class::gang) take_back(group, before, out);
    return false;
  }

  void take_back(place::task_group* group, std::size_t before,
                 place::decisions* out) {
    while (out->starts.size() > before) {
      const std::uint32_t task = out->starts.back().task_index;
      task_ended(group->id, task, wire::stopped, {});
      group->tasks.push_back(task);
      out->starts.pop_back();
    }
  }

  std::size_t find(const job::resources& need) {
    std::size_t from = 0;
    if (kind_ == baseline_kind::random) {
      from = std::uniform_int_distribution<std::size_t>(
          0, workers_.size() - 1)(random_);
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const std::size_t at = (from + i) % workers_.size();
      if (job::fits(need, workers_[at].free)) return at;
    }
    return workers_.size();
  }

  baseline_kind kind_;
  std::mt19937_64 random_;
  std::vector<worker> workers_;
  std::deque<place::task_group> waiting_;
  std::unordered_map<std::string, held_room> running_;
};

}  // namespace

std::unique_ptr<scheduler> make_baseline(baseline_kind kind) {
  return std::make_unique<baseline>(kind);
}

}  // namespace ebonygrade::bench
