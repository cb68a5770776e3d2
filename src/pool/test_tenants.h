// A pool of tenants for unit tests, and a player of loads against it.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pool/manifest.h"
#include "pool/test_pool.h"

namespace ebonygrade::pool {

inline constexpr char kLowQueue[] = "queue-low";

struct tenant_row {
  std::string name;
  double weight = 1;
  resources quota;
};

struct tenant_pool : test_pool {
  std::vector<tenant_row> rows;
  double excess;
  // Of jobs that differ from the time that is given to play().
  std::map<std::string, milliseconds> run_time;
  std::map<std::string, resources> most;  // Usage of each tenant at its peak.
  // Of a job without runs whose tenant uses less than half of its quota.
  milliseconds longest_wait_under_half{0};

  tenant_pool(std::vector<tenant_row> tenants, double quota_excess)
      : excess(quota_excess) {
    policy.priority = 1;
    set_up_queues();
    set(std::move(tenants));
  }

  void set_up_queues() {
    queue_policy low = policy;
    low.priority = 2;
    set_queues(&state, {{kQueue, policy}, {kLowQueue, low}});
  }

  void set(std::vector<tenant_row> tenants) {
    rows = std::move(tenants);
    std::vector<pool::tenant> told;
    for (const tenant_row& each : rows) {
      told.push_back({each.name, {}, 0, each.weight, each.quota});
    }
    set_tenants(&state, told, excess);
  }

  void take_over() {
    pool_state fresh;
    fresh.limits = state.limits;
    fresh.epoch = state.epoch + 1;
    state = std::move(fresh);
    set_up_queues();
    set(rows);
    continue_pool_time(&state, table.pool_time, now);
    observe_journal_write(&state, now);
    for (const known_job* each : jobs_to_add(state, table)) {
      add_job(&state, each->first, each->second, now);
    }
  }

  static wire::step_definition gang(std::uint32_t count,
                                    std::uint32_t cpu_milli) {
    wire::step_definition out = step(count, cpu_milli);
    out.set_gang(true);
    return out;
  }

  void submit_for(const std::string& name, const std::string& id,
                  const std::vector<wire::step_definition>& steps,
                  const std::string& queue = kQueue) {
    wire::job_submission job;
    job.set_queue(queue);
    job.set_service(kService);
    job.set_tenant(name);
    job.set_accepted_ms(wall.time_since_epoch().count());
    for (const wire::step_definition& each : steps) *job.add_steps() = each;
    apply({jobs::submission_key(id), job.SerializeAsString(), 0});
    add_job(&state, id, table.jobs[id], now);
  }

  const tenant_state& tenant(const std::string& name) const {
    return state.tenants.at(name);
  }
  resources most_used(const std::string& name) const { return most.at(name); }

  // The worker reports the ends of its runs: all, or those that are due.
  void end_runs(const std::string& id,
                const std::function<bool(const placement&)>& ends) {
    worker_report told;
    std::uint64_t number = state.workers.at(id).last_end;
    for (const placement& each : state.workers.at(id).placements) {
      if (each.phase != phase::running) continue;
      if (ends(each)) {
        told.ended.push_back(
            {++number, each.task, each.run, end_kind::done, {}});
      } else {
        std::uint32_t percent = static_cast<std::uint32_t>(
            (now - each.placed_at) / milliseconds(1000));
        told.running.push_back({each.task, each.run, {}, percent});
      }
    }
    report(id, std::move(told));
  }
  void end_all(const std::string& id) {
    end_runs(id, [](const placement&) { return true; });
  }
  void end_one(const std::string& id) {
    bool ended = false;
    end_runs(id, [&](const placement&) { return !std::exchange(ended, true); });
  }

  // Plays rounds 20 ms apart, and calls `submit` with their number before each.
  // Runs last for `time`.
  void play(milliseconds length, milliseconds time,
            const std::function<void(int)>& submit) {
    constexpr milliseconds kInterval{20};
    std::map<std::string, steady_time> under_half_since;  // By job.
    for (int i = 0; i * kInterval < length; ++i) {
      submit(i);
      confirm(round());
      for (const std::pair<const std::string, tenant_state>& each :
           state.tenants) {
        resources& peak = most[each.first];
        peak.cpu_milli = std::max(peak.cpu_milli, each.second.used.cpu_milli);
      }
      watch_waits(&under_half_since);
      advance(kInterval);
      std::vector<std::string> ids;
      for (const std::pair<const std::string, worker>& each : state.workers) {
        ids.push_back(each.first);
      }
      for (const std::string& id : ids) {
        end_runs(id, [&](const placement& each) {
          std::map<std::string, milliseconds>::const_iterator own =
              run_time.find(each.task.job);
          return now - each.placed_at >=
                 (own == run_time.end() ? time : own->second);
        });
      }
    }
  }

  void watch_waits(std::map<std::string, steady_time>* since) {
    for (const std::pair<const std::string, job>& each : state.jobs) {
      const tenant_state& of = tenant(each.second.submission->tenant());
      resources need;
      for (const wire::step_definition& step :
           each.second.submission->steps()) {
        need.cpu_milli += step.cpu_milli() * (step.gang() ? step.count() : 1);
      }
      bool waits = each.second.outcome == wire::OPEN &&
                   each.second.workers.empty() &&
                   2 * of.used.cpu_milli < of.quota.cpu_milli &&
                   of.used.cpu_milli + need.cpu_milli <= of.limit.cpu_milli;
      if (!waits) {
        since->erase(each.first);
        continue;
      }
      steady_time begin = since->try_emplace(each.first, now).first->second;
      longest_wait_under_half =
          std::max(longest_wait_under_half,
                   std::chrono::duration_cast<milliseconds>(now - begin));
    }
  }

  // Jobs that have ended and whose ids begin with `prefix`.
  std::size_t ended_of(const std::string& prefix) const {
    return static_cast<std::size_t>(
        std::count_if(state.jobs.begin(), state.jobs.end(),
                      [&](const std::pair<const std::string, job>& each) {
                        return each.first.starts_with(prefix) &&
                               each.second.outcome == wire::COMPLETE;
                      }));
  }
};

}  // namespace ebonygrade::pool
