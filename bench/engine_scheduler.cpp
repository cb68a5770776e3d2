#include "bench/scheduler.h"

namespace ebonygrade::bench {

namespace {

class engine_scheduler final : public scheduler {
 public:
  explicit engine_scheduler(const bundle::policy& policy)
      : engine_(place::make_engine({.seed = 7})) {
    place::apply_policy(*engine_, policy);
  }

  void add_worker(const place::worker_spec& worker) override {
    place::add_worker(*engine_, worker);
  }
  place::admission enqueue(const place::task_group& group,
                           steady_time now) override {
    return place::enqueue(*engine_, group, now);
  }
  std::size_t withdraw(std::string_view id) override {
    return place::withdraw(*engine_, id);
  }
  void task_ended(std::string_view id, std::uint32_t task, wire::task_end end,
                  steady_time now) override {
    place::task_ended(*engine_, id, task, end, now);
  }
  place::decisions decide(steady_time now, std::size_t max_starts) override {
    return place::decide(*engine_, now, max_starts);
  }

 private:
  place::engine_ptr engine_;
};

}  // namespace

std::unique_ptr<scheduler> make_engine_scheduler(const bundle::policy& policy) {
  return std::make_unique<engine_scheduler>(policy);
}

}  // namespace ebonygrade::bench
