// Routing of requests between daemons. All functions are pure: they do no I/O,
// read no clock and are deterministic for a given seed.
//
// The home of a request is a shard of its region, chosen by the hash of the
// request's id. The daemon that receives a request from a caller forwards it to
// the owner of the home shard, in one hop. If the home shard lacks free
// capacity, its tasks may be offered to another daemon.
// `select_overflow_target` chooses that daemon by the capacity summaries of the
// other daemons, nearest first.
//
// Forwarding loops are impossible: each forward increments the hop count, and
// at the limit a request is served or refused as sent to the wrong owner.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "clock/clock.h"
#include "error/error.h"
#include "job/job.h"
#include "membership/membership.h"
#include "ownership/ownership.h"

namespace ebonygrade::routing {

using clock::milliseconds;
using clock::steady_time;

// ---- Home shard ---------------------------------------------------------

// Home shard of request `id`. `region` is the region that the request names; if
// it is empty, `entry_region`, the region of the entry daemon, is used. Fails
// with invalid_argument if the region is unknown.
error::result<job::shard_id> home_shard(std::string_view id,
                                        std::string_view region,
                                        std::string_view entry_region,
                                        const ownership::claim_table& claims);

enum class route_action {
  serve,              // This daemon owns the home shard.
  forward,            // Forward to `to` with the hop count plus one.
  reply_wrong_owner,  // Reply that this daemon doesn't own the home shard.
  wait,               // The home shard has no responsive owner.
};

struct decision {
  route_action action = route_action::wait;
  std::string to;
};

inline constexpr std::uint32_t kMaxHops = 1;

// `hops` is the number of times that the request was forwarded. An owner that
// was unresponsive for `unresponsive_limit` gets no request: another daemon
// will take over its shard.
decision route_to_owner(const ownership::claim_table& claims,
                        job::shard_id home, const std::string& self,
                        std::uint32_t hops,
                        const std::vector<ownership::member>& members,
                        milliseconds unresponsive_limit);

// ---- Overflow to other daemons ------------------------------------------

// How a daemon is chosen among equally near daemons with free capacity.
enum class selection_rule {
  two_choices,   // Two at random; the one where more tasks fit.
  least_loaded,  // The one where the most tasks fit.
  random,        // Any one at random.
};

struct overflow_options {
  std::string self;
  std::string zone;
  std::string region;
  selection_rule selection = selection_rule::two_choices;
  bool other_regions = false;     // Whether the policy allows them.
  milliseconds max_age{5000};     // Older summaries are ignored.
  std::size_t max_offers = 1000;  // Recorded offers; the oldest is dropped.
};

// Resources that a request needs.
struct resource_demand {
  job::resources per_task;
  std::uint32_t task_count = 1;
  bool all_at_once = false;  // The request is a gang.
};

// Resources that were offered to the tasks of a request on daemon `to`. They
// count as used until a later summary arrives.
struct offer {
  std::string to;
  job::resources resources;
  steady_time at;
};

struct overflow_state {
  overflow_options settings;
  std::vector<offer> offers;  // Oldest first.
  std::mt19937_64 random;
};

overflow_state make_overflow(overflow_options settings, std::uint64_t seed);

// Number of tasks that fit into the free resources.
std::uint32_t count_fitting_tasks(const job::resources& free,
                                  const job::resources& per_task);

// Chooses a daemon other than this one and the ones in `tried`, and records the
// offer. The order is: own zone, own region, other regions if allowed. Returns
// nothing if no daemon is known to have enough free capacity.
std::optional<std::string> select_overflow_target(
    overflow_state& state, const resource_demand& demand,
    const std::vector<membership::capacity_view>& views,
    const std::vector<std::string>& tried, steady_time now);

// ---- Retries ------------------------------------------------------------

// Token bucket that limits the retries on one link to a share of the link's
// first attempts, so that retries don't multiply the load during an overload.
struct retry_options {
  double tokens_per_first_attempt = 0.1;
  double max_tokens = 10;
  double tokens_per_second = 0.5;  // Lets an idle link retry.
};

struct retry_budget {
  double tokens = 10;
  steady_time last_refill;
};

void record_first_attempt(retry_budget& budget, const retry_options& options);

// Takes a token and returns true, or returns false if there is none.
bool try_take_retry_token(retry_budget& budget, const retry_options& options,
                          steady_time now);

}  // namespace ebonygrade::routing
