#include "intents/intents.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebonygrade::intents {

namespace {

std::vector<pending_intent> take_in_flight(writer& state) {
  state.phase = writer_phase::idle;
  return std::exchange(state.in_flight, {});
}

}  // namespace

std::string stream_name(const std::string& daemon, std::uint64_t incarnation) {
  return "intents." + daemon + "." + std::to_string(incarnation);
}

void add(writer& state, pending_intent intent) {
  state.waiting.push_back(std::move(intent));
}

bool take_batch(writer& state, steady_time now, wire::intent_batch* batch) {
  if (state.phase != writer_phase::idle) return false;
  if (state.waiting.empty()) return false;
  if (now - state.last_flush < state.flush_interval) return false;
  const std::size_t count = std::min(state.waiting.size(), state.max_batch);
  const auto end = state.waiting.begin() + static_cast<std::ptrdiff_t>(count);
  state.in_flight.assign(std::make_move_iterator(state.waiting.begin()),
                         std::make_move_iterator(end));
  state.waiting.erase(state.waiting.begin(), end);
  for (const pending_intent& each : state.in_flight) {
    wire::intent* written = batch->add_intents();
    written->set_request_id(each.id);
    written->set_region(state.regions[each.home.region]);
    written->set_shard(each.home.shard);
    written->set_epoch(each.epoch);
  }
  state.phase = writer_phase::appending;
  state.last_flush = now;
  return true;
}

bool is_pending(const writer& state, job::shard_id home) {
  const auto matches = [home](const pending_intent& each) {
    return each.home == home;
  };
  return std::any_of(state.waiting.begin(), state.waiting.end(), matches) ||
         std::any_of(state.in_flight.begin(), state.in_flight.end(), matches);
}

void on_appended(writer& state) { state.phase = writer_phase::reading_claims; }

std::vector<pending_intent> on_failed(writer& state) {
  return take_in_flight(state);
}

std::vector<pending_intent> on_claims_read(writer& state) {
  return take_in_flight(state);
}

}  // namespace ebonygrade::intents
