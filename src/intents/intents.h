// Group commit of intents: the names of non-idempotent requests that are
// about to be started, written to this daemon's intent stream before the
// start leaves.
//
// One append is on its way at a time; what comes meanwhile goes into the next
// one. After an append is durable the claims stream is read to its end; only
// then is an intent confirmed, if the shard is still owned under the same
// epoch. Pure functions over a `writer`.
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
  appending,       // The append is on its way.
  reading_claims,  // The append is durable; the claims are being read.
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

// Stream of the intents of one run of a daemon.
std::string stream_name(const std::string& daemon, std::uint64_t incarnation);

void add(writer& state, pending_intent intent);

// Whether a batch should be appended now; if so, moves it in flight and fills
// `batch`.
bool take_batch(writer& state, steady_time now, wire::intent_batch* batch);

// Whether an intent of the shard waits or is in flight.
bool is_pending(const writer& state, job::shard_id home);

// The append is durable: the claims must now be read to their end.
void on_appended(writer& state);

// The append failed, or the claims could not be read after it. Returns the
// intents that it held; none of them may be started.
std::vector<pending_intent> on_failed(writer& state);

// The claims were read to their end after the append. Returns the intents of
// the batch; each may be started if its shard is still owned under its epoch.
std::vector<pending_intent> on_claims_read(writer& state);

}  // namespace ebonygrade::intents
