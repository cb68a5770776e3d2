// Where a request goes next. Free functions over plain values; no I/O, no
// clock, deterministic for a seed.
//
// A request's home is a shard of its region, by the hash of its id. The daemon
// that it enters by forwards it to the owner of that shard, one hop. When the
// home has no room, its tasks may be offered to another daemon: `overflow`
// chooses one by the summarised room of others, nearest first.
//
// Loops can't arise: each forward raises the hop count, and at the limit a
// request is served or handed back, never forwarded.
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

// ---- To the home --------------------------------------------------------

// Home of request `id`. `region` is the request's own wish, empty for the
// entry daemon's region. Fails with invalid_argument for an unknown region.
error::result<job::shard_id> home_shard(std::string_view id,
                                        std::string_view region,
                                        std::string_view entry_region,
                                        const ownership::claim_table& claims);

enum class route_action {
  serve,              // This daemon owns the home.
  forward,            // Send it to `to` with the hop count raised by one.
  reply_wrong_owner,  // Tell the sender that this daemon doesn't own the home.
  wait,               // The home has no owner, or its owner has gone silent.
};

struct decision {
  route_action action = route_action::wait;
  std::string to;
};

inline constexpr std::uint32_t kMaxHops = 1;

// `hops` is how often the request has been forwarded. A silent owner is not
// forwarded to; its shard will get a new one.
decision route_to_owner(const ownership::claim_table& claims,
                        job::shard_id home, const std::string& self,
                        std::uint32_t hops,
                        const std::vector<ownership::member>& members,
                        milliseconds unresponsive_limit);

// ---- Beyond the home ----------------------------------------------------

// How a daemon with room is chosen among those equally near.
enum class selection_rule {
  two_choices,   // The one with more room of two drawn at random.
  least_loaded,  // The one with the most room.
  random,        // Any with room.
};

struct overflow_options {
  std::string self;
  std::string zone;
  std::string region;
  selection_rule selection = selection_rule::two_choices;
  bool other_regions = false;     // Whether policy allows them.
  milliseconds max_age{5000};     // Older summaries aren't believed.
  std::size_t max_offers = 1000;  // Offers kept until the next summary.
};

// What a request needs.
struct resource_demand {
  job::resources per_task;
  std::uint32_t task_count = 1;
  bool all_at_once = false;  // A gang.
};

// Room promised away since a summary was made.
struct offer {
  std::string to;
  job::resources room;
  steady_time at;
};

struct overflow_state {
  overflow_options settings;
  std::vector<offer> offers;  // By time.
  std::mt19937_64 random;
};

overflow_state make_overflow(overflow_options settings, std::uint64_t seed);

// How many tasks fit into the free room.
std::uint32_t count_fitting_tasks(const job::resources& free,
                                  const job::resources& per_task);

// Chooses a daemon other than this one and those in `tried`, and remembers
// the offer. Nearest first: own zone, own region, other regions if allowed.
// Nothing if none is known to have room.
std::optional<std::string> select_overflow_target(
    overflow_state& state, const resource_demand& demand,
    const std::vector<membership::room_view>& rooms,
    const std::vector<std::string>& tried, steady_time now);

// ---- Retries ------------------------------------------------------------

// Token bucket that bounds the retries on one link to a share of its first
// tries, so that retries can't multiply an overload.
struct retry_options {
  double tokens_per_first_attempt = 0.1;
  double max_tokens = 10;
  double tokens_per_second = 0.5;  // So that an idle link may retry.
};

struct retry_budget {
  double tokens = 10;
  steady_time last_refill;
};

void record_first_attempt(retry_budget& budget, const retry_options& options);

// Takes a token if there is one.
bool try_take_retry_token(retry_budget& budget, const retry_options& options,
                          steady_time now);

}  // namespace ebonygrade::routing
