#include "pool/tenant_usage.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "pool/manifest.h"
#include "pool/pool_pvt.h"
#include "pool/round_pvt.h"

namespace ebonygrade::pool {

namespace {

// Entry daemons' clocks may disagree by this much.
constexpr milliseconds kMaxClockDifference{2000};
// A gang that its quota has held back for this long keeps steps ahead of it
// from the headroom that it needs.
constexpr milliseconds kHeldBeforeReserve{2000};
// Steps ahead of a gang pass its reservation for this long while their tenant
// uses less than half of its quota. Without an end, urgent work of half a quota
// would keep a gang of more than half of it waiting for good.
constexpr milliseconds kMaxYieldTime{4000};
// After this time a job without runs passes a reservation, while its tenant
// uses less than half of its quota. Such a job starts within 3 s; the rest is
// for rounds, advice and the record of the start. Until then the tenant's runs
// end, and the gang may start.
constexpr milliseconds kMaxReservedWait{2000};
// Steps ahead of gangs have at least this long between two gangs that keep them
// off, and as long as the last one did. Otherwise a backlog of gangs would keep
// the urgent work of its tenant waiting until it is gone.
constexpr milliseconds kMinTimeBetween{2000};
// Steps of a tenant at its limit are held in some rounds and not in others, so
// the end is told after this time without a held step.
constexpr milliseconds kHoldEndDelay{1000};
constexpr std::int64_t kNoLimit = std::numeric_limits<std::int64_t>::max() / 4;
constexpr double kMinWeight = 1e-6;
constexpr std::size_t kMaxPendingTenantEvents = 1000;

std::int64_t limit_of(std::int64_t quota, double excess) {
  if (quota <= 0) return 0;
  // The sum keeps 100 x 1.1 from ending as 109.
  constexpr double kRounding = 1e-6;
  return static_cast<std::int64_t>(
      std::floor(static_cast<double>(quota) * (1 + excess) + kRounding));
}

resources limits_of(const resources& quota, double excess) {
  return {limit_of(quota.cpu_milli, excess), limit_of(quota.memory_mb, excess),
          limit_of(quota.gpus, excess)};
}

bool is_within(std::int64_t used, std::int64_t limit) {
  return limit == 0 || used <= limit;
}

bool is_within(const resources& used, const resources& limit) {
  return is_within(used.cpu_milli, limit.cpu_milli) &&
         is_within(used.memory_mb, limit.memory_mb) &&
         is_within(used.gpus, limit.gpus);
}

std::int64_t headroom(std::int64_t used, std::int64_t limit) {
  return limit == 0 ? kNoLimit : limit - used;
}

resources headroom(const resources& used, const resources& limit) {
  return {headroom(used.cpu_milli, limit.cpu_milli),
          headroom(used.memory_mb, limit.memory_mb),
          headroom(used.gpus, limit.gpus)};
}

bool is_limited(const tenant_state& tenant) {
  return tenant.limit.cpu_milli > 0 || tenant.limit.memory_mb > 0 ||
         tenant.limit.gpus > 0;
}

bool uses_under_half(const tenant_state& tenant) {
  auto under_half = [](std::int64_t used, std::int64_t quota) {
    return quota == 0 || 2 * used < quota;
  };
  return under_half(tenant.used.cpu_milli, tenant.quota.cpu_milli) &&
         under_half(tenant.used.memory_mb, tenant.quota.memory_mb) &&
         under_half(tenant.used.gpus, tenant.quota.gpus);
}

tenant_state* find_or_add(pool_state* pool, const std::string& name) {
  std::pair<std::unordered_map<std::string, tenant_state>::iterator, bool>
      added = pool->tenants.try_emplace(name);
  if (added.second) {
    added.first->second.name = name;
    added.first->second.named = false;
  }
  return &added.first->second;
}

std::string tenant_name(pool_state* pool, const std::string& id) {
  const job* job = find_job(pool, id);
  return job == nullptr ? std::string() : job->submission->tenant();
}

void count_again(pool_state* pool) {
  for (std::pair<const std::string, tenant_state>& each : pool->tenants) {
    each.second.used = {};
    each.second.runs = 0;
  }
  for (std::pair<const std::string, worker>& each : pool->workers) {
    for (placement& placed : each.second.placements) add_usage(pool, &placed);
  }
}

// Jobs that have ended keep their tenant as well, for runs that are left.
void remove_unused(pool_state* pool) {
  std::unordered_set<const tenant_state*> needed;
  for (const std::pair<const std::string, job>& each : pool->jobs) {
    needed.insert(each.second.tenant);
  }
  std::erase_if(pool->tenants,
                [&](const std::pair<const std::string, tenant_state>& each) {
                  return !each.second.named && each.second.runs == 0 &&
                         needed.count(&each.second) == 0;
                });
}

// Whether the step may use what is reserved for a gang of its tenant.
bool passes_reservation(const scheduling_round& round,
                        const candidate_step& candidate) {
  const tenant_state& tenant = *candidate.tenant;
  if (!uses_under_half(tenant)) return false;
  milliseconds gang_held = std::chrono::duration_cast<milliseconds>(
      round.now - tenant.reserved_for->held_by_quota_since);
  if (!tenant.reserved_gang_seen && gang_held < kMaxYieldTime) return true;
  if (!candidate.job->workers.empty()) return false;
  steady_time held_since = candidate.step->held_by_quota_since;
  if (held_since == steady_time()) return false;
  return round.now - std::max(held_since, tenant.under_half_since) >=
         kMaxReservedWait;
}

// Whether smaller work of its tenant could keep the step waiting for good: a
// gang, or a task that needs more than half of the quota.
bool accumulates(const candidate_step& candidate) {
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  if (step.gang()) return true;
  resources twice = resources_needed(step) * 2;
  return !is_within(twice, candidate.tenant->quota);
}

void reserve_headroom(const candidate_step& candidate) {
  tenant_state* tenant = candidate.tenant;
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  resources need =
      step.gang() ? candidate.waiting_need : resources_needed(step);
  // It would wait for good, and everything else of its tenant with it.
  if (!is_within(need, tenant->limit)) return;
  tenant->reserved_for = candidate.step;
  tenant->reserved = need;
}

void add_tenant_event(pool_state* pool, const tenant_state& tenant, bool holds,
                      steady_time now) {
  if (pool->tenant_events.size() >= kMaxPendingTenantEvents) return;
  tenant_event event{
      tenant.name,       holds, tenant.used, tenant.limit, tenant.held,
      tenant.held_steps, {}};
  if (!holds) {
    event.held_for =
        std::chrono::duration_cast<milliseconds>(now - tenant.holding_since);
  }
  pool->tenant_events.push_back(std::move(event));
}

}  // namespace

void set_tenants(pool_state* pool, const std::vector<tenant>& tenants,
                 double quota_excess) {
  pool->has_tenants = !tenants.empty();
  for (std::pair<const std::string, tenant_state>& each : pool->tenants) {
    each.second.named = false;
  }
  for (const tenant& each : tenants) {
    tenant_state* state = find_or_add(pool, each.name);
    state->named = true;
    state->weight = std::max(each.weight, kMinWeight);
    state->quota = each.quota;
    state->limit = limits_of(each.quota, quota_excess);
  }
  // Jobs and placements from before the manifest had tenants have none yet.
  for (std::pair<const std::string, job>& each : pool->jobs) {
    set_tenant_of(pool, &each.second);
  }
  count_again(pool);
  remove_unused(pool);
}

void set_tenant_of(pool_state* pool, job* job) {
  job->tenant = pool->has_tenants ? find_or_add(pool, job->submission->tenant())
                                  : nullptr;
}

bool take_share(tenant_state* tenant, unix_time accepted) {
  share_bucket& bucket = tenant->share;
  std::chrono::duration<double> per_job(1 / tenant->weight);
  std::chrono::duration<double> depth =
      std::max(per_job, std::chrono::duration<double>(1));
  if (bucket.newest - accepted > kMaxClockDifference) bucket = {};
  if (accepted > bucket.newest) {
    std::chrono::duration<double> passed = accepted - bucket.newest;
    bucket.full_after -= std::min(passed, bucket.full_after);
    bucket.newest = accepted;
  }
  // Rounding of the sums must not cost the last job of a full bucket.
  constexpr std::chrono::duration<double> kRounding{1e-6};
  if (bucket.full_after + per_job > depth + kRounding) return true;
  bucket.full_after += per_job;
  return false;
}

bool is_share_used(const pool_state& pool, const std::string& tenant,
                   unix_time accepted) {
  std::unordered_map<std::string, tenant_state>::const_iterator found =
      pool.tenants.find(tenant);
  if (found == pool.tenants.end()) return false;
  tenant_state probe;
  probe.weight = found->second.weight;
  probe.share = found->second.share;
  return take_share(&probe, accepted);
}

std::vector<const known_job*> jobs_to_add(const pool_state& pool,
                                          const jobs::table& table) {
  std::vector<const known_job*> found;
  found.reserve(table.jobs.size());
  for (const known_job& each : table.jobs) found.push_back(&each);
  if (!pool.has_tenants) return found;
  auto accepted = [](const known_job& each) {
    return each.second.submission ? each.second.submission->accepted_ms() : 0;
  };
  std::sort(found.begin(), found.end(),
            [&](const known_job* a, const known_job* b) {
              std::int64_t a_accepted = accepted(*a);
              std::int64_t b_accepted = accepted(*b);
              if (a_accepted != b_accepted) return a_accepted < b_accepted;
              return a->first < b->first;
            });
  return found;
}

void add_usage(pool_state* pool, placement* placed) {
  if (!pool->has_tenants) return;
  placed->tenant = tenant_name(pool, placed->task.job);
  tenant_state* tenant = find_or_add(pool, placed->tenant);
  tenant->used = tenant->used + placed->need;
  ++tenant->runs;
}

void drop_usage(pool_state* pool, const placement& placed) {
  if (!pool->has_tenants) return;
  tenant_state* tenant = find_or_add(pool, placed.tenant);
  tenant->used = tenant->used - placed.need;
  --tenant->runs;
}

bool is_over_quota(const pool_state& pool, const placement& placed) {
  if (!pool.has_tenants) return false;
  std::unordered_map<std::string, tenant_state>::const_iterator found =
      pool.tenants.find(placed.tenant);
  return found != pool.tenants.end() &&
         !is_within(found->second.used, found->second.limit);
}

void begin_tenant_round(pool_state* pool, steady_time now) {
  for (std::pair<const std::string, tenant_state>& each : pool->tenants) {
    tenant_state& tenant = each.second;
    tenant.waiting_steps = 0;
    tenant.held_steps = 0;
    tenant.held = {};
    tenant.had_held = false;
    tenant.reserved_for = nullptr;
    tenant.reserved = {};
    tenant.reserved_gang_seen = false;
    if (!uses_under_half(tenant)) {
      tenant.under_half_since = steady_time::max();
    } else if (tenant.under_half_since == steady_time::max()) {
      tenant.under_half_since = now;
    }
  }
}

void describe_to_tenant(candidate_step* candidate) {
  const step_state& step = *candidate->step;
  candidate->tenant = candidate->job->tenant;
  candidate->over_share = candidate->job->over_share;
  candidate->waiting_tasks = count_waiting_tasks(step);
  candidate->waiting_need =
      resources_needed(definition(*candidate->job, step)) *
      candidate->waiting_tasks;
  ++candidate->tenant->waiting_steps;
  if (step.held_by_quota_since != steady_time()) {
    candidate->tenant->had_held = true;
  }
}

void reserve_for_longest_held(const scheduling_round& round,
                              const std::vector<candidate_step>& waiting) {
  for (const candidate_step& each : waiting) {
    if (!each.tenant->had_held) continue;
    steady_time since = each.step->held_by_quota_since;
    if (since == steady_time() || round.now - since < kHeldBeforeReserve) {
      continue;
    }
    if (round.now < each.tenant->next_keep_off) continue;
    if (each.tier == tier::no_value || !accumulates(each)) continue;
    const step_state* other = each.tenant->reserved_for;
    bool earlier = other == nullptr || since < other->held_by_quota_since;
    if (earlier) reserve_headroom(each);
  }
  for (std::pair<const std::string, tenant_state>& each : round.pool->tenants) {
    tenant_state& tenant = each.second;
    if (tenant.reserved_for == nullptr) {
      tenant.kept_off_since = {};
    } else if (tenant.kept_off_since == steady_time()) {
      tenant.kept_off_since = round.now;
    }
  }
}

std::uint32_t tasks_within_quota(const scheduling_round& round,
                                 const candidate_step& candidate) {
  tenant_state* tenant = candidate.tenant;
  if (tenant == nullptr || !is_limited(*tenant)) return kAllTasks;
  bool fits_at_once =
      tenant->reserved_for == nullptr &&
      candidate.step->held_by_quota_since == steady_time() &&
      is_within(tenant->used + candidate.waiting_need, tenant->limit);
  if (fits_at_once) return kAllTasks;
  const wire::step_definition& step =
      definition(*candidate.job, *candidate.step);
  std::uint32_t waiting = candidate.waiting_tasks;
  // The rest of a gang whose other members are being stopped.
  if (step.gang() && any_placed(*candidate.step)) return kAllTasks;
  // Negative if the tenant uses more than its limit.
  resources left = headroom(tenant->used, tenant->limit);
  bool reserved =
      tenant->reserved_for != nullptr && tenant->reserved_for != candidate.step;
  bool passes = reserved && passes_reservation(round, candidate);
  if (reserved && !passes) left = left - tenant->reserved;
  std::uint32_t slots = count_slots(left, resources_needed(step), waiting);
  if (tenant->reserved_for == candidate.step) {
    tenant->reserved_gang_seen = true;
  }
  if (slots >= waiting) {
    // A gang keeps its reservation until it starts. Otherwise later steps would
    // use the headroom while the gang waits for workers. A step that passes a
    // reservation may wait for advice, and passes it again then.
    if (!passes && !accumulates(candidate)) {
      candidate.step->held_by_quota_since = {};
    }
    return kAllTasks;
  }
  if (candidate.step->held_by_quota_since == steady_time()) {
    candidate.step->held_by_quota_since = round.now;
  }
  ++tenant->held_steps;
  std::uint32_t startable = step.gang() ? 0 : slots;
  tenant->held = tenant->held + resources_needed(step) * (waiting - startable);
  if (startable == 0 && tenant->reserved_for == nullptr &&
      accumulates(candidate)) {
    reserve_headroom(candidate);
    tenant->reserved_gang_seen = true;
  }
  return startable;
}

void observe_starts(const scheduling_round& round,
                    const candidate_step& candidate) {
  tenant_state* tenant = candidate.tenant;
  if (tenant == nullptr) return;
  if (candidate.step->held_by_quota_since == steady_time()) return;
  if (!any_placed(*candidate.step)) return;
  candidate.step->held_by_quota_since = {};
  if (tenant->reserved_for != candidate.step) return;
  tenant->reserved_for = nullptr;
  tenant->reserved = {};
  if (tenant->kept_off_since == steady_time()) return;
  steady_time::duration kept_off =
      round.now - std::exchange(tenant->kept_off_since, {});
  tenant->next_keep_off =
      round.now + std::max<steady_time::duration>(kMinTimeBetween, kept_off);
}

void end_tenant_round(pool_state* pool, steady_time now) {
  for (std::pair<const std::string, tenant_state>& each : pool->tenants) {
    tenant_state& tenant = each.second;
    if (tenant.held_steps > 0) {
      tenant.held_at = now;
      if (tenant.reported_holding) continue;
      tenant.reported_holding = true;
      tenant.holding_since = now;
      add_tenant_event(pool, tenant, true, now);
    } else if (tenant.reported_holding &&
               now - tenant.held_at >= kHoldEndDelay) {
      tenant.reported_holding = false;
      add_tenant_event(pool, tenant, false, now);
    }
  }
}

}  // namespace ebonygrade::pool
