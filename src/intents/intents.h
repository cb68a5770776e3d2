// Group commit of intents. An intent has the id of a non-idempotent request and
// is written to the intent stream of this daemon before the request is started.
//
// One append is in flight at a time; intents that are added meanwhile go into
// the next batch. Once an append is durable, the claims stream is read to its
// end. Only then are the intents confirmed whose shards this daemon still owns
// under the same epoch. All functions are pure functions over a `writer`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clock/clock.h"
#include "job/job.h"
#include "wire/record.pb.h"

namespace ebonygrade::intents {

using clock::milliseconds;
using clock::steady_time;

struct pending_intent {
  std::string id;
  job::shard_id home;
  job::epoch epoch = 0;
};

enum class writer_phase {
  idle,
  appending,       // The append is in flight.
  reading_claims,  // The append is durable; the claims stream is being read.
};

struct writer {
  milliseconds flush_interval{20};
  std::size_t max_batch = 1000;
  std::vector<std::string> regions;  // Names by region index.
  writer_phase phase = writer_phase::idle;
  steady_time last_flush;
  std::vector<pending_intent> waiting;
  std::vector<pending_intent> in_flight;
};

// Name of the intent stream of one run of a daemon.
std::string stream_name(const std::string& daemon, std::uint64_t incarnation);

void add(writer& state, pending_intent intent);

// If a batch is due, marks its intents as in flight, writes them to `batch` and
// returns true.
bool take_batch(writer& state, steady_time now, wire::intent_batch* batch);

// Whether an intent of the shard is waiting or in flight.
bool is_pending(const writer& state, job::shard_id home);

// The append is durable. The claims stream must be read to its end next.
void on_appended(writer& state);

// The append failed, or the claims stream could not be read after it. Returns
// the intents of the batch; none of their requests may be started.
std::vector<pending_intent> on_failed(writer& state);

// The claims stream was read to its end after the append. Returns the intents
// of the batch; a request may be started if this daemon still owns its shard
// under the epoch of the intent.
std::vector<pending_intent> on_claims_read(writer& state);

}  // namespace ebonygrade::intents
