// Runs random histories of calls against the engine and checks its decisions
// against a model of the running tasks. RC_PARAMS in the environment overrides
// the fixed seed, for longer runs.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "place/test_cell.h"

namespace ebonygrade::place {
namespace {

const int seed_set = setenv("RC_PARAMS", "seed=20240511 max_success=300", 0);

enum class action {
  submit,
  decide,
  end,
  fail,
  withdraw,
  advance,
  add_worker,
  remove_worker,
  leave,
  count
};

// One call of a history. The action derives its arguments from a, b and c.
struct step {
  action kind = action::submit;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t c = 0;
};

// A running task of the model.
struct tracked_task {
  job::resources need;
  std::string team;
  std::string worker;
};

// Applies steps to an engine and checks each of its decisions.
class history {
 public:
  history() {
    cell_.policy.teams["a"].quota = {9000, 9000, 2, 9};
    cell_.policy.teams["a"].may_borrow = false;
    cell_.policy.teams["b"].quota = {4000, 0, 0, 0};
    cell_.policy.classes[0].spread = true;
    cell_.policy.classes[0].may_preempt = true;
    cell_.policy.placement.quarantine_failures = 2;
    cell_.policy.placement.max_quarantined = 0.5;
    cell_.policy.placement.gang_hold = milliseconds(300);
    cell_.apply();
    for (std::uint32_t i = 0; i < 4; ++i) add_worker(i);
  }

  void apply(const step& s) {
    switch (s.kind) {
      case action::submit:
        submit(s);
        return;
      case action::decide:
        decide();
        return;
      case action::end:
        end(s, wire::completed);
        return;
      case action::fail:
        end(s, wire::failed);
        return;
      case action::withdraw:
        withdraw_job(s);
        return;
      case action::advance:
        cell_.advance(milliseconds(s.a % 700));
        return;
      case action::add_worker:
        add_worker(s.a % 8);
        return;
      case action::remove_worker:
        remove(s.a % 8);
        return;
      case action::leave:
        set_leaving(*cell_.engine, name(s.a % 8), s.b % 2 == 0);
        return;
      case action::count:
        return;
    }
  }

  // Withdraws all jobs and ends all tasks. The engine must be empty then.
  void finish() {
    for (std::uint32_t i = 0; i < next_job_; ++i) {
      withdraw(*cell_.engine, job_id(i));
      waiting_.erase(job_id(i));
    }
    while (!running_.empty()) end({}, wire::completed);
    RC_ASSERT(cell_.decide().starts.empty());
    engine_summary total = summarise(*cell_.engine);
    RC_ASSERT(total.queued == 0U);
    RC_ASSERT(total.running == 0U);
  }

  const std::string& trace() const { return trace_; }

 private:
  using task_key = std::pair<std::string, std::uint32_t>;

  static std::string name(std::uint32_t i) { return "w" + std::to_string(i); }
  static std::string job_id(std::uint32_t i) { return "j" + std::to_string(i); }

  void add_worker(std::uint32_t i) {
    worker_spec spec;
    spec.id = name(i);
    spec.zone = i % 2 == 0 ? "x" : "y";
    spec.rack = std::to_string(i % 3);
    spec.capacity = {4000, 4096, i % 3 == 0 ? 2 : 0, 4};
    place::add_worker(*cell_.engine, spec);
    capacity_[spec.id] = spec.capacity;
  }

  void remove(std::uint32_t i) {
    remove_worker(*cell_.engine, name(i));
    capacity_.erase(name(i));
    std::erase_if(running_, [&](const auto& entry) {
      return entry.second.worker == name(i);
    });
  }

  void submit(const step& s) {
    test_job j;
    j.kind = static_cast<job::job_class>(s.a % 4);
    j.team = s.a / 4 % 3 == 0 ? "b" : "a";
    j.tasks = 1 + s.b % 5;
    j.need.millicores = static_cast<std::int32_t>(s.b / 5 % 5 * 900);
    j.need.memory_mb = static_cast<std::int32_t>(s.b / 25 % 4 * 1100);
    j.need.accelerators = s.c % 7 == 0 ? 1 : 0;
    j.need.slots = s.c % 3 == 0 ? 1 : 0;
    j.deadline = s.c % 5 == 0 ? milliseconds(1 + s.c % 900) : milliseconds(0);
    j.idempotent = s.c % 2 == 0;
    j.runtime = milliseconds(s.c % 400);
    std::string id = job_id(next_job_++);
    if (!cell_.submit(id, j).accepted) return;
    accepted_[id] = j;
    waiting_.insert(id);
  }

  void decide() {
    decisions made = cell_.decide(1 + next_job_ % 40);
    std::map<std::string, std::uint32_t> count;
    for (const drop& d : made.drops) waiting_.erase(d.id);
    for (const placement& p : made.starts) {
      trace_ += p.id + ":" + std::to_string(p.task_index) + p.worker + " ";
      RC_ASSERT(waiting_.contains(p.id));
      const test_job& j = accepted_.at(p.id);
      bool is_new = running_
                        .emplace(task_key(p.id, p.task_index),
                                 tracked_task{j.need, j.team, p.worker})
                        .second;
      RC_ASSERT(is_new);
      ++count[p.id];
    }
    check_capacity();
    check_quota();
    for (const auto& [id, started] : count) {
      const test_job& j = accepted_.at(id);
      if (j.kind == job::job_class::gang) RC_ASSERT(started == j.tasks);
    }
    for (const preemption& p : made.preemptions) {
      trace_ += "!" + p.id + " ";
      RC_ASSERT(running_.contains(task_key(p.id, p.task_index)));
      RC_ASSERT(accepted_.at(p.id).idempotent);
    }
  }

  void check_capacity() const {
    std::map<std::string, job::resources> used;
    for (const auto& [key, task] : running_) used[task.worker] += task.need;
    for (const auto& [worker, sum] : used) {
      RC_ASSERT(capacity_.contains(worker));
      RC_ASSERT(job::fits(sum, capacity_.at(worker)));
    }
  }

  void check_quota() const {
    job::resources used;
    for (const auto& [key, task] : running_) {
      if (task.team == "a") used += task.need;
    }
    RC_ASSERT(job::fits(used, cell_.policy.teams.at("a").quota));
  }

  void end(const step& s, wire::task_end end) {
    if (running_.empty()) return;
    auto it = std::next(running_.begin(),
                        static_cast<std::ptrdiff_t>(s.a % running_.size()));
    cell_.end(it->first.first, it->first.second, end);
    running_.erase(it);
  }

  void withdraw_job(const step& s) {
    if (next_job_ == 0) return;
    withdraw(*cell_.engine, job_id(s.a % next_job_));
    waiting_.erase(job_id(s.a % next_job_));
  }

  test_cell cell_;
  std::uint32_t next_job_ = 0;
  std::map<std::string, test_job> accepted_;
  std::set<std::string> waiting_;
  std::map<task_key, tracked_task> running_;
  std::map<std::string, job::resources> capacity_;
  std::string trace_;
};

rc::Gen<step> any_step() {
  // The weights make submits, decisions and ends the most frequent.
  return rc::gen::construct<step>(
      rc::gen::weightedElement<action>({{8, action::submit},
                                        {8, action::decide},
                                        {6, action::end},
                                        {2, action::fail},
                                        {1, action::withdraw},
                                        {3, action::advance},
                                        {1, action::add_worker},
                                        {1, action::remove_worker},
                                        {1, action::leave}}),
      rc::gen::inRange<std::uint32_t>(0, 100000),
      rc::gen::inRange<std::uint32_t>(0, 100000),
      rc::gen::inRange<std::uint32_t>(0, 100000));
}

std::vector<step> any_steps() {
  return *rc::gen::resize(300,
                          rc::gen::container<std::vector<step>>(any_step()));
}

TEST_CASE("no history violates capacity, quotas, gangs or withdrawal") {
  bool holds = rc::check([] {
    history h;
    for (const step& s : any_steps()) h.apply(s);
    h.finish();
  });
  CHECK(holds);
}

TEST_CASE("the same history gives the same decisions") {
  bool holds = rc::check([] {
    history one;
    history two;
    for (const step& s : any_steps()) {
      one.apply(s);
      two.apply(s);
    }
    RC_ASSERT(one.trace() == two.trace());
  });
  CHECK(holds);
}

// A job starts at the latest when ageing has raised it above all jobs that
// arrive later, plus the run time of the running task and of older jobs. Here,
// the difference is 10 priorities with ageing of 1 s each, and tasks run one at
// a time for 1 s.
TEST_CASE("a stream of jobs of higher priority starves no job") {
  bool holds = rc::check([] {
    test_cell cell;
    cell.policy.classes[1].priority = 0;
    cell.policy.classes[3].priority = 10;
    cell.policy.classes[1].ageing = milliseconds(1000);
    cell.policy.classes[3].ageing = milliseconds(1000);
    cell.policy.classes[3].may_preempt = false;
    cell.apply();
    cell.add_workers(1, {1000, 1024, 0, 0});
    const int victim_at = *rc::gen::inRange(0, 10);
    int started_at = -1;
    std::string current;
    for (int second = 0; second < 60 && started_at < 0; ++second) {
      cell.submit("u" + std::to_string(second),
                  {.kind = job::job_class::urgent, .team = "a"});
      if (second == victim_at) cell.submit("v", {.team = "b"});
      if (!current.empty()) cell.end(current, 0);
      decisions made = cell.decide();
      RC_ASSERT(made.starts.size() == 1U);
      current = made.starts[0].id;
      if (current == "v") started_at = second;
      cell.advance(milliseconds(1000));
    }
    RC_ASSERT(started_at >= 0);
    RC_ASSERT(started_at - victim_at <= 12);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace ebonygrade::place
