// Entry side of requests: carries each caller's request to the owner of its
// home shard and brings the outcome back to the caller's connection.
//
// Pure functions over a `table`. A request is sent to its owner again when
// the owner changes, when the owner says it isn't the owner, and when no
// acknowledgement came; the id makes that harmless. `not_run` is answered
// here only for a request that was never sent to any owner; one that was sent
// and whose owner stays away ends as `unknown`.
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
  milliseconds resend_interval{500};    // Without an acknowledgement.
  milliseconds confirm_interval{5000};  // Acknowledged, but no final outcome.
  milliseconds no_owner_timeout{5000};  // Never sent: then not_run.
  milliseconds owner_lost_timeout{
      30000};                      // Sent, no owner since: then unknown.
  milliseconds retry_after{1000};  // Told with not_run.
  std::size_t max_open = 100000;
};

enum class request_kind { submit, query, cancel };

// One HTTP exchange that waits for a reply.
struct open_request {
  request_kind kind = request_kind::submit;
  job::request request;  // With kind submit; else only id and home are set.
  bool wait_for_final = false;
  steady_time reply_by;  // The present state is replied at this time.
  steady_time opened;
  steady_time last_sent;
  steady_time owner_seen;  // When an owner was last known or heard.
  std::string sent_to;     // Owner that it was last sent to.
  job::epoch sent_epoch = 0;
  bool ever_sent = false;
  bool acknowledged = false;
  bool resend = false;  // Told that the receiver is not the owner.
  job::outcome last_known;
};

struct table {
  entry_options options;
  std::unordered_map<std::uint64_t, open_request> open;
};

// Present owner of a shard, as this daemon knows it. An empty daemon means
// that nobody owns it or that the owner isn't ready to serve.
struct owner {
  std::string daemon;
  job::epoch epoch = 0;
};

// Looks an owner up; passed in so that the table needs no claim table.
using owner_lookup = owner (*)(const void* context, job::shard_id shard);
struct owner_source {
  const void* context = nullptr;
  owner_lookup lookup = nullptr;

  owner operator()(job::shard_id shard) const { return lookup(context, shard); }
};

// Send (or hand over, when the owner is this daemon) to the owner.
struct dispatch {
  std::uint64_t token = 0;
  std::string to;
};
// Answer the HTTP exchange; it is closed.
struct reply_to_caller {
  std::uint64_t token = 0;
  std::string id;
  job::outcome outcome;
};
using effect = std::variant<dispatch, reply_to_caller>;

// Opens an exchange and dispatches it if the owner is known. A full table
// answers not_run at once.
std::vector<effect> open(table& state, std::uint64_t token,
                         open_request request, const owner_source& owners,
                         steady_time now);

// Takes the owner's reply. Replies for closed exchanges change nothing.
std::vector<effect> on_reply(table& state, std::uint64_t token,
                             const job::outcome& outcome, bool wrong_owner,
                             steady_time now);

// Sends again what needs it and ends what has waited too long.
std::vector<effect> tick(table& state, const owner_source& owners,
                         steady_time now);

}  // namespace ebonygrade::entry
