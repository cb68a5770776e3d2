#include "pool/manifest.h"

namespace ebonygrade::pool {

const queue_route* find_route(const manifest& manifest, std::string_view host,
                              std::string_view path) {
  host = host.substr(0, host.find(':'));
  const queue_route* best = nullptr;
  for (const queue_route& each : manifest.routes) {
    if (each.host != host || !path.starts_with(each.path_prefix)) continue;
    if (best == nullptr ||
        each.path_prefix.size() > best->path_prefix.size()) {
      best = &each;
    }
  }
  return best;
}

std::unordered_map<std::string, queue_policy> policies(
    const manifest& manifest) {
  std::unordered_map<std::string, queue_policy> made;
  for (const queue_route& each : manifest.routes) {
    made[each.name] = each.policy;
  }
  return made;
}

}  // namespace ebonygrade::pool
