// Order of waiting steps among tenants: weighted dominant resource fairness.
//
//   begin_tenant_round(&round, &waiting);
//   order_by_tenant(round, &waiting);
//
// Steps come in this order:
// 1. steps whose results have no value last;
// 2. steps of jobs over their tenant's share behind all jobs within theirs;
// 3. by priority;
// 4. in time before late;
// 5. while capacity is short, the tenant with the smallest dominant share in
//    relation to its weight next. The share is the largest part of the pool's
//    cpu, memory or gpus that the tenant uses, with the need of each step of
//    it that comes earlier;
// 6. by deadline.
#pragma once

#include <vector>

namespace ebonygrade::pool {

struct candidate_step;
struct scheduling_round;

// Expects the steps in the order of a pool without tenants, which has 1, 3, 4
// and 6, and with their tenants. Time: O(n log t) for n steps of t tenants.
void order_by_tenant(const scheduling_round& round,
                     std::vector<candidate_step>* waiting);

}  // namespace ebonygrade::pool
