// Entry side of requests: forwards the request of each caller to the owner of
// its home shard, and replies with the outcome on the caller's connection.
//
// Pure functions over a `table`. A request is sent again if its owner changes,
// if the receiver replies that it is not the owner, or if no acknowledgement
// arrives. Owners handle a repeated request once, by its id. This side replies
// `not_run` only to a request that was never sent to an owner. If the owner of
// a request that was sent stays lost, the reply is `unknown`.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "clock/clock.h"
#include "job/job.h"
#include "wire/peer.pb.h"

namespace ebonygrade::entry {

using clock::milliseconds;
using clock::steady_time;

struct entry_options {
  milliseconds resend_interval{500};    // Not acknowledged yet.
  milliseconds confirm_interval{5000};  // Acknowledged, outcome not final.
  // A request without an owner ends after this time, as `not_run` if it was
  // never sent and as `unknown` if it was.
  milliseconds no_owner_timeout{5000};     // Never sent.
  milliseconds owner_lost_timeout{30000};  // Sent.
  milliseconds retry_after{1000};          // Sent to the caller with `not_run`.
  std::size_t max_open_requests = 100000;
};

enum class request_kind { submit, query, cancel };

// One HTTP exchange that waits for a reply.
struct open_request {
  request_kind kind = request_kind::submit;
  job::request request;  // For a query or cancel, only `id` and `home` are set.
  bool wait_for_final = false;
  steady_time reply_by;  // At this time the last known state is replied.
  steady_time opened_at;
  steady_time last_sent;
  // When the shard last had a known owner or an owner last replied.
  steady_time last_owner_contact;
  std::string sent_to;  // Owner to which the request was last sent.
  job::epoch sent_epoch = 0;
  bool ever_sent = false;
  bool acknowledged = false;
  bool got_wrong_owner_reply = false;  // Since the request was last sent.
  job::outcome last_outcome;
};

struct table {
  entry_options options;
  std::unordered_map<std::uint64_t, open_request> open;
};

// Current owner of a shard as far as this daemon knows. `daemon` is empty if
// the shard has no owner or its owner is not ready to serve.
struct owner {
  std::string daemon;
  job::epoch epoch = 0;
};

// Looks up the owner of a shard. A parameter, so that the table doesn't depend
// on a claim table.
using owner_lookup = owner (*)(const void* context, job::shard_id shard);
struct owner_source {
  const void* context = nullptr;
  owner_lookup lookup = nullptr;

  owner operator()(job::shard_id shard) const { return lookup(context, shard); }
};

// Send the request to the owner, or apply it locally if this daemon is the
// owner.
struct dispatch {
  std::uint64_t token = 0;
  std::string to;
};
// Reply on the HTTP exchange, which is closed by that.
struct reply_to_caller {
  std::uint64_t token = 0;
  std::string id;
  job::outcome outcome;
};
using effect = std::variant<dispatch, reply_to_caller>;

// Opens an exchange and dispatches its request if the owner is known. If the
// table is full, the reply is `not_run` at once.
std::vector<effect> open(table& state, std::uint64_t token,
                         open_request request, const owner_source& owners,
                         steady_time now);

// Handles the owner's reply. Replies to closed exchanges have no effect.
std::vector<effect> on_reply(table& state, std::uint64_t token,
                             const job::outcome& outcome, bool wrong_owner,
                             steady_time now);

// Repeats the dispatches that are due and replies to exchanges that timed out.
std::vector<effect> tick(table& state, const owner_source& owners,
                         steady_time now);

}  // namespace ebonygrade::entry
