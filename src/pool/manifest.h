// The manifest in force: the queues with their policies, and limits for the
// size of requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pool/types.h"

namespace ebonygrade::pool {

// The host and path prefix under which callers reach a queue.
struct queue_route {
  std::string name;
  std::string host;
  std::string path_prefix;
  queue_policy policy;
  // Callers must present a key of a tenant, where the deployment has tenants.
  bool needs_key = true;
};

// A customer with keys of its own, a quota and a share of the pool.
struct tenant {
  std::string name;
  std::vector<std::string> api_keys;
  std::uint32_t priority = 0;  // 0 is the highest.
  // Share of the pool when it is full, relative to those of other tenants, and
  // the number of jobs a second up to which jobs count as within the share.
  double weight = 1;
  resources quota;  // Of all its runs together; 0: no limit.
};

struct manifest {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::vector<tenant> tenants;
  // Callers need keys. True without a readable tenant if there are rows of
  // tenants that can't be read.
  bool has_tenants = false;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 256 << 10;
};

// Returns the route of the host with the longest prefix of `path`, or null. A
// port in `host` is ignored.
const queue_route* find_route(const manifest& manifest, std::string_view host,
                              std::string_view path);

// Returns null without a tenant of that name.
const tenant* find_tenant(const manifest& manifest, std::string_view name);

std::unordered_map<std::string, queue_policy> policies(
    const manifest& manifest);

// Conversion of a policy to and from the form in a job's submission.
wire::queue_terms to_terms(const queue_policy& policy);
queue_policy from_terms(const wire::job_submission& submission);

}  // namespace ebonygrade::pool
