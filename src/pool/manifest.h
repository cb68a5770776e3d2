// What the operator has put in force: queues with their policy, and limits of
// what callers may send.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pool/types.h"

namespace ebonygrade::pool {

// Where callers reach a queue: by host and path prefix.
struct queue_route {
  std::string name;
  std::string host;
  std::string path_prefix;
  queue_policy policy;
};

struct manifest {
  std::uint64_t version = 0;
  std::vector<queue_route> routes;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 256 << 10;
};

// The route with the longest prefix of `path` under the host, a port of which
// is ignored. Null if there is none.
const queue_route* find_route(const manifest& manifest, std::string_view host,
                              std::string_view path);

std::unordered_map<std::string, queue_policy> policies(
    const manifest& manifest);

// The policy as a job's submission keeps it.
wire::queue_terms to_terms(const queue_policy& policy);
queue_policy from_terms(const wire::job_submission& submission);

}  // namespace ebonygrade::pool
