// Interface between the benchmark driver and a scheduler, so that the placement
// engine and the baselines run under the same driver.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bundle/bundle.h"
#include "place/place.h"

namespace ebonygrade::bench {

using clock::milliseconds;
using clock::steady_time;

class scheduler {
 public:
  virtual ~scheduler() = default;
  virtual void add_worker(const place::worker_spec& worker) = 0;
  virtual place::admission enqueue(const place::task_group& group,
                                   steady_time now) = 0;
  virtual std::size_t withdraw(std::string_view id) = 0;
  virtual void task_ended(std::string_view id, std::uint32_t task,
                          wire::task_end end, steady_time now) = 0;
  virtual place::decisions decide(steady_time now, std::size_t max_starts) = 0;
};

// The placement engine under a policy.
std::unique_ptr<scheduler> make_engine_scheduler(const bundle::policy& policy);

enum class baseline_kind {
  random,     // Random waiting tasks, on random workers that fit them.
  first_fit,  // The first waiting task that fits, on the first worker.
  fifo,       // Strict order of submission, regardless of teams.
};

// A scheduler without classes, teams, limits or deadlines.
std::unique_ptr<scheduler> make_baseline(baseline_kind kind);

}  // namespace ebonygrade::bench
