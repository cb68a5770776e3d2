#include "routing/routing.h"

#include <algorithm>

namespace ebonygrade::routing {

namespace {

const ownership::claim_state* find_shard(const ownership::claim_table& claims,
                                         job::shard_id home) {
  if (home.region >= claims.shards.size()) return nullptr;
  if (home.shard >= claims.shards[home.region].size()) return nullptr;
  return &claims.shards[home.region][home.shard];
}

bool is_responsive(const std::vector<ownership::member>& members,
                   const std::string& id, milliseconds unresponsive_limit) {
  for (const ownership::member& each : members) {
    if (each.id == id) return each.unresponsive_for < unresponsive_limit;
  }
  return false;
}

}  // namespace

error::result<job::shard_id> home_shard(std::string_view id,
                                        std::string_view region,
                                        std::string_view entry_region,
                                        const ownership::claim_table& claims) {
  std::string_view wanted = region.empty() ? entry_region : region;
  std::vector<std::string>::const_iterator found =
      std::find(claims.regions.begin(), claims.regions.end(), wanted);
  if (found == claims.regions.end()) {
    return error::failure{error::code::invalid_argument, "route request", "",
                          "region: unknown: " + std::string(wanted)};
  }
  std::size_t index = found - claims.regions.begin();
  std::uint16_t count = static_cast<std::uint16_t>(claims.shards[index].size());
  return job::shard_id{static_cast<std::uint16_t>(index),
                       job::shard_of(id, count)};
}

decision route_to_owner(const ownership::claim_table& claims,
                        job::shard_id home, const std::string& self,
                        std::uint32_t hops,
                        const std::vector<ownership::member>& members,
                        milliseconds unresponsive_limit) {
  const ownership::claim_state* shard = find_shard(claims, home);
  bool owned = shard != nullptr && shard->epoch != 0 && !shard->released;
  if (owned && shard->owner == self) return {route_action::serve, self};
  if (hops >= kMaxHops) return {route_action::reply_wrong_owner, ""};
  if (!owned) return {route_action::wait, ""};
  if (!is_responsive(members, shard->owner, unresponsive_limit)) {
    return {route_action::wait, ""};
  }
  return {route_action::forward, shard->owner};
}

void record_first_attempt(retry_budget& budget, const retry_options& options) {
  budget.tokens = std::min(options.max_tokens,
                           budget.tokens + options.tokens_per_first_attempt);
}

bool try_take_retry_token(retry_budget& budget, const retry_options& options,
                          steady_time now) {
  std::chrono::duration<double> passed = now - budget.last_refill;
  if (passed.count() > 0) {
    budget.last_refill = now;
    budget.tokens =
        std::min(options.max_tokens,
                 budget.tokens + passed.count() * options.tokens_per_second);
  }
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

}  // namespace ebonygrade::routing
