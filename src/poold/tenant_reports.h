// What operators get to know of each tenant: metrics, and the event that a
// quota begins or ends to hold work back. docs/METRICS-POOLD.md lists the
// metrics. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pool/pool.h"

namespace ebonygrade::poold {

// Refused submissions, by tenant. Has at most 64 names; further tenants count
// as `other`.
struct tenant_refusals {
  std::map<std::string, std::uint64_t> counts;
};

void count_refusal(tenant_refusals* refusals, const std::string& tenant);
void append_tenant_refusals(std::string* text, const tenant_refusals& refusals);

// Logs the pool's tenant events and removes them.
void emit_tenant_events(pool::pool_state* pool);

// Appends the gauges of each tenant. The first 64 by name are told apart,
// the others are summed up as `other`. Nothing in a pool without tenants.
void append_tenant_gauges(std::string* text, const pool::pool_state& pool);

}  // namespace ebonygrade::poold
