// Quotas of tenants: the resources that each tenant has in use, and which
// waiting steps its quota holds back.
//
//   set_tenants(&pool, manifest.tenants, quota_excess);
//   add_job(&pool, ...);  // In order of acceptance: see take_share().
//
// add_placement() and drop_placement() keep the usage. A run counts from the
// decision to start it until its worker can't run it any more, so the usage is
// never below what runs at the workers. Nothing here stops a run: after its
// quota is lowered, a tenant's starts wait.
//
// Without tenants in the manifest, nothing is counted and nothing held back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_table.h"
#include "pool/types.h"

namespace ebonygrade::pool {

struct candidate_step;
struct job;
struct placement;
struct pool_state;
struct scheduling_round;
struct step_state;
struct tenant;

// One token bucket, kept as the time at which it is full again. Its unit is
// one job; it holds the jobs of one second, and at least one.
struct share_bucket {
  unix_time newest;  // Latest acceptance that it has seen.
  std::chrono::duration<double> full_after{0};  // From `newest`.
};

struct tenant_state {
  std::string name;  // Empty: the jobs without a tenant.
  double weight = 1;
  resources quota;    // 0: no limit.
  resources limit;    // quota x (1 + quota_excess); 0: no limit.
  bool named = true;  // In the manifest in force.
  resources used;     // By its placements.
  std::size_t runs = 0;
  share_bucket share;
  // From when on the tenant uses less than half of its quota; max(): it
  // doesn't.
  steady_time under_half_since = steady_time::max();
  // Of the last scheduling round.
  std::size_t waiting_steps = 0;
  std::size_t held_steps = 0;  // With tasks that the quota holds back.
  resources held;              // What these tasks need.
  bool had_held = false;       // Has steps that it has held back before.
  // For the gang that accumulates headroom in this round.
  const step_state* reserved_for = nullptr;
  resources reserved;
  bool reserved_gang_seen = false;  // The round has come to the gang.
  // Since when steps ahead of such a gang are kept off; default value: they
  // aren't. And when they may be again.
  steady_time kept_off_since;
  steady_time next_keep_off;
  // While the quota holds work back, and for a short time after it.
  bool reported_holding = false;
  steady_time held_at;
  steady_time holding_since;
};

// The quota of a tenant begins or ends to hold work back.
struct tenant_event {
  std::string tenant;
  bool holds = false;
  resources used;
  resources limit;
  resources held;              // Needed by the tasks that are held back.
  std::size_t held_steps = 0;  // Steps of these tasks.
  milliseconds held_for{0};    // Set at the end.
};

// ---- Manifest and jobs ------------------------------------------------------

// Takes the tenants of the manifest in force. Keeps the usage, and the quota
// and weight of tenants that the manifest lacks while they have open jobs or
// runs. `quota_excess` is the share by which runs may exceed a quota.
void set_tenants(pool_state* pool, const std::vector<tenant>& tenants,
                 double quota_excess);

// Sets the job's tenant, from its submission; null in a pool without tenants.
void set_tenant_of(pool_state* pool, job* job);

// Takes a job of the tenant from its bucket. True, and takes nothing, if the
// bucket is empty: the job is over the tenant's share. Acceptance times are
// told by several daemons; one that is up to 2 s before the newest counts as
// the newest, and after a longer step back the bucket is full.
bool take_share(tenant_state* tenant, unix_time accepted);
// Whether a job of the tenant that is accepted now would be over its share.
// False for a tenant that the pool doesn't know.
bool is_share_used(const pool_state& pool, const std::string& tenant,
                   unix_time accepted);

// A job of the journal, by its id.
using known_job = std::pair<const std::string, jobs::entry>;
// The jobs of the journal in the order for add_job(): by acceptance in a pool
// with tenants, so that each owner marks the same jobs as over the share. Jobs
// that have ended are no longer known with their acceptance and take no share,
// so a later owner may mark fewer.
std::vector<const known_job*> jobs_to_add(const pool_state& pool,
                                          const jobs::table& table);

// ---- Usage ------------------------------------------------------------------

// For add_placement() and drop_placement() alone.
void add_usage(pool_state* pool, placement* placed);
void drop_usage(pool_state* pool, const placement& placed);

// Whether the runs of the placement's tenant, this one included, exceed the
// limit, so that its start must not be sent.
bool is_over_quota(const pool_state& pool, const placement& placed);

// ---- Scheduling rounds ------------------------------------------------------

// Without a limit.
inline constexpr std::uint32_t kAllTasks =
    std::numeric_limits<std::uint32_t>::max();

// To be called before the first step of a round.
void begin_tenant_round(pool_state* pool, steady_time now);
// Sets the tenant of a waiting step and what it needs, and counts it.
void describe_to_tenant(candidate_step* candidate);
// Keeps the steps ahead of it from the headroom of the gang of each tenant that
// its quota has held back for longest, if that is long enough.
void reserve_for_longest_held(const scheduling_round& round,
                              const std::vector<candidate_step>& waiting);
// How many tasks of the step may start within the quota of its tenant, or
// kAllTasks. For a gang all or 0; one that is held back accumulates headroom.
std::uint32_t tasks_within_quota(const scheduling_round& round,
                                 const candidate_step& candidate);
// The step has got its starts of this round.
void observe_starts(const scheduling_round& round,
                    const candidate_step& candidate);
// Adds the events of the round.
void end_tenant_round(pool_state* pool, steady_time now);

}  // namespace ebonygrade::pool
