// Test fixture: an engine with a small policy and short calls to drive it.
#pragma once

#include <map>
#include <string>

#include "place/place.h"

namespace ebonygrade::place {

struct test_job {
  job::job_class kind = job::job_class::batch;
  std::string team = "a";
  std::uint32_t tasks = 1;
  job::resources need{1000, 1024, 0, 0};
  milliseconds deadline{0};  // 0: none.
  bool idempotent = true;
  milliseconds runtime{0};
};

struct test_cell {
  bundle::policy policy;
  engine_ptr engine = make_engine({.seed = 1});
  steady_time now = steady_time(std::chrono::hours(1));
  std::map<std::string, std::string> rack_of;

  test_cell() {
    policy.name = "test";
    policy.teams["a"].weight = 2;
    policy.teams["b"].weight = 1;
    policy.classes[0].priority = 200;
    policy.classes[2].priority = 100;
    policy.classes[3].priority = 300;
    policy.classes[3].may_preempt = true;
    policy.classes[3].preemptible = false;
    apply();
  }

  void apply() { apply_policy(*engine, policy); }

  // Adds workers w0, w1, ..., with eight in a rack and two racks in a zone.
  void add_workers(int count, const job::resources& capacity) {
    for (int i = 0; i < count; ++i) {
      worker_spec spec;
      spec.id = "w" + std::to_string(i);
      spec.rack = "r" + std::to_string(i / 8);
      spec.zone = "z" + std::to_string(i / 16);
      spec.capacity = capacity;
      rack_of[spec.id] = spec.rack;
      add_worker(*engine, spec);
    }
  }

  admission submit(const std::string& id, const test_job& job) {
    task_group group;
    group.id = id;
    group.team = job.team;
    group.kind = job.kind;
    group.idempotent = job.idempotent;
    group.per_task = job.need;
    for (std::uint32_t i = 0; i < job.tasks; ++i) group.tasks.push_back(i);
    group.expected_runtime = job.runtime;
    if (job.deadline.count() > 0) group.deadline = now + job.deadline;
    group.submitted = now;
    return enqueue(*engine, group, now);
  }

  decisions decide(std::size_t max_starts = 1000) {
    return place::decide(*engine, now, max_starts);
  }

  void end(const std::string& id, std::uint32_t task,
           wire::task_end end = wire::completed) {
    task_ended(*engine, id, task, end, now);
  }

  void advance(milliseconds by) { now += by; }
};

}  // namespace ebonygrade::place
